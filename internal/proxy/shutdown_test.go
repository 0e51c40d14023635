package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sagelever/internal/control/config"
	"sagelever/internal/proxy/draining"
	"sagelever/internal/settings"
	"sagelever/internal/tcp"
)

const (
	// testShutdownGrace is shorter than the timeouts of the test routes, so that it ends before any request does.
	testShutdownGrace = 900 * time.Millisecond

	// rawRequestTimeout is the time for which the client of a raw request waits.
	rawRequestTimeout = 2500 * time.Millisecond

	// responseDelivery is the time that a response which has been written needs to reach a client of the test.
	responseDelivery = 100 * time.Millisecond
)

// silentBackend reads requests and never responds. It returns when the proxy has closed the connection.
func silentBackend(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only after the body has been read
	<-r.Context().Done()
}

// startProxyForShutdown starts a proxy with testShutdownGrace and the given backend, and waits until it is known.
func startProxyForShutdown(t *testing.T, backend http.HandlerFunc) *testProxy {
	t.Helper()
	address, _ := startBackend(t, backend)
	proxy := startProxyWithLimits(t, settings.RuleLimits{ShutdownGrace: testShutdownGrace},
		configItem(config.Key(config.KindLimits, ""), 2, scenarioLimits), backendItem("i1", address))
	waitFor(t, "the backend and the limits are known", func() bool {
		return proxy.backendInState("i1", draining.Serving) && proxy.routingTable.Load().Limits.MaxHeaderBytes == scenarioMaxHeader
	})
	return proxy
}

// beginRequest opens a connection and sends the beginning of a request. The channel receives the response.
func (p *testProxy) beginRequest(t *testing.T, text string) (conn net.Conn, response <-chan testResponse) {
	t.Helper()
	conn, err := net.Dial("tcp4", p.clientAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	received := make(chan testResponse, 1)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			received <- testResponse{err: err}
			return
		}
		received <- readTestResponse(resp)
	}()
	return conn, received
}

// rawRequest returns a request whose client waits longer than testShutdownGrace, with the beginning of its body.
func rawRequest(path string, contentLength, sentBytes int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: t1\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, headerTryID, headerTimeLeft, rawRequestTimeout.Milliseconds(), contentLength, strings.Repeat("b", sentBytes))
}

// stopAndCheckAnswer shuts the proxy down and checks that the client has a complete response with the given status by
// the time at which Run returns, when the process exits.
func (p *testProxy) stopAndCheckAnswer(t *testing.T, response <-chan testResponse, status int) {
	t.Helper()
	waitFor(t, "the request is in flight", func() bool { return p.inFlight.count() == 1 })
	p.stop()
	<-p.done
	select {
	case got := <-response:
		if !got.completedWith(status) {
			t.Errorf("the client got %v, want %d", got, status)
		}
		if hasRetryAfter := got.header.Get("Retry-After") != ""; hasRetryAfter != (status == 503) {
			t.Errorf("%d with the header %v", got.status, got.header)
		}
	case <-time.After(responseDelivery):
		t.Error("the process exits, and the client has no response")
	}
}

// Guards against requests that end without a response when the process exits: whatever a request waits for, its client
// gets a response within the shutdown grace period.
func TestShutdownAnswersEveryRequest(t *testing.T) {
	const streamedLength = maxBufferedBody + 1<<16
	for _, test := range []struct {
		name, path    string
		contentLength int
		sentBytes     int
		status        int // 504 if the backend may have executed the request, 503 if it certainly has not
	}{
		{"non-idempotent, backend silent", "/o/1", 1, 1, 504},
		{"idempotent, backend silent", "/s/1", 1, 1, 504},
		{"body incomplete", "/o/1", 1000, 10, 503},
		{"streamed body incomplete", "/o/1", streamedLength, streamedLength - 1000, 504},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			proxy := startProxyForShutdown(t, silentBackend)
			_, response := proxy.beginRequest(t, rawRequest(test.path, test.contentLength, test.sentBytes))
			proxy.stopAndCheckAnswer(t, response, test.status)
		})
	}
}

// Guards against queued requests that end without a response when the process exits.
func TestShutdownAnswersQueuedRequest(t *testing.T) {
	t.Parallel()
	proxy := startProxyWithLimits(t, settings.RuleLimits{ShutdownGrace: testShutdownGrace},
		configItem(config.Key(config.KindRoutes, "once"), 2, scenarioNonIdempotentRoute))
	waitFor(t, "the route is known", func() bool {
		return proxy.routingTable.Load().FindRoute("h", "/o/").LatencyTarget == scenarioTarget
	})
	_, response := proxy.beginRequest(t, rawRequest("/o/1", 1, 1))
	proxy.stopAndCheckAnswer(t, response, 503)
}

// Guards against a streamed request whose client stalls within the body: it gets its response when its time is over,
// not when the client continues.
func TestStalledStreamedBodyTimesOut(t *testing.T) {
	t.Parallel()
	const length = maxBufferedBody + 1<<16
	proxy := startProxyForShutdown(t, silentBackend)
	startedAt := time.Now()
	_, response := proxy.beginRequest(t, rawRequest("/o/1", length, length-1000))
	select {
	case got := <-response:
		if !got.completedWith(504) {
			t.Errorf("the client got %v, want 504", got)
		}
	case <-time.After(rawRequestTimeout + time.Second):
		t.Errorf("no response %v after the request", time.Since(startedAt))
	}
}

// Guards against a request that is sent to a backend although its client's connection was closed as an idle one: the
// response would be lost.
func TestRequestOfClosedConnectionIsNotSent(t *testing.T) {
	t.Parallel()
	address, requests := startBackend(t, serveSealed)
	proxy := startProxy(t, backendItem("i1", address))
	waitFor(t, "the backend is known", func() bool { return proxy.backendInState("i1", draining.Serving) })
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tracking := tcp.CloseTrackingListener{Listener: listener}
	server := &httptest.Server{Listener: tracking, Config: proxy.listener.newServer(defaultLimits)}
	handler := server.Config.Handler
	aborted := make(chan bool, 1)
	server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			aborted <- recover() == http.ErrAbortHandler
			panic(http.ErrAbortHandler)
		}()
		closeClientConn(r.Context())
		handler.ServeHTTP(w, r)
	})
	server.Start()
	t.Cleanup(server.Close)
	request := proxy.newClientRequest("GET", "/s/1", "t1", nil)
	request.URL.Host = listener.Addr().String()
	if response := roundTripAsClient(request); response.err == nil {
		t.Errorf("the client got %v on a closed connection", response)
	}
	if ended := <-aborted; !ended || requests.Load() != 0 {
		t.Errorf("the request was aborted: %v, and sent %d times", ended, requests.Load())
	}
}

// closeClientConn closes the connection of a request as http.Server closes an idle connection on shutdown.
func closeClientConn(ctx context.Context) { tcp.ConnFrom(ctx).Close() }

// Guards against a connection that a client keeps open, and loses with its next request, because its last response did
// not say that the proxy shuts down.
func TestResponseAnnouncesShutdown(t *testing.T) {
	t.Parallel()
	backend := startBlockingBackend(t, serveSealed)
	proxy := startProxy(t, backendItem("i1", backend.address))
	_, response := proxy.beginRequest(t, rawRequest("/o/1", 1, 1))
	<-backend.started
	proxy.stop()
	waitFor(t, "the proxy drains", proxy.draining.Load)
	backend.release()
	if got := <-response; !got.completedWith(200) || !got.closes {
		t.Errorf("the client got %v, announces the close: %v", got, got.closes)
	}
}
