package policy

import (
	"math"
	"testing"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/stats/decay"
)

// Rule 4: three agents, or three hundred, that each keep their pace start together as many attempts as a backend that
// is warming up can take.
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
			a.Started, a.paceCredit, a.paceCreditAt = b.now, b.randomFloat(), b.now
			each := 100 / float64(agents) // 100 a second over all, 10 for each backend
			b.demand.Add(b.now, demandHalfLife, each*demandHalfLife.Seconds()/math.Ln2)
			for range 100 {
				b.now += 10 * time.Millisecond
				b.demand.Add(b.now, demandHalfLife, each/100)
				if b.slowStartAllows(a) {
					a.paceCredit--
					n++
				}
			}
		}
		if n < 4 || n > 9 { // 1.4 x 0.4 to 0.55 x 10 a second, by chance one or two more
			t.Errorf("%d agents: %d attempts at a backend that is warming up in a second, want about 6", agents, n)
		}
	}
}

// A silent backend is ejected, probed with one attempt, and used again.
func TestHealth(t *testing.T) {
	b := newTestBalancer(0, nil)
	a, other := b.addBackend(1, 1), b.addBackend(2, 1)
	b.demand.Add(b.now, demandHalfLife, 1000)
	b.putInFlight(b.addTransaction("x", "pure"), a)
	b.now += time.Second
	b.heartbeat()
	if a.health != ejected || a.available() || !other.available() {
		t.Errorf("a silent backend is in state %v", a.health)
	}
	a.inFlight = 0
	b.now += time.Second
	if b.heartbeat(); a.health != probing || !a.available() {
		t.Errorf("after its ejection it is in state %v", a.health)
	}
	y := b.addTransaction("y", "pure")
	b.putInFlight(y, a)
	if a.available() {
		t.Error("a second attempt goes to a backend that is probed")
	}
	b.attemptEnded(api.AttemptEnded{Transaction: "y", Backend: 1, Outcome: api.Succeeded, TransactionDone: true})
	if a.health != healthy {
		t.Errorf("after an answer it is in state %v", a.health)
	}
}

// One trial backend that fails everything is unhealthy: its outcomes are taken out of its arm, and it is ejected.
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
		t.Errorf("counts %v, health %v; want 20 of 20 left and an ejection", b.arms[1], a.health)
	}
}

// An agent that uses a backend rarely ejects it for longer.
func TestEjectionBySparseAgent(t *testing.T) {
	b := newTestBalancer(0, nil)
	a := b.addBackend(1, 1)
	b.listedCount = 20
	b.demand.Add(b.now, demandHalfLife, 2*demandHalfLife.Seconds()/math.Ln2) // two a second, each backend every ten
	if b.eject(a); (a.ejectedUntil - b.now).Round(time.Millisecond) != 5*time.Second {
		t.Errorf("ejected for %v, want 5s", a.ejectedUntil-b.now)
	}
}

// A backend at which most agents' attempts fail is unhealthy, though this agent has seen none of them: it is ejected
// and is no evidence.
func TestUnhealthyBackendLearnedFromPeers(t *testing.T) {
	b := newTestBalancer(0.5, nil)
	unhealthy, other := b.addBackend(1, 2), b.addBackend(2, 2)
	if b.learnFromPeer(other, arm{outcomes: 4, payoff: 3, faults: 1}); b.arms[1].outcomes != 4 || other.health != healthy {
		t.Errorf("one error in four: %v counted, health %v", b.arms[1].outcomes, other.health)
	}
	b.learnFromPeer(unhealthy, arm{outcomes: 2, payoff: 0, faults: 2})
	if unhealthy.health != healthy {
		t.Error("two errors in a row make a backend unhealthy")
	}
	b.learnFromPeer(unhealthy, arm{outcomes: 4, payoff: 0, faults: 4})
	if b.arms[1].outcomes != 4 || unhealthy.counts.outcomes != 0 || unhealthy.health != ejected {
		t.Errorf("%v counted, %v of the unhealthy one's, health %v", b.arms[1].outcomes, unhealthy.counts.outcomes,
			unhealthy.health)
	}
}

// healthReports is an agent with six backends that others report on.
type healthReports struct {
	*Balancer
	all []*backend
}

// report has the agent receive a report on a backend, and act on it at once.
func (b *healthReports) report(from api.PeerNumber, kind healthReportKind, a *backend) {
	b.receiveMessage(api.MessageReceived{From: from, Data: healthMessage(kind, []api.BackendID{a.ID})})
	for id, f := range b.timers { // the turn of agent 0 comes at once
		delete(b.timers, id)
		f()
	}
}

// Three agents must find a backend unhealthy within half a second before one tells all. That is followed unless the
// backend has just answered or half of all would be ejected; a report that it is healthy again ends the ejection.
func TestUnhealthyBackendsReported(t *testing.T) {
	b := &healthReports{Balancer: newTestBalancer(0.5, map[string]any{"may.tell": true, "agents": 80.0, "number": 0.0})}
	for id := range api.BackendID(6) {
		b.all = append(b.all, b.addBackend(id+1, 1))
	}
	b.checkThreeReportsEject(t)
	b.checkHalfOfUsersEject(t)
	b.checkRecovered(t)
	b.checkConfirmedReports(t)
	b.checkNoiseIgnored(t)
}

// checkThreeReportsEject checks that the first backend is ejected, and all told, once three agents have reported it
// within the time.
func (b *healthReports) checkThreeReportsEject(t *testing.T) {
	t.Helper()
	a := b.all[0]
	b.report(1, reportUnhealthy, a)
	b.report(1, reportUnhealthy, a)
	b.report(2, reportUnhealthy, a)
	if b.now += healthReportWindow + time.Millisecond; a.health != healthy {
		t.Error("two reports are enough")
	}
	b.report(3, reportUnhealthy, a)
	b.report(1, reportUnhealthy, a)
	if a.health != healthy {
		t.Error("reports of more than half a second ago count")
	}
	b.report(2, reportUnhealthy, a)
	b.reportHealth()
	if sent := actionsOf[api.SendMessage](b.Balancer); a.health != ejected || len(sent) != 1 || !sent[0].All ||
		sent[0].Data[0] != 2 {
		t.Fatalf("three reports: health %v, sent %v", a.health, sent)
	}
	b.actions = nil
}

// checkHalfOfUsersEject checks that a backend which many agents use is ejected only once half of these have reported
// it.
func (b *healthReports) checkHalfOfUsersEject(t *testing.T) {
	t.Helper()
	busy := b.all[5]
	for range 40 { // 5.5 a second, 440 by all, 73 at each backend: 37 in half a second, of which 19 make half
		b.demand.Add(b.now, demandHalfLife, 1)
	}
	for from := range api.PeerNumber(18) {
		b.report(from+10, reportUnhealthy, busy)
	}
	if busy.health != healthy {
		t.Error("18 of 37 are enough")
	}
	if b.report(40, reportUnhealthy, busy); busy.health != ejected {
		t.Error("half of those who use the backend are not enough")
	}
	b.reportHealth()
	b.actions, b.demand = nil, decay.Sum{}
	busy.health = healthy
}

// checkRecovered checks that the first backend, which is ejected everywhere, is not reported again, and that a report
// of its recovery has it probed.
func (b *healthReports) checkRecovered(t *testing.T) {
	t.Helper()
	a := b.all[0]
	for _, from := range []api.PeerNumber{4, 5, 6} {
		b.report(from, reportUnhealthy, a)
	}
	if b.reportHealth(); len(actionsOf[api.SendMessage](b.Balancer)) != 0 {
		t.Error("what all know is reported again")
	}
	b.report(9, reportRecovered, a)
	if a.health != probing {
		t.Errorf("healthy again: health %v", a.health)
	}
}

// checkConfirmedReports checks that confirmed reports are followed, unless the backend has just answered or half of all
// would be ejected.
func (b *healthReports) checkConfirmedReports(t *testing.T) {
	t.Helper()
	b.all[1].lastAnswer = b.now - 100*time.Millisecond
	if b.report(1, reportConfirmed, b.all[1]); b.all[1].health != healthy {
		t.Error("a backend that has just answered is ejected")
	}
	b.report(1, reportConfirmed, b.all[2])
	b.report(1, reportConfirmed, b.all[3])
	if b.report(1, reportConfirmed, b.all[4]); b.all[3].health != ejected || b.all[4].health != healthy {
		t.Errorf("healths %v and %v, want half ejected and no more", b.all[3].health, b.all[4].health)
	}
}

// checkNoiseIgnored checks that messages which cannot be read change nothing.
func (b *healthReports) checkNoiseIgnored(t *testing.T) {
	t.Helper()
	for _, noise := range [][]byte{{}, {0}, {0, 1, 2, 3}, {7, 0, 0, 0, 5}, {2, 9, 9, 9, 9}, {0, 0, 0, 0, 5, 1}} {
		if b.receiveMessage(api.MessageReceived{From: 1, Data: noise}); b.all[4].health != healthy {
			t.Errorf("%v is followed", noise)
		}
	}
}

// What this agent finds unhealthy is reported to six agents, what it finds healthy to all, and neither if agents may
// not send messages.
func TestHealthMessages(t *testing.T) {
	for _, c := range []struct {
		may           bool
		unhealthy, ok int
	}{{true, 5, 1}, {false, 0, 0}} {
		b := newTestBalancer(0.5, map[string]any{"may.tell": c.may, "agents": 80.0, "number": 3.0})
		a := b.addBackend(1, 1)
		advance(b, healthTransitions, &a.health, foundUnhealthy, a)
		b.reportHealth()
		if n := len(actionsOf[api.SendMessage](b)); n != c.unhealthy {
			t.Errorf("may send messages %v: unhealthy reported %d times", c.may, n)
		}
		b.actions, a.broadcastAt, a.health = nil, b.now, probing
		advance(b, healthTransitions, &a.health, foundHealthy, a)
		b.reportHealth()
		if n := len(actionsOf[api.SendMessage](b)); n != c.ok || a.broadcastAt != 0 {
			t.Errorf("may send messages %v: healthy reported %d times", c.may, n)
		}
	}
}

// A listed backend that cannot be reached has the watch repeated, at random and not again soon.
func TestUnreachableBackends(t *testing.T) {
	b := newTestBalancer(0.5, map[string]any{"discovery": "asked", "discovery.within": 9 * time.Second})
	a := b.addBackend(1, 1)
	b.listReceived, b.nextWatchAt = true, b.now+time.Minute // and the last list came long ago
	x := b.addTransaction("x", "pure")
	b.putInFlight(x, a)
	b.attemptEnded(api.AttemptEnded{Transaction: "x", Backend: 1, Outcome: api.Unreachable})
	at := b.nextWatchAt
	if b.listReceived || at > b.now+4500*time.Millisecond {
		t.Error("the watch is not repeated")
	}
	b.now = at
	b.retryWatch()
	at = b.nextWatchAt
	for range 50 { // unreachable backends are met ten times a second, and discovery is overloaded already
		b.now += 80 * time.Millisecond
		b.scheduleWatch()
	}
	if b.nextWatchAt != at {
		t.Error("the watch is repeated within half of the time")
	}
	b.now += time.Second
	if b.scheduleWatch(); b.nextWatchAt == at {
		t.Error("the watch is not repeated later")
	}
}
