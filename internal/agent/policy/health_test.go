package policy

import (
	"math"
	"testing"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/stats/decay"
)

// Rule 4: three or three hundred agents that pace their attempts independently do not overload a warming backend.
func TestSlowStartPace(t *testing.T) {
	for _, agents := range []int{3, 300} {
		n := 0
		for i := range agents {
			b := newTestBalancer(0, nil)
			b.randomState = uint64(i+1) * 0x9E3779B97F4A7C15
			for id := api.BackendID(1); id <= 10; id++ {
				b.addBackend(id, 1)
			}
			a := b.backends[3]
			a.Started, a.paceTokens, a.paceRefilledAt = b.now, b.randomFloat(), b.now
			each := 100 / float64(agents) // 100 a second by all agents, 10 for each backend
			b.demand.Add(b.now, demandHalfLife, each*demandHalfLife.Seconds()/math.Ln2)
			for range 100 {
				b.now += 10 * time.Millisecond
				b.demand.Add(b.now, demandHalfLife, each/100)
				if b.slowStartAllows(a) {
					a.paceTokens--
					n++
				}
			}
		}
		if n < 4 || n > 9 { // 1.4 x 0.4 to 0.55 x 10 a second, plus one or two by chance
			t.Errorf("%d agents: %d attempts at a warming backend in one second, want about 6", agents, n)
		}
	}
}

// A silent backend is ejected, then probed by one attempt, and used again after a success.
func TestHealth(t *testing.T) {
	b := newTestBalancer(0, nil)
	a, other := b.addBackend(1, 1), b.addBackend(2, 1)
	b.demand.Add(b.now, demandHalfLife, 1000)
	b.putInFlight(b.addTransaction("x", "pure"), a)
	b.now += time.Second
	b.heartbeat()
	if a.health != ejected || a.available() || !other.available() {
		t.Errorf("silent backend: health %v, want ejected", a.health)
	}
	a.inFlight = 0
	b.now += time.Second
	if b.heartbeat(); a.health != probing || !a.available() {
		t.Errorf("after the ejection: health %v, want probing", a.health)
	}
	y := b.addTransaction("y", "pure")
	b.putInFlight(y, a)
	if a.available() {
		t.Error("a backend that is being probed is available for a second attempt")
	}
	b.attemptEnded(api.AttemptEnded{Transaction: "y", Backend: 1, Outcome: api.Succeeded, TransactionDone: true})
	if a.health != healthy {
		t.Errorf("after a success: health %v, want healthy", a.health)
	}
}

// A trial backend that fails every attempt is ejected, and its outcomes are removed from its arm.
func TestFailingBackend(t *testing.T) {
	b := newTestBalancer(1, nil)
	a := b.addBackend(1, 2)
	b.addBackend(2, 1)
	b.arms[1], a.counts = arm{outcomes: 30, payoff: 25}, arm{outcomes: 10, payoff: 5}
	for i := 0; i < 5; i++ {
		x := b.addTransaction("x", "effectful")
		b.putInFlight(x, a)
		b.attemptEnded(api.AttemptEnded{Transaction: "x", Backend: 1, Outcome: api.ErrorResponse})
	}
	if b.arms[1].outcomes != 20 || b.arms[1].payoff != 20 || a.health != ejected {
		t.Errorf("counts %v, health %v; want 20 of 20 and ejected", b.arms[1], a.health)
	}
}

// An agent that rarely uses a backend ejects it for longer.
func TestEjectionBySparseAgent(t *testing.T) {
	b := newTestBalancer(0, nil)
	a := b.addBackend(1, 1)
	b.listedCount = 20
	b.demand.Add(b.now, demandHalfLife, 2*demandHalfLife.Seconds()/math.Ln2) // two a second, one at each backend every ten seconds
	if b.eject(a); (a.ejectedUntil - b.now).Round(time.Millisecond) != 5*time.Second {
		t.Errorf("ejected for %v, want 5s", a.ejectedUntil-b.now)
	}
}

// A backend at which most peers' attempts fail is ejected and does not count as evidence, even if this agent made none
// of the attempts.
func TestUnhealthyBackendReportedByPeers(t *testing.T) {
	b := newTestBalancer(0.5, nil)
	unhealthy, other := b.addBackend(1, 2), b.addBackend(2, 2)
	if b.applyPeerCounts(other, arm{outcomes: 4, payoff: 3, faults: 1}); b.arms[1].outcomes != 4 || other.health != healthy {
		t.Errorf("one error in four: %v outcomes, health %v", b.arms[1].outcomes, other.health)
	}
	b.applyPeerCounts(unhealthy, arm{outcomes: 2, payoff: 0, faults: 2})
	if unhealthy.health != healthy {
		t.Error("two consecutive errors make a backend unhealthy")
	}
	b.applyPeerCounts(unhealthy, arm{outcomes: 4, payoff: 0, faults: 4})
	if b.arms[1].outcomes != 4 || unhealthy.counts.outcomes != 0 || unhealthy.health != ejected {
		t.Errorf("%v outcomes, %v of them by the unhealthy backend, health %v", b.arms[1].outcomes, unhealthy.counts.outcomes,
			unhealthy.health)
	}
}

// healthReports is an agent with six backends that receives peers' health reports.
type healthReports struct {
	*Balancer
	all []*backend
}

// report delivers a peer's report on a backend and runs the timers that it set.
func (b *healthReports) report(from api.PeerNumber, kind healthReportKind, a *backend) {
	b.receiveMessage(api.MessageReceived{From: from, Data: healthMessage(kind, []api.BackendID{a.ID})})
	for id, f := range b.timers { // agent 0 acts without delay
		delete(b.timers, id)
		f()
	}
}

// An unhealthy backend is broadcast once three agents have reported it within half a second. Receivers eject it unless
// it responded recently or half of the backends are ejected. A report of its recovery ends the ejection.
func TestUnhealthyBackendsReported(t *testing.T) {
	b := &healthReports{Balancer: newTestBalancer(0.5, map[string]any{"may.tell": true, "agents": 80.0, "number": 0.0})}
	for id := range api.BackendID(6) {
		b.all = append(b.all, b.addBackend(id+1, 1))
	}
	b.checkThreeReportsEject(t)
	b.checkHalfOfUsersEject(t)
	b.checkRecovered(t)
	b.checkConfirmedReports(t)
	b.checkMalformedIgnored(t)
}

// checkThreeReportsEject checks that the first backend is ejected, and the ejection broadcast, once three agents have
// reported it within the window.
func (b *healthReports) checkThreeReportsEject(t *testing.T) {
	t.Helper()
	a := b.all[0]
	b.report(1, reportUnhealthy, a)
	b.report(1, reportUnhealthy, a)
	b.report(2, reportUnhealthy, a)
	if b.now += healthReportWindow + time.Millisecond; a.health != healthy {
		t.Error("ejected after reports of two agents")
	}
	b.report(3, reportUnhealthy, a)
	b.report(1, reportUnhealthy, a)
	if a.health != healthy {
		t.Error("reports older than half a second count")
	}
	b.report(2, reportUnhealthy, a)
	b.reportHealth()
	if sent := actionsOf[api.SendMessage](b.Balancer); a.health != ejected || len(sent) != 1 || !sent[0].All ||
		sent[0].Data[0] != 2 {
		t.Fatalf("reports of three agents: health %v, sent %v", a.health, sent)
	}
	b.actions = nil
}

// checkHalfOfUsersEject checks that a backend used by many agents is ejected only after half of them have reported it.
func (b *healthReports) checkHalfOfUsersEject(t *testing.T) {
	t.Helper()
	busy := b.all[5]
	for range 40 { // 5.5 a second, 440 by all agents, 73 at each backend: 37 in half a second, half of which is 19
		b.demand.Add(b.now, demandHalfLife, 1)
	}
	for from := range api.PeerNumber(18) {
		b.report(from+10, reportUnhealthy, busy)
	}
	if busy.health != healthy {
		t.Error("ejected after reports of 18 of 37 agents")
	}
	if b.report(40, reportUnhealthy, busy); busy.health != ejected {
		t.Error("not ejected after reports of half of the agents that use it")
	}
	b.reportHealth()
	b.actions, b.demand = nil, decay.Sum{}
	busy.health = healthy
}

// checkRecovered checks that the first backend, whose ejection was broadcast, is not reported again, and that it is
// probed after a report of its recovery.
func (b *healthReports) checkRecovered(t *testing.T) {
	t.Helper()
	a := b.all[0]
	for _, from := range []api.PeerNumber{4, 5, 6} {
		b.report(from, reportUnhealthy, a)
	}
	if b.reportHealth(); len(actionsOf[api.SendMessage](b.Balancer)) != 0 {
		t.Error("a broadcast ejection is reported again")
	}
	b.report(9, reportRecovered, a)
	if a.health != probing {
		t.Errorf("reported as recovered: health %v, want probing", a.health)
	}
}

// checkConfirmedReports checks that confirmed reports cause an ejection unless the backend responded recently or half of
// the backends are ejected.
func (b *healthReports) checkConfirmedReports(t *testing.T) {
	t.Helper()
	b.all[1].lastResponseAt = b.now - 100*time.Millisecond
	if b.report(1, reportConfirmed, b.all[1]); b.all[1].health != healthy {
		t.Error("a backend that responded recently is ejected")
	}
	b.report(1, reportConfirmed, b.all[2])
	b.report(1, reportConfirmed, b.all[3])
	if b.report(1, reportConfirmed, b.all[4]); b.all[3].health != ejected || b.all[4].health != healthy {
		t.Errorf("health %v and %v, want half of the backends ejected and no more", b.all[3].health, b.all[4].health)
	}
}

// checkMalformedIgnored checks that malformed messages have no effect.
func (b *healthReports) checkMalformedIgnored(t *testing.T) {
	t.Helper()
	for _, malformed := range [][]byte{{}, {0}, {0, 1, 2, 3}, {7, 0, 0, 0, 5}, {2, 9, 9, 9, 9}, {0, 0, 0, 0, 5, 1}} {
		if b.receiveMessage(api.MessageReceived{From: 1, Data: malformed}); b.all[4].health != healthy {
			t.Errorf("message %v ejects a backend", malformed)
		}
	}
}

// Backends found unhealthy are reported to six agents and recovered ones to all, unless agents may not send messages.
func TestHealthMessages(t *testing.T) {
	for _, c := range []struct {
		mayMessage           bool
		unhealthy, recovered int
	}{{true, 5, 1}, {false, 0, 0}} {
		b := newTestBalancer(0.5, map[string]any{"may.tell": c.mayMessage, "agents": 80.0, "number": 3.0})
		a := b.addBackend(1, 1)
		advance(b, healthTransitions, &a.health, foundUnhealthy, a)
		b.reportHealth()
		if n := len(actionsOf[api.SendMessage](b)); n != c.unhealthy {
			t.Errorf("may send messages %v: %d reports of an unhealthy backend", c.mayMessage, n)
		}
		b.actions, a.broadcastAt, a.health = nil, b.now, probing
		advance(b, healthTransitions, &a.health, foundHealthy, a)
		b.reportHealth()
		if n := len(actionsOf[api.SendMessage](b)); n != c.recovered || a.broadcastAt != 0 {
			t.Errorf("may send messages %v: %d reports of a recovered backend", c.mayMessage, n)
		}
	}
}

// An unreachable listed backend causes another watch request, after a random delay and not more often than half of the
// period.
func TestUnreachableBackends(t *testing.T) {
	b := newTestBalancer(0.5, map[string]any{"discovery": "asked", "discovery.within": 9 * time.Second})
	a := b.addBackend(1, 1)
	b.listReceived, b.nextWatchAt = true, b.now+time.Minute // the last list arrived long ago
	x := b.addTransaction("x", "pure")
	b.putInFlight(x, a)
	b.attemptEnded(api.AttemptEnded{Transaction: "x", Backend: 1, Outcome: api.Unreachable})
	at := b.nextWatchAt
	if b.listReceived || at > b.now+4500*time.Millisecond {
		t.Error("no watch request is scheduled within half of the period")
	}
	b.now = at
	b.retryWatch()
	at = b.nextWatchAt
	for range 50 { // backends are unreachable ten times a second while discovery is overloaded
		b.now += 80 * time.Millisecond
		b.scheduleWatch()
	}
	if b.nextWatchAt != at {
		t.Error("another watch request is scheduled within half of the period")
	}
	b.now += time.Second
	if b.scheduleWatch(); b.nextWatchAt == at {
		t.Error("no watch request is scheduled after half of the period")
	}
}
