package policy

import (
	"slices"
	"testing"
	"time"

	"sagelever/internal/agent/api"
)

// Rule 1: the answer comes a tick before the client's time is up, and no attempt starts after it.
func TestAnswerTimer(t *testing.T) {
	b := newTestBalancer(0, nil)
	b.acceptTransaction(api.TransactionAccepted{ID: "x", Workload: "effectful", Timeout: 300 * time.Millisecond})
	if w := actionsOf[api.SetTimer](b); len(w) == 0 || w[0].After != 295*time.Millisecond {
		t.Fatalf("timers %v, want one after 295 ms", w)
	}
	x := b.transactions["x"]
	b.putInFlight(x, b.addBackend(1, 1))
	advance(b, transactionTransitions, &x.state, deadlineNear, x)
	if len(actionsOf[api.FailTransaction](b)) != 1 || len(actionsOf[api.DeferTransaction](b)) != 0 {
		t.Errorf("an effectful attempt is in flight: %v, want one failure", b.actions)
	}
	b.actions = nil
	b.attemptEnded(api.AttemptEnded{Transaction: "x", Outcome: api.ErrorResponse})
	if len(b.actions) > 0 {
		t.Errorf("after the answer: %v", b.actions)
	}
}

// Rule 2, by workload, after an error response, which may have run.
func TestNoEffectTwice(t *testing.T) {
	for effect, sends := range map[api.Workload]int{"pure": 1, "receipted": 1, "effectful": 0} {
		b := newTestBalancer(0, nil)
		b.addBackend(1, 1)
		x := b.addTransaction("x", effect)
		b.putInFlight(x, b.addBackend(2, 1))
		b.attemptEnded(api.AttemptEnded{Transaction: "x", Backend: 2, Outcome: api.ErrorResponse})
		if n := len(actionsOf[api.StartAttempt](b)); n != sends {
			t.Errorf("%s: %d retries, want %d", effect, n, sends)
		}
	}
	b := newTestBalancer(0, nil)
	x, a := b.addTransaction("x", "receipted"), b.addBackend(1, 1)
	x.mayHaveRunAt, x.mayHaveRunOn = b.now-1990*time.Millisecond, a
	if !b.eligible(x, a) {
		t.Error("within the receipts' memory, the attempt is not eligible")
	}
	x.mayHaveRunAt -= 10 * time.Millisecond
	if b.eligible(x, a) {
		t.Error("past the receipts' memory, the attempt is eligible")
	}
	x.workload.group, x.mayHaveRunAt = "cell", b.now
	other := b.addBackend(2, 1)
	if other.Cell = 5; b.eligible(x, other) {
		t.Error("an attempt outside the group is eligible")
	}
}

// Rule 3: a backend that drains, or is missing from a snapshot, gets no more attempts.
func TestDrainingBackends(t *testing.T) {
	b := newTestBalancer(0, nil)
	b.updateBackends(api.BackendUpdate{Kind: api.UpdateSnapshot, Backends: []api.Backend{{ID: 1, Build: 1}, {ID: 2,
		Build: 1}}})
	x := b.addTransaction("x", "pure")
	b.updateBackends(api.BackendUpdate{Kind: api.UpdateIncremental, Backends: []api.Backend{{ID: 1, Build: 1,
		State: api.StateDraining}}})
	if a := b.chooseBackend(x); a == nil || a.ID != 2 {
		t.Errorf("chosen %v, want 2", a)
	}
	b.updateBackends(api.BackendUpdate{Kind: api.UpdateSnapshot, Backends: []api.Backend{{ID: 3, Build: 1,
		State: api.StateGone}}})
	if a := b.chooseBackend(x); a != nil {
		t.Errorf("chosen %v from an empty list", a.ID)
	}
}

// An id that comes back with another build, or after a restart, is a new backend: it owes nothing, nothing is known of
// its health, and attempts that still end at the old one bind no key and count for no build there.
func TestReusedBackendID(t *testing.T) {
	b := newTestBalancer(0.5, map[string]any{"trial.oneway": true})
	old := b.addBackend(1, 1)
	old.health, old.failureStreak = ejected, 2
	x := b.addTransaction("x", "pure")
	x.Key = "k"
	b.putInFlight(x, old)
	b.applyList(api.BackendUpdate{Kind: api.UpdateIncremental, Backends: []api.Backend{{ID: 1, Build: 2,
		Started: api.UnknownStart}}})
	a := b.backends[1]
	if len(b.ordered) != 1 || b.ordered[0] != a || a.inFlight != 0 || a.health != healthy || a.failureStreak != 0 ||
		a.Build != 2 {
		t.Errorf("%d backends, the new one %+v", len(b.ordered), a)
	}
	b.attemptEnded(api.AttemptEnded{Transaction: "x", Backend: 1, Outcome: api.Succeeded, Elapsed: time.Millisecond,
		TransactionDone: true})
	if len(b.keyBuilds) != 0 || b.arms[1].outcomes != 0 || a.inFlight != 0 {
		t.Errorf("keys %v, the trial's outcomes %v, in flight %d", b.keyBuilds, b.arms[1].outcomes, a.inFlight)
	}
}

// A malformed response can come from any backend: it blames no build, shows that the backend is alive, may have run,
// and binds its key, as an answer was written.
func TestMalformedResponse(t *testing.T) {
	b := newTestBalancer(0.5, map[string]any{"trial.oneway": true, "trial.allowance": 9.0})
	trial, other := b.addBackend(2, 2), b.addBackend(3, 2)
	trial.failureStreak = 2
	for effect, want := range map[api.Workload]api.Action{"pure": api.StartAttempt{Transaction: "pure", Backend: other.ID},
		"effectful": api.FailTransaction{Transaction: "effectful", Reason: api.ReasonMayHaveRun}} {
		x := b.addTransaction(api.TransactionID(effect), effect)
		x.Key = api.AffinityKey(effect)
		b.putInFlight(x, trial)
		b.attemptEnded(api.AttemptEnded{Transaction: x.ID, Backend: trial.ID, Outcome: api.MalformedResponse,
			Elapsed: time.Millisecond})
		if !slices.Contains(b.actions, want) {
			t.Errorf("%s: %v, want %v", effect, b.actions, want)
		}
		b.actions = nil
		if b.boundBuild(x.Key) != 2 {
			t.Errorf("%s: its key is not bound", effect)
		}
	}
	if b.arms[1].outcomes != 0 || trial.failureStreak != 0 || trial.health != healthy {
		t.Errorf("outcomes %v, %+v", b.arms[1].outcomes, trial)
	}
}

// A request that a backend cannot use blames neither build nor backend, and fails at once: bad clients send hundreds
// that look like any other, and each used to be sent to one backend after the other.
func TestInvalidRequests(t *testing.T) {
	b := newTestBalancer(0.5, nil)
	a := b.addBackend(1, 2)
	b.addBackend(2, 2)
	a.failureStreak = 2
	for range 10 {
		x := b.addTransaction("x", "pure")
		b.putInFlight(x, a)
		b.attemptEnded(api.AttemptEnded{Transaction: "x", Backend: 1, Outcome: api.InvalidRequest, Elapsed: time.Millisecond})
		if len(b.actions) != 1 || b.actions[0] != (api.FailTransaction{Transaction: "x", Reason: api.ReasonInvalidRequest}) ||
			b.transactions["x"] != nil {
			t.Fatalf("actions %v", b.actions)
		}
	}
	if b.arms[1].outcomes != 0 || a.faultRate != 0 || a.failureStreak != 0 || a.health != healthy || a.inFlight != 0 {
		t.Errorf("outcomes %v, %+v", b.arms[1].outcomes, a)
	}
}
