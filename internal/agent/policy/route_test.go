package policy

import (
	"slices"
	"testing"
	"time"

	"sagelever/internal/agent/api"
)

// Rule 1: the answer is sent a tick before the client's timeout, and no attempt starts afterwards.
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

// Rule 2: after an error response, which may have run, retries depend on the workload's effect.
func TestNoEffectTwice(t *testing.T) {
	for effect, retries := range map[api.Workload]int{"pure": 1, "receipted": 1, "effectful": 0} {
		b := newTestBalancer(0, nil)
		b.addBackend(1, 1)
		x := b.addTransaction("x", effect)
		b.putInFlight(x, b.addBackend(2, 1))
		b.attemptEnded(api.AttemptEnded{Transaction: "x", Backend: 2, Outcome: api.ErrorResponse})
		if n := len(actionsOf[api.StartAttempt](b)); n != retries {
			t.Errorf("%s: %d retries, want %d", effect, n, retries)
		}
	}
	b := newTestBalancer(0, nil)
	x, a := b.addTransaction("x", "receipted"), b.addBackend(1, 1)
	x.mayHaveRunAt, x.mayHaveRunOn = b.now-1990*time.Millisecond, a
	if !b.eligible(x, a) {
		t.Error("not eligible within the lifetime of receipts")
	}
	x.mayHaveRunAt -= 10 * time.Millisecond
	if b.eligible(x, a) {
		t.Error("eligible after the lifetime of receipts")
	}
	x.workload.receiptGroup, x.mayHaveRunAt = "cell", b.now
	other := b.addBackend(2, 1)
	if other.Cell = 5; b.eligible(x, other) {
		t.Error("eligible at a backend outside the receipt group")
	}
}

// Rule 3: a draining backend, or one missing from a snapshot, gets no more attempts.
func TestDrainingBackends(t *testing.T) {
	b := newTestBalancer(0, nil)
	b.updateBackends(api.BackendUpdate{Kind: api.UpdateSnapshot, Backends: []api.Backend{{ID: 1, Build: 1}, {ID: 2,
		Build: 1}}})
	x := b.addTransaction("x", "pure")
	b.updateBackends(api.BackendUpdate{Kind: api.UpdateIncremental, Backends: []api.Backend{{ID: 1, Build: 1,
		State: api.StateDraining}}})
	if a := b.chooseBackend(x); a == nil || a.ID != 2 {
		t.Errorf("chose %v, want backend 2", a)
	}
	b.updateBackends(api.BackendUpdate{Kind: api.UpdateSnapshot, Backends: []api.Backend{{ID: 3, Build: 1,
		State: api.StateGone}}})
	if a := b.chooseBackend(x); a != nil {
		t.Errorf("chose backend %v although none is listed", a.ID)
	}
}

// An ID that is reused with another build, or after a restart, denotes a new backend: it has no attempts in flight and
// no health state, and attempts that end at the old one neither bind a key nor count as outcomes of the new build.
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
		t.Errorf("%d backends, new backend %+v", len(b.ordered), a)
	}
	b.attemptEnded(api.AttemptEnded{Transaction: "x", Backend: 1, Outcome: api.Succeeded, Elapsed: time.Millisecond,
		TransactionDone: true})
	if len(b.keyBuilds) != 0 || b.arms[1].outcomes != 0 || a.inFlight != 0 {
		t.Errorf("keys %v, trial outcomes %v, in flight %d", b.keyBuilds, b.arms[1].outcomes, a.inFlight)
	}
}

// A malformed response is no evidence against the build, since any backend may send one. It shows that the backend is
// alive, may have run, and binds its key, because a response was written.
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
			t.Errorf("%s: key is not bound", effect)
		}
	}
	if b.arms[1].outcomes != 0 || trial.failureStreak != 0 || trial.health != healthy {
		t.Errorf("outcomes %v, %+v", b.arms[1].outcomes, trial)
	}
}

// An invalid request is no evidence against build or backend and fails without a retry. Otherwise each of the many
// invalid requests of a faulty client would be sent to one backend after another.
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
