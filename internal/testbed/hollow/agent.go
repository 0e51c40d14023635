package hollow

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/internal/control/replica"
	"sagelever/lore"
	"sagelever/steward"
)

const (
	retryPause  = 100 * time.Millisecond // before the next member is asked, as a relay does
	answerSlack = time.Second            // by which an answer may come later than the pull's wait, as with a relay
	firstSlack  = 20 * time.Second       // the same for the first pull, which brings all: many agents make theirs at once
)

// Agent is an edge agent that carries no traffic. It pulls from the core as a relay does, holds a lease, and keeps of what
// it is told only how far it has come and how much it was.
type Agent struct {
	Meter   Meter
	member  replica.Member // what it says of itself
	front   string
	sources []string // addresses of members, its zone's first
	wait    time.Duration
	client  *http.Client
	watch   *Watch

	come  lore.Vector
	life  uint64
	count uint64

	pulls, failures, items, registers, bodyBytes, vectorEntries atomic.Int64
	whole                                                       atomic.Bool
}

// newAgent makes an agent that calls itself so.
func newAgent(member replica.Member, front string, sources []string, wait time.Duration, watch *Watch) *Agent {
	a := &Agent{member: member, front: front, sources: sources, wait: wait, watch: watch, come: lore.Vector{}, life: uint64(time.Now().UnixMilli())}
	a.client = steward.Client(a.Meter.Dial)
	return a
}

// run pulls until the context ends. A permit is held for the first pull, so that a start of all at once does not decide
// what is measured.
func (a *Agent) run(ctx context.Context, permits chan struct{}) {
	defer a.client.CloseIdleConnections()
	at := 0
	for ctx.Err() == nil {
		begun := time.Now()
		news, err := a.turn(ctx, a.sources[at%len(a.sources)], permits)
		if err != nil || !news.Sound {
			if ctx.Err() == nil {
				a.failures.Add(1)
			}
			at++
			pause(ctx, retryPause)
			continue
		}
		if len(news.Items) == 0 && time.Since(begun) < retryPause { // a member that answers at once must not be asked without end
			pause(ctx, retryPause)
		}
	}
}

// turn is one pull, under a permit where it is the one that brings all.
func (a *Agent) turn(ctx context.Context, source string, permits chan struct{}) (*replica.News, error) {
	if a.whole.Load() {
		return a.pull(ctx, source, a.wait, answerSlack)
	}
	select {
	case permits <- struct{}{}:
		defer func() { <-permits }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return a.pull(ctx, source, 0, firstSlack)
}

// pull asks a member for what this agent lacks and takes up the answer.
func (a *Agent) pull(ctx context.Context, source string, wait, slack time.Duration) (*replica.News, error) {
	asked := &replica.Pull{From: a.member, Role: replica.Edge, Wire: replica.Wire, Come: a.come, WaitMs: wait.Milliseconds(),
		Front: a.front, Life: a.life, Count: a.count}
	body, err := easyjson.Marshal(asked)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	news := &replica.News{}
	if err := steward.Post(ctx, a.client, source, replica.PullPath, body, news); err != nil {
		return nil, errors.Wrap(err, "pull")
	}
	a.pulls.Add(1)
	if news.Sound {
		a.take(news)
	}
	return news, nil
}

// take notes how far the answer brings this agent, and tells the watch of the items that it waits for.
func (a *Agent) take(news *replica.News) {
	now := time.Now()
	for origin, number := range news.Come {
		a.come[origin] = max(a.come[origin], number)
	}
	for _, origin := range news.Drop {
		delete(a.come, origin)
	}
	a.vectorEntries.Store(int64(len(a.come)))
	a.life = max(a.life, news.Life+1)
	a.count = max(a.count, news.Count)
	for _, item := range news.Items {
		a.items.Add(1)
		a.bodyBytes.Add(int64(len(item.Key) + len(item.Body)))
		register, ok := strings.CutPrefix(item.Key, lore.RegKey)
		if !ok {
			continue
		}
		a.registers.Add(1)
		if register == a.watch.register {
			a.watch.hold(a.member.Node, item.Version, now)
		}
	}
	a.whole.Store(true)
}

// end gives the lease back.
func (a *Agent) end() {
	body, err := easyjson.Marshal(&replica.Pull{From: a.member, Role: replica.Edge, Wire: replica.Wire, Come: a.come, Life: a.life, Ended: true})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerSlack)
	defer cancel()
	_ = steward.Post(ctx, a.client, a.sources[0], replica.PullPath, body, nil) // one that is lost lapses by itself
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Watch records when agents come to hold the versions of one register.
type Watch struct {
	register string
	mu       sync.Mutex
	held     map[string]uint64 // by agent
	awaited  uint64
	at       []time.Time // when agents came to hold the awaited version, in order
	want     int
	all      chan struct{}
}

func newWatch(register string) *Watch { return &Watch{register: register, held: map[string]uint64{}} }

// expect begins to wait for so many agents to hold a version.
func (w *Watch) expect(version uint64, agents int) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.awaited, w.at, w.want, w.all = version, nil, agents, make(chan struct{})
	return w.all
}

func (w *Watch) hold(agent string, version uint64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.held[agent]
	w.held[agent] = max(before, version)
	if w.awaited == 0 || before >= w.awaited || version < w.awaited {
		return
	}
	if w.at = append(w.at, now); len(w.at) == w.want {
		close(w.all)
	}
}

// moments are those at which agents came to hold the awaited version, in order.
func (w *Watch) moments() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]time.Time(nil), w.at...)
}
