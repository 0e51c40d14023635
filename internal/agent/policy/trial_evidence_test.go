package policy

import (
	"testing"
	"time"

	"sagelever/internal/agent/api"
)

// Slow responses and error responses are evidence. Rejections and outcomes of silent or warming backends are not.
func TestEvidence(t *testing.T) {
	b := newTestBalancer(1, nil)
	a, early := b.addBackend(1, 2), b.addBackend(2, 1)
	b.workloadOf("pure").latencyOn("").Add(b.now, baselineHalfLife, 0.05)
	record := func(to *backend, outcome api.Outcome, elapsed time.Duration, warmingUp bool) arm {
		x := b.addTransaction("x", "pure")
		b.arms = [2]arm{{outcomes: 1, payoff: 1}, {outcomes: 1, payoff: 1}}
		b.addEvidence(x, &attempt{backend: to, startedAt: b.now, warmingUp: warmingUp}, api.AttemptEnded{Outcome: outcome,
			Elapsed: elapsed})
		return b.arms[b.armOf(to)]
	}
	for _, c := range []struct {
		name             string
		to               *backend
		outcome          api.Outcome
		elapsed          time.Duration
		warmingUp        bool
		outcomes, payoff float64
	}{
		{"fast", a, api.Succeeded, 100 * time.Millisecond, false, 2, 2},
		{"slow", a, api.Succeeded, 300 * time.Millisecond, false, 2, 1.5},
		{"slow, baseline", early, api.Succeeded, 300 * time.Millisecond, false, 2, 1.5},
		{"error response", a, api.ErrorResponse, 0, false, 2, 1},
		{"error response, warming up", a, api.ErrorResponse, 0, true, 1, 1},
		{"rejected", a, api.Rejected, 0, false, 1, 1},
		{"unreachable", a, api.Unreachable, 0, false, 1, 1},
		{"silent", a, api.TimedOut, time.Second, false, 1, 1},
	} {
		if got := record(c.to, c.outcome, c.elapsed, c.warmingUp); got.outcomes != c.outcomes || got.payoff != c.payoff {
			t.Errorf("%s: %v of %v, want %v of %v", c.name, got.payoff, got.outcomes, c.payoff, c.outcomes)
		}
	}
	early.listed, a.lastResponseAt = false, b.now+1
	for _, outcome := range []api.Outcome{api.Succeeded, api.TimedOut} {
		if got := record(a, outcome, time.Second, false); got.payoff != got.outcomes {
			t.Errorf("slow without a baseline backend: outcome %v has payoff %v of %v", outcome, got.payoff, got.outcomes)
		}
	}
}

// One bad backend of four does not indicate a bad build, while four equally bad ones do.
func TestUnhealthyBackendAmongMany(t *testing.T) {
	for _, sums := range [][4]float64{{49, 49, 49, 10}, {39, 39, 40, 39}} {
		b := newTestBalancer(1, nil)
		for i, sum := range sums {
			b.addBackend(api.BackendID(i), 2).counts = arm{outcomes: 50, payoff: sum}
		}
		b.arms = [2]arm{{outcomes: 500, payoff: 490}, {outcomes: 200, payoff: 157, ownOutcomes: 50}}
		want := api.VerdictRollBack
		if sums[3] == 10 {
			want = api.VerdictNone
		}
		if got := b.verdict(); got != want {
			t.Errorf("payoffs %v of 50: verdict %v, want %v", sums, got, want)
		}
	}
}

// A complaint also stands for unreported wrong responses: if one in four is reported, four responses lose their payoff.
func TestComplaint(t *testing.T) {
	b := newTestBalancer(1, map[string]any{"trial.complaints": 0.25})
	a := b.addBackend(1, 2)
	b.arms[1], a.counts = arm{outcomes: 30, payoff: 30}, arm{outcomes: 10, payoff: 10}
	b.applyComplaint(api.Complaint{Backend: 1, Age: time.Second})
	a.Started = b.now
	b.applyComplaint(api.Complaint{Backend: 1, Age: time.Second}) // about the backend that had this ID before
	if b.arms[1].payoff != 26 || a.counts.payoff != 6 {
		t.Errorf("payoffs %v and %v, want 26 and 6", b.arms[1].payoff, a.counts.payoff)
	}
}
