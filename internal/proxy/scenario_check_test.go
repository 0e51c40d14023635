package proxy

import (
	"sagelever/internal/proxy/draining"
	"sagelever/internal/proxy/retry"
)

// check checks the client's response and the number of runs at each backend against the rule.
func (s *scenario) check() {
	s.t.Helper()
	if s.event == retry.ClientDisconnected {
		counters := &s.proxy.counters
		waitFor(s.t, "the request has ended", func() bool {
			ended := counters.failed.Load() + counters.served.Load() + counters.aborted.Load() + counters.rejected.Load()
			return ended > 0
		})
	} else {
		s.checkResponse(<-s.client.response)
	}
	// A request of which nothing was written continues on another connection to the same backend.
	sameBackend := s.phase == retry.Connected && s.event != retry.PermissionRevoked
	if got, want := s.secondRuns.Load(), s.retried() && !sameBackend; (got == 1) != want || got > 1 {
		s.t.Errorf("the second backend ran the request %d times, want a retry there: %v", got, want)
	}
	if runs := s.backend.runs(scenarioTryID); runs > 1 {
		s.t.Errorf("the first backend ran the request %d times", runs)
	}
}

// wantResponse returns the expected response for the client. The body is "" if any body is acceptable.
func (s *scenario) wantResponse() (status int, body string) {
	switch {
	case s.retried():
		return 200, shortBody
	case !s.attemptEnds() || s.phase == retry.Complete:
		if s.event != retry.ForeignResponse && s.phase >= retry.AwaitingResponse {
			return 200, responseBodyFor(s.phase)
		}
		return 200, shortBody
	case s.rule.Response == retry.Forwarded:
		_, status = responseFor(s.event, "")
		if s.phase >= retry.AwaitingResponse {
			return status, responseBodyFor(s.phase)
		}
		return status, shortBody
	}
	statuses := map[retry.ClientResponse]int{
		retry.ServiceUnavailable: 503,
		retry.BadGateway:         502,
		retry.GatewayTimeout:     504,
	}
	return statuses[s.rule.Response], ""
}

// aborted reports whether the client is expected to receive a truncated response.
func (s *scenario) aborted() bool {
	ended := s.attemptEnds() && s.phase != retry.Complete
	return ended && !s.retried() && s.rule.Response == retry.Aborted
}

func (s *scenario) checkResponse(got testResponse) {
	s.t.Helper()
	if s.aborted() {
		if got.err == nil {
			s.t.Errorf("the aborted response looks complete: %d, %d bytes", got.status, len(got.body))
		}
		return
	}
	status, body := s.wantResponse()
	tryID := got.header.Get(headerTryID)
	if !got.completedWith(status) || body != "" && got.body != body || tryID != scenarioTryID {
		s.t.Errorf("the client got %d, %d bytes for the try id %q, %v; want %d, %d bytes",
			got.status, len(got.body), tryID, got.err, status, len(body))
	}
	hasRetryAfter := got.header.Get("Retry-After") != ""
	hasSeal := got.header.Get(headerServerSeal) != ""
	if hasRetryAfter != (status == 503) || hasSeal != (status == 200) {
		s.t.Errorf("%d with the header %v", got.status, got.header)
	}
}

// backendExcluded reports whether nothing may be sent to the scripted backend after the event.
func (s *scenario) backendExcluded() bool {
	switch s.event {
	case retry.PermissionRevoked, retry.Shutdown, retry.ShutdownDeadline:
		return true
	case retry.Misdirected:
		return s.phase != retry.Complete && s.phase != retry.Connected
	}
	return false
}

// checkConnection sends another request to the scripted backend, which may arrive on the same connection only if the
// rule allows its reuse.
func (s *scenario) checkConnection() {
	s.t.Helper()
	if s.backendExcluded() {
		return
	}
	if s.phase == retry.Complete && s.event < retry.Timeout { // the proxy must detect the event first
		s.waitForClose()
	} else {
		go s.backend.serve(s.conn)
	}
	s.proxy.controller.publish(drainingItem("i2", "127.0.0.1:1"))
	waitFor(s.t, "the second backend drains", func() bool { return !s.proxy.backendInState("i2", draining.Serving) })
	next := clientRequest{tryID: "t2", path: "/s/2", timeLeftMs: 20000, headerBytes: 1, bodyBytes: 1}
	waitFor(s.t, "another request is served", func() bool {
		response := <-s.proxy.startRequest(s.t, next).response
		return response.completedWith(200)
	})
	reused := s.backend.connNumber("t2") == s.conn.number
	want := s.rule.Connection == retry.Reuse
	if !s.attemptEnds() && s.event != retry.ForeignResponse {
		want = true // the attempt completed regularly
	}
	if reused != want {
		s.t.Errorf("the next request arrived on the same connection: %v, want %v", reused, want)
	}
}
