package httpagent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sagelever/internal/agent/api"
)

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
	checkForwarded(t, <-arrived)
	checkAccepted(t, <-taken)
	if e := <-ended; e.Outcome != api.Succeeded || !e.TransactionDone || e.Load["queue"] != 2 || len(e.Load) != 2 ||
		e.Elapsed <= 0 {
		t.Errorf("ended %+v", e)
	}
}

// checkForwarded checks what the backend gets of TestTransaction's request.
func checkForwarded(t *testing.T, r *http.Request) {
	t.Helper()
	if left, err := parseTimeout(r.Header.Get("Request-Timeout")); err != nil || left > 480*time.Millisecond {
		t.Errorf("the backend gets %v, %v", left, err)
	}
	if r.RequestURI != "/keep/x%2Fy?q=%20" || r.Header.Get("Request-Id") != "r1" ||
		r.Header.Get("Idempotency-Key") != "i1" ||
		r.Header.Get("X-Other") != "o" || r.ContentLength != 3 || r.Header.Get("Expect") != "" {
		t.Errorf("arrived as %s %v", r.RequestURI, r.Header)
	}
}

// checkAccepted checks what the policy is told of TestTransaction's request.
func checkAccepted(t *testing.T, got api.TransactionAccepted) {
	t.Helper()
	if left := got.Timeout; left > 480*time.Millisecond || left <= 0 {
		t.Errorf("time-out %v", left)
	}
	got.Timeout = 0
	if want := (api.TransactionAccepted{ID: "r1", Workload: "keep", Cost: 1500 * time.Microsecond, CostKnown: true,
		Key: "key", IsRetry: true,
		IsWrite: true, Customer: "c"}); got != want {
		t.Errorf("accepted %+v", got)
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

// startBreakingDiscovery is a discovery server that reports each watch's query to asked. A watch from version 3 gets
// the next list, with a backend at the address, and then a line that cannot be read; any other stays open.
func startBreakingDiscovery(t *testing.T, asked chan<- string, backend string) string {
	t.Helper()
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RawQuery
		if r.URL.Query().Get("from") == "3" {
			fmt.Fprintf(w, "\n%s\n{broken\n", listBody(4, true, backend))
			return
		}
		flush(w)
		<-r.Context().Done()
	}))
	t.Cleanup(discovery.Close)
	return discovery.Listener.Addr().String()
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
	s := newTestStation(t, listBody(3, true))
	s.Discovery = startBreakingDiscovery(t, asked, at)
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
