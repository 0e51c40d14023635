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

// A request is forwarded unchanged, and the policy receives its properties.
func TestTransaction(t *testing.T) {
	arrived := make(chan *http.Request, 1)
	address := startBackend(t, func(conn *net.TCPConn, r *http.Request) {
		arrived <- r
		write(conn, "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nServer-Load: queue=2, util=0.6\r\n"+
			"Content-Length: 3\r\n\r\n\x00\xff\n")
	})
	accepted, ended := make(chan api.TransactionAccepted, 1), make(chan api.AttemptEnded, 1)
	_, url := startAgent(t, newTestStation(t, listBody(1, true, address)), func(event api.Event) []api.Action {
		switch event := event.(type) {
		case api.TransactionAccepted:
			accepted <- event
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
	checkAccepted(t, <-accepted)
	if got := <-ended; got.Outcome != api.Succeeded || !got.TransactionDone ||
		got.Load["queue"] != 2 || len(got.Load) != 2 || got.Elapsed <= 0 {
		t.Errorf("ended %+v", got)
	}
}

// checkForwarded checks TestTransaction's request as the backend received it.
func checkForwarded(t *testing.T, r *http.Request) {
	t.Helper()
	if timeout, err := parseTimeout(r.Header.Get("Request-Timeout")); err != nil || timeout > 480*time.Millisecond {
		t.Errorf("the backend received time-out %v, %v", timeout, err)
	}
	if r.RequestURI != "/keep/x%2Fy?q=%20" || r.Header.Get("Request-Id") != "r1" ||
		r.Header.Get("Idempotency-Key") != "i1" ||
		r.Header.Get("X-Other") != "o" || r.ContentLength != 3 || r.Header.Get("Expect") != "" {
		t.Errorf("the backend received %s %v", r.RequestURI, r.Header)
	}
}

// checkAccepted checks TestTransaction's request as the policy received it.
func checkAccepted(t *testing.T, got api.TransactionAccepted) {
	t.Helper()
	if timeout := got.Timeout; timeout > 480*time.Millisecond || timeout <= 0 {
		t.Errorf("time-out %v", timeout)
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
		switch accepted, _ := event.(api.TransactionAccepted); accepted.ID {
		case "later":
			return []api.Action{api.DeferTransaction{Transaction: accepted.ID, RetryAfter: 250 * time.Millisecond}}
		case "now":
			return []api.Action{api.DeferTransaction{Transaction: accepted.ID}}
		case "failed":
			return []api.Action{api.FailTransaction{Transaction: accepted.ID}}
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

// A client that disconnects ends its transaction, and the attempts are canceled.
func TestClientLeaves(t *testing.T) {
	arrived, ended := make(chan bool, 1), make(chan api.AttemptEnded, 1)
	address := startBackend(t, func(conn *net.TCPConn, r *http.Request) {
		arrived <- true
		waitForClose(conn)
		hangUp(conn)
	})
	_, url := startAgent(t, newTestStation(t, listBody(1, true, address)), func(event api.Event) []api.Action {
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
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	write(conn, "GET /look HTTP/1.1\r\nHost: x\r\nRequest-Id: r\r\nRequest-Timeout: 700m\r\n\r\n")
	<-arrived
	conn.Close()
	if got := <-ended; got.Outcome != api.Canceled || !got.TransactionDone {
		t.Errorf("ended %+v", got)
	}
}

// startBreakingDiscovery starts a discovery server that sends each watch's query to queries. A watch from version 3
// gets the next list, with a backend at the address, and then an invalid line; any other watch stays open.
func startBreakingDiscovery(t *testing.T, queries chan<- string, backend string) string {
	t.Helper()
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
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

// A complete agent with the real policy reopens its watch after an invalid line, serves clients, and shuts down when
// its context is canceled.
func TestServeAndShutdown(t *testing.T) {
	proceed, arrived := make(chan bool), make(chan bool)
	address := startBackend(t, func(conn *net.TCPConn, r *http.Request) {
		if r.Method == "POST" {
			arrived <- true
			<-proceed
		}
		write(conn, okResponse)
	})
	queries := make(chan string, 8)
	station := newTestStation(t, listBody(3, true))
	station.Discovery = startBreakingDiscovery(t, queries, address)
	reserved, _ := net.Listen("tcp", "127.0.0.1:0")
	station.Listen = reserved.Addr().String()
	reserved.Close()
	ctx, stop := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- New(station).Run(ctx) }()
	if first, second := <-queries, <-queries; first != "watch=1&from=3" || second != "watch=1&from=4" {
		t.Errorf("asked for %q, then %q", first, second)
	}
	if resp, _ := doRequest(t, "GET", "http://"+station.Listen+"/_health", ""); resp.StatusCode != 200 {
		t.Errorf("health %d", resp.StatusCode)
	}
	if resp, body := doRequest(t, "GET", "http://"+station.Listen+"/look", "",
		"Request-Id", "r1", "Request-Timeout", "700m"); body != "ok" || resp.Close {
		t.Errorf("response %v %q", resp, body)
	}
	openBody := make(chan string, 1)
	go func() {
		defer close(openBody)
		_, body := doRequest(t, "POST", "http://"+station.Listen+"/once", "x", "Request-Id", "r3", "Request-Timeout", "2000m")
		openBody <- body
	}()
	<-arrived
	stop()
	for closing := false; !closing; { // responses begin to close their connections, while clients are still served
		resp, body := doRequest(t, "GET", "http://"+station.Listen+"/look", "", "Request-Id", "r2", "Request-Timeout", "700m")
		if closing = resp.Close; body != "ok" {
			t.Fatalf("response during shutdown: %v %q", resp, body)
		}
	}
	for { // then no new connection is accepted, and open transactions are still answered
		conn, err := net.Dial("tcp", station.Listen)
		if err != nil {
			break
		}
		conn.Close()
	}
	close(proceed)
	if body := <-openBody; body != "ok" {
		t.Errorf("the open transaction got %q", body)
	}
	if err := <-runErr; err != nil {
		t.Error(err)
	}
}
