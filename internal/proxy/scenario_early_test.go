package proxy

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"sagelever/internal/proxy/draining"
	"sagelever/internal/proxy/retry"
)

// checkRunsIfContinues checks that the scripted backend ran the request if and only if the rule lets the attempt
// continue.
func (s *scenario) checkRunsIfContinues() {
	s.t.Helper()
	runs := s.backend.runs(scenarioTryID)
	if continues := s.rule.Continuation == retry.Continues; (runs == 1) != continues {
		s.t.Errorf("the backend ran the request %d times, want a run there: %v", runs, continues)
	}
}

// playQueued plays an event while the request waits for a backend.
func (s *scenario) playQueued() {
	s.t.Helper()
	t, proxy := s.t, s.proxy
	firstAddress := s.backend.address()
	s.backend.hold.Store(false)
	if s.event == retry.PermissionRevoked {
		proxy.controller.publish(backendItem("i1", firstAddress))
		waitFor(t, "the backend is known", func() bool { return proxy.backendInState("i1", draining.Serving) })
		s.drainBackend()
	}
	s.send()
	waitFor(t, "the request is queued", func() bool { return proxy.counters.queued.Load() == 1 })
	switch s.event {
	case retry.ClientDisconnected:
		disconnectedAt := time.Now()
		s.client.Close()
		waitFor(t, "the request is rejected", func() bool { return proxy.counters.rejected.Load() == 1 })
		if waited := time.Since(disconnectedAt); waited > 5*time.Second { // the queue deadline is 9 s after the arrival
			t.Errorf("the request of a disconnected client stayed in the queue for %v", waited)
		}
	case retry.Shutdown:
		s.shutDown()
	case retry.ShutdownDeadline:
		proxy.deadline.pass()
	}
	if s.rule.Continuation == retry.Continues {
		s.backend = newScriptedBackend(t)
		proxy.controller.publish(backendItem("i3", s.backend.address()))
	}
	s.check()
	// A request that was rejected is not sent once capacity becomes available.
	proxy.controller.publish(backendItem("i4", firstAddress))
	waitFor(t, "capacity is available", func() bool {
		return proxy.backendInState("i4", draining.Serving) || s.event == retry.Shutdown
	})
	s.checkRunsIfContinues()
}

// holdDial delays the next connections to the scripted backend until release is called. dialing receives a value when
// the first one is delayed.
func (s *scenario) holdDial() (dialing <-chan struct{}, release func()) {
	held, released := make(chan struct{}, 1), make(chan struct{})
	dial := s.proxy.transport.DialContext
	s.proxy.transport.DialContext = func(ctx context.Context, network, hostPort string) (net.Conn, error) {
		conn, err := dial(ctx, network, hostPort)
		if target, _ := parseDestination(hostPort); target.address != s.backend.address() {
			return conn, err
		}
		select {
		case held <- struct{}{}:
		default:
		}
		<-released
		return conn, err
	}
	return held, func() { close(released) }
}

// playDialing plays an event while the connection is being established.
func (s *scenario) playDialing() {
	s.t.Helper()
	t, proxy := s.t, s.proxy
	switch s.event {
	case retry.ConnectionReset:
		s.backend.listener.Close()
		s.send()
		s.check()
		return
	case retry.Timeout:
		unresponsive := unresponsiveAddress(t)
		proxy.controller.publish(drainingItem("i1", s.backend.address()), backendItem("i3", unresponsive))
		waitFor(t, "the unresponsive backend is known", func() bool {
			return proxy.backendInState("i3", draining.Serving) && !proxy.backendInState("i1", draining.Serving)
		})
		s.send()
		s.check()
		return
	}
	s.backend.hold.Store(false)
	dialing, release := s.holdDial()
	s.send()
	<-dialing
	s.waitForPhase(retry.Dialing)
	switch s.event {
	case retry.ClientDisconnected:
		s.disconnectClient()
	case retry.Shutdown:
		s.shutDown()
	case retry.ShutdownDeadline:
		proxy.deadline.pass()
	case retry.PermissionRevoked: // the permission is granted again before the connection is established
		s.drainBackend()
		serving := backendItem("i1", s.backend.address())
		serving.Version = 6
		proxy.controller.publish(serving)
		waitFor(t, "the backend serves again", func() bool { return proxy.backendInState("i1", draining.Serving) })
	}
	release()
	s.check()
	s.checkRunsIfContinues()
}

// unresponsiveAddress returns an address to which no connection can be established, because its accept queue is full.
func unresponsiveAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	port := name.(*syscall.SockaddrInet4).Port
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port}).String()
	for range 20 {
		conn, err := net.DialTimeout("tcp4", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { conn.Close() })
	}
	t.Skip("the system establishes connections beyond a full accept queue")
	return ""
}

// playConnected plays an event while the request has a connection, nearly always a reused one, on which nothing has
// been written. Until then it holds Proxy.mu, which the check before the first byte takes.
func (s *scenario) playConnected() {
	s.t.Helper()
	if s.event == retry.PermissionRevoked {
		s.playPermissionRevoked()
		return
	}
	s.writeCheckReached = make(chan struct{})
	s.leaveIdleConnection()
	s.send()
	<-s.writeCheckReached
	s.waitForPhase(retry.Connected)
	if !s.attempt.Load().reused.Load() { // the transport did not keep the connection
		s.conn = <-s.backend.conns
	}
	s.backend.hold.Store(false)
	s.injectConnected()
	s.proxy.mu.Unlock()
	s.check()
	s.checkRunsOnce()
}

// leaveIdleConnection sends another request before the scenario's, so that the proxy has an idle connection to the
// scripted backend.
func (s *scenario) leaveIdleConnection() {
	s.t.Helper()
	other := clientRequest{tryID: otherTryID, path: s.path(), timeLeftMs: 20000, headerBytes: 1, bodyBytes: 1}
	client := s.proxy.startRequest(s.t, other)
	s.conn = <-s.backend.conns
	if _, err := s.backend.readRequest(s.conn); err != nil {
		s.t.Fatal(err)
	}
	s.write(formatResponse(200, shortBody, otherTryHeader, sealHeader))
	if response := <-client.response; response.status != 200 {
		s.t.Fatalf("the preceding request: %v", response)
	}
}

// checkRunsOnce checks that the request ran once, or not at all after a timeout, a disconnect or the shutdown deadline,
// and that it continued on the connection whose first write was delayed only in the case of a shutdown.
func (s *scenario) checkRunsOnce() {
	s.t.Helper()
	want := 1
	switch s.event {
	case retry.Timeout, retry.ClientDisconnected, retry.ShutdownDeadline:
		want = 0
	}
	runs := s.backend.runs(scenarioTryID)
	if total := runs + int(s.secondRuns.Load()); total != want {
		s.t.Errorf("the request ran %d times, want %d", total, want)
	}
	sameConnection := s.backend.connNumber(scenarioTryID) == s.conn.number
	if runs == 1 && sameConnection != (s.event == retry.Shutdown) {
		s.t.Errorf("the request arrived on connection %d; its first write was delayed on connection %d",
			s.backend.connNumber(scenarioTryID), s.conn.number)
	}
}

// injectConnected triggers the event while writes to the backend are blocked.
func (s *scenario) injectConnected() {
	s.t.Helper()
	switch s.event {
	case retry.ClientDisconnected:
		s.disconnectClient()
		if !s.nonIdempotent {
			s.waitForClose()
		}
	case retry.Shutdown:
		s.shutDown()
		go s.backend.serve(s.conn)
	case retry.Timeout:
		s.waitForClose()
	case retry.ShutdownDeadline:
		s.injectEvent()
		s.waitForClose()
	case retry.ConnectionReset:
		dials := s.proxy.counters.dials.Load()
		s.injectEvent()
		waitFor(s.t, "the proxy has closed the connection or dialed another", func() bool {
			pool := s.proxy.connPool
			pool.mu.Lock()
			defer pool.mu.Unlock()
			return pool.openCount[destination{"i1", s.backend.address()}] == 0 || s.proxy.counters.dials.Load() > dials
		})
	case retry.ConnectionClosed:
		s.injectEvent()
		s.waitForClose()
	default:
		s.writeResponse()
		s.waitForClose()
	}
}

// playPermissionRevoked makes the backend drain while the connection is being established, so that the check before the
// first byte must forbid the write.
func (s *scenario) playPermissionRevoked() {
	s.t.Helper()
	dialing, release := s.holdDial()
	s.backend.hold.Store(false)
	s.send()
	<-dialing
	s.drainBackend()
	release()
	s.check()
	if s.backend.runs(scenarioTryID) != 0 {
		s.t.Error("the request ran on the draining backend")
	}
}
