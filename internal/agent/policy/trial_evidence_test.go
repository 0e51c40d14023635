package policy

import (
	"testing"
	"time"

	"sagelever/internal/agent/api"
)

// Rejections, silent backends and backends that are warming up are no evidence; slow responses and error responses are.
func TestEvidence(t *testing.T) {
	b := newTestBalancer(1, nil)
	a, early := b.addBackend(1, 2), b.addBackend(2, 1)
	b.workloadOf("pure").latencyOn("").Add(b.now, baselineHalfLife, 0.05)
	feed := func(to *backend, outcome api.Outcome, after time.Duration, cold bool) arm {
		x := b.addTransaction("x", "pure")
		b.arms = [2]arm{{outcomes: 1, payoff: 1}, {outcomes: 1, payoff: 1}}
		b.weighOutcome(x, &attempt{backend: to, startedAt: b.now, warmingUp: cold}, api.AttemptEnded{Outcome: outcome,
			Elapsed: after})
		return b.arms[b.armOf(to)]
	}
	for _, c := range []struct {
		what    string
		to      *backend
		outcome api.Outcome
		after   time.Duration
		cold    bool
		n, sum  float64
	}{
		{"quick", a, api.Succeeded, 100 * time.Millisecond, false, 2, 2},
		{"slow", a, api.Succeeded, 300 * time.Millisecond, false, 2, 1.5},
		{"slow, earlier", early, api.Succeeded, 300 * time.Millisecond, false, 2, 1.5},
		{"error response", a, api.ErrorResponse, 0, false, 2, 1},
		{"error response, warming up", a, api.ErrorResponse, 0, true, 1, 1},
		{"rejected", a, api.Rejected, 0, false, 1, 1},
		{"unreachable", a, api.Unreachable, 0, false, 1, 1},
		{"silent", a, api.TimedOut, time.Second, false, 1, 1},
	} {
		if got := feed(c.to, c.outcome, c.after, c.cold); got.outcomes != c.n || got.payoff != c.sum {
			t.Errorf("%s: %v of %v, want %v of %v", c.what, got.payoff, got.outcomes, c.sum, c.n)
		}
	}
	early.listed, a.lastAnswer = false, b.now+1
	for _, outcome := range []api.Outcome{api.Succeeded, api.TimedOut} {
		if got := feed(a, outcome, time.Second, false); got.payoff != got.outcomes {
			t.Errorf("late with no earlier backend left: outcome %v counts %v of %v", outcome, got.payoff, got.outcomes)
		}
	}
}

// One bad backend among four is no bad build; four that are all as bad are.
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

// A client's complaint stands for those that go unreported: one in four is reported, so four answers lose their payoff.
func TestComplaint(t *testing.T) {
	b := newTestBalancer(1, map[string]any{"trial.complaints": 0.25})
	a := b.addBackend(1, 2)
	b.arms[1], a.counts = arm{outcomes: 30, payoff: 30}, arm{outcomes: 10, payoff: 10}
	b.applyComplaint(api.Complaint{Backend: 1, Age: time.Second})
	a.Started = b.now
	b.applyComplaint(api.Complaint{Backend: 1, Age: time.Second}) // of a backend that had this id before
	if b.arms[1].payoff != 26 || a.counts.payoff != 6 {
		t.Errorf("payoffs %v and %v, want 26 and 6", b.arms[1].payoff, a.counts.payoff)
	}
}
