package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"sagelever/internal/control/config"
	"sagelever/internal/proxy/draining"
	"sagelever/internal/proxy/retry"
	"sagelever/internal/settings"
)

// Configuration of the scenarios: long timeouts, and limits that allow large requests.
const (
	scenarioTarget    = 40 * time.Second
	scenarioMaxHeader = 1000000

	scenarioIdempotentRoute = `{"host":"h","pathStart":"/s/","kind":"harmless","giveUp":"20s","target_time":"40s",` +
		`"service":"s","tries":3}`
	scenarioNonIdempotentRoute = `{"host":"h","pathStart":"/o/","kind":"risky","giveUp":"20s","target_time":"40s",` +
		`"service":"s","tries":3}`
	scenarioLimits = `{"headSizeBytes":1000000,"bodySizeBytes":2000000,"headWait":"3s","quiet":"15s"}`
)

// scenario triggers one event in one phase of an attempt, over real connections, and checks that the retry rule holds.
// The request is sent to a scripted backend first. A retry goes to a second backend, which serves it.
type scenario struct {
	t             *testing.T
	phase         retry.Phase
	event         retry.Event
	rule          retry.Rule
	nonIdempotent bool

	proxy      *testProxy
	backend    *scriptedBackend
	secondRuns *atomic.Int64 // requests that the second backend ran
	client     *testClient
	conn       *backendConn // the connection on which the request arrives at the scripted backend

	attempt           atomic.Pointer[attempt]      // the first attempt of the request
	request           atomic.Pointer[http.Request] // the request as the proxy received it
	writeCheckReached chan struct{}                // closed before the first write is checked; nil if it is not delayed
	unsentResponse    string                       // the part of the response that is not yet written
}

// attemptEnds reports whether the event ends the attempt.
func (s *scenario) attemptEnds() bool {
	switch s.rule.Continuation {
	case retry.Ended:
		return true
	case retry.EndedIfIdempotent:
		return !s.nonIdempotent
	}
	return false
}

// retried reports whether the rule requires that the request is sent to the second backend.
func (s *scenario) retried() bool { return s.attemptEnds() && s.rule.Retry.Allows(!s.nonIdempotent) }

// waitForPhase waits until the attempt is in the given phase.
func (s *scenario) waitForPhase(phase retry.Phase) {
	s.t.Helper()
	waitFor(s.t, "the attempt is in phase "+phase.String(), func() bool {
		attempt := s.attempt.Load()
		return attempt != nil && attempt.phase() == phase
	})
}

// write writes text on the connection of the scripted backend. It ignores errors, because the proxy may have closed the
// connection; the checks cover the consequences.
func (s *scenario) write(text string) { _, _ = io.WriteString(s.conn, text) }

// timeLeftMs returns the time for which the client waits.
func (s *scenario) timeLeftMs() int {
	if s.event == retry.Timeout && s.phase != retry.Dialing {
		return 1200
	}
	return 20000
}

// setUp starts the proxy and the two backends. It publishes the backends to the proxy unless the request is to wait in
// the queue.
func (s *scenario) setUp() {
	t := s.t
	t.Helper()
	limits := settings.RuleLimits{ShutdownGrace: 30 * time.Millisecond}
	if s.event == retry.Shutdown {
		limits.ShutdownGrace = 4 * time.Second
	}
	s.backend = newScriptedBackend(t)
	s.backend.hold.Store(true)
	s.proxy = startProxyWithLimits(t, limits,
		configItem(config.Key(config.KindRoutes, "safe"), 2, scenarioIdempotentRoute),
		configItem(config.Key(config.KindRoutes, "once"), 2, scenarioNonIdempotentRoute),
		configItem(config.Key(config.KindLimits, ""), 2, scenarioLimits))
	waitFor(t, "the configuration of the scenarios is applied", func() bool {
		table := s.proxy.routingTable.Load()
		return table.Limits.MaxHeaderBytes == scenarioMaxHeader && table.FindRoute("h", "/s/").LatencyTarget == scenarioTarget
	})
	if s.phase < retry.AwaitingResponse {
		s.shrinkSendBuffers()
	}
	if s.phase != retry.Streaming { // without a retry budget the response is streamed, not retried
		s.proxy.fillRetryBudget()
	}
	s.proxy.onAttempt = s.onAttempt
	second, secondRuns := startBackend(t, serveSealed)
	s.secondRuns = secondRuns
	if s.phase == retry.Queued {
		return
	}
	s.proxy.controller.publish(backendItem("i1", s.backend.address()), remoteBackendItem("i2", second))
	waitFor(t, "both backends are known", func() bool {
		return s.proxy.backendInState("i1", draining.Serving) && s.proxy.backendInState("i2", draining.Serving)
	})
}

// shrinkSendBuffers sets a small send buffer on connections to the scripted backend.
func (s *scenario) shrinkSendBuffers() {
	dial := s.proxy.transport.DialContext
	s.proxy.transport.DialContext = func(ctx context.Context, network, hostPort string) (net.Conn, error) {
		conn, err := dial(ctx, network, hostPort)
		if target, _ := parseDestination(hostPort); err == nil && target.address == s.backend.address() {
			_ = conn.(interface{ SetWriteBuffer(int) error }).SetWriteBuffer(smallBuffer) // needed to reach the phase
		}
		return conn, err
	}
}

// onAttempt stores the first attempt of the scenario's request. If writeCheckReached is set, it takes Proxy.mu, which
// blocks the check before the first byte until the scenario releases the lock.
func (s *scenario) onAttempt(r *http.Request, a *attempt) {
	if r.Header.Get(headerTryID) != scenarioTryID || !s.attempt.CompareAndSwap(nil, a) {
		return
	}
	s.request.Store(r)
	if s.writeCheckReached != nil {
		s.proxy.mu.Lock()
		close(s.writeCheckReached)
	}
}

// path returns the path of the scenario's request, which selects its route.
func (s *scenario) path() string {
	if s.nonIdempotent {
		return "/o/1"
	}
	return "/s/1"
}

// send makes the client send the request, with a header and a body as large as the phase requires.
func (s *scenario) send() {
	request := clientRequest{
		tryID:       scenarioTryID,
		path:        s.path(),
		timeLeftMs:  s.timeLeftMs(),
		headerBytes: 1,
		bodyBytes:   1,
	}
	switch s.phase {
	case retry.WritingHeader:
		request.headerBytes = largeHeader
	case retry.WritingBody:
		request.bodyBytes = largeBody
	}
	s.client = s.proxy.startRequest(s.t, request)
}

// reachPhase brings the attempt to the scenario's phase. From AwaitingResponse on, the bytes that the scripted backend
// writes determine the phase.
func (s *scenario) reachPhase() {
	s.t.Helper()
	s.send()
	select {
	case s.conn = <-s.backend.conns:
	case <-time.After(10 * time.Second):
		s.t.Fatal("no connection arrives at the backend")
	}
	s.backend.hold.Store(false)
	if s.phase == retry.WritingHeader || s.phase == retry.WritingBody {
		s.waitForPhase(s.phase)
		return
	}
	s.readRequest()
	response, written := s.responseUntilPhase()
	s.unsentResponse = response[written:]
	s.write(response[:written])
	s.waitForPhase(s.phase)
}

// responseUntilPhase returns the response of the scripted backend and the number of its bytes that must be written to
// bring the attempt to the scenario's phase.
func (s *scenario) responseUntilPhase() (response string, written int) {
	success := successResponse(responseBodyFor(s.phase))
	response, _ = responseFor(s.event, responseBodyFor(s.phase))
	if !s.event.IsResponse() || s.event == retry.MalformedResponse && s.phase > retry.ReadingHeader {
		response = success
	}
	switch s.phase {
	case retry.ReadingHeader:
		return response, len("HTTP/1.")
	case retry.ReadingBody:
		return response, len(response) - 500
	case retry.Streaming:
		return response, len(response) - 1000
	case retry.Complete:
		return success, len(success)
	}
	return response, 0
}

// readRequest reads the request at the scripted backend.
func (s *scenario) readRequest() {
	s.t.Helper()
	if tryID, err := s.backend.readRequest(s.conn); tryID != scenarioTryID {
		s.t.Fatalf("the backend received try id %q, %v; want %q", tryID, err, scenarioTryID)
	}
}

// disconnectClient closes the client's connection and waits until the proxy has detected it.
func (s *scenario) disconnectClient() {
	s.t.Helper()
	s.client.Close()
	waitFor(s.t, "the proxy detects that the client has disconnected", func() bool {
		return s.request.Load().Context().Err() != nil
	})
}

// shutDown starts the shutdown of the proxy.
func (s *scenario) shutDown() {
	s.t.Helper()
	s.proxy.stop()
	waitFor(s.t, "the proxy drains", s.proxy.draining.Load)
}

// drainBackend makes the scripted backend drain, which revokes the permission to send to it.
func (s *scenario) drainBackend() {
	s.t.Helper()
	s.proxy.controller.publish(drainingItem("i1", s.backend.address()))
	waitFor(s.t, "the backend drains", func() bool { return !s.proxy.backendInState("i1", draining.Serving) })
}

// inject triggers the event in a phase in which the request is on the connection, and completes the attempt if
// it continues.
func (s *scenario) inject() {
	s.t.Helper()
	s.injectEvent()
	if s.attemptEnds() || s.phase == retry.Complete {
		return
	}
	switch {
	case s.phase < retry.AwaitingResponse:
		s.readRequest()
		waitFor(s.t, "the proxy has noticed that the request is complete", s.attempt.Load().requestWritten.Load)
		s.write(successResponse(shortBody))
	case s.event == retry.ForeignResponse:
		s.write(successResponse(shortBody))
	default:
		s.write(s.unsentResponse)
	}
}

func (s *scenario) injectEvent() {
	s.t.Helper()
	switch s.event {
	case retry.ConnectionReset:
		_ = s.conn.SetLinger(0) // makes Close send a reset; fails only if the connection has already ended
		_ = s.conn.Close()
	case retry.ConnectionClosed:
		_ = s.conn.CloseWrite() // fails only if the connection has already ended
	case retry.Timeout: // the backend writes nothing more
	case retry.ClientDisconnected:
		s.disconnectClient()
	case retry.Shutdown:
		s.shutDown()
	case retry.ShutdownDeadline:
		s.proxy.deadline.pass()
	case retry.PermissionRevoked:
		s.drainBackend()
	default:
		s.writeResponse()
		if s.attemptEnds() && s.phase < retry.AwaitingResponse {
			s.waitForHeader()
			s.readRestOfRequest()
		}
	}
}

// waitForHeader waits until the proxy has read the header of the response, or has ended the attempt without one. What is
// read of the request earlier would make it possible that the proxy completes the request first, which is another phase.
func (s *scenario) waitForHeader() {
	s.t.Helper()
	waitFor(s.t, "the proxy has read the header", func() bool {
		return s.attempt.Load().headerRead.Load() || len(s.client.response) > 0
	})
}

// readRestOfRequest reads the rest of a request that was answered early, so that the connection could carry another
// request.
func (s *scenario) readRestOfRequest() {
	if request, err := http.ReadRequest(s.conn.reader); err == nil {
		_, _ = io.Copy(io.Discard, request.Body) // the proxy may close the connection midway
	}
}

// writeResponse writes the response of the event, or the rest of it.
func (s *scenario) writeResponse() {
	switch {
	case s.phase < retry.ReadingHeader || s.phase == retry.Complete:
		response, _ := responseFor(s.event, shortBody)
		s.write(response)
	case s.event == retry.MalformedResponse && s.phase > retry.ReadingHeader:
		s.write(s.unsentResponse + "and more than announced")
	default:
		s.write(s.unsentResponse)
	}
}

// waitForClose waits until the proxy has closed the connection to the scripted backend.
func (s *scenario) waitForClose() {
	s.t.Helper()
	waitFor(s.t, "the proxy has closed the connection", func() bool {
		_, err := s.conn.reader.ReadByte()
		return err != nil
	})
}

// Every retry rule holds over real connections: the response to the client, the number of times the request runs, and
// that a connection is not reused after an incomplete exchange.
func TestRuleTableOverSockets(t *testing.T) {
	possible := 0
	for _, phase := range retry.AllPhases() {
		for _, event := range retry.AllEvents() {
			rule := retry.Decide(phase, event)
			if !rule.Possible {
				continue
			}
			possible++
			for _, nonIdempotent := range []bool{true, false} {
				t.Run(fmt.Sprintf("%v/%v/nonIdempotent=%v", phase, event, nonIdempotent), func(t *testing.T) {
					t.Parallel()
					s := &scenario{t: t, phase: phase, event: event, rule: rule, nonIdempotent: nonIdempotent}
					s.setUp()
					s.play()
				})
			}
		}
	}
	t.Logf("%d possible rules, each for an idempotent and a non-idempotent request", possible)
}

func (s *scenario) play() {
	s.t.Helper()
	switch s.phase {
	case retry.Queued:
		s.playQueued()
	case retry.Dialing:
		s.playDialing()
	case retry.Connected:
		s.playConnected()
	default:
		s.reachPhase()
		s.inject()
		s.check()
		s.checkConnection()
	}
}
