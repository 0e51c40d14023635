package httpagent

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/engine"
)

const settings = `{"balancers":2,"position":0,"tick":5,"registryMode":"automatic","classes":[
	{"name":"look","semantics":"free","goalTime":300,"giveUp":750},
	{"name":"keep","semantics":"guarded","group":"all","keyTtl":2000,"goalTime":600,"giveUp":2000},
	{"name":"once","semantics":"single_shot","goalTime":600,"giveUp":2000}],
	"permissions":{"connIdle":30000,"dialTimeout":250,"maxAttempts":3,"mayCancel":true,"maxRetryAfter":500,"retryAfter":true},
	"familyInfo":{"voteWait":1000,"mostShares":[1]},"orgs":[{"name":"c"}],"telemetry":{"fields":["queue"],"source":"answers"}}`

// newTestStation is a station that names nobody but what the test sets.
func newTestStation(t *testing.T, known string) *Station {
	t.Helper()
	s := &Station{Name: "n0", Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", Settings: json.RawMessage(settings),
		Known: json.RawMessage(known)}
	s.Platform.News = json.RawMessage(`{"image":7,"ring":0,"progress":"released","ceiling":1,"lag_ms":0}`)
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	return s
}

func listBody(generation int, reset bool, addresses ...string) string {
	version := int64(generation)
	m := discoveryList{Generation: &version, Reset: reset, Instances: []discoveryInstance{}}
	for i, address := range addresses {
		m.Instances = append(m.Instances, discoveryInstance{InstanceID: fmt.Sprintf("s-%d", i), HostPort: address,
			Lifecycle: "in_service",
			Build:     7, Weight: 1})
	}
	text, _ := json.Marshal(m)
	return string(text)
}

// scriptedPolicy is a policy that answers each event by a function.
type scriptedPolicy func(event api.Event) []api.Action

func (s scriptedPolicy) Step(_ time.Duration, event api.Event) []api.Action { return s(event) }

// startAgent runs an agent's client side alone, with a policy of the test's.
func startAgent(t *testing.T, s *Station, step scriptedPolicy) (*Agent, string) {
	t.Helper()
	a := New(s)
	a.engine = engine.New(time.Now(), step, a.execute, a.log)
	ctx, stop := context.WithCancel(context.Background())
	a.lifetime = ctx
	go a.engine.Run(ctx)
	if err := a.loadInitialState(); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(a)
	server.Config = a.newServer()
	server.Start()
	t.Cleanup(func() { server.Close(); stop() })
	return a, server.URL
}

func doRequest(t *testing.T, method, url, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(text)
}

// write writes to a peer that may have gone by then, which the test sees by what follows.
func write(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// drain reads what is left of a body; a response that is cut short has been seen by its status.
func drain(body io.Reader) { _, _ = io.Copy(io.Discard, body) }

// waitForClose waits until the peer closes its connection, or the writing half of it.
func waitForClose(c net.Conn) { _, _ = c.Read(make([]byte, 1)) }

// hangUp closes a connection that the peer may have closed already.
func hangUp(c io.Closer) { c.Close() }

// closeWrite closes the writing half of a connection that the peer may have closed already.
func closeWrite(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }

// flush writes out what a handler has written; the peer may have gone by then.
func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }

// A request passes as it came, and the policy is told what it needs.
func TestTransaction(t *testing.T) {
	arrived := make(chan *http.Request, 1)
	at := startBackend(t, func(c *net.TCPConn, r *http.Request) {
		arrived <- r
		write(c, "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nServer-Load: queue=2, util=0.6\r\n"+
			"Content-Length: 3\r\n\r\n\x00\xff\n")
	})
	taken, ended := make(chan api.TransactionAccepted, 1), make(chan api.AttemptEnded, 1)
	_, url := startAgent(t, newTestStation(t, listBody(1, true, at)), func(event api.Event) []api.Action {
		switch event := event.(type) {
		case api.TransactionAccepted:
			taken <- event
			return []api.Action{api.StartAttempt{Transaction: event.ID, Backend: backendID("s-0")}}
		case api.AttemptEnded:
			ended <- event
		}
		return nil
	})
	resp, body := doRequest(t, "POST", url+"/keep/x%2Fy?q=%20", "a\x00b", "Request-Id", "r1", "Idempotency-Key", "i1",
		"Cookie", "k=key",
		"Request-Timeout", "480m", "Work-Hint", "1500", "Client-Retry", "1", "Request-Info",
		"write=1,customer=c,customer=unnamed", "X-Other", "o",
		"Expect", "100-continue")
	if resp.StatusCode != 200 || body != "\x00\xff\n" || resp.Header.Get("Content-Type") != "a/b" {
		t.Errorf("response %v %q", resp, body)
	}
	r, got := <-arrived, <-taken
	if left, err := parseTimeout(r.Header.Get("Request-Timeout")); err != nil || left > 480*time.Millisecond {
		t.Errorf("the backend gets %v, %v", left, err)
	}
	if r.RequestURI != "/keep/x%2Fy?q=%20" || r.Header.Get("Request-Id") != "r1" ||
		r.Header.Get("Idempotency-Key") != "i1" ||
		r.Header.Get("X-Other") != "o" || r.ContentLength != 3 || r.Header.Get("Expect") != "" {
		t.Errorf("arrived as %s %v", r.RequestURI, r.Header)
	}
	if left := got.Timeout; left > 480*time.Millisecond || left <= 0 {
		t.Errorf("time-out %v", left)
	}
	got.Timeout = 0
	if want := (api.TransactionAccepted{ID: "r1", Workload: "keep", Cost: 1500 * time.Microsecond, CostKnown: true,
		Key: "key", IsRetry: true,
		IsWrite: true, Customer: "c"}); got != want {
		t.Errorf("accepted %+v", got)
	}
	if e := <-ended; e.Outcome != api.Succeeded || !e.TransactionDone || e.Load["queue"] != 2 || len(e.Load) != 2 ||
		e.Elapsed <= 0 {
		t.Errorf("ended %+v", e)
	}
}

func TestFinalAnswers(t *testing.T) {
	_, url := startAgent(t, newTestStation(t, ""), func(event api.Event) []api.Action {
		switch taken, _ := event.(api.TransactionAccepted); taken.ID {
		case "later":
			return []api.Action{api.DeferTransaction{Transaction: taken.ID, RetryAfter: 250 * time.Millisecond}}
		case "now":
			return []api.Action{api.DeferTransaction{Transaction: taken.ID}}
		case "failed":
			return []api.Action{api.FailTransaction{Transaction: taken.ID}}
		case "broken":
			panic("broken")
		}
		return nil
	})
	for id, want := range map[string]string{"later": "503 0.250", "now": "503 ", "failed": "500 ", "broken": "500 ",
		"forgotten": "500 "} {
		resp, _ := doRequest(t, "GET", url+"/look", "", "Request-Id", id, "Request-Timeout", "20m")
		if got := fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("Retry-After")); got != want {
			t.Errorf("%s: %q, want %q", id, got, want)
		}
	}
}

// failOnTransaction is a policy that no transaction may reach.
func failOnTransaction(t *testing.T) scriptedPolicy {
	return func(event api.Event) []api.Action {
		if taken, ok := event.(api.TransactionAccepted); ok {
			t.Errorf("%+v reaches the policy", taken)
			return []api.Action{api.FailTransaction{Transaction: taken.ID}}
		}
		return nil
	}
}

// A request with a mistake is answered at once and never reaches the policy.
func TestBadRequests(t *testing.T) {
	_, url := startAgent(t, newTestStation(t, ""), failOnTransaction(t))
	for _, x := range []struct {
		method, path, body string
		headers            []string
		want               int
	}{
		{"GET", "/", "", []string{"Request-Id", "r"}, 404},
		{"GET", "/unknown", "", []string{"Request-Id", "r"}, 404},
		{"GET", "/look%2Fx", "", []string{"Request-Id", "r"}, 404},
		{"GET", "//look", "", []string{"Request-Id", "r"}, 404},
		{"GET", "/look", "", nil, 400},
		{"POST", "/look", "", []string{"Request-Id", "r"}, 405},
		{"GET", "/once", "", []string{"Request-Id", "r"}, 405},
		{"POST", "/keep", "", []string{"Request-Id", "r"}, 400},
		{"GET", "/look", "", []string{"Request-Id", "r", "Request-Timeout", "480"}, 400},
		{"GET", "/look", "", []string{"Request-Id", "r", "Request-Timeout", "-1m"}, 400},
		{"GET", "/look", "", []string{"Request-Id", "r", "Request-Timeout", "NaNm"}, 400},
		{"GET", "/look", "", []string{"Request-Id", "r", "Work-Hint", "much"}, 400},
		{"GET", "/look", "", []string{"Request-Id", "r", "Work-Hint", "NaN"}, 400},
		{"GET", "/look", "", []string{"Request-Id", "r", "Work-Hint", "-1"}, 400},
		{"GET", "/look", "", []string{"Request-Id", "r", "Work-Hint", "1e300"}, 400},
		{"GET", "/look", "", []string{"Request-Id", "r", "Request-Timeout", "48mm"}, 400},
		{"GET", "/look", "body", []string{"Request-Id", "r"}, 400},
	} {
		if resp, _ := doRequest(t, x.method, url+x.path, x.body, x.headers...); resp.StatusCode != x.want {
			t.Errorf("%s %s %v: %d, want %d", x.method, x.path, x.headers, resp.StatusCode, x.want)
		}
	}
}

// A request that cannot be read, or does not end where it says, gets an error or a close, and nothing that is behind or
// inside it is taken for a request.
func TestUnreadableRequests(t *testing.T) {
	a, url := startAgent(t, newTestStation(t, ""), failOnTransaction(t))
	a.bodyBytes.Store(a.maxBodyBytes - 1000) // others have nearly all that bodies may take
	const head = "POST /once HTTP/1.1\r\nHost: x\r\nRequest-Id: r\r\n"
	const hidden = "GET /look HTTP/1.1\r\nHost: x\r\nRequest-Id: hidden\r\n\r\n"
	for _, text := range []string{
		head + "Content-Length: 63\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"POST /_health HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		strings.Replace(head, "1.1", "1.0", 1) + "Content-Length: 58\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden,
		head + "Content-Length: -1\r\n\r\n" + hidden,
		head + "Content-Length: 1\r\nContent-Length: 9\r\n\r\n" + hidden,
		head + "Content-Length: 60000000\r\n\r\n" + hidden,
		head + "Content-Length: 65537\r\n\r\n" + hidden,
		head + "Content-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000), // there is no room for it now
		head + "Content-Length: 9999999999999999999999\r\n\r\n" + hidden,
		head + "Request-Id: other\r\n\r\n",
		head + "X: " + strings.Repeat("x", 3*maxHeaderSize),
		"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n",
		"\x00\x01 noise\r\n\r\n" + hidden,
		head + "Content-Length: 9\r\n\r\nhalf",
		"GET /lo",
		"",
	} {
		c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		write(c, text)
		if len(text) < 200 && !strings.Contains(text, hidden) {
			closeWrite(c)
		}
		in := bufio.NewReader(c)
		for more := false; ; more = true {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				break // closed
			}
			if drain(resp.Body); resp.StatusCode < 400 || more {
				t.Errorf("%.80q is answered with %s, not the first: %v", text, resp.Status, more)
			}
		}
		c.Close()
	}
	for end := time.Now().Add(5 * time.Second); a.bodyBytes.Load() != a.maxBodyBytes-1000; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes of bodies, want what others have", a.bodyBytes.Load())
		}
	}
	if a.badRequestLog.lastLine.IsZero() || a.badRequestLog.suppressed == 0 {
		t.Error("what came was not logged, or all of it was")
	}
}

// A client that says nothing, or only half of its request, is closed.
func TestServerBounds(t *testing.T) {
	s := New(newTestStation(t, "")).newServer()
	var bad requestError
	if long := (&http.Request{ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: maxBodySize + 1}); !errors.As(checkFraming(long), &bad) || bad.status != 413 {
		t.Errorf("a length above what is read: %+v", bad)
	}
	if s.ReadTimeout != 0 || s.ReadHeaderTimeout+bodyReadTimeout >= 3*time.Second || s.ReadHeaderTimeout == 0 ||
		s.IdleTimeout == 0 ||
		s.WriteTimeout < 2*time.Second {
		t.Errorf("%+v", s)
	}
}

// A client that leaves ends its transaction, and its attempts are canceled.
func TestClientLeaves(t *testing.T) {
	out, ended := make(chan bool, 1), make(chan api.AttemptEnded, 1)
	at := startBackend(t, func(c *net.TCPConn, r *http.Request) {
		out <- true
		waitForClose(c)
		hangUp(c)
	})
	_, url := startAgent(t, newTestStation(t, listBody(1, true, at)), func(event api.Event) []api.Action {
		switch event := event.(type) {
		case api.TransactionAccepted:
			return []api.Action{api.StartAttempt{Transaction: event.ID, Backend: backendID("s-0")}}
		case api.TransactionClosed:
			return []api.Action{api.CancelAttempt{Transaction: event.Transaction}}
		case api.AttemptEnded:
			ended <- event
		}
		return nil
	})
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	write(c, "GET /look HTTP/1.1\r\nHost: x\r\nRequest-Id: r\r\nRequest-Timeout: 700m\r\n\r\n")
	<-out
	c.Close()
	if e := <-ended; e.Outcome != api.Canceled || !e.TransactionDone {
		t.Errorf("ended %+v", e)
	}
}

// The whole agent, with the real policy: it follows a watch over a broken line, serves, and stops with its context.
func TestServeAndShutdown(t *testing.T) {
	let, out := make(chan bool), make(chan bool)
	at := startBackend(t, func(c *net.TCPConn, r *http.Request) {
		if r.Method == "POST" {
			out <- true
			<-let
		}
		write(c, fine)
	})
	asked := make(chan string, 8)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RawQuery
		if r.URL.Query().Get("from") == "3" {
			fmt.Fprintf(w, "\n%s\n{broken\n", listBody(4, true, at))
			return
		}
		flush(w)
		<-r.Context().Done()
	}))
	defer discovery.Close()
	s := newTestStation(t, listBody(3, true))
	s.Discovery = discovery.Listener.Addr().String()
	free, _ := net.Listen("tcp", "127.0.0.1:0")
	s.Listen = free.Addr().String()
	free.Close()
	ctx, stop := context.WithCancel(context.Background())
	left := make(chan error, 1)
	go func() { left <- New(s).Run(ctx) }()
	if first, second := <-asked, <-asked; first != "watch=1&from=3" || second != "watch=1&from=4" {
		t.Errorf("asked for %q, then %q", first, second)
	}
	if resp, _ := doRequest(t, "GET", "http://"+s.Listen+"/_health", ""); resp.StatusCode != 200 {
		t.Errorf("health %d", resp.StatusCode)
	}
	if resp, body := doRequest(t, "GET", "http://"+s.Listen+"/look", "", "Request-Id", "r1", "Request-Timeout",
		"700m"); body != "ok" || resp.Close {
		t.Errorf("response %v %q", resp, body)
	}
	open := make(chan string, 1)
	go func() {
		defer close(open)
		_, body := doRequest(t, "POST", "http://"+s.Listen+"/once", "x", "Request-Id", "r3", "Request-Timeout", "2000m")
		open <- body
	}()
	<-out
	stop()
	for closing := false; !closing; { // soon every response closes its connection, while clients are still answered
		resp, body := doRequest(t, "GET", "http://"+s.Listen+"/look", "", "Request-Id", "r2", "Request-Timeout", "700m")
		if closing = resp.Close; body != "ok" {
			t.Fatalf("response while stopping: %v %q", resp, body)
		}
	}
	for { // then no new client is accepted, and what is open is still answered
		c, err := net.Dial("tcp", s.Listen)
		if err != nil {
			break
		}
		c.Close()
	}
	close(let)
	if body := <-open; body != "ok" {
		t.Errorf("the open transaction gets %q", body)
	}
	if err := <-left; err != nil {
		t.Error(err)
	}
}

func TestVotes(t *testing.T) {
	var status int
	var answer string
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if text, _ := io.ReadAll(r.Body); r.URL.Path != "/api/opinions" ||
			string(text) != `{"image":42,"opinion":"back","ring":1}` {
			t.Errorf("%s %s", r.URL.Path, text)
		}
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
		write(w, answer)
	}))
	defer platform.Close()
	s := newTestStation(t, "")
	s.Platform.Address = platform.Listener.Addr().String()
	a := New(s)
	const state = `{"image":42,"ring":1,"progress":"trial","ceiling":0.28,"lag_ms":310}`
	for _, x := range []struct {
		status int
		answer string
		want   api.VoteResult
	}{{200, state, api.VoteCounted}, {200, "{", api.VoteUnanswered}, {429, `{"error":"too_many_calls"}`,
		api.VoteRateLimited},
		{409, `{"error":"out_of_date"}`, api.VoteStale}, {500, `{"error":"unavailable"}`, api.VoteFailed}, {400,
			`{"error":"bad_request"}`, api.VoteFailed},
		{409, `{"error":"unavailable"}`, api.VoteUnanswered}, {409, `{"error":"out_of_`, api.VoteUnanswered}, {500, "noise",
			api.VoteUnanswered},
		{200, `{"image":42,"ring":1,"progress":"trial"}`, api.VoteUnanswered}, {0, "", api.VoteUnanswered}} {
		status, answer = x.status, x.answer
		if got, _ := a.postVote(context.Background(), api.CastVote{Build: 42, Stage: 1,
			Verdict: api.VerdictRollBack}); got.Result != x.want {
			t.Errorf("%d %s: %+v", x.status, x.answer, got)
		}
	}
	platform.Close()
	if got, _ := a.postVote(context.Background(), api.CastVote{}); got.Result != api.VoteFailed {
		t.Errorf("refused: %+v", got)
	}
}

// openedStream is one watch or stream that a test's server has been asked for: it writes what the test sends.
type openedStream struct {
	at, path string
	write    chan string
	gone     <-chan struct{}
}

// startControlServer is a server that hands each request for a watch or stream to the test.
func startControlServer(t *testing.T, name string, streams chan<- openedStream) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == "POST" {
			streams <- openedStream{at: name, path: r.URL.Path}
			return
		}
		x := openedStream{name, r.URL.String(), make(chan string), r.Context().Done()}
		flush(w)
		streams <- x
		for {
			select {
			case line := <-x.write:
				write(w, line+"\n")
				flush(w)
			case <-x.gone:
				return
			}
		}
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String()
}

// After a reload the watch and the stream are opened at the new addresses while the old ones still work. The old ones
// are closed once the new ones have received something, votes go to the new platform, and no old state replaces a newer
// one.
func TestReload(t *testing.T) {
	streams := make(chan openedStream, 8)
	s := newTestStation(t, listBody(3, true))
	s.Discovery, s.Platform.Address = startControlServer(t, "discovery 1", streams), startControlServer(t, "platform 1",
		streams)
	a := New(s)
	events := make(chan api.Event, 8)
	a.engine = engine.New(time.Now(), scriptedPolicy(func(event api.Event) []api.Action { events <- event; return nil }),
		a.execute, a.log)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go a.engine.Run(ctx)
	if err := a.loadInitialState(); err != nil {
		t.Fatal(err)
	}
	<-events
	<-events // the list and the rollout known at the start
	go a.watchDiscovery(ctx)
	go a.followPlatform(ctx)
	two := func() map[string]openedStream {
		first, second := <-streams, <-streams
		return map[string]openedStream{first.at: first, second.at: second}
	}
	version := func() int64 { return (<-events).(api.BackendUpdate).Version }
	const state = `{"type":"ROLLOUT","object":{"image":42,"ring":%d,"progress":"trial","ceiling":0.28,"lag_ms":310}}`
	old := two()
	old["discovery 1"].write <- listBody(4, false)
	if v := version(); v != 4 {
		t.Errorf("version %d, want 4", v)
	}
	next := newTestStation(t, "")
	next.Discovery, next.Platform.Address = startControlServer(t, "discovery 2", streams), startControlServer(t,
		"platform 2", streams)
	a.Reload(next)
	moved := two()
	if moved["discovery 2"].path != "/catalog/members?watch=1&from=4" || moved["platform 2"].path != "/api/stream" {
		t.Fatalf("after the reload: %v", moved)
	}
	old["discovery 1"].write <- listBody(5, false) // the old ones still work
	if v := version(); v != 5 {
		t.Errorf("version %d, want 5", v)
	}
	old["platform 1"].write <- fmt.Sprintf(state, 1)
	if news := (<-events).(api.RolloutUpdate); news.Stage != 1 {
		t.Errorf("update %+v", news)
	}
	moved["discovery 2"].write <- listBody(4, true, "127.0.0.1:9") // older than the present one
	moved["discovery 2"].write <- listBody(6, false)
	if v := version(); v != 6 {
		t.Errorf("version %d, want 6", v)
	}
	moved["platform 2"].write <- fmt.Sprintf(state, 2)
	if news := (<-events).(api.RolloutUpdate); news.Stage != 2 {
		t.Errorf("update %+v", news)
	}
	<-old["discovery 1"].gone
	<-old["platform 1"].gone
	_, _ = a.postVote(ctx, api.CastVote{Build: 42}) // only where it goes matters
	if vote := <-streams; vote.at != "platform 2" {
		t.Errorf("the vote goes to %s", vote.at)
	}
	moved["platform 2"].write <- `{"type":"ROLL`
	if again := <-streams; again.at != "platform 2" {
		t.Errorf("after a line that cannot be read: %v", again)
	}
}

func TestPeers(t *testing.T) {
	open := func(others ...string) *peerSocket {
		p, err := openPeerSocket(&Station{PeerAt: "127.0.0.1:0", Peers: others}, slog.Default())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.close)
		return p
	}
	one, three := open(), open()
	two := open(one.socket.LocalAddr().String(), three.socket.LocalAddr().String())
	three.numbers[two.socket.LocalAddr().(*net.UDPAddr).AddrPort()] = 4
	heard := make(chan api.Event, 4)
	go one.receiveLoop(func(e api.Event) { heard <- e })
	go three.receiveLoop(func(e api.Event) { heard <- e })
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go two.sendLoop(ctx)
	two.enqueue(api.SendMessage{To: 5, Data: []byte("nobody")})
	two.enqueue(api.SendMessage{To: 0, Data: []byte("from a stranger")})
	two.enqueue(api.SendMessage{To: 1, Data: make([]byte, maxMessageSize+1)})
	two.enqueue(api.SendMessage{To: 1, Data: []byte("hi")})
	if got := (<-heard).(api.MessageReceived); got.From != 4 || !bytes.Equal(got.Data, []byte("hi")) {
		t.Errorf("received %+v", got)
	}
}

func TestStations(t *testing.T) {
	good := `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964","known":null,
		"settings":{"classes":[{"name":"c"}],"strange":1},"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"more":[]}`
	for change, want := range map[string]string{
		"": "", `"listen":"127.0.0.1:1"=>"listen":"x"`: "listen is no address", `"8c1=>"zz`: "seed", `{"name"=>{{`: "invalid",
		`[{"name":"c"}]=>[]`: "no workload", `"known":null=>"known":{"generation":1,"instances":[{}]}`: "known:",
		`"settings"=>"settling"`: "settings are missing", `"cores":1.0=>"cores":-1`: "limits",
	} {
		from, to, _ := strings.Cut(change, "=>")
		file := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(file, []byte(strings.Replace(good, from, to, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := ReadStation(file)
		if want == "" && (err != nil || uint64(s.Seed) != 0x8c1f30d27a5be964 || s.Limits.Sockets != 1024) {
			t.Errorf("%v, %+v", err, s)
		} else if want != "" && (err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%s: %v, want %q", change, err, want)
		}
	}
}

// A new connection closes the one that has been without a transaction for longest, whether that has sent anything or
// not. One with a transaction stays, and if all have one, the new one is closed.
func TestClientConnLimits(t *testing.T) {
	d := clientConns{softLimit: 2, hardLimit: 3}
	var ends, far [6]net.Conn
	for i := range ends {
		ends[i], far[i] = net.Pipe()
	}
	hold := func(c net.Conn) {
		r, _ := http.NewRequestWithContext(d.connContext(context.Background(), c), "GET", "/", nil)
		d.connStateChanged(c, http.StateActive)
		d.claim(r)
	}
	closed := func(i int) {
		t.Helper()
		if _, err := far[i].Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("connection %d: %v", i, err)
		}
	}
	for i := range 3 {
		d.connStateChanged(ends[i], http.StateNew)
	}
	hold(ends[0])
	d.connStateChanged(ends[1], http.StateActive)
	d.connStateChanged(ends[1], http.StateIdle)
	if len(d.conns) != 3 {
		t.Fatalf("of three that have just come %d are left", len(d.conns))
	}
	d.conns[ends[2]].since = time.Now().Add(-minIdleAge) // longer than the other is idle
	d.connStateChanged(ends[3], http.StateNew)
	closed(2)
	hold(ends[3])
	d.connStateChanged(ends[4], http.StateNew)
	closed(1)
	hold(ends[4])
	d.connStateChanged(ends[5], http.StateNew)
	closed(5)
	if len(d.conns) != 3 || d.conns[ends[0]] == nil || d.conns[ends[3]] == nil || d.conns[ends[4]] == nil {
		t.Errorf("open: %v", d.conns)
	}
	for c := range d.conns { // after a burst all idle ones are closed
		*d.conns[c] = clientConnState{since: time.Now().Add(-minIdleAge)}
	}
	extra, far5 := net.Pipe()
	defer far5.Close()
	if d.connStateChanged(extra, http.StateNew); len(d.conns) != d.softLimit {
		t.Errorf("%d are left after a burst, want %d", len(d.conns), d.softLimit)
	}
	d.connStateChanged(extra, http.StateClosed)
	d.connStateChanged(ends[2], http.StateIdle) // a late event of one that is closed
	if len(d.conns) != 1 {
		t.Errorf("still open: %v", d.conns)
	}
}

// A request that was read from a connection that was closed meanwhile, for a new one or when the server shuts down, is
// not accepted: its client asks again under the same id, and both would be forwarded. A connection with a transaction
// is not closed for a new one.
func TestConnectionClosedWhileReading(t *testing.T) {
	d := clientConns{softLimit: 1, hardLimit: 1}
	request := func(c net.Conn) *http.Request {
		r, _ := http.NewRequestWithContext(d.connContext(context.Background(), c), "GET", "/", nil)
		return r
	}
	var ends [4]*closeTrackingConn
	for i := range ends {
		c, far := net.Pipe()
		defer far.Close()
		ends[i] = &closeTrackingConn{Conn: c}
	}
	d.connStateChanged(ends[0], http.StateNew)
	d.conns[ends[0]].since = time.Now().Add(-minIdleAge)
	d.connStateChanged(ends[1], http.StateNew) // replaces the first, whose request has been read by now
	if d.claim(request(ends[0])) || !d.claim(request(ends[1])) {
		t.Error("closed for a new one, and claimed")
	}
	if d.connStateChanged(ends[2], http.StateNew); ends[1].closed.Load() || !ends[2].closed.Load() ||
		d.claim(request(ends[2])) {
		t.Error("one with a transaction was closed")
	}
	d.connStateChanged(ends[1], http.StateClosed)
	d.connStateChanged(ends[3], http.StateNew)
	d.connStateChanged(ends[3], http.StateActive)
	d.connStateChanged(ends[3], http.StateIdle)
	hangUp(ends[3]) // as the server does when it shuts down
	if d.claim(request(ends[3])) {
		t.Error("closed by the server, and claimed")
	}
	if !d.claim(httptest.NewRequest("GET", "/", nil)) {
		t.Error("a server that does not track connections claims nothing")
	}
	// In the handler: nothing reaches the policy, and nothing is answered.
	a, _ := startAgent(t, newTestStation(t, listBody(1, true, "127.0.0.1:9")), func(event api.Event) []api.Action {
		if _, ok := event.(api.TransactionAccepted); ok {
			t.Error("the policy was handed the transaction")
		}
		return nil
	})
	r := httptest.NewRequest("GET", "/look/x", nil).WithContext(a.clientConns.connContext(context.Background(), ends[0]))
	r.Header.Set("Request-Id", "x")
	defer func() {
		if p := recover(); p != http.ErrAbortHandler {
			t.Errorf("ended by %v", p)
		}
	}()
	a.ServeHTTP(httptest.NewRecorder(), r)
}

// Nothing is left of clients, bodies, backends and their connections that have gone, however many there were.
func TestNoGoroutineLeak(t *testing.T) {
	at := startBackend(t, func(c *net.TCPConn, r *http.Request) { write(c, fine) })
	id := backendID("s-0")
	a, url := startAgent(t, newTestStation(t, listBody(1, true, at)), func(event api.Event) []api.Action {
		if taken, ok := event.(api.TransactionAccepted); ok {
			return []api.Action{api.StartAttempt{Transaction: taken.ID, Backend: id}}
		}
		return nil
	})
	var first *backendClient
	for i := range 40 {
		l, err := parseBackendList([]byte(listBody(i+2, true, at)), a.engine.StartTime())
		if err != nil {
			t.Fatal(err)
		}
		l.update.Backends[0].Build = api.Build(i)
		a.applyList(l)
		if i == 0 {
			first = a.backends.get(id)
		}
		c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST /once HTTP/1.1\r\nHost: x\r\nRequest-Id: r%d\r\nContent-Length: 1\r\n\r\nx", i)
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
			t.Fatalf("%v, %v", resp, err)
		}
		c.Close()
	}
	if first == a.backends.get(id) || len(a.backends.byID) != 1 {
		t.Errorf("%d backend clients", len(a.backends.byID))
	}
	left := func() string {
		a.clientConns.mu.Lock()
		defer a.clientConns.mu.Unlock()
		return fmt.Sprintf("%d clients, %d bytes, %d open, %d connections", len(a.clientConns.conns), a.bodyBytes.Load(),
			a.openTransactions.Load(), a.backends.openConns.Load())
	}
	const nothing = "0 clients, 0 bytes, 0 open, 1 connections"
	for end := time.Now().Add(5 * time.Second); left() != nothing; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(left())
		}
	}
}
