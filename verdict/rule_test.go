package verdict

import "testing"

// each calls f for every cell of the table.
func each(f func(Phase, Event, Rule)) {
	for _, p := range Phases() {
		for _, e := range Events() {
			f(p, e, Decide(p, e))
		}
	}
}

// Every phase and event has a name of its own, and every rule says something that its parts may say.
func TestTableIsWhole(t *testing.T) {
	names := map[string]bool{}
	for _, p := range Phases() {
		names[p.String()] = true
	}
	for _, e := range Events() {
		names[e.String()] = true
	}
	if len(names) != len(Phases())+len(Events()) {
		t.Errorf("%d names for %d phases and %d events", len(names), len(Phases()), len(Events()))
	}
	each(func(p Phase, e Event, r Rule) {
		if _ = r.Course.String() + r.Run.String() + r.Caller.String() + r.Again.String() + r.Connection.String(); !r.Possible && r != impossible {
			t.Errorf("%v, %v: impossible, and more is said", p, e)
		}
		if r.Possible && (r.Course == GoesOn) != (r.Caller == Awaits) {
			t.Errorf("%v, %v: %v, and the caller %v", p, e, r.Course, r.Caller)
		}
		if r.Possible && (r.Connection == None) != (p < Connected) {
			t.Errorf("%v, %v: the connection is %v", p, e, r.Connection)
		}
	})
}

// What may not run twice is sent again only where it certainly did not run, and a promise is made only there.
func TestSentOnce(t *testing.T) {
	each(func(p Phase, e Event, r Rule) {
		if r.Again == Any && r.Run != NeverRan {
			t.Errorf("%v, %v: sent again though it %v", p, e, r.Run)
		}
		if r.Caller == Refused && r.Run != NeverRan {
			t.Errorf("%v, %v: refused though it %v", p, e, r.Run)
		}
		if r.Again != Never && (r.Caller == Cut || p == Streaming || p == Complete) {
			t.Errorf("%v, %v: sent again behind an answer", p, e)
		}
	})
}

// Once anything is written only an answer to this very try says that the request never ran.
func TestOnlyOwnAnswersProve(t *testing.T) {
	own := map[Event]bool{NotRun: true, Misdirected: true, Rejected: true}
	each(func(p Phase, e Event, r Rule) {
		if r.Possible && p >= HeadWriting && p < Complete && (r.Run == NeverRan) != own[e] {
			t.Errorf("%v, %v: %v", p, e, r.Run)
		}
		if r.Possible && p < HeadWriting && r.Run != NeverRan {
			t.Errorf("%v, %v: %v with nothing written", p, e, r.Run)
		}
	})
}

// A connection is kept only behind an answer that was awaited and read whole; a caller gets only such an answer.
func TestOnlyWholeExchangesLeaveAConnection(t *testing.T) {
	sound := map[Event]bool{Answered: true, Failed: true, NotRun: true, Misdirected: true, Rejected: true, Unproven: true}
	each(func(p Phase, e Event, r Rule) {
		if r.Possible && r.Connection == Keep && r.Course != GoesOn && p != Complete && (!sound[e] || p < Written) {
			t.Errorf("%v, %v: the connection is kept", p, e)
		}
		if e.Answer() && p == Complete && r.Connection != Drop {
			t.Errorf("%v, %v: the connection is kept behind a second answer", p, e)
		}
		if r.Caller == Passed && p != Complete && !sound[e] {
			t.Errorf("%v, %v: passed on", p, e)
		}
	})
}

// A caller that is gone, a shutdown and the end of a leave break off nothing that may not be repeated once it is written.
func TestNothingAtWorkIsBrokenOff(t *testing.T) {
	each(func(p Phase, e Event, r Rule) {
		if p < HeadWriting || p > BodyReading {
			return
		}
		switch e {
		case CallerGone:
			if r.Course != OverRepeatable {
				t.Errorf("%v, %v: %v", p, e, r.Course)
			}
		case Shutdown, Withdrawn:
			if r.Course != GoesOn {
				t.Errorf("%v, %v: %v", p, e, r.Course)
			}
		}
	})
}

// A reset and a close say the same, so that nothing hangs on which of them the system reports.
func TestResetIsClose(t *testing.T) {
	for _, p := range Phases() {
		if a, b := Decide(p, Reset), Decide(p, Close); a.Possible && b.Possible && a != b {
			t.Errorf("%v: %+v and %+v", p, a, b)
		}
	}
}
