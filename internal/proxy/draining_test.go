package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sagelever/internal/proxy/balancer"
	"sagelever/internal/proxy/draining"
	"sagelever/internal/settings"
)

// blockingBackend is a backend that signals the start of each request and responds once release is called.
type blockingBackend struct {
	address  string
	requests *atomic.Int64
	started  chan struct{} // receives a value for each request
	release  func()        // may be called more than once
}

// startBlockingBackend starts a blocking backend; respond writes its responses.
func startBlockingBackend(t *testing.T, respond http.HandlerFunc) *blockingBackend {
	t.Helper()
	released := make(chan struct{})
	b := &blockingBackend{started: make(chan struct{}, 1), release: sync.OnceFunc(func() { close(released) })}
	b.address, b.requests = startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		b.started <- struct{}{}
		<-released
		respond(w, r)
	})
	t.Cleanup(b.release)
	return b
}

// On shutdown the proxy immediately withdraws its client address, then finishes the requests in flight and releases its
// lease.
func TestShutdownDrainsAndReleasesLease(t *testing.T) {
	backend := startBlockingBackend(t, serveSealed)
	proxy := startProxy(t, backendItem("i1", backend.address))
	waitFor(t, "the address is advertised", func() bool { return proxy.controller.advertised() == proxy.clientAddr })
	response := proxy.doAsync("POST", "/o/1", "x")
	<-backend.started
	proxy.stop()
	waitFor(t, "the address is withdrawn", func() bool { return proxy.controller.advertised() == "" })
	if proxy.ready() {
		t.Error("the proxy is still ready")
	}
	backend.release()
	if got := <-response; !got.completedWith(200) || backend.requests.Load() != 1 {
		t.Errorf("the request in flight: %v, run %d times", got, backend.requests.Load())
	}
	<-proxy.done
	if !proxy.controller.released() {
		t.Error("the lease was not released")
	}
}

// If a backend begins to drain while a connection to it is being dialed, nothing is written on the connection and the
// request moves to the next backend without delay, even if it is not idempotent.
func TestBackendDrainsWhileDialing(t *testing.T) {
	first, firstRuns := startBackend(t, serveSealed)
	second, secondRuns := startBackend(t, serveSealed)
	proxy := startProxy(t, backendItem("i1", first))
	dial := proxy.transport.DialContext
	drained := make(chan struct{})
	dialing := make(chan struct{}, 1)
	proxy.transport.DialContext = func(ctx context.Context, network, hostPort string) (net.Conn, error) {
		conn, err := dial(ctx, network, hostPort)
		if target, _ := parseDestination(hostPort); target.address == first {
			dialing <- struct{}{}
			<-drained
		}
		return conn, err
	}
	response := proxy.doAsync("POST", "/o/1", "some body")
	<-dialing
	proxy.controller.publish(drainingItem("i1", first), backendItem("i2", second))
	waitFor(t, "the first backend drains and the second serves", func() bool {
		return proxy.backendInState("i1", draining.Draining) && proxy.backendInState("i2", draining.Serving)
	})
	close(drained)
	if got := <-response; !got.completedWith(200) || got.body != "yes" || firstRuns.Load() != 0 || secondRuns.Load() != 1 {
		t.Errorf("%v, the draining backend ran it %d times, the other %d", got, firstRuns.Load(), secondRuns.Load())
	}
	if proxy.counters.withheld.Load() != 1 || proxy.counters.retries.Load() != 0 {
		t.Error("the attempt is not counted as withheld")
	}
	waitFor(t, "the drain has ended", func() bool { return proxy.backendInState("i1", draining.Drained) })
}

// A request in flight at a draining backend finishes there and its response is forwarded, also on a reused connection
// and without reachable controllers. A request whose body is still arriving goes to another backend, because a backend
// is picked only once the body is complete.
func TestInFlightRequestFinishesOnDrainingBackend(t *testing.T) {
	first := startBlockingBackend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		serveSealed(w, r)
	})
	second, secondRuns := startBackend(t, serveSealed)
	proxy := startProxy(t, backendItem("i1", first.address))
	inFlight := proxy.doAsync("POST", "/o/1", "body of the request in flight")
	<-first.started

	bodyReader, bodyWriter := io.Pipe()
	receivedBefore := proxy.counters.received.Load()
	arriving := make(chan testResponse, 1)
	go func() { arriving <- roundTripAsClient(proxy.newClientRequest("POST", "/o/2", "t2", bodyReader)) }()
	if _, err := io.WriteString(bodyWriter, "half of "); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the second header has arrived", func() bool { return proxy.counters.received.Load() > receivedBefore })
	proxy.controller.publish(drainingItem("i1", first.address), backendItem("i2", second))
	waitFor(t, "the first backend drains and the second serves", func() bool {
		return proxy.backendInState("i1", draining.Draining) && proxy.backendInState("i2", draining.Serving)
	})
	if _, err := io.WriteString(bodyWriter, "a body"); err != nil {
		t.Fatal(err)
	}
	if err := bodyWriter.Close(); err != nil {
		t.Fatal(err)
	}
	if got := <-arriving; !got.completedWith(200) || got.body != "yes" || secondRuns.Load() != 1 {
		t.Errorf("the request with the late body: %v, the serving backend ran it %d times", got, secondRuns.Load())
	}

	proxy.controller.loseQuorum()
	first.release()
	if got := <-inFlight; !got.completedWith(200) || got.body != "yes" || first.requests.Load() != 1 {
		t.Errorf("the request in flight: %v, the draining backend ran it %d times", got, first.requests.Load())
	}
}

// A proxy without a controller that has quorum sends health checks to the backends. A backend that reports that it
// serves receives the request. Otherwise no backend does, and the client receives a 503 with Retry-After.
func TestHealthChecksBackendWithoutControllers(t *testing.T) {
	for backendStatus, want := range map[int]int{200: 200, 503: 503} {
		var healthChecks atomic.Int64
		address, _ := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/h" {
				healthChecks.Add(1)
				w.Header().Set(headerServerID, "i1")
				w.WriteHeader(backendStatus)
				return
			}
			serveSealed(w, r)
		})
		proxy := startProxyWithLease(t, 200*time.Millisecond, backendItem("i1", address))
		proxy.controller.loseQuorum()
		waitFor(t, "the send lease has expired", func() bool { return !proxy.mayWriteTo("i1") })
		response := proxy.do("POST", "/o/1", "")
		missingRetryAfter := want == 503 && response.header.Get("Retry-After") == ""
		if !response.completedWith(want) || healthChecks.Load() == 0 || missingRetryAfter {
			t.Errorf("health check status %d: response %v, %d checks, header %v",
				backendStatus, response, healthChecks.Load(), response.header)
		}
	}
}

// A proxy without a response from a controller with quorum for the duration of a send lease must answer 503 for an
// unknown route, because the route may have been added since.
func TestUnknownRouteWithoutControllers(t *testing.T) {
	proxy := startProxyWithLease(t, 200*time.Millisecond)
	waitFor(t, "an unknown route gets a 404", func() bool { return proxy.do("GET", "/none/", "").completedWith(404) })
	proxy.controller.loseQuorum()
	waitFor(t, "an unknown route gets a 503", func() bool {
		response := proxy.do("GET", "/none/", "")
		return response.completedWith(503) && response.header.Get("Retry-After") != ""
	})
	if response := proxy.do("GET", "/none/", ""); !response.completedWith(503) {
		t.Errorf("an unknown route without controllers: %v, want 503", response)
	}
}

// When a backend with requests in flight begins to drain, a connection to the backend that will receive the next
// requests is opened ahead of time. The next request uses it. A connection that is not used is closed.
func TestPreconnect(t *testing.T) {
	first := startBlockingBackend(t, serveSealed)
	second, _ := startBackend(t, serveSealed)
	proxy := startProxy(t, backendItem("i1", first.address))
	inFlight := proxy.doAsync("POST", "/o/1", "")
	<-first.started
	proxy.controller.publish(backendItem("i2", second))
	waitFor(t, "the second backend is known", func() bool { return proxy.backendInState("i2", draining.Serving) })
	dials := proxy.counters.dials.Load()
	proxy.controller.publish(drainingItem("i1", first.address))
	preconnectedCount := func() int {
		proxy.connPool.mu.Lock()
		defer proxy.connPool.mu.Unlock()
		return len(proxy.connPool.preconnected)
	}
	waitFor(t, "a connection is open", func() bool { return preconnectedCount() == 1 })
	response := proxy.do("POST", "/o/2", "")
	dialed := proxy.counters.dials.Load() - dials
	if !response.completedWith(200) || dialed != 1 || preconnectedCount() != 0 {
		t.Errorf("%v, %d connections dialed, %d left unused", response, dialed, preconnectedCount())
	}
	first.release()
	<-inFlight

	third, _ := startBackend(t, serveSealed)
	proxy.connPool.preconnect([]balancer.PreconnectTarget{
		{BackendID: "i1", Address: first.address}, // has an idle connection
		{BackendID: "i3", Address: third},
	})
	waitFor(t, "an unused connection is open", func() bool { return preconnectedCount() == 1 })
	proxy.connPool.closeExpired(time.Now().Add(2 * preconnectTTL))
	waitFor(t, "the unused connection is closed", func() bool {
		proxy.connPool.mu.Lock()
		defer proxy.connPool.mu.Unlock()
		return len(proxy.connPool.preconnected) == 0 && proxy.connPool.openCount[destination{"i3", third}] == 0
	})
}

// After a proxy has stopped listening it keeps running until the requests in flight are answered, within its shutdown
// grace period.
func TestShutdownWaitsForInFlightRequest(t *testing.T) {
	backend := startBlockingBackend(t, serveSealed)
	limits := settings.RuleLimits{ShutdownGrace: 3 * time.Second}
	proxy := startProxyWithLimits(t, limits, backendItem("i1", backend.address))
	response := proxy.doAsync("POST", "/o/1", "x")
	<-backend.started
	proxy.stop()
	waitFor(t, "the proxy has stopped listening", func() bool {
		conn, err := net.Dial("tcp4", proxy.clientAddr)
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	select {
	case <-proxy.done:
		t.Error("Run returned while a request was in flight")
	case <-time.After(limits.ShutdownGrace / 5):
	}
	backend.release()
	if got := <-response; !got.completedWith(200) || got.body != "yes" || backend.requests.Load() != 1 {
		t.Errorf("the request in flight: %v, run %d times", got, backend.requests.Load())
	}
	<-proxy.done
}
