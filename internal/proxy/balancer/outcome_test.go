package balancer

import (
	"testing"
	"time"

	"sagelever/internal/proxy/retry"
)

// Only outcomes that are evidence against a backend pause it, so that it does not get the next request.
func TestOutcomeAffectsHealth(t *testing.T) {
	const short, long = 20 * time.Millisecond, 2 * time.Second
	for _, test := range []struct {
		name    string
		outcome Outcome
		pauses  bool // whether probeFailures of these in a row pause the backend
	}{
		{"success", Outcome{Connected: true, Execution: retry.Executed, Status: 200, Succeeded: true}, false},
		{"client error", Outcome{Connected: true, Execution: retry.Executed, Status: 404}, false},
		{"refused connection", Outcome{Execution: retry.NotExecuted}, true},
		{"idle connection was closed", Outcome{StaleConnection: true, Execution: retry.NotExecuted}, false},
		{"lost response", Outcome{Connected: true, Execution: retry.MaybeExecuted}, true},
		{"overloaded", Outcome{Connected: true, Execution: retry.NotExecuted, Status: 503}, true},
		{"client disconnected while dialing", Outcome{Cancelled: true, Execution: retry.NotExecuted, Latency: long}, false},
		{"client disconnected while waiting",
			Outcome{Cancelled: true, Connected: true, Execution: retry.MaybeExecuted, Latency: long}, false},
		{"timeout before dialing", Outcome{Cancelled: true, TimedOut: true, Execution: retry.NotExecuted}, false},
		{"timeout after dialing for a short time",
			Outcome{Cancelled: true, TimedOut: true, Execution: retry.NotExecuted, Latency: dialTimeThreshold - 1}, false},
		{"timeout after dialing for a long time",
			Outcome{Cancelled: true, TimedOut: true, Execution: retry.NotExecuted, Latency: dialTimeThreshold}, true},
		{"timeout after a short silence",
			Outcome{Cancelled: true, TimedOut: true, Connected: true, Execution: retry.MaybeExecuted, Latency: short}, false},
		{"timeout after a long silence",
			Outcome{Cancelled: true, TimedOut: true, Connected: true, Execution: retry.MaybeExecuted, Latency: long}, true},
	} {
		b := newTestBalancer("a1", nil)
		b.addBackend("i1", "a1", "v1", 0, start)
		for range probeFailures {
			request := b.startRequest(idempotentPath, start)
			backend := b.Backend("i1")
			b.assign(b.service(request.Service), request, backend, start)
			b.ReportOutcome(request, backend, test.outcome, start)
		}
		if paused := b.pickFor(idempotentPath, start) == nil; paused != test.pauses {
			t.Errorf("%s: backend paused: %t, want %t", test.name, paused, test.pauses)
		}
	}
}

// The silence threshold grows with the typical latency, within bounds.
func TestSilenceThreshold(t *testing.T) {
	for typical, want := range map[time.Duration]time.Duration{
		0:                      defaultSilenceThreshold,
		20 * time.Millisecond:  minSilenceThreshold,
		100 * time.Millisecond: 400 * time.Millisecond,
		250 * time.Millisecond: time.Second,
		400 * time.Millisecond: time.Second,
		3 * time.Second:        6 * time.Second,
	} {
		if got := silenceThreshold(typical); got != want {
			t.Errorf("typical latency %s: threshold %s, want %s", typical, got, want)
		}
	}
}
