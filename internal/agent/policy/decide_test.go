package policy

import (
	"testing"
	"time"

	"sagelever/internal/agent/api"
)

// Attempts in flight are limited by the latency of responses; a transaction that was queued too long is answered at
// once.
func TestConcurrencyLimit(t *testing.T) {
	b := newTestBalancer(0, map[string]any{"may.advise": true, "return.most": 500 * time.Millisecond})
	b.addBackend(1, 1)
	b.flowOf(b.workloadOf("pure"), "").limit = 0
	x := b.addTransaction("x", "pure")
	if advance(b, transactionTransitions, &x.state, accepted, x); len(b.actions) != 0 || len(b.queue) != 1 {
		t.Errorf("past the limit: %v", b.actions)
	}
	b.now += 126 * time.Millisecond
	b.retryQueued()
	if d := actionsOf[api.DeferTransaction](b); len(d) != 1 || d[0].RetryAfter <= 0 ||
		d[0].Reason != api.ReasonConcurrencyLimit || len(actionsOf[api.StartAttempt](b)) != 0 {
		t.Errorf("queued past a quarter of the goal: %v, want a deferral with a time to return", b.actions)
	}
	f := b.flowOf(b.workloadOf("pure"), "")
	f.limit, f.inFlight = 40, 40
	for i := 0; i < 50; i++ {
		f.latencyRatio.Add(b.now, latencyRatioHalfLife, 1)
	}
	if b.heartbeat(); f.limit >= 40 {
		t.Errorf("responses at the goal time leave the limit at %v", f.limit)
	}
}

// A workload that is slow at every backend lowers its own limit and no other's.
func TestSlowWorkloadLimitsOnlyItself(t *testing.T) {
	b := newTestBalancer(0, nil)
	slow, quick := b.flowOf(b.workloadOf("receipted"), ""), b.flowOf(b.workloadOf("pure"), "")
	slow.limit, quick.limit, slow.inFlight, quick.inFlight = 40, 40, 20, 20
	for range 50 {
		b.now += heartbeatInterval
		slow.latencyRatio.Add(b.now, latencyRatioHalfLife, 2)
		quick.latencyRatio.Add(b.now, latencyRatioHalfLife, 0.2)
		b.heartbeat()
	}
	if slow.limit > 20 || quick.limit < 20 {
		t.Errorf("limits %v and %v", slow.limit, quick.limit)
	}
}

// State does not grow with what has passed through: after many transactions, keys, backends and builds none is left.
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
				State: api.BackendState(i % 5 / 4)}) // one drains, and is never listed as gone
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
		t.Errorf("open %d, unfinished %d, queued %d, keys %d, backends %d, ordered %d, exposure %d, flows %d, timers %d",
			len(b.transactions), len(b.unfinished),
			len(b.queue), len(b.keyBuilds), len(b.backends), len(b.ordered), len(b.exposure), len(b.flows), len(b.timers))
	}
}

// Contradictory settings lead to fewer messages and no votes, never to a crash or more exposure.
func TestContradictorySettings(t *testing.T) {
	for name, c := range map[string]struct {
		agents, number float64
		sent           int
	}{"no agents": {0, 0, 0}, "alone": {1, 0, 0}, "number out of range": {3, 400, 3}, "number below none": {80, -1, 6}} {
		b := newTestBalancer(0.1, map[string]any{"may.tell": true, "agents": c.agents, "number": c.number,
			"trial.control":   "single",
			"trial.allowance": 1.0})
		a, other := b.addBackend(1, 2), b.addBackend(2, 1)
		b.noteUnhealthyReport(other, 7)
		advance(b, healthTransitions, &a.health, foundUnhealthy, a)
		b.heartbeat()
		if sent := actionsOf[api.SendMessage](b); len(sent) != c.sent {
			t.Errorf("%s: %d messages", name, len(sent))
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
		b.arms = [2]arm{{picked: 900, outcomes: 900, payoff: 900}, {picked: 100, outcomes: 100, payoff: 10, ownOutcomes: 100}}
		if v := b.verdict(); c.number > 100 && v != api.VerdictNone {
			t.Errorf("%s: verdict %v", name, v)
		}
	}
}

// An overloaded discovery rejects calls, and the watch then stays silent: agents ask at different moments, and again
// until a list has come. A cached list and an empty one do not count.
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
			t.Fatalf("%d watches in 4.5 s", asked)
		}
		b.updateBackends(api.BackendUpdate{Kind: api.UpdateIncremental})
		if step(40 * time.Second); asked < 3 || asked > 6 {
			t.Errorf("%d watches in 40 s without a list", asked)
		}
		b.updateBackends(api.BackendUpdate{Kind: api.UpdateIncremental, Backends: []api.Backend{{ID: 2}}})
		was := asked
		if step(90 * time.Second); asked != was {
			t.Error("the watch is repeated once a list has come")
		}
	}
	if len(first) < 8 {
		t.Errorf("20 agents ask at %d moments", len(first))
	}
}

// Where each call to discovery is answered, it is made once, at the start, as a failed one is reported.
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
		t.Errorf("%d watches", asked)
	}
}
