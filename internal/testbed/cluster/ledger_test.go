package cluster

import (
	"strings"
	"testing"
	"time"
)

const ledgerBound = 300 * time.Millisecond

var ledgerStart = time.Unix(1_800_000_000, 0)

// ledgerTime returns the time ms milliseconds after ledgerStart.
func ledgerTime(ms int) time.Time {
	return ledgerStart.Add(time.Duration(ms) * time.Millisecond)
}

// ledgerTest is a sequence of events after a successful operation, with the expected violation.
type ledgerTest struct {
	record func(l *Ledger)
	want   string // expected in the error of Check; empty: no error
}

var ledgerTests = map[string]ledgerTest{
	"nothing wrong": {record: func(*Ledger) {}},
	"success without a run": {
		record: func(l *Ledger) {
			l.AttemptStarted("b", "b-0", "k", false, ledgerStart)
			l.AttemptEnded("b-0", 200, true, true, true)
		},
		want: "lost=1",
	},
	"attempt run twice": {
		record: func(l *Ledger) { l.RunCompleted("a-0", 0) },
		want:   "doubled=1",
	},
	"two attempts run": {
		record: func(l *Ledger) {
			l.AttemptStarted("a", "a-1", "k", true, ledgerStart)
			l.RunCompleted("a-1", 0)
		},
		want: "doubled=1",
	},
	"run despite a refusal": {
		record: func(l *Ledger) {
			l.AttemptStarted("b", "b-0", "k", true, ledgerStart)
			l.RunCompleted("b-0", 0)
			l.AttemptEnded("b-0", 503, true, true, true)
		},
		want: "doubled=1",
	},
	"run aborted": {
		record: func(l *Ledger) {
			l.AttemptStarted("b", "b-0", "k", false, ledgerStart)
			l.RunAborted("b-0")
		},
		want: "cut=1",
	},
	"incomplete response": {
		record: func(l *Ledger) {
			l.AttemptStarted("b", "b-0", "k", false, ledgerStart)
			l.AttemptEnded("b-0", 0, false, false, true)
		},
		want: "dropped=1",
	},
	"response to another request": {
		record: func(l *Ledger) {
			l.AttemptStarted("b", "b-0", "k", false, ledgerStart)
			l.AttemptEnded("b-0", 200, true, false, true)
		},
		want: "mixed=1",
	},
	"late arrival": {
		record: func(l *Ledger) {
			l.RemovalAcknowledged("backend", "emptying", ledgerStart)
			l.RequestArrived("backend", ledgerTime(300), ledgerBound)
			l.RequestArrived("backend", ledgerTime(301), ledgerBound)
			l.BackendReturned("backend", ledgerTime(400))
			l.RequestArrived("backend", ledgerTime(500), ledgerBound)
		},
		want: "late_after_notice=1",
	},
}

// A summary counts each kind of violation. Each case starts with a successful operation.
func TestLedger(t *testing.T) {
	for name, test := range ledgerTests {
		t.Run(name, func(t *testing.T) {
			l := NewLedger()
			l.AttemptStarted("a", "a-0", "k", true, ledgerStart)
			l.RunCompleted("a-0", 10*time.Millisecond)
			l.AttemptEnded("a-0", 200, true, true, true)
			l.OperationEnded("a", ledgerTime(30))
			test.record(l)
			test.check(t, l.Summarize(ledgerStart, time.Time{}))
		})
	}
}

// check checks the summary of a test case.
func (test ledgerTest) check(t *testing.T, summary Summary) {
	t.Helper()
	err := summary.Check()
	if test.want == "" && err != nil {
		t.Errorf("%v: %v", err, summary)
	}
	if test.want == "" && summary.Kinds["k"].WaitP99 != 20*time.Millisecond {
		t.Errorf("wait time: %v, want 20 ms", summary.Kinds["k"].WaitP99)
	}
	if test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)) {
		t.Errorf("%v, want %s: %v", err, test.want, summary)
	}
	late := strings.HasPrefix(test.want, "late")
	kind := summary.Kinds["k"]
	if violated := kind.Violations > 0; violated != (test.want != "" && !late) || kind.Requests != summary.Requests {
		t.Errorf("by kind: %+v", kind)
	}
	if late && summary.LastArrivalMax != 301*time.Millisecond {
		t.Errorf("last arrival: %v", summary.LastArrivalMax)
	}
}

// Check fails for a summary without served requests.
func TestEmptySummaryFails(t *testing.T) {
	if (Summary{}).Check() == nil {
		t.Error("Check accepts a summary without served requests")
	}
}
