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

	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
	"sagelever/internal/rpc"
)

const (
	retryInterval  = 100 * time.Millisecond // before the next member is asked, as a relay does
	pullSlack      = time.Second            // by which an answer may come later than the pull's wait, as with a relay
	firstPullSlack = 20 * time.Second       // the same for the first pull, which brings all: many agents make theirs at once
)

// Proxy is an edge agent that carries no traffic. It pulls from the core as a relay does, holds a lease, and keeps of what
// it is told only how far it has come and how much it was.
type Proxy struct {
	Meter         Meter
	member        message.Member // what it says of itself
	listenAddress string
	sources       []string // addresses of members, its zone's first
	wait          time.Duration
	client        *http.Client
	tracker       *PropagationTracker

	progress           replication.Vector
	incarnation        uint64
	configurationCount uint64

	pulls, failures, items, registers, bodyBytes, vectorEntries atomic.Int64
	synced                                                      atomic.Bool
}

// newProxy makes an agent that calls itself so.
func newProxy(member message.Member, listenAddress string, sources []string, wait time.Duration, tracker *PropagationTracker) *Proxy {
	a := &Proxy{member: member, listenAddress: listenAddress, sources: sources, wait: wait, tracker: tracker, progress: replication.Vector{}, incarnation: uint64(time.Now().UnixMilli())}
	a.client = rpc.NewClient(a.Meter.Dial)
	return a
}

// run pulls until the context ends. A permit is held for the first pull, so that a start of all at once does not decide
// what is measured.
func (a *Proxy) run(ctx context.Context, permits chan struct{}) {
	defer a.client.CloseIdleConnections()
	attempt := 0
	for ctx.Err() == nil {
		started := time.Now()
		response, err := a.pullOnce(ctx, a.sources[attempt%len(a.sources)], permits)
		if err != nil || !response.HasQuorum {
			if ctx.Err() == nil {
				a.failures.Add(1)
			}
			attempt++
			sleep(ctx, retryInterval)
			continue
		}
		if len(response.Items) == 0 && time.Since(started) < retryInterval { // a member that answers at once must not be asked without end
			sleep(ctx, retryInterval)
		}
	}
}

// pullOnce is one pull, under a permit where it is the one that brings all.
func (a *Proxy) pullOnce(ctx context.Context, source string, permits chan struct{}) (*message.PullResponse, error) {
	if a.synced.Load() {
		return a.pull(ctx, source, a.wait, pullSlack)
	}
	select {
	case permits <- struct{}{}:
		defer func() { <-permits }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return a.pull(ctx, source, 0, firstPullSlack)
}

// pull asks a member for what this agent lacks and takes up the answer.
func (a *Proxy) pull(ctx context.Context, source string, wait, slack time.Duration) (*message.PullResponse, error) {
	request := &message.PullRequest{From: a.member, Role: message.RoleProxy, ProtocolVersion: message.ProtocolVersion, Progress: a.progress, WaitMs: wait.Milliseconds(),
		ListenerAddr: a.listenAddress, Incarnation: a.incarnation, SurveyID: a.configurationCount}
	body, err := easyjson.Marshal(request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	response := &message.PullResponse{}
	if err := rpc.Post(ctx, a.client, source, message.PullPath, body, response); err != nil {
		return nil, errors.Wrap(err, "pull")
	}
	a.pulls.Add(1)
	if response.HasQuorum {
		a.apply(response)
	}
	return response, nil
}

// apply notes how far the answer brings this agent, and tells the watch of the items that it waits for.
func (a *Proxy) apply(response *message.PullResponse) {
	now := time.Now()
	for origin, number := range response.Progress {
		a.progress[origin] = max(a.progress[origin], number)
	}
	for _, origin := range response.DroppedOrigins {
		delete(a.progress, origin)
	}
	a.vectorEntries.Store(int64(len(a.progress)))
	a.incarnation = max(a.incarnation, response.KnownIncarnation+1)
	a.configurationCount = max(a.configurationCount, response.SurveyID)
	for _, item := range response.Items {
		a.items.Add(1)
		a.bodyBytes.Add(int64(len(item.Key) + len(item.Body)))
		register, ok := strings.CutPrefix(item.Key, replication.RegisterKey)
		if !ok {
			continue
		}
		a.registers.Add(1)
		if register == a.tracker.register {
			a.tracker.record(a.member.Node, item.Version, now)
		}
	}
	a.synced.Store(true)
}

// releaseLease gives the lease back.
func (a *Proxy) releaseLease() {
	body, err := easyjson.Marshal(&message.PullRequest{From: a.member, Role: message.RoleProxy, ProtocolVersion: message.ProtocolVersion, Progress: a.progress, Incarnation: a.incarnation, Ended: true})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), pullSlack)
	defer cancel()
	_ = rpc.Post(ctx, a.client, a.sources[0], message.PullPath, body, nil) // one that is lost lapses by itself
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// PropagationTracker records when agents come to hold the versions of one register.
type PropagationTracker struct {
	register  string
	mu        sync.Mutex
	versions  map[string]uint64 // by agent
	awaited   uint64
	reachedAt []time.Time // when agents came to hold the awaited version, in order
	expected  int
	done      chan struct{}
}

func newPropagationTracker(register string) *PropagationTracker {
	return &PropagationTracker{register: register, versions: map[string]uint64{}}
}

// expect begins to wait for so many agents to hold a version.
func (w *PropagationTracker) expect(version uint64, proxies int) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.awaited, w.reachedAt, w.expected, w.done = version, nil, proxies, make(chan struct{})
	return w.done
}

func (w *PropagationTracker) record(proxy string, version uint64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.versions[proxy]
	w.versions[proxy] = max(before, version)
	if w.awaited == 0 || before >= w.awaited || version < w.awaited {
		return
	}
	if w.reachedAt = append(w.reachedAt, now); len(w.reachedAt) == w.expected {
		close(w.done)
	}
}

// times are those at which agents came to hold the awaited version, in order.
func (w *PropagationTracker) times() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]time.Time(nil), w.reachedAt...)
}
