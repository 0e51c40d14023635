package proxy

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
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"sagelever/internal/control/config"
	"sagelever/internal/control/replication"
	"sagelever/internal/proxy/balancer"
	"sagelever/internal/proxy/draining"
	"sagelever/internal/settings"
)

// Routes of every test proxy, to the service "s".
const (
	idempotentRoute = `{"host":"h","pathStart":"/s/","kind":"harmless","giveUp":"3s",` +
		`"target_time":"1s","service":"s","tries":3}`
	nonIdempotentRoute = `{"host":"h","pathStart":"/o/","kind":"risky","giveUp":"3s",` +
		`"target_time":"1s","service":"s","tries":3}`
)

// maxTestBody is the maximum size in bytes of a request body that a test proxy accepts.
const maxTestBody = 100000

// freeAddressCount is the number of addresses that freeAddress has returned.
var freeAddressCount atomic.Uint32

// freeAddress returns an address on which nothing listens. Each address has its own loopback host, so that no other
// test can take its port before the caller listens on it.
func freeAddress(t testing.TB) string {
	t.Helper()
	n := freeAddressCount.Add(1)
	l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%250, n>>8&255, n&255))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// waitFor waits until holds returns true, and fails the test after 10 seconds. condition describes what it waits for.
func waitFor(t testing.TB, condition string, holds func() bool) {
	t.Helper()
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	timeout := time.After(10 * time.Second)
	for !holds() {
		select {
		case <-ticker.C:
		case <-timeout:
			t.Fatalf("timed out waiting for the condition: %s", condition)
		}
	}
}

// testProxy is a running proxy with a fake controller.
type testProxy struct {
	*Proxy
	controller *fakeController
	clientAddr string
	stop       context.CancelFunc // starts the shutdown of the proxy
	done       chan struct{}      // closed when Run has returned
}

func startProxy(t testing.TB, items ...replication.Item) *testProxy {
	t.Helper()
	return startProxyWithLease(t, 0, items...)
}

// startProxyWithLease starts a proxy whose send lease lasts three quarters of drainTime.
func startProxyWithLease(t testing.TB, drainTime time.Duration, items ...replication.Item) *testProxy {
	t.Helper()
	limits := settings.RuleLimits{ShutdownGrace: 600 * time.Millisecond, DrainTime: drainTime}
	return startProxyWithLimits(t, limits, items...)
}

// startProxyWithLimits starts a proxy with the shutdown grace period and the drain time of limits, and waits until it
// is ready.
func startProxyWithLimits(t testing.TB, limits settings.RuleLimits, items ...replication.Item) *testProxy {
	t.Helper()
	controller := newFakeController()
	server := httptest.NewServer(controller)
	t.Cleanup(server.Close)
	controller.publish(
		configItem(config.Key(config.KindServices, "s"), 1, `{"checkPath":"/h","warmUp":"0s","warmingRateS":5}`),
		configItem(config.Key(config.KindRoutes, "safe"), 1, idempotentRoute),
		configItem(config.Key(config.KindRoutes, "once"), 1, nonIdempotentRoute),
		configItem(config.Key(config.KindLimits, ""), 1,
			fmt.Sprintf(`{"headSizeBytes":16384,"bodySizeBytes":%d,"headWait":"3s","quiet":"15s"}`, maxTestBody)))
	controller.publish(items...)

	proxy := &testProxy{controller: controller, clientAddr: freeAddress(t), done: make(chan struct{})}
	nodeSettings := testSettings(t, server.Listener.Addr(), limits)
	nodeSettings.ListenAddresses = map[string]string{"front": proxy.clientAddr, "readyCheck": freeAddress(t)}
	proxy.Proxy = New(Options{Log: zap.NewNop(), Settings: nodeSettings})
	proxy.balancer.SetProxyCounts(1, 1, time.Now())
	ctx, stop := context.WithCancel(context.Background())
	proxy.stop = stop
	go func() {
		defer close(proxy.done)
		if err := proxy.Run(ctx); err != nil {
			t.Errorf("Run: %v", err)
		}
	}()
	t.Cleanup(func() {
		stop()
		<-proxy.done
	})
	waitFor(t, "the proxy is ready", func() bool { return proxy.ready() && proxy.holdsAuthority(time.Now()) })
	return proxy
}

// testSettings returns the settings of a proxy whose controller listens on controllerAddr.
func testSettings(t testing.TB, controllerAddr net.Addr, limits settings.RuleLimits) *settings.Settings {
	t.Helper()
	_, port, err := net.SplitHostPort(controllerAddr.String())
	if err != nil {
		t.Fatal(err)
	}
	peerPort, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	limits.RetryBudgetRatio = 0.2
	limits.MaxExtraRetries = 64
	limits.HeartbeatInterval = time.Second
	return &settings.Settings{
		Node:          "n",
		IP:            "127.0.0.1",
		Zone:          "a1",
		Region:        "a",
		Zones:         map[string]string{"a1": "a"},
		PeerPortRange: []int{peerPort, peerPort + 1},
		SeedAddresses: []string{"127.0.0.1:1"},
		RuleLimits:    limits,
	}
}

// backendInState reports whether the proxy knows a backend and the backend is in the given state.
func (p *testProxy) backendInState(id string, state draining.State) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	backend := p.balancer.Backend(id)
	return backend != nil && backend.Drain.State() == state
}

// mayWriteTo reports whether the proxy may send to a backend now.
func (p *testProxy) mayWriteTo(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.MayWrite(p.balancer.Backend(id), time.Now())
}

// fillRetryBudget registers enough requests that the retry budget allows some retries.
func (p *testProxy) fillRetryBudget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range 60 {
		now := time.Now()
		p.balancer.StartRequest(&balancer.Request{
			Route:     p.routingTable.Load().FindRoute("h", "/s/1"),
			ArrivedAt: now,
			Deadline:  now.Add(time.Second),
		}, now)
	}
}

// testResponse is a response as received by a client.
type testResponse struct {
	status int
	body   string
	header http.Header
	closes bool // the response announces that the proxy closes the connection
	err    error
}

// completedWith reports whether the response is complete and has the given status.
func (r testResponse) completedWith(status int) bool { return r.err == nil && r.status == status }

func (r testResponse) String() string { return fmt.Sprintf("%d %q %v", r.status, r.body, r.err) }

// newClientRequest returns a request from a client to the proxy.
func (p *testProxy) newClientRequest(method, path, tryID string, body io.Reader) *http.Request {
	request, err := http.NewRequest(method, "http://"+p.clientAddr+path, body)
	if err != nil {
		panic(err) // tests only use valid methods and paths
	}
	request.Host = "h"
	request.Header.Set(headerTryID, tryID)
	return request
}

// do sends a request as a client on a connection of its own and reads the complete response.
func (p *testProxy) do(method, path, body string) testResponse {
	request := p.newClientRequest(method, path, "t1", strings.NewReader(body))
	request.Header.Set(headerTimeLeft, "2000")
	request.Close = true
	return roundTripAsClient(request)
}

// roundTripAsClient sends a request and reads the complete response.
func roundTripAsClient(request *http.Request) testResponse {
	resp, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return testResponse{err: err}
	}
	return readTestResponse(resp)
}

// doAsync sends a request like do, without waiting for the response. The channel receives the response.
func (p *testProxy) doAsync(method, path, body string) <-chan testResponse {
	response := make(chan testResponse, 1)
	go func() { response <- p.do(method, path, body) }()
	return response
}

func readTestResponse(resp *http.Response) testResponse {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return testResponse{status: resp.StatusCode, body: string(body), header: resp.Header, closes: resp.Close, err: err}
}

// startBackend starts a backend. requests counts the requests that it receives.
func startBackend(t testing.TB, handler http.HandlerFunc) (address string, requests *atomic.Int64) {
	t.Helper()
	requests = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), requests
}

// serveSealed is a backend handler that responds with 200, the try id and the backend's seal.
func serveSealed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerTryID, r.Header.Get(headerTryID))
	w.Header().Set(headerServerSeal, "seal")
	_, _ = io.WriteString(w, "yes")
}

// startRawBackend starts a backend that answers the first request on each connection with text and closes the
// connection.
func startRawBackend(t *testing.T, text string) (address string, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					requests.Add(1)
					_, _ = io.WriteString(conn, text)
				}
			}()
		}
	}()
	return l.Addr().String(), requests
}
