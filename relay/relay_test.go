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
	"sagelever/sway"
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

// A request reaches the appliance that it is meant for with method, path, query and body as they came.
func TestUnchanged(t *testing.T) {
	var got atomic.Value
	address, _ := appliance(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		left, _ := strconv.Atoi(r.Header.Get(timeLeft))
		got.Store(fmt.Sprintf("%s %s %s %q %v", r.Method, r.RequestURI, r.Header.Get(meant), b, left > 0 && left <= 2000))
		stamped(w, r)
	})
	x := run(t, app("i1", address))
	for _, path := range []string{"/o/1", "/o/a%2Fb//c/../d?x=1&x=2;y", "/o/?"} {
		status, body, _, err := x.ask("DELETE", path, "some body")
		if want := fmt.Sprintf("DELETE %s i1 %q true", path, "some body"); err != nil || status != 200 || body != "yes" || got.Load() != want {
			t.Errorf("%d %q %v, at the appliance %v, want %v", status, body, err, got.Load(), want)
		}
	}
}

// What the first appliance makes of a request, whether the second may have it, and what the client gets.
func TestVerdicts(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nX-Sagelever-Try-Id: t1\r\n"
	for _, x := range []struct {
		what, text   string
		risky, plain int // the client's status on a risky and on a harmless route
	}{
		{"turned away", "HTTP/1.1 503 Service Unavailable\r\nX-Sagelever-Try-Id: t1\r\nX-Sagelever-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", 200, 200},
		{"another has its address", "HTTP/1.1 421 Misdirected Request\r\nX-Sagelever-Try-Id: t1\r\nContent-Length: 0\r\n\r\n", 200, 200},
		{"turned away, by an answer to nobody", "HTTP/1.1 503 Service Unavailable\r\nX-Sagelever-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", 502, 200},
		{"another has its address, by an answer to nobody", "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", 502, 200},
		{"turned away, without a word that it did not run", "HTTP/1.1 503 Service Unavailable\r\nX-Sagelever-Try-Id: t1\r\nContent-Length: 0\r\n\r\n", 502, 200},
		{"no end to its answer", ok + "X-Sagelever-Server-Seal: s\r\n\r\nfine", 502, 200},
		{"it hangs up", "", 502, 200},
		{"its answer is cut short", ok + "X-Sagelever-Server-Seal: s\r\nContent-Length: 9\r\n\r\nhalf", 502, 200},
		{"no stamp", ok + "Content-Length: 4\r\n\r\nfine", 502, 200},
		{"noise", "what is this\r\n\r\n", 502, 200},
		{"it fails", "HTTP/1.1 500 Oh\r\nX-Sagelever-Try-Id: t1\r\nContent-Length: 0\r\n\r\n", 500, 200},
	} {
		for path, want := range map[string]int{"/o/1": x.risky, "/s/1": x.plain} {
			t.Run(x.what+path, func(t *testing.T) {
				t.Parallel()
				first, ran := raw(t, x.text)
				second, again := appliance(t, stamped)
				s := run(t, app("i1", first))
				s.mu.Lock()
				for range 60 { // requests before this one have earned further tries
					s.sway.Take(request(s), time.Now())
				}
				s.mu.Unlock()
				s.core.tell(lore.Item{Key: app("i2", second).Key, Version: 2, Body: strings.Replace(app("i2", second).Body, `"a1"`, `"a2"`, 1)})
				until(t, "both are known", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.sway.App("i2") != nil })
				status, _, head, err := s.ask("POST", path, "x")
				if err != nil || status != want || ran.Load() != 1 || (again.Load() == 1) != (want == 200) {
					t.Errorf("%d %v, want %d; the first ran it %d times, the second %d", status, err, want, ran.Load(), again.Load())
				}
				if status == 503 && head.Get("Retry-After") == "" {
					t.Error("refused without a time to return")
				}
			})
		}
	}
}

func request(s *set) *sway.Request {
	return &sway.Request{Way: s.table.Load().Find("h", "/s/1"), Arrived: time.Now(), Deadline: time.Now().Add(time.Second)}
}

// Without a place a request is refused early, with a time to return; without a route it is denied; too long a body too.
func TestRefusals(t *testing.T) {
	x := run(t)
	began := time.Now()
	status, _, head, err := x.ask("POST", "/o/1", "x")
	if err != nil || status != 503 || head.Get("Retry-After") == "" || time.Since(began) > 600*time.Millisecond {
		t.Errorf("%d %v %v after %v", status, head, err, time.Since(began))
	}
	if status, _, _, _ := x.ask("GET", "/none/", ""); status != 404 {
		t.Errorf("no route: %d", status)
	}
	status = 0
	for try := 0; status == 0 && try < 20; try++ { // a client that is still writing may lose the answer to the reset behind it
		status, _, _, _ = x.ask("POST", "/s/1", strings.Repeat("x", 100001))
	}
	if status != 413 {
		t.Errorf("too long: %d", status)
	}
}

// Within a life no item goes back, by whatever way an older one comes.
func TestNothingGoesBack(t *testing.T) {
	address, _ := appliance(t, stamped)
	x := run(t, app("i1", address))
	key := plan.Key(plan.Routes, "more")
	route := `{"host":"h","pathStart":"/m/","kind":"harmless","giveUp":"3s","service":"s"}`
	x.core.tell(reg(key, 8, route))
	until(t, "the route is there", func() bool { return x.table.Load().Find("h", "/m/1") != nil })
	x.news.take("elsewhere", &replica.Pull{}, &replica.News{Source: "elsewhere", Seq: 1, Sound: true, Whole: true, Items: []lore.Item{reg(key, 7, strings.Replace(route, "/m/", "/l/", 1))}}, time.Now(), time.Now())
	if x.table.Load().Find("h", "/m/1") == nil || x.table.Load().Find("h", "/l/1") != nil {
		t.Error("it went back to an older version")
	}
}

// On SIGTERM the relay is out of look-ups at once, finishes what it has, and gives its lease back.
func TestLeaving(t *testing.T) {
	at, leave := make(chan struct{}), make(chan struct{})
	address, _ := appliance(t, func(w http.ResponseWriter, r *http.Request) {
		close(at)
		<-leave
		stamped(w, r)
	})
	x := run(t, app("i1", address))
	until(t, "clients are sent here", func() bool { x.core.mu.Lock(); defer x.core.mu.Unlock(); return x.core.front == x.front })
	type result struct {
		status int
		err    error
	}
	got := make(chan result, 1)
	go func() {
		status, _, _, err := x.ask("POST", "/o/1", "x")
		got <- result{status, err}
	}()
	<-at
	x.stop()
	until(t, "clients are sent elsewhere", func() bool { x.core.mu.Lock(); defer x.core.mu.Unlock(); return x.core.front == "" })
	if x.ready() {
		t.Error("still ready")
	}
	close(leave)
	if r := <-got; r.err != nil || r.status != 200 {
		t.Errorf("what was under way: %d %v", r.status, r.err)
	}
	<-x.ended
	x.core.mu.Lock()
	defer x.core.mu.Unlock()
	if !x.core.ended {
		t.Error("the lease was not given back")
	}
}

// BenchmarkRequest is the whole path of a request on loopback: client, relay, appliance and back; the client's and the
// appliance's part are in it.
func BenchmarkRequest(b *testing.B) {
	address, _ := appliance(b, stamped)
	x := run(b, app("i1", address))
	client := &http.Client{Transport: &http.Transport{}}
	b.ReportAllocs()
	for b.Loop() {
		req, _ := http.NewRequest("POST", "http://"+x.front+"/o/1", strings.NewReader("x"))
		req.Host = "h"
		req.Header.Set(tryID, "t1")
		req.Header.Set(timeLeft, "2000")
		resp, err := client.Do(req)
		if err != nil || resp.StatusCode != 200 {
			b.Fatal(resp, err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

func emptying(id, address string) lore.Item {
	a := lore.App{Service: "s", Address: address, Zone: "a1", Build: "v1", Capacity: 3, Phase: lore.Emptying}
	return a.WithPhase(id, lore.Emptying, 4)
}

func (x *set) state(id string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if a := x.sway.App(id); a != nil {
		return a.Stand.State().String()
	}
	return "unknown"
}

// An appliance begins to leave while the connection to it is still coming up: nothing is written there, and the request
// goes to the next at once, a risky one too.
func TestLeavesWhileDialled(t *testing.T) {
	first, ranFirst := appliance(t, stamped)
	second, ranSecond := appliance(t, stamped)
	x := run(t, app("i1", first))
	dial, told := x.sends.DialContext, make(chan struct{})
	dialling := make(chan struct{}, 1)
	x.sends.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if address == first {
			dialling <- struct{}{}
			<-told
		}
		return c, err
	}
	got := make(chan string, 1)
	go func() {
		status, body, _, err := x.ask("POST", "/o/1", "some body")
		got <- fmt.Sprint(status, body, err)
	}()
	<-dialling
	x.core.tell(emptying("i1", first), app("i2", second))
	until(t, "it leaves", func() bool { return x.state("i1") == "leaving" && x.state("i2") == "serving" })
	close(told)
	if g := <-got; g != "200yes<nil>" || ranFirst.Load() != 0 || ranSecond.Load() != 1 {
		t.Errorf("%s, ran %d times at the one that leaves, %d at the other", g, ranFirst.Load(), ranSecond.Load())
	}
	if x.counts.withheld.Load() != 1 || x.counts.again.Load() != 0 {
		t.Error("it is not counted as withheld")
	}
	until(t, "nothing is out there", func() bool { return x.state("i1") == "left" })
}

// What runs at an appliance that leaves finishes there and its answer is given, over a kept connection too, though the core
// falls silent; a request whose body is still arriving goes elsewhere, as it is placed once it is there.
func TestFinishesWhereItRuns(t *testing.T) {
	on, release := make(chan struct{}, 1), make(chan struct{})
	first, ranFirst := appliance(t, func(w http.ResponseWriter, r *http.Request) {
		on <- struct{}{}
		<-release
		w.Header().Set("Connection", "close")
		stamped(w, r)
	})
	second, ranSecond := appliance(t, stamped)
	x := run(t, app("i1", first))
	free := sync.OnceFunc(func() { close(release) })
	t.Cleanup(free)
	got := make(chan string, 2)
	go func() {
		status, body, _, err := x.ask("POST", "/o/1", "it runs there")
		got <- fmt.Sprint(status, body, err)
	}()
	<-on
	in, out := io.Pipe()
	begun := x.counts.taken.Load()
	go func() {
		req, _ := http.NewRequest("POST", "http://"+x.front+"/o/2", in)
		req.Host = "h"
		req.Header.Set(tryID, "t2")
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			got <- err.Error()
			return
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		got <- fmt.Sprint(resp.StatusCode, string(b), err)
	}()
	io.WriteString(out, "half of ")
	until(t, "its head is there", func() bool { return x.counts.taken.Load() > begun })
	x.core.tell(emptying("i1", first), app("i2", second))
	until(t, "it leaves", func() bool { return x.state("i1") == "leaving" && x.state("i2") == "serving" })
	io.WriteString(out, "a body")
	out.Close()
	if g := <-got; g != "200yes<nil>" || ranSecond.Load() != 1 {
		t.Errorf("the body that was arriving: %s, ran %d times at the one that serves", g, ranSecond.Load())
	}
	x.core.mu.Lock()
	x.core.sound = false
	x.core.mu.Unlock()
	free()
	if g := <-got; g != "200yes<nil>" || ranFirst.Load() != 1 {
		t.Errorf("what ran there: %s, ran %d times", g, ranFirst.Load())
	}
}

// A relay whose core says nothing it may rely on asks the appliance itself: one that says that it serves gets the request,
// one that does not gets nothing, and the client its final answer with a time to return.
func TestAsksItself(t *testing.T) {
	for says, want := range map[int]int{200: 200, 503: 503} {
		var asked atomic.Int64
		address, _ := appliance(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/h" {
				asked.Add(1)
				w.Header().Set(serverID, "i1")
				w.WriteHeader(says)
				return
			}
			stamped(w, r)
		})
		x := runWith(t, 200*time.Millisecond, app("i1", address))
		x.core.mu.Lock()
		x.core.sound = false
		x.core.mu.Unlock()
		until(t, "the leave has run out", func() bool {
			x.mu.Lock()
			defer x.mu.Unlock()
			return !x.sway.Open(x.sway.App("i1"), time.Now())
		})
		status, _, head, err := x.ask("POST", "/o/1", "")
		if err != nil || status != want || asked.Load() == 0 || want == 503 && head.Get("Retry-After") == "" {
			t.Errorf("it says %d: %d %v, asked %d times, %v", says, status, err, asked.Load(), head)
		}
	}
}

// A late answer to a request that had a connection before a probe is not the appliance's word on itself, be it good or bad.
func TestProbePassesOverLateAnswers(t *testing.T) {
	for _, status := range []int{200, 503} {
		late := fmt.Sprintf("HTTP/1.1 %d Late\r\nX-Sagelever-Try-Id: t0\r\nX-Sagelever-Server-Id: i1\r\nContent-Length: 0\r\n\r\n", status)
		word := fmt.Sprintf("HTTP/1.1 %d Word\r\nX-Sagelever-Server-Id: i1\r\nContent-Length: 0\r\n\r\n", 200+503-status)
		address, _ := raw(t, late+word)
		x := runWith(t, 200*time.Millisecond, app("i1", address))
		x.core.mu.Lock()
		x.core.sound = false
		x.core.mu.Unlock()
		open := func() bool { x.mu.Lock(); defer x.mu.Unlock(); return x.sway.Open(x.sway.App("i1"), time.Now()) }
		until(t, "the leave has run out", func() bool { return !open() })
		x.question(sway.Question{ID: "i1", Address: address, Path: "/h"})
		if got, want := open(), status == 503; got != want {
			t.Errorf("a late %d before its word: it may be sent to: %v", status, got)
		}
	}
}

// When an appliance leaves while requests are out there, a connection to where the next will go is opened ahead; the next
// request takes it, and one that is not used is closed.
func TestConnectionsAhead(t *testing.T) {
	on, release := make(chan struct{}, 1), make(chan struct{})
	first, _ := appliance(t, func(w http.ResponseWriter, r *http.Request) {
		on <- struct{}{}
		<-release
		stamped(w, r)
	})
	second, _ := appliance(t, stamped)
	x := run(t, app("i1", first))
	free := sync.OnceFunc(func() { close(release) })
	t.Cleanup(free)
	done := make(chan struct{})
	go func() { defer close(done); x.ask("POST", "/o/1", "") }()
	<-on
	x.core.tell(app("i2", second))
	until(t, "the other is known", func() bool { return x.state("i2") == "serving" })
	dials := x.counts.dials.Load()
	x.core.tell(emptying("i1", first))
	held := func() int {
		x.links.mu.Lock()
		defer x.links.mu.Unlock()
		return len(x.links.ready)
	}
	until(t, "a connection is there", func() bool { return held() == 1 })
	if status, _, _, err := x.ask("POST", "/o/2", ""); status != 200 || err != nil || x.counts.dials.Load() != dials+1 || held() != 0 {
		t.Errorf("%d %v, %d connections for it, %d left", status, err, x.counts.dials.Load()-dials, held())
	}
	free()
	<-done
	third, _ := appliance(t, stamped)
	x.links.ahead([]sway.Ahead{{Address: first}, {Address: third}}) // to the first one a connection rests already
	until(t, "one that nobody uses is there", func() bool { return held() == 1 })
	x.links.sweep(time.Now().Add(2 * soon))
	until(t, "and closed", func() bool {
		x.links.mu.Lock()
		defer x.links.mu.Unlock()
		return len(x.links.ready) == 0 && x.links.open[third] == 0
	})
}

// News of an appliance comes in while requests go there: where each goes stays as it was when it was placed (a race that
// only the detector sees; CI runs this package with it).
func TestNewsWhileSending(t *testing.T) {
	address, ran := appliance(t, stamped)
	x := run(t, app("i1", address))
	stop := make(chan struct{})
	told := make(chan struct{})
	go func() {
		defer close(told)
		for version := uint64(4); ; version += 2 {
			select {
			case <-stop:
				return
			default:
			}
			a := lore.App{Service: "s", Address: address, Zone: "a1", Build: "v1", Capacity: 3 + int(version%2), Phase: lore.Ready}
			x.core.tell(a.WithPhase("i1", lore.Ready, version))
		}
	}()
	var asking sync.WaitGroup
	for range 4 {
		asking.Add(1)
		go func() {
			defer asking.Done()
			for range 60 {
				if status, _, _, err := x.ask("GET", "/s/1", ""); err != nil || status != 200 {
					t.Errorf("%d %v", status, err)
				}
			}
		}()
	}
	asking.Wait()
	close(stop)
	<-told
	if ran.Load() < 240 {
		t.Errorf("ran %d", ran.Load())
	}
}
