package retry

import "testing"

// forEachRule calls f for every cell of the table.
func forEachRule(f func(Phase, Event, Rule)) {
	for _, p := range AllPhases() {
		for _, e := range AllEvents() {
			f(p, e, Decide(p, e))
		}
	}
}

// Every phase and event has a name of its own, and every rule says something that its parts may say.
func TestRuleTableIsConsistent(t *testing.T) {
	names := map[string]bool{}
	for _, p := range AllPhases() {
		names[p.String()] = true
	}
	for _, e := range AllEvents() {
		names[e.String()] = true
	}
	if len(names) != len(AllPhases())+len(AllEvents()) {
		t.Errorf("%d names for %d phases and %d events", len(names), len(AllPhases()), len(AllEvents()))
	}
	forEachRule(func(p Phase, e Event, r Rule) {
		if _ = r.Continuation.String() + r.Execution.String() + r.Response.String() + r.Retry.String() + r.Connection.String(); !r.Possible && r != impossibleRule {
			t.Errorf("%v, %v: impossible, and more is said", p, e)
		}
		if r.Possible && (r.Continuation == Continues) != (r.Response == Pending) {
			t.Errorf("%v, %v: %v, and the caller %v", p, e, r.Continuation, r.Response)
		}
		if r.Possible && (r.Connection == NoConnection) != (p < Connected) {
			t.Errorf("%v, %v: the connection is %v", p, e, r.Connection)
		}
	})
}

// What may not run twice is sent again only where it certainly did not run, and a promise is made only there.
func TestNonIdempotentIsRetriedOnlyIfNotExecuted(t *testing.T) {
	forEachRule(func(p Phase, e Event, r Rule) {
		if r.Retry == Always && r.Execution != NotExecuted {
			t.Errorf("%v, %v: sent again though it %v", p, e, r.Execution)
		}
		if r.Response == ServiceUnavailable && r.Execution != NotExecuted {
			t.Errorf("%v, %v: refused though it %v", p, e, r.Execution)
		}
		if r.Retry != Never && (r.Response == Aborted || p == Streaming || p == Complete) {
			t.Errorf("%v, %v: sent again behind an answer", p, e)
		}
	})
}

// Once anything is written only an answer to this very try says that the request never ran.
func TestOnlyOwnResponseProvesNotExecuted(t *testing.T) {
	own := map[Event]bool{Declined: true, Misdirected: true, RequestRejected: true}
	forEachRule(func(p Phase, e Event, r Rule) {
		if r.Possible && p >= WritingHeader && p < Complete && (r.Execution == NotExecuted) != own[e] {
			t.Errorf("%v, %v: %v", p, e, r.Execution)
		}
		if r.Possible && p < WritingHeader && r.Execution != NotExecuted {
			t.Errorf("%v, %v: %v with nothing written", p, e, r.Execution)
		}
	})
}

// A connection is kept only behind an answer that was awaited and read whole; a caller gets only such an answer.
func TestOnlyCompleteExchangesAllowReuse(t *testing.T) {
	complete := map[Event]bool{ResponseReceived: true, ServerError: true, Declined: true, Misdirected: true, RequestRejected: true, UnconfirmedRefusal: true}
	forEachRule(func(p Phase, e Event, r Rule) {
		if r.Possible && r.Connection == Reuse && r.Continuation != Continues && p != Complete && (!complete[e] || p < AwaitingResponse) {
			t.Errorf("%v, %v: the connection is kept", p, e)
		}
		if e.IsResponse() && p == Complete && r.Connection != Discard {
			t.Errorf("%v, %v: the connection is kept behind a second answer", p, e)
		}
		if r.Response == Forwarded && p != Complete && !complete[e] {
			t.Errorf("%v, %v: passed on", p, e)
		}
	})
}

// A caller that is gone, a shutdown and the end of a leave break off nothing that may not be repeated once it is written.
func TestWrittenRequestsAreNotInterrupted(t *testing.T) {
	forEachRule(func(p Phase, e Event, r Rule) {
		if p < WritingHeader || p > ReadingBody {
			return
		}
		switch e {
		case ClientDisconnected:
			if r.Continuation != EndedIfIdempotent {
				t.Errorf("%v, %v: %v", p, e, r.Continuation)
			}
		case Shutdown, PermissionRevoked:
			if r.Continuation != Continues {
				t.Errorf("%v, %v: %v", p, e, r.Continuation)
			}
		}
	})
}

// A reset and a close say the same, so that nothing hangs on which of them the system reports.
func TestConnectionResetEqualsClose(t *testing.T) {
	for _, p := range AllPhases() {
		if a, b := Decide(p, ConnectionReset), Decide(p, ConnectionClosed); a.Possible && b.Possible && a != b {
			t.Errorf("%v: %+v and %+v", p, a, b)
		}
	}
}
