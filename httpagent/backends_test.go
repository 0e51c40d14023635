package httpagent

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/transaction"
	"sagelever/internal/upstream"
)

// startBackend accepts connections and gives each request, with its connection, to serve.
func startBackend(t *testing.T, serve func(c *net.TCPConn, r *http.Request)) string {
	t.Helper()
	at, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { at.Close() })
	go func() {
		for {
			c, err := at.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for in := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					drain(r.Body)
					serve(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return at.Addr().String()
}

func clientFor(address string) *backendClient {
	ls := newBackendClients(time.Second, time.Minute, 8, 32<<20)
	return &backendClient{address: address, transport: ls.newTransport(), pool: ls}
}

func newBackendRequest(l *backendClient, method string) *http.Request {
	r := &http.Request{Method: method, Host: "backend.local", Header: http.Header{"Idempotency-Key": {"k"}},
		URL: &url.URL{Scheme: "http", Host: l.address, Opaque: "/c?x=%2F"}}
	return r
}

const fine = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// A request that http.Transport would send again by itself arrives once.
func TestNoTransparentRetry(t *testing.T) {
	for _, x := range []struct{ method, body string }{{"GET", ""}, {"POST", ""}, {"POST", "some"}} {
		arrived := make(chan *http.Request, 8)
		l := clientFor(startBackend(t, func(c *net.TCPConn, r *http.Request) {
			arrived <- r
			if len(arrived) == 1 {
				write(c, fine)
			} else {
				hangUp(c)
			}
		}))
		got, err := l.do(context.Background(), newBackendRequest(l, x.method), []byte(x.body))
		if outcomeOf(got, err) != api.Succeeded || string(got.body) != "ok" {
			t.Fatalf("%v: %v", x, err)
		}
		if got, err = l.do(context.Background(), newBackendRequest(l, x.method), []byte(x.body)); outcomeOf(got,
			err) != api.ConnectionLost {
			t.Errorf("%v: outcome %v after %v", x, outcomeOf(got, err), err)
		}
		if len(arrived) != 2 {
			t.Errorf("%v: %d requests arrived, want 2", x, len(arrived))
		}
		if r := <-arrived; r.RequestURI != "/c?x=%2F" || len(r.TransferEncoding) > 0 || r.ContentLength > 4 {
			t.Errorf("%v: arrived as %s %v %d", x, r.RequestURI, r.TransferEncoding, r.ContentLength)
		}
	}
}

func TestOutcomes(t *testing.T) {
	for answer, want := range map[string]api.Outcome{
		fine: api.Succeeded,
		"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n":                                     api.ErrorResponse,
		"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n":                                      api.InvalidRequest,
		"HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n":                     api.Rejected,
		"HTTP/1.1 504 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n":                     api.Rejected,
		"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n":                                       api.ErrorResponse,
		"HTTP/1.1 500 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n":                     api.ErrorResponse,
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok":                                     api.MalformedResponse,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok":                       api.MalformedResponse,
		"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + strings.Repeat("x", 400000):    api.Succeeded,
		"HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n" + strings.Repeat("x", 1<<20+1):  api.MalformedResponse,
		"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 1<<20+1):                             api.MalformedResponse,
		"HTTP/1.1 200 OK\r\n\r\nok":                                                          api.Succeeded,
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok":                            api.MalformedResponse,
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 2\r\n\r\nok":               api.MalformedResponse,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nnonsense":                      api.MalformedResponse,
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: pppp\r\n", 3000):                      api.MalformedResponse,
		strings.Repeat("HTTP/1.1 103 Hints\r\nX: "+strings.Repeat("x", 60)+"\r\n\r\n", 3000): api.MalformedResponse,
		strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20) + fine:                         api.Succeeded,
		"HTTP/1.1 101 Other\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n":                    api.MalformedResponse,
		"ICY 200 OK\r\nContent-Length: 2\r\n\r\nok":                                          api.MalformedResponse,
		"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok":                                     api.MalformedResponse,
		fine + "the rest?": api.MalformedResponse, // half a response, or a whole one and noise
		fine + fine:        api.Succeeded,
		"nonsense\r\n\r\n": api.MalformedResponse,
		"":                 api.ConnectionLost,
	} {
		l := clientFor(startBackend(t, func(c *net.TCPConn, r *http.Request) {
			write(c, answer)
			hangUp(c)
		}))
		got, err := l.do(context.Background(), newBackendRequest(l, "GET"), nil)
		if got != nil {
			got.release()
		}
		if held := l.pool.responseBytes.Load(); held != 0 {
			t.Errorf("%.60q: %d bytes are still counted", answer, held)
		}
		if outcomeOf(got, err) != want {
			t.Errorf("%.60q: outcome %v after %v, want %v", answer, outcomeOf(got, err), err, want)
		}
	}
	closed, _ := net.Listen("tcp", "127.0.0.1:0")
	closed.Close()
	l := clientFor(closed.Addr().String())
	if got, err := l.do(context.Background(), newBackendRequest(l, "GET"), nil); outcomeOf(got, err) != api.Unreachable {
		t.Errorf("refused: outcome %v after %v", outcomeOf(got, err), err)
	}
	l.transport = newBackendClients(time.Second, time.Minute, 0, 32<<20).newTransport()
	if got, err := l.do(context.Background(), newBackendRequest(l, "GET"), nil); !errors.Is(err, errNoDescriptors) ||
		outcomeOf(got, err) != api.NotSent {
		t.Errorf("no descriptors: %v, %v", outcomeOf(got, err), err)
	}
}

// A response that has begun and never ends was written all the same: it is malformed, however the attempt is given up.
func TestAnswerNeverEnds(t *testing.T) {
	for _, answer := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "HTTP/1.1 200 OK\r\nX: ",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"} {
		off, giveUp := context.WithCancelCause(context.Background())
		l := clientFor(startBackend(t, func(c *net.TCPConn, r *http.Request) {
			write(c, answer)
			time.AfterFunc(200*time.Millisecond, func() { giveUp(transaction.ErrTimedOut) }) // long after it has been read
			waitForClose(c)
			time.Sleep(2 * inTransitGrace)
		}))
		if got, err := l.do(off, newBackendRequest(l, "GET"), nil); outcomeOf(got, err) != api.MalformedResponse {
			t.Errorf("%q: outcome %v after %v", answer, outcomeOf(got, err), err)
		}
	}
}

// What comes behind a response, at once or later, answers no request, and no request is lost by it: the next one goes
// out on another connection, once.
func TestTrailingBytesRejected(t *testing.T) {
	for _, x := range []struct {
		first, behind string
		more          bool // the connection may be used again
	}{
		{fine, "", true},
		{fine, fine, false},
		{strings.Replace(fine, "2\r\n\r\nok", "0\r\n\r\n", 1), fine, false},
		{fine, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", false},
		{"HTTP/1.1 103 Hints\r\n\r\n" + fine, fine + fine, false},
	} {
		var connections, requests atomic.Int32
		var before atomic.Pointer[net.TCPConn]
		l := clientFor(startBackend(t, func(c *net.TCPConn, r *http.Request) {
			requests.Add(1)
			if before.Swap(c) != c {
				connections.Add(1)
			}
			if connections.Load() == 1 {
				write(c, x.first+x.behind)
			} else {
				write(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine")
			}
		}))
		if got, err := l.do(context.Background(), newBackendRequest(l, "GET"), nil); outcomeOf(got, err) != api.Succeeded {
			t.Errorf("%+v: %v", x, err)
		}
		got, err := l.do(context.Background(), newBackendRequest(l, "POST"), []byte("body"))
		if outcomeOf(got, err) != api.Succeeded || (string(got.body) == "mine") == x.more || requests.Load() != 2 {
			t.Errorf("%+v: then %+v, %v after %d requests", x, got, err, requests.Load())
		}
	}
	// What comes while no response is awaited ends the connection before the next request is written.
	done := make(chan *net.TCPConn, 1)
	l := clientFor(startBackend(t, func(c *net.TCPConn, r *http.Request) {
		write(c, fine)
		done <- c
	}))
	if got, err := l.do(context.Background(), newBackendRequest(l, "GET"), nil); outcomeOf(got, err) != api.Succeeded {
		t.Fatal(err)
	}
	old := <-done
	write(old, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nunsent")
	if got, err := l.do(context.Background(), newBackendRequest(l, "GET"), nil); outcomeOf(got, err) != api.Succeeded ||
		string(got.body) != "ok" {
		t.Errorf("%+v, %v", got, err)
	}
	if next := <-done; next == old {
		t.Error("a connection with unexpected bytes is used again")
	}
}

func TestLoadReports(t *testing.T) {
	for text, want := range map[string]int{"queue=2, util=0.6": 2, "": 0, "queue=NaN": 0, "queue=-1,util=0.5": 0,
		"queue=1e99": 0,
		"util=Inf":   0, `{"`: 0, "queue=2,odd": 0} {
		if got := transaction.ParseLoadReport(text); len(got) != want {
			t.Errorf("%q: %v", text, got)
		}
	}
}

// A response that was in transit when the attempt was given up is still read; without one the attempt counts as given
// up.
func TestCancellation(t *testing.T) {
	for _, x := range []struct {
		answer string
		cause  error
		want   api.Outcome
	}{{fine, transaction.ErrCanceled, api.Succeeded}, {"", transaction.ErrCanceled, api.Canceled}, {"",
		transaction.ErrTimedOut, api.TimedOut}} {
		off, giveUp := context.WithCancelCause(context.Background())
		l := clientFor(startBackend(t, func(c *net.TCPConn, r *http.Request) {
			giveUp(x.cause)
			waitForClose(c) // until the other side closes its writing half
			write(c, x.answer)
			hangUp(c)
		}))
		if got, err := l.do(off, newBackendRequest(l, "GET"), nil); outcomeOf(got, err) != x.want {
			t.Errorf("%v: outcome %v after %v", x, outcomeOf(got, err), err)
		}
	}
	off, giveUp := context.WithCancelCause(context.Background())
	giveUp(transaction.ErrCanceled)
	l := clientFor(startBackend(t, func(c *net.TCPConn,
		r *http.Request) {
		t.Error("what was canceled before it began arrives")
	}))
	if got, err := l.do(off, newBackendRequest(l, "GET"), nil); outcomeOf(got, err) != api.NotSent && outcomeOf(got,
		err) != api.Canceled {
		t.Errorf("canceled at once: outcome %v after %v", outcomeOf(got, err), err)
	}
}

func TestBackendLists(t *testing.T) {
	began := time.UnixMilli(100_000)
	l, err := parseBackendList([]byte(`{"generation":41,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:9",
		"zone":"a","machineType":"m2","cell":3,"lifecycle":"terminating","weight":1.5,"startedAtMs":99000,"build":41},
		{"instanceId":"s-2","hostPort":"127.0.0.1:8","lifecycle":"in_service","startedAtMs":0}]}`), began)
	if err != nil {
		t.Fatal(err)
	}
	want := api.Backend{ID: backendID("s-1"), Build: 41, Cell: 3, MachineType: "m2", Zone: "a",
		State: api.StateDraining, Started: -time.Second, Weight: 1.5}
	if l.update.Kind != api.UpdateSnapshot || l.update.Version != 41 || l.update.Backends[0] != want ||
		l.update.Backends[1].Started != api.UnknownStart || l.addresses[want.ID] != "127.0.0.1:9" {
		t.Errorf("got %+v", l)
	}
	for _, bad := range []string{``, `{}`, `{"generation":4}`,
		`{"generation":4,"instances":[{"instanceId":"s","lifecycle":"terminated","weight":-1}]}`,
		`{"generation":4,"instances":[{"instanceId":"s","lifecycle":"odd"}]}`,
		`{"generation":4,"instances":[{"instanceId":"s","lifecycle":"in_service","hostPort":"x"}]}`} {
		if _, err := parseBackendList([]byte(bad), began); err == nil {
			t.Errorf("%s is accepted", bad)
		}
	}
	ls := newBackendClients(time.Second, time.Minute, 1, 32<<20)
	ls.update(l)
	kept := ls.get(backendID("s-2"))
	l.addresses[want.ID] = "127.0.0.1:7"
	ls.update(l)
	if ls.get(want.ID).address != "127.0.0.1:7" || ls.get(backendID("s-2")) != kept {
		t.Error("a new address does not bring new connections, or an old one does")
	}
	for _, change := range []func(*api.Backend){func(x *api.Backend) { x.Build++ }, func(x *api.Backend) { x.Started++ }} {
		was := ls.get(want.ID)
		change(&l.update.Backends[0])
		if ls.update(l); ls.get(want.ID) == was {
			t.Error("another build or start at the same address keeps the old connections")
		}
	}
	delete(l.addresses, want.ID)
	if ls.update(l); ls.get(want.ID) != nil || ls.get(backendID("s-2")) != kept {
		t.Error("what is missing from a snapshot is still there")
	}
}

func TestPlatformLines(t *testing.T) {
	for line, want := range map[string]api.Event{
		`{"type":"ROLLOUT","object":{"image":42,"ring":1,"progress":"rolling_back","ceiling":0.28,"lag_ms":310}}`: api.RolloutUpdate{
			Build: 42, Stage: 1, Phase: api.PhaseRollingBack, Cap: 0.28, Age: 310 * time.Millisecond},
		`{"type":"DISPUTE","object":{"host":"s-1","type":"lookup","lag_ms":1200}}`: api.Complaint{
			Backend: backendID("s-1"), Workload: "lookup", Age: 1200 * time.Millisecond},
		`{}`: nil,
	} {
		if got, err := parseStreamLine([]byte(line)); err != nil || got != want {
			t.Errorf("%s: %+v, %v", line, got, err)
		}
	}
	for _, bad := range []string{`{`,
		`{"type":"ROLLOUT","object":{"image":42,"ring":0,"progress":"new","ceiling":1,"lag_ms":0}}`,
		`{"type":"ROLLOUT"}`, `{"type":"ROLLOUT","object":{"image":42,"ring":1,"progress":"trial","lag_ms":310}}`,
		`{"type":"ROLLOUT","object":{"image":42,"ring":1,"progress":"trial","ceiling":28,"lag_ms":310}}`,
		`{"type":"ROLLOUT","object":{"image":42,"ring":1,"progress":"trial","ceiling":0.28,"lag_ms":-1}}`,
		`{"type":"DISPUTE","object":{"host":"s-1","lag_ms":1200}}`, `{"type":"ROLLOUTS","object":{}}`} {
		if got, err := parseStreamLine([]byte(bad)); err == nil {
			t.Errorf("%s is accepted as %+v", bad, got)
		}
	}
}

// An attempt that has been canceled before its connection is there writes nothing, on a kept connection or a new one:
// its transaction may have its final answer.
func TestCanceledBeforeWrite(t *testing.T) {
	var came atomic.Int64
	at := startBackend(t, func(c *net.TCPConn, r *http.Request) {
		came.Add(1)
		write(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	// more than are dialed: some close late on a busy machine
	ls := newBackendClients(time.Second, time.Minute, 1<<10, 32<<20)
	l := &backendClient{address: at, transport: ls.newTransport(), pool: ls}
	send := func(off context.Context) api.Outcome {
		req, _ := http.NewRequest("GET", "http://"+at+"/x", nil)
		return outcomeOf(l.do(off, req, nil))
	}
	off, callOff := context.WithCancelCause(context.Background())
	callOff(transaction.ErrCanceled)
	for range 200 {
		if got := send(off); got != api.NotSent {
			t.Fatalf("outcome %v", got)
		}
	}
	if n := came.Load(); n != 0 {
		t.Errorf("%d requests on new connections", n)
	}
	for range 50 {
		if got := send(context.Background()); got != api.Succeeded {
			t.Fatalf("outcome %v", got)
		}
		time.Sleep(2 * readSettleTime) // so that the next one finds it kept; no assertion depends on it
		send(off)
	}
	if n := came.Load(); n != 50 {
		t.Errorf("%d requests came, want 50", n)
	}
}

// An attempt that is canceled between getting its connection and its write writes nothing: the transaction has its
// final answer by then.
func TestNoWriteAfterCancel(t *testing.T) {
	came := make(chan int, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		n, _ := io.Copy(io.Discard, c)
		came <- int(n)
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	off, callOff := context.WithCancel(context.Background())
	w, u := upstream.NewConn(c.(*net.TCPConn), newBackendClients(time.Second, time.Minute, 8,
		32<<20).connOptions), &upstream.Exchange{WriteGate: transaction.WriteGuardFrom(off).Do}
	w.Assign(u)
	if n, err := w.Write([]byte("one")); n != 3 || err != nil {
		t.Fatalf("%d, %v", n, err)
	}
	callOff()
	if n, err := w.Write([]byte("two")); n != 0 || err == nil {
		t.Errorf("%d bytes written after it was given up, %v", n, err)
	}
	hangUp(w)
	if n := <-came; n != 3 {
		t.Errorf("%d bytes came, want 3", n)
	}
}
