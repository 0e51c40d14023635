package hollow

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
	"sagelever/internal/rpc"
)

// Timing of pulls, equal to that of a real proxy.
const (
	retryInterval = 100 * time.Millisecond // before the next controller is tried
	pullSlack     = time.Second            // how much longer than its wait time a pull may take
	// firstPullSlack replaces pullSlack for the first pull, which returns the whole configuration and which many proxies
	// send at the same time.
	firstPullSlack = 20 * time.Second
)

// Proxy is a hollow proxy. It holds a lease and pulls from the controllers like a real proxy, but stores only its
// progress and some counts.
type Proxy struct {
	Meter         Meter
	member        message.Member // identity in pull requests
	listenAddress string
	sources       []string // addresses of the controllers, beginning with that of its own zone
	wait          time.Duration
	client        *http.Client
	tracker       *PropagationTracker

	// Used by the goroutine of run only, and by releaseLease after it.
	progress    replication.Vector
	incarnation uint64
	surveyID    uint64 // of the last survey that the proxy has replied to

	synced        atomic.Bool // the whole configuration was received
	pulls         atomic.Int64
	failures      atomic.Int64
	items         atomic.Int64
	registers     atomic.Int64 // items that are registers
	bodyBytes     atomic.Int64 // of keys and bodies, uncompressed
	vectorEntries atomic.Int64
}

func newProxy(
	member message.Member, listenAddress string, sources []string, wait time.Duration, tracker *PropagationTracker,
) *Proxy {
	p := &Proxy{
		member:        member,
		listenAddress: listenAddress,
		sources:       sources,
		wait:          wait,
		tracker:       tracker,
		progress:      replication.Vector{},
		incarnation:   uint64(time.Now().UnixMilli()),
	}
	p.client = rpc.NewClient(p.Meter.Dial)
	return p
}

// run pulls until the context ends. First pulls need a permit, so that the simultaneous start of all proxies does not
// dominate the measurement.
func (p *Proxy) run(ctx context.Context, permits chan struct{}) {
	defer p.client.CloseIdleConnections()
	attempt := 0
	for ctx.Err() == nil {
		started := time.Now()
		response, err := p.pullOnce(ctx, p.sources[attempt%len(p.sources)], permits)
		if err != nil || !response.HasQuorum {
			if ctx.Err() == nil {
				p.failures.Add(1)
			}
			attempt++
			sleep(ctx, retryInterval)
			continue
		}
		emptyEarlyReply := len(response.Items) == 0 && time.Since(started) < retryInterval
		if emptyEarlyReply { // prevents a busy loop with a controller that does not wait
			sleep(ctx, retryInterval)
		}
	}
}

// pullOnce pulls once. It acquires a permit if the proxy has not received the whole configuration yet.
func (p *Proxy) pullOnce(ctx context.Context, source string, permits chan struct{}) (*message.PullResponse, error) {
	if p.synced.Load() {
		return p.pull(ctx, source, p.wait, pullSlack)
	}
	select {
	case permits <- struct{}{}:
		defer func() { <-permits }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return p.pull(ctx, source, 0, firstPullSlack)
}

// pull requests new items from a controller, and applies the response if the controller has a quorum.
func (p *Proxy) pull(ctx context.Context, source string, wait, slack time.Duration) (*message.PullResponse, error) {
	request := p.newRequest()
	request.WaitMs = wait.Milliseconds()
	request.ListenerAddr = p.listenAddress
	request.SurveyID = p.surveyID
	body, err := easyjson.Marshal(request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	response := &message.PullResponse{}
	if err := rpc.Post(ctx, p.client, source, message.PullPath, body, response); err != nil {
		return nil, errors.Wrap(err, "pull")
	}
	p.pulls.Add(1)
	if response.HasQuorum {
		p.apply(response)
	}
	return response, nil
}

// newRequest returns a pull request with the fields that all pull requests have in common.
func (p *Proxy) newRequest() *message.PullRequest {
	return &message.PullRequest{
		From:            p.member,
		Role:            message.RoleProxy,
		ProtocolVersion: message.ProtocolVersion,
		Progress:        p.progress,
		Incarnation:     p.incarnation,
	}
}

// apply updates the progress and the counts, and records new versions of the tracked register.
func (p *Proxy) apply(response *message.PullResponse) {
	now := time.Now()
	for origin, number := range response.Progress {
		p.progress[origin] = max(p.progress[origin], number)
	}
	for _, origin := range response.DroppedOrigins {
		delete(p.progress, origin)
	}
	p.vectorEntries.Store(int64(len(p.progress)))
	p.incarnation = max(p.incarnation, response.KnownIncarnation+1)
	p.surveyID = max(p.surveyID, response.SurveyID)
	for _, item := range response.Items {
		p.items.Add(1)
		p.bodyBytes.Add(int64(len(item.Key) + len(item.Body)))
		register, ok := strings.CutPrefix(item.Key, replication.RegisterKeyPrefix)
		if !ok {
			continue
		}
		p.registers.Add(1)
		if register == p.tracker.register {
			p.tracker.record(p.member.Node, item.Version, now)
		}
	}
	p.synced.Store(true)
}

// releaseLease releases the lease. If the message is lost, the lease expires.
func (p *Proxy) releaseLease() {
	request := p.newRequest()
	request.Ended = true
	body, err := easyjson.Marshal(request)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), pullSlack)
	defer cancel()
	_ = rpc.Post(ctx, p.client, p.sources[0], message.PullPath, body, nil) // if the call fails, the lease expires
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
