package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sagelever/internal/control/config"
	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
	"sagelever/internal/proxy/balancer"
	"sagelever/internal/telemetry"
)

// A request reaches its backend with method, path, query and body unchanged.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	var received atomic.Value
	address, _ := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		timeLeft, _ := strconv.Atoi(r.Header.Get(headerTimeLeft))
		target := r.Header.Get(headerTargetServer)
		received.Store(fmt.Sprintf("%s %s %s %q %v", r.Method, r.RequestURI, target, body, timeLeft > 0 && timeLeft <= 2000))
		serveSealed(w, r)
	})
	proxy := startProxy(t, backendItem("i1", address))
	for _, path := range []string{"/o/1", "/o/a%2Fb//c/../d?x=1&x=2;y", "/o/?"} {
		response := proxy.do("DELETE", path, "some body")
		want := fmt.Sprintf("DELETE %s i1 %q true", path, "some body")
		if !response.completedWith(200) || response.body != "yes" || received.Load() != want {
			t.Errorf("%v, the backend received %v, want %v", response, received.Load(), want)
		}
	}
}

// For each response of the first backend, the request is retried on the second backend exactly if the retry rules allow
// it, and the client receives the expected status.
func TestRetryDecisions(t *testing.T) {
	const (
		ok          = "HTTP/1.1 200 OK\r\nX-Sagelever-Try-Id: t1\r\n"
		unavailable = "HTTP/1.1 503 Service Unavailable\r\n"
		misdirected = "HTTP/1.1 421 Misdirected Request\r\n"
		tryID       = "X-Sagelever-Try-Id: t1\r\n"
		notExecuted = "X-Sagelever-Not-Run: 1\r\n"
		seal        = "X-Sagelever-Server-Seal: s\r\n"
		empty       = "Content-Length: 0\r\n\r\n"
	)
	for _, test := range []struct {
		name, response                        string
		nonIdempotentStatus, idempotentStatus int // status that the client receives
	}{
		{"declined", unavailable + tryID + notExecuted + empty, 200, 200},
		{"misdirected", misdirected + tryID + empty, 200, 200},
		{"declined without id", unavailable + notExecuted + empty, 502, 200},
		{"misdirected without id", misdirected + empty, 502, 200},
		{"unconfirmed refusal", unavailable + tryID + empty, 502, 200},
		{"unknown length", ok + seal + "\r\nfine", 502, 200},
		{"connection closed", "", 502, 200},
		{"response cut short", ok + seal + "Content-Length: 9\r\n\r\nhalf", 502, 200},
		{"no seal", ok + "Content-Length: 4\r\n\r\nfine", 502, 200},
		{"noise", "what is this\r\n\r\n", 502, 200},
		{"server error", "HTTP/1.1 500 Oh\r\n" + tryID + empty, 500, 200},
	} {
		wantByPath := map[string]int{"/o/1": test.nonIdempotentStatus, "/s/1": test.idempotentStatus}
		for path, want := range wantByPath {
			t.Run(test.name+path, func(t *testing.T) {
				t.Parallel()
				first, firstRuns := startRawBackend(t, test.response)
				second, secondRuns := startBackend(t, serveSealed)
				proxy := startProxy(t, backendItem("i1", first))
				proxy.fillRetryBudget()
				proxy.controller.publish(remoteBackendItem("i2", second))
				waitFor(t, "both backends are known", func() bool {
					proxy.mu.Lock()
					defer proxy.mu.Unlock()
					return proxy.balancer.Backend("i2") != nil
				})
				response := proxy.do("POST", path, "x")
				if !response.completedWith(want) || firstRuns.Load() != 1 || (secondRuns.Load() == 1) != (want == 200) {
					t.Errorf("%v, want %d; the first ran it %d times, the second %d",
						response, want, firstRuns.Load(), secondRuns.Load())
				}
				if response.status == 503 && response.header.Get("Retry-After") == "" {
					t.Error("503 without Retry-After")
				}
			})
		}
	}
}

// A request without a backend is rejected early with a 503 and Retry-After. A request without a route gets 404, and one
// with too long a body 413.
func TestRejections(t *testing.T) {
	proxy := startProxy(t)
	startedAt := time.Now()
	response := proxy.do("POST", "/o/1", "x")
	took := time.Since(startedAt)
	if !response.completedWith(503) || response.header.Get("Retry-After") == "" || took > 600*time.Millisecond {
		t.Errorf("without a backend: %v %v after %v", response, response.header, took)
	}
	if response := proxy.do("GET", "/none/", ""); response.status != 404 {
		t.Errorf("without a route: %v", response)
	}
	tooLong := strings.Repeat("x", maxTestBody+1)
	status := 0 // remains 0 if the connection is reset before the client, which is still writing, reads the response
	for try := 0; status == 0 && try < 20; try++ {
		status = proxy.do("POST", "/s/1", tooLong).status
	}
	if status != 413 {
		t.Errorf("too long a body: status %d, want 413", status)
	}
}

// An older version of an item is ignored, whichever controller sends it.
func TestOlderItemsAreIgnored(t *testing.T) {
	address, _ := startBackend(t, serveSealed)
	proxy := startProxy(t, backendItem("i1", address))
	key := config.Key(config.KindRoutes, "more")
	proxy.controller.publish(routeItem(key, 8, "/m/"))
	waitFor(t, "the route is known", func() bool { return proxy.routingTable.Load().FindRoute("h", "/m/1") != nil })
	older := answeredPull{
		addr:    "elsewhere",
		request: &message.PullRequest{},
		response: &message.PullResponse{
			Source:        "elsewhere",
			LocalSequence: 1,
			HasQuorum:     true,
			Complete:      true,
			Items:         []replication.Item{routeItem(key, 7, "/l/")},
		},
		sentAt: time.Now(),
	}
	if err := proxy.subscription.apply(older, time.Now()); err != nil {
		t.Fatal(err)
	}
	table := proxy.routingTable.Load()
	if table.FindRoute("h", "/m/1") == nil || table.FindRoute("h", "/l/1") != nil {
		t.Error("the route was reverted to an older version")
	}
}

// BenchmarkRequest measures a request over loopback, including the work of the client and of the backend.
func BenchmarkRequest(b *testing.B) {
	address, _ := startBackend(b, serveSealed)
	proxy := startProxy(b, backendItem("i1", address))
	client := &http.Client{Transport: &http.Transport{}}
	b.ReportAllocs()
	for b.Loop() {
		request := proxy.newClientRequest("POST", "/o/1", "t1", strings.NewReader("x"))
		request.Header.Set(headerTimeLeft, "2000")
		resp, err := client.Do(request)
		if err != nil || resp.StatusCode != 200 {
			b.Fatal(resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// A late response to an earlier request on the same connection must not be taken as the result of a health check,
// whether its status is a success or a failure.
func TestHealthCheckSkipsLateResponses(t *testing.T) {
	for _, lateStatus := range []int{200, 503} {
		ownStatus := 200 + 503 - lateStatus
		late := fmt.Sprintf("HTTP/1.1 %d Late\r\nX-Sagelever-Try-Id: t0\r\nX-Sagelever-Server-Id: i1\r\n"+
			"Content-Length: 0\r\n\r\n", lateStatus)
		own := fmt.Sprintf("HTTP/1.1 %d Own\r\nX-Sagelever-Server-Id: i1\r\nContent-Length: 0\r\n\r\n", ownStatus)
		address, _ := startRawBackend(t, late+own)
		proxy := startProxyWithLease(t, 200*time.Millisecond, backendItem("i1", address))
		proxy.controller.loseQuorum()
		waitFor(t, "the send lease has expired", func() bool { return !proxy.mayWriteTo("i1") })
		proxy.checkHealth(balancer.HealthCheck{BackendID: "i1", Address: address, Path: "/h"})
		if got, want := proxy.mayWriteTo("i1"), ownStatus == 200; got != want {
			t.Errorf("a late %d before a %d: may write: %v", lateStatus, ownStatus, got)
		}
	}
}

// Updates of a backend that arrive while requests are sent to it do not change the destination of those requests. Only
// the race detector detects a violation; CI runs this package with it.
func TestUpdatesWhileSending(t *testing.T) {
	const clientCount, requestsPerClient = 4, 60
	address, runs := startBackend(t, serveSealed)
	proxy := startProxy(t, backendItem("i1", address))
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for version := uint64(4); ; version += 2 {
			select {
			case <-stop:
				return
			default:
			}
			backend := testBackend(address)
			backend.Capacity += int(version % 2)
			proxy.controller.publish(backend.ItemWithPhase("i1", replication.PhaseReady, version))
		}
	}()
	var clients sync.WaitGroup
	for range clientCount {
		clients.Go(func() {
			for range requestsPerClient {
				if response := proxy.do("GET", "/s/1", ""); !response.completedWith(200) {
					t.Error(response)
				}
			}
		})
	}
	clients.Wait()
	close(stop)
	<-done
	if runs.Load() < clientCount*requestsPerClient {
		t.Errorf("the backend ran %d requests", runs.Load())
	}
}

// A long chunked response that the backend truncates is truncated for the client too. It has no length by which the
// client could detect the truncation otherwise.
func TestTruncatedChunkedResponseIsAborted(t *testing.T) {
	const chunkSize, chunkCount = 64 << 10, maxBufferedBody/(64<<10) + 4
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkSize, strings.Repeat("c", chunkSize))
	header := "HTTP/1.1 200 OK\r\nX-Sagelever-Try-Id: t1\r\nX-Sagelever-Server-Seal: s\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n"
	for _, test := range []struct {
		end      string
		complete bool
	}{
		{"0\r\n\r\n", true},
		{"", false},
		{"10000\r\nhalf", false},
		{"no chunk\r\n", false},
	} {
		address, _ := startRawBackend(t, header+strings.Repeat(chunk, chunkCount)+test.end)
		proxy := startProxy(t, backendItem("i1", address))
		response := proxy.do("POST", "/o/1", "x")
		rightSize := len(response.body) == chunkCount*chunkSize
		if response.status != 200 || (response.err == nil) != test.complete || test.complete && !rightSize {
			t.Errorf("response that ends with %q: status %d, %d bytes, %v",
				test.end, response.status, len(response.body), response.err)
		}
	}
}

// The readiness address serves the readiness check and the metrics of the proxy, and nothing else.
func TestProxyMetrics(t *testing.T) {
	proxy := startProxy(t)
	for path, want := range map[string]int{telemetry.Path: 200, "/api/ready": 200, "/other": 404} {
		response, err := http.Get("http://" + proxy.settings.ListenAddresses["readyCheck"] + path)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close() // already read to its end
		if err != nil || response.StatusCode != want {
			t.Errorf("%s: %d, %v", path, response.StatusCode, err)
		}
		if path == telemetry.Path && !strings.Contains(string(text), "sagelever_controller_pulls_total ") {
			t.Errorf("no pulls are counted: %s", text)
		}
	}
}
