package policy

import (
	"testing"
	"time"

	"sagelever/internal/agent/api"
)

// Attempts in flight are limited by the latency of responses. A transaction queued for too long is answered
// immediately.
func TestConcurrencyLimit(t *testing.T) {
	b := newTestBalancer(0, map[string]any{"may.advise": true, "return.most": 500 * time.Millisecond})
	b.addBackend(1, 1)
	b.flowOf(b.workloadOf("pure"), "").limit = 0
	x := b.addTransaction("x", "pure")
	if advance(b, transactionTransitions, &x.state, accepted, x); len(b.actions) != 0 || len(b.queue) != 1 {
		t.Errorf("above the limit: actions %v, want a queued transaction", b.actions)
	}
	b.now += 126 * time.Millisecond
	b.retryQueued()
	if d := actionsOf[api.DeferTransaction](b); len(d) != 1 || d[0].RetryAfter <= 0 ||
		d[0].Reason != api.ReasonConcurrencyLimit || len(actionsOf[api.StartAttempt](b)) != 0 {
		t.Errorf("queued for more than a quarter of the goal: actions %v, want a deferral with a retry delay", b.actions)
	}
	f := b.flowOf(b.workloadOf("pure"), "")
	f.limit, f.inFlight = 40, 40
	for i := 0; i < 50; i++ {
		f.latencyRatio.Add(b.now, latencyRatioHalfLife, 1)
	}
	if b.heartbeat(); f.limit >= 40 {
		t.Errorf("limit %v with latencies at the goal, want below 40", f.limit)
	}
}

// A workload that is slow at every backend lowers only its own limit.
func TestSlowWorkloadLimitsOnlyItself(t *testing.T) {
	b := newTestBalancer(0, nil)
	slow, fast := b.flowOf(b.workloadOf("receipted"), ""), b.flowOf(b.workloadOf("pure"), "")
	slow.limit, fast.limit, slow.inFlight, fast.inFlight = 40, 40, 20, 20
	for range 50 {
		b.now += heartbeatInterval
		slow.latencyRatio.Add(b.now, latencyRatioHalfLife, 2)
		fast.latencyRatio.Add(b.now, latencyRatioHalfLife, 0.2)
		b.heartbeat()
	}
	if slow.limit > 20 || fast.limit < 20 {
		t.Errorf("limit %v of the slow workload and %v of the fast one", slow.limit, fast.limit)
	}
}

// State does not accumulate: after many transactions, keys, backends and builds, none of them is retained.
func TestStateStaysBounded(t *testing.T) {
	b := newTestBalancer(0.5, map[string]any{"trial.oneway": true, "trial.control": "single"})
	now := b.now
	step := func(e api.Event) []api.Action { return b.Step(now, e) }
	for build := range api.Build(20) {
		step(api.RolloutUpdate{Build: build + 3, Cap: 0.5})
		var list []api.Backend
		for i := range 6 {
			id := api.BackendID(int(build)%3*6 + i)
			list = append(list, api.Backend{ID: id, Build: build + 2 + api.Build(i%2), Started: now - time.Minute,
				State: api.BackendState(i % 5 / 4)}) // one drains and is never reported as gone
		}
		step(api.BackendUpdate{Kind: api.UpdateSnapshot, Backends: list})
		for i := range 200 {
			now += 5 * time.Millisecond
			id := api.TransactionID(string(rune(1000*int(build) + i + 5000)))
			for _, a := range step(api.TransactionAccepted{ID: id, Workload: "pure", Key: api.AffinityKey(id),
				Timeout: time.Second}) {
				if s, ok := a.(api.StartAttempt); ok {
					step(api.AttemptEnded{Transaction: id, Backend: s.Backend, Outcome: api.Succeeded, Elapsed: time.Millisecond,
						TransactionDone: true})
				}
			}
		}
	}
	now += 10 * time.Second
	for id := range b.timers {
		step(api.TimerFired{Timer: id})
	}
	step(api.RolloutUpdate{Build: 99, Cap: 0.5})
	step(api.BackendUpdate{Kind: api.UpdateSnapshot})
	left := len(b.transactions) + len(b.unfinished) + len(b.queue) + len(b.keyBuilds) + len(b.unconfirmed) +
		len(b.backends) + len(b.ordered)
	if left > 0 || len(b.exposure) > 1 || len(b.flows) > 1 || len(b.timers) > 1 {
		t.Errorf("transactions %d, unfinished %d, queued %d, keys %d, backends %d, ordered %d, exposure %d, flows %d, timers %d",
			len(b.transactions), len(b.unfinished),
			len(b.queue), len(b.keyBuilds), len(b.backends), len(b.ordered), len(b.exposure), len(b.flows), len(b.timers))
	}
}

// Contradictory settings reduce messages and votes but cause neither a panic nor more exposure.
func TestContradictorySettings(t *testing.T) {
	for name, c := range map[string]struct {
		agents, number float64
		sent           int
	}{"no agents": {0, 0, 0}, "single agent": {1, 0, 0}, "number too high": {3, 400, 3}, "negative number": {80, -1, 6}} {
		b := newTestBalancer(0.1, map[string]any{"may.tell": true, "agents": c.agents, "number": c.number,
			"trial.control":   "single",
			"trial.allowance": 1.0})
		a, other := b.addBackend(1, 2), b.addBackend(2, 1)
		b.handleUnhealthyReport(other, 7)
		advance(b, healthTransitions, &a.health, foundUnhealthy, a)
		b.heartbeat()
		if sent := actionsOf[api.SendMessage](b); len(sent) != c.sent {
			t.Errorf("%s: %d messages, want %d", name, len(sent), c.sent)
		}
		x := b.addTransaction("x", "pure")
		b.accepted.Add(b.now, time.Minute)
		if !b.exposureAllows(x, a) {
			t.Errorf("%s: the first attempt at the trial is not allowed", name)
		}
		b.putInFlight(x, a)
		if b.exposureAllows(x, a) {
			t.Errorf("%s: a second attempt at the trial is allowed", name)
		}
		b.arms = [2]arm{{pulls: 900, outcomes: 900, payoff: 900}, {pulls: 100, outcomes: 100, payoff: 10, ownOutcomes: 100}}
		if v := b.verdict(); c.number > 100 && v != api.VerdictNone {
			t.Errorf("%s: verdict %v", name, v)
		}
	}
}

// An overloaded discovery may drop a watch request without an error, so agents repeat the request at different times
// until a list arrives. A cached or empty list does not count.
func TestWatchRetriedUntilListArrives(t *testing.T) {
	first := map[time.Duration]bool{}
	for seed := range uint64(20) {
		b := New(seed*0x9e3779b97f4a7c15+12345, map[string]any{"discovery": "asked", "discovery.within": 9 * time.Second})
		b.Step(0, api.BackendUpdate{Kind: api.UpdateCached, Backends: []api.Backend{{ID: 1}}})
		asked := len(actionsOf[api.WatchBackends](b))
		step := func(until time.Duration) {
			for ; b.now < until; b.now += heartbeatInterval {
				b.actions = nil
				b.retryWatch()
				if n := len(actionsOf[api.WatchBackends](b)); n > 0 && asked == 0 {
					first[b.now/(100*time.Millisecond)] = true
				}
				asked += len(actionsOf[api.WatchBackends](b))
			}
		}
		if step(4600 * time.Millisecond); asked != 1 {
			t.Fatalf("%d watch requests in 4.5 s, want 1", asked)
		}
		b.updateBackends(api.BackendUpdate{Kind: api.UpdateIncremental})
		if step(40 * time.Second); asked < 3 || asked > 6 {
			t.Errorf("%d watch requests in 40 s without a list, want 3 to 6", asked)
		}
		b.updateBackends(api.BackendUpdate{Kind: api.UpdateIncremental, Backends: []api.Backend{{ID: 2}}})
		was := asked
		if step(90 * time.Second); asked != was {
			t.Error("watch request repeated after a list arrived")
		}
	}
	if len(first) < 8 {
		t.Errorf("20 agents sent requests at %d different times, want at least 8", len(first))
	}
}

// If discovery reports every failed call, the watch request is sent only once, at the start.
func TestWatchNotRetriedAfterReportedFailure(t *testing.T) {
	b := New(1, map[string]any{"discovery": "asked", "discovery.unsure": false})
	b.Step(0, api.BackendUpdate{Kind: api.UpdateCached, Backends: []api.Backend{{ID: 1}}})
	asked := len(actionsOf[api.WatchBackends](b))
	for b.now < 30*time.Second {
		b.now += heartbeatInterval
		b.actions = nil
		b.scheduleWatch()
		b.retryWatch()
		asked += len(actionsOf[api.WatchBackends](b))
	}
	if asked != 1 {
		t.Errorf("%d watch requests, want 1", asked)
	}
}
