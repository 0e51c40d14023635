package retry

import "testing"

// forEachRule calls f for each phase and event with their rule.
func forEachRule(f func(Phase, Event, Rule)) {
	for _, phase := range AllPhases() {
		for _, event := range AllEvents() {
			f(phase, event, Decide(phase, event))
		}
	}
}

// The names of phases and events are unique, and the fields of each rule are consistent.
func TestRuleTableIsConsistent(t *testing.T) {
	names := map[string]bool{}
	for _, phase := range AllPhases() {
		names[phase.String()] = true
	}
	for _, event := range AllEvents() {
		names[event.String()] = true
	}
	if len(names) != len(AllPhases())+len(AllEvents()) {
		t.Errorf("%d names for %d phases and %d events", len(names), len(AllPhases()), len(AllEvents()))
	}
	forEachRule(func(phase Phase, event Event, rule Rule) {
		// String panics for a value without a name.
		_ = rule.Continuation.String() + rule.Execution.String() + rule.Response.String() + rule.Retry.String() +
			rule.Connection.String()
		if !rule.Possible {
			if rule != impossibleRule {
				t.Errorf("%v, %v: an impossible event has the rule %+v", phase, event, rule)
			}
			return
		}
		if (rule.Continuation == Continues) != (rule.Response == Pending) {
			t.Errorf("%v, %v: continuation %v with response %v", phase, event, rule.Continuation, rule.Response)
		}
		if (rule.Connection == NoConnection) != (phase < Connected) {
			t.Errorf("%v, %v: the connection is %v", phase, event, rule.Connection)
		}
	})
}

// A non-idempotent request is retried, and a client gets a 503, only if the request was certainly not executed.
func TestNonIdempotentIsRetriedOnlyIfNotExecuted(t *testing.T) {
	forEachRule(func(phase Phase, event Event, rule Rule) {
		if rule.Retry == Always && rule.Execution != NotExecuted {
			t.Errorf("%v, %v: always retried although %v", phase, event, rule.Execution)
		}
		if rule.Response == ServiceUnavailable && rule.Execution != NotExecuted {
			t.Errorf("%v, %v: 503 although %v", phase, event, rule.Execution)
		}
		clientHasResponse := rule.Response == Aborted || phase == Streaming || phase == Complete
		if rule.Retry != Never && clientHasResponse {
			t.Errorf("%v, %v: retried after the client got a response", phase, event)
		}
	})
}

// Once any part of the request is written, only a response to this attempt proves that the request was not executed.
func TestOnlyOwnResponseProvesNotExecuted(t *testing.T) {
	proof := map[Event]bool{Declined: true, Misdirected: true, RequestRejected: true}
	forEachRule(func(phase Phase, event Event, rule Rule) {
		if !rule.Possible || phase == Complete {
			return
		}
		notExecuted := rule.Execution == NotExecuted
		if phase >= WritingHeader && notExecuted != proof[event] {
			t.Errorf("%v, %v: %v", phase, event, rule.Execution)
		}
		if phase < WritingHeader && !notExecuted {
			t.Errorf("%v, %v: %v with nothing written", phase, event, rule.Execution)
		}
	})
}

// A connection is reused only after a complete response to a completely written request. Only a complete response is
// forwarded.
func TestOnlyCompleteExchangesAllowReuse(t *testing.T) {
	complete := map[Event]bool{
		ResponseReceived:   true,
		ServerError:        true,
		Declined:           true,
		Misdirected:        true,
		RequestRejected:    true,
		UnconfirmedRefusal: true,
	}
	forEachRule(func(phase Phase, event Event, rule Rule) {
		attemptEnds := rule.Possible && rule.Continuation != Continues && phase != Complete
		if attemptEnds && rule.Connection == Reuse && (!complete[event] || phase < AwaitingResponse) {
			t.Errorf("%v, %v: the connection is reused", phase, event)
		}
		if event.IsResponse() && phase == Complete && rule.Connection != Discard {
			t.Errorf("%v, %v: the connection is reused after a second response", phase, event)
		}
		if rule.Response == Forwarded && phase != Complete && !complete[event] {
			t.Errorf("%v, %v: forwarded", phase, event)
		}
	})
}

// A non-idempotent request that is written in full or in part is not interrupted when the client disconnects, the proxy
// shuts down, or the permission to send is revoked.
func TestWrittenRequestsAreNotInterrupted(t *testing.T) {
	forEachRule(func(phase Phase, event Event, rule Rule) {
		if phase < WritingHeader || phase > ReadingBody {
			return
		}
		switch event {
		case ClientDisconnected:
			if rule.Continuation != EndedIfIdempotent {
				t.Errorf("%v, %v: %v", phase, event, rule.Continuation)
			}
		case Shutdown, PermissionRevoked:
			if rule.Continuation != Continues {
				t.Errorf("%v, %v: %v", phase, event, rule.Continuation)
			}
		}
	})
}

// Every request that is not being streamed gets a response at the shutdown deadline, and is not sent again.
func TestShutdownDeadlineEndsRequests(t *testing.T) {
	for _, phase := range AllPhases() {
		rule := Decide(phase, ShutdownDeadline)
		if phase == Streaming {
			if rule.Continuation != Continues {
				t.Errorf("%v: %v", phase, rule.Continuation)
			}
			continue
		}
		answered := rule.Response == Forwarded || rule.Response == ServiceUnavailable || rule.Response == GatewayTimeout
		if rule.Continuation != Ended || !answered || rule.Retry != Never {
			t.Errorf("%v: %+v", phase, rule)
		}
	}
}

// A reset and a close have the same rule, because the operating system may report either of them.
func TestConnectionResetEqualsClose(t *testing.T) {
	for _, phase := range AllPhases() {
		reset, closed := Decide(phase, ConnectionReset), Decide(phase, ConnectionClosed)
		if reset.Possible && closed.Possible && reset != closed {
			t.Errorf("%v: %+v and %+v", phase, reset, closed)
		}
	}
}
