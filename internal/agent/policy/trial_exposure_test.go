package policy

import (
	"testing"
	"time"

	"sagelever/internal/agent/api"
)

// If an older rollout state arrives after a newer one, decisions use the newer one, but both bind: the exposure rule
// applies to the last state sent.
func TestLaggingRolloutBinds(t *testing.T) {
	b := newTestBalancer(0.5, map[string]any{"trial.oneway": true})
	x, early, trial := b.addTransaction("x", "pure"), b.addBackend(1, 1), b.addBackend(2, 2)
	x.Key = "k"
	b.receiveRollout(api.RolloutUpdate{Build: 2, Stage: 1, Phase: api.PhaseRollingBack, Cap: 0})
	b.putInFlight(x, trial)
	b.attemptEnded(api.AttemptEnded{Transaction: "x", Backend: 2, Outcome: api.Succeeded, TransactionDone: true})
	y := b.addTransaction("y", "pure")
	if y.Key = "k"; !b.eligible(y, early) {
		t.Fatal("a key is bound to a build that is rolled back")
	}
	b.receiveRollout(api.RolloutUpdate{Build: 2, Cap: 0.1})
	if applies, limit := b.exposureCap(2); !applies || limit != 0 || b.eligible(y, early) ||
		b.rollout.Phase != api.PhaseRollingBack {
		t.Errorf("after an older state: cap %v, eligible %v, %+v", limit, b.eligible(y, early), b.rollout)
	}
	b.receiveRollout(api.RolloutUpdate{Build: 2, Stage: 1, Phase: api.PhaseWithdrawn})
	if !b.eligible(y, early) {
		t.Error("the older state still binds after a newer update")
	}
}

// Rule 5: the sliding window admits the allowance of two attempts plus half of the twenty transactions.
func TestExposure(t *testing.T) {
	b := newTestBalancer(0.5, nil)
	x, a := b.addTransaction("x", "pure"), b.addBackend(1, 2)
	for i := 0; i < 20; i++ {
		b.accepted.Add(b.now, time.Minute)
	}
	n := 0
	for ; b.eligible(x, a) && n < 100; n++ {
		attempts, _ := b.exposureCounters(2, x.workload)
		attempts.Add(b.now, time.Minute)
	}
	if n != 12 {
		t.Errorf("%d attempts at the trial, want 12", n)
	}
	a.Build = 3 // not announced: the first stage's cap of 0.1
	if _, limit := b.exposureCap(3); limit != 0.1 {
		t.Errorf("cap %v for an unannounced build, want 0.1", limit)
	}
	a.Build, b.rollout.Cap = 2, 0
	if b.now += 10 * time.Second; b.eligible(x, a) {
		t.Error("an attempt at cap 0 is eligible")
	}
	b.rollout.Cap, b.settings.guardedStages = 1, 1.0
	if !b.eligible(x, a) || b.eligible(b.addTransaction("y", "effectful"), a) {
		t.Error("a guarded stage must accept pure attempts and no others")
	}
}

// A key served by the trial is not sent to an earlier build unless the trial is rolled back.
func TestKeysBoundToBuild(t *testing.T) {
	b := newTestBalancer(1, map[string]any{"trial.oneway": true, "trial.allowance": 99.0})
	x, early, trial := b.addTransaction("x", "pure"), b.addBackend(1, 1), b.addBackend(2, 2)
	x.Key = "k"
	b.putInFlight(x, trial)
	b.attemptEnded(api.AttemptEnded{Transaction: "x", Backend: 2, Outcome: api.Succeeded, TransactionDone: true})
	y := b.addTransaction("y", "pure")
	if y.Key = "k"; b.eligible(y, early) || !b.eligible(y, trial) {
		t.Error("a bound key is eligible at an earlier build")
	}
	for outcome, bound := range map[api.Outcome]bool{api.TimedOut: true, api.Canceled: true, api.ConnectionLost: true,
		api.MalformedResponse: true,
		api.ErrorResponse:     false, api.InvalidRequest: false, api.Rejected: false, api.Unreachable: false,
		api.NotSent: false} {
		z := b.addTransaction("z", "pure")
		z.Key = "other"
		b.putInFlight(z, trial)
		b.attemptEnded(api.AttemptEnded{Transaction: "z", Backend: 2, Outcome: outcome, TransactionDone: true})
		if (b.boundBuild("other") == 2) != bound {
			t.Errorf("after outcome %v the key is bound: %v", outcome, !bound)
		}
		delete(b.keyBuilds, "other")
	}
	w := b.addTransaction("w", "pure")
	w.Key = "pending"
	b.putInFlight(w, trial)
	if b.boundBuild("pending") != 0 {
		t.Error("a key is bound before a response is possible")
	}
	if b.now += unconfirmedBindDelay; b.boundBuild("pending") != 2 {
		t.Error("a key is not bound although a response may have been written")
	}
	b.attemptEnded(api.AttemptEnded{Transaction: "w", Backend: 2, Outcome: api.ErrorResponse})
	if b.boundBuild("pending") != 0 || len(b.unconfirmed) != 0 {
		t.Errorf("after an error response: bound to %d, %v", b.boundBuild("pending"), b.unconfirmed)
	}
	b.settings.bindKeys = false // the deployment does not bind keys
	v := b.addTransaction("v", "pure")
	v.Key = "free"
	b.putInFlight(v, trial)
	if b.now += unconfirmedBindDelay; b.boundBuild("free") != 0 {
		t.Error("a key is bound although the deployment does not bind keys")
	}
	b.settings.bindKeys = true
	if b.rollout.Phase = api.PhaseRollingBack; !b.eligible(y, early) {
		t.Error("a bound key is not eligible at an earlier build although the trial is rolling back")
	}
}

// If only received responses bind, a slow or canceled attempt at the trial does not bind its key, and its hedge goes to
// the baseline. Otherwise good builds were rolled back in large fleets.
func TestOnlyReceivedAnswersBind(t *testing.T) {
	b := newTestBalancer(1, map[string]any{"trial.oneway": true, "trial.unseen": false, "trial.allowance": 99.0})
	early, trial := b.addBackend(1, 1), b.addBackend(2, 2)
	b.addBackend(3, 2)
	for outcome, bound := range map[api.Outcome]bool{api.Succeeded: true, api.TimedOut: false,
		api.Canceled: false, api.ConnectionLost: false} {
		x := b.addTransaction("x", "pure")
		x.Key = "k"
		b.putInFlight(x, trial)
		if b.now += 2 * unconfirmedBindDelay; !b.eligible(x, early) || b.chooseBackend(x) != early {
			t.Error("the hedge of a slow attempt does not go to the baseline")
		}
		b.attemptEnded(api.AttemptEnded{Transaction: "x", Backend: 2, Outcome: outcome, TransactionDone: true})
		if (b.boundBuild("k") == 2) != bound {
			t.Errorf("after outcome %v the key is bound: %v", outcome, !bound)
		}
		delete(b.keyBuilds, "k")
	}
}

// A sparse agent gives the trial no more first attempts than its share of capacity, even if the cap allows more.
func TestTrialShareOfSparseAgent(t *testing.T) {
	b := newTestBalancer(1, map[string]any{"trial.allowance": 1000.0})
	for id := api.BackendID(1); id <= 20; id++ {
		b.addBackend(id, 1).Build = 1 + api.Build(id)/19 // two run the trial
	}
	trial := 0
	for range 100 {
		b.now += time.Second
		b.acceptTransaction(api.TransactionAccepted{ID: "x", Workload: "pure", Timeout: time.Second})
		if a := b.transactions["x"].attempts[0].backend; a.Build == 2 {
			trial++
		}
		b.attemptEnded(api.AttemptEnded{Transaction: "x", Outcome: api.Succeeded, TransactionDone: true})
	}
	if trial < 7 || trial > 13 {
		t.Errorf("%d of 100 first attempts at two of twenty backends, want about ten", trial)
	}
}

// Sparse agents must not use up their caps together when trial backends are first listed: 80 agents would send 80 times
// the allowance simultaneously. Each follows the trial's share of capacity from the first attempt on, with a random
// start.
func TestSparseAgentsDoNotRushTrial(t *testing.T) {
	total, highest := 0, 0
	for seed := range uint64(80) {
		b := newTestBalancer(0.12, map[string]any{"trial.window": 6 * time.Second, "trial.allowance": 3.0,
			"trial.caps": []float64{0.12, 0.42, 1}})
		b.randomState = seed*0x9e3779b97f4a7c15 + 1
		for id := range api.BackendID(60) {
			b.addBackend(id+1, api.Build(1+(id%10)/9)) // every tenth runs the build on trial
		}
		b.trialBuild = 1
		b.switchTrialBuild()
		for range 170 {
			b.accepted.Add(b.now-time.Second, time.Minute)
			b.demand.Add(b.now, demandHalfLife, 1) // 25 a second, for which the allowance alone is not too large
		}
		if !b.sparse() || b.rate(&b.demand) < 3/(0.2*0.12*6) {
			t.Fatal("the agent is not sparse, or its allowance is too large against the cap")
		}
		own := 0
		for i := range 12 {
			id := api.TransactionID([]byte{byte(i)})
			b.acceptTransaction(api.TransactionAccepted{ID: id, Workload: "pure", Timeout: time.Second})
			if x := b.transactions[id]; x != nil && len(x.attempts) > 0 && x.attempts[0].backend.Build == 2 {
				own++
			}
		}
		total, highest = total+own, max(highest, own)
	}
	if total < 40 || total > 160 || highest > 3 { // a tenth of 960 is 96
		t.Errorf("%d of 960 first attempts at the trial, want about 96; up to %d of 12 by one agent, want at most 3", total,
			highest)
	}
}
