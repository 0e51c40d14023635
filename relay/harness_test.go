package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mailru/easyjson"
	"go.uber.org/zap"

	"sagelever/boot"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replica"
	"sagelever/lore"
	"sagelever/plan"
)

// core is a source of news that a test writes.
type core struct {
	mu    sync.Mutex
	feed  *lore.Feed
	sound bool
	front string
	ended bool
	more  chan struct{}
}

func (c *core) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	p := &replica.Pull{}
	if r.URL.Path != replica.PullPath || easyjson.Unmarshal(data, p) != nil {
		http.Error(w, "what?", http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	c.front, c.ended = p.Front, c.ended || p.Ended
	since, knows := p.Vector[c.feed.Source]
	if knows && since == c.feed.Seq() && p.WaitMs > 0 {
		more := c.more
		c.mu.Unlock()
		select {
		case <-more:
		case <-r.Context().Done():
			return
		case <-time.After(50 * time.Millisecond):
		}
		c.mu.Lock()
	}
	n := &replica.News{Source: c.feed.Source, Seq: c.feed.Seq(), Items: c.feed.Since(since, nil), Whole: since == 0, Sound: c.sound, Agents: 1, Here: 1}
	c.mu.Unlock()
	b, _ := easyjson.Marshal(n)
	w.Write(b)
}

func (c *core) tell(items ...lore.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, it := range items {
		c.feed.Merge(it)
	}
	close(c.more)
	c.more = make(chan struct{})
}

func reg(key string, version uint64, body string) lore.Item {
	b, _ := easyjson.Marshal(quorum.Entry{Key: key, Accepted: quorum.Ballot{N: 1}, Value: quorum.Value{Version: version, Body: body}, Chosen: true})
	return lore.Item{Key: lore.RegKey + key, Version: version, Body: string(b)}
}

func app(id, address string) lore.Item {
	a := lore.App{Service: "s", Address: address, Zone: "a1", Build: "v1", Capacity: 3, Phase: lore.Ready}
	return a.WithPhase(id, lore.Ready, 2)
}

// freed numbers the addresses that free has given.
var freed atomic.Uint32

// free gives an address at which nobody listens. Each has a host of the loopback network to itself, so that no other test
// takes its port before it is listened at.
func free(t testing.TB) string {
	n := freed.Add(1)
	l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%250, n>>8&255, n&255))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// until waits for something to become so.
func until(t testing.TB, what string, so func() bool) {
	t.Helper()
	tick, end := time.NewTicker(2*time.Millisecond), time.After(10*time.Second)
	defer tick.Stop()
	for !so() {
		select {
		case <-tick.C:
		case <-end:
			t.Fatalf("never: %s", what)
		}
	}
}

// set is a relay with a core and its addresses.
type set struct {
	*Relay
	core  *core
	front string
	stop  context.CancelFunc
	ended chan struct{}
}

func run(t testing.TB, items ...lore.Item) *set { return runWith(t, 0, items...) }

// runWith has a leave to send that runs out soon.
func runWith(t testing.TB, empty time.Duration, items ...lore.Item) *set {
	return runBounded(t, boot.Bounds{Leeway: 600 * time.Millisecond, Empty: empty}, items...)
}

// runBounded has a leeway and a leave to send as the bounds say.
func runBounded(t testing.TB, bounds boot.Bounds, items ...lore.Item) *set {
	c := &core{feed: lore.NewFeed("core@1", "core.1"), sound: true, more: make(chan struct{})}
	srv := httptest.NewServer(c)
	t.Cleanup(srv.Close)
	_, port, _ := net.SplitHostPort(srv.Listener.Addr().String())
	peer, _ := strconv.Atoi(port)
	c.tell(reg(plan.Key(plan.Services, "s"), 1, `{"checkPath":"/h","warmUp":"0s","warmingRateS":5}`),
		reg(plan.Key(plan.Routes, "safe"), 1, `{"host":"h","pathStart":"/s/","kind":"harmless","giveUp":"3s","target_time":"1s","service":"s","tries":3}`),
		reg(plan.Key(plan.Routes, "once"), 1, `{"host":"h","pathStart":"/o/","kind":"risky","giveUp":"3s","target_time":"1s","service":"s","tries":3}`),
		reg(plan.Key(plan.LimitsOf, ""), 1, `{"headSizeBytes":16384,"bodySizeBytes":100000,"headWait":"3s","quiet":"15s"}`))
	c.tell(items...)
	bounds.RetryShare, bounds.ExtraTries, bounds.Pulse = 0.2, 64, time.Second
	x := &set{core: c, front: free(t), ended: make(chan struct{})}
	x.Relay = New(Options{Log: zap.NewNop(), Settings: &boot.Settings{Node: "n", IP: "127.0.0.1", Zone: "a1", Region: "a", Zones: map[string]string{"a1": "a"},
		Listens: map[string]string{"front": x.front, "readyCheck": free(t)}, SparePorts: []int{peer, peer + 1}, FirstContacts: []string{"127.0.0.1:1"},
		Bounds: bounds}})
	x.sway.Count(1, 1, time.Now())
	ctx, stop := context.WithCancel(context.Background())
	x.stop = stop
	go func() { defer close(x.ended); x.Run(ctx) }()
	t.Cleanup(func() { stop(); <-x.ended })
	until(t, "the relay is ready", func() bool { return x.ready() && x.trusted.Load() })
	return x
}

// ask sends a request and reads the answer whole.
func (x *set) ask(method, path, body string) (status int, got string, head http.Header, err error) {
	req, _ := http.NewRequest(method, "http://"+x.front+path, strings.NewReader(body))
	req.Host = "h"
	req.Header.Set(tryID, "t1")
	req.Header.Set(timeLeft, "2000")
	req.Close = true
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), resp.Header, err
}

// appliance is a server that a test scripts; ran counts what reached it.
func appliance(t testing.TB, h http.HandlerFunc) (address string, ran *atomic.Int64) {
	ran = &atomic.Int64{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		h(w, r)
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String(), ran
}

func stamped(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(tryID, r.Header.Get(tryID))
	w.Header().Set(stamp, "seal")
	io.WriteString(w, "yes")
}

// raw is an appliance that writes a text for an answer and hangs up.
func raw(t *testing.T, text string) (address string, ran *atomic.Int64) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	ran = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					ran.Add(1)
					io.WriteString(c, text)
				}
			}()
		}
	}()
	return l.Addr().String(), ran
}
