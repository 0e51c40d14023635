package replica

import (
	"testing"
	"time"

	"sagelever/internal/control/replication"
	"sagelever/internal/lease"
)

// startProxies starts twelve more proxies, two in each zone, and waits until they have pulled.
func (sim *simulation) startProxies() (proxies []*simProxy) {
	for i := range 12 {
		zone := i % sim.memberCount
		proxy := &simProxy{
			sim:       sim,
			index:     10 + i,
			home:      zone,
			nearest:   zone,
			sendLease: lease.New(drainTimeout),
		}
		proxies = append(proxies, proxy)
		sim.schedule(sim.randomDuration(0, 900), proxy.start)
	}
	sim.runFor(3 * time.Second)
	return proxies
}

// lastSendTime runs for some seconds and returns when the last of some proxies could still send to a backend: until it
// has learned that the backend drains, or its send lease has expired. Zero where none could.
func (sim *simulation) lastSendTime(proxies []*simProxy, id string) (last time.Time) {
	for end := sim.now.Add(8 * time.Second); sim.now.Before(end); sim.runFor(time.Millisecond) {
		for _, proxy := range proxies {
			if proxy.maySendTo(id) {
				last = sim.now
			}
		}
	}
	return last
}

// drainBackend has a backend tell a node that it drains. It returns when that was acknowledged; zero where it was not
// within the time for which the backend waits.
func (sim *simulation) drainBackend(node *simNode, id string, callCount int64) (ackedAt time.Time) {
	sentAt := node.clock()
	node.sendHeartbeat(id, node.self.Zone, replication.PhaseDraining, callCount)
	for node.up && node.clock().Sub(sentAt) < operationTimeout {
		now := node.clock()
		if node.replica.HasQuorum(now) && node.replica.Replicated(now, replication.BackendKeyPrefix+id, sentAt) {
			return sim.now
		}
		sim.runFor(15 * time.Millisecond)
	}
	return time.Time{}
}

// stopSendingCase is a case of TestProxiesStopSending.
type stopSendingCase struct {
	fault        func(sim *simulation, proxies []*simProxy) // right before the drain; may be nil
	afterAck     func(sim *simulation)                      // right after the acknowledgement; may be nil
	acknowledged bool                                       // by the node that is told first
	within       time.Duration                              // after the acknowledgement
}

// Proxies stop sending to a backend at about the same time: those in touch within 300 ms of the acknowledgement of its
// drain; those that are cut off, or whose node is or has heard of the drain from a node that has crashed, within
// drainTimeout. What the proxies of one node only can learn is not acknowledged. The arithmetic is in docs/leaving.md.
func TestProxiesStopSending(t *testing.T) {
	const inTouch = 300 * time.Millisecond
	isolateLastNode := func(sim *simulation) { sim.isolate(5, 0, 1, 2, 3, 4) }
	for name, test := range map[string]stopSendingCase{
		"all in touch": {acknowledged: true, within: inTouch},
		"the node that has acknowledged crashes": {
			afterAck:     func(sim *simulation) { sim.nodes[0].kill() },
			acknowledged: true,
			within:       inTouch,
		},
		"one link is cut": {
			fault:        func(sim *simulation, _ []*simProxy) { sim.isolate(0, 5) },
			acknowledged: true,
			within:       drainTimeout,
		},
		// The node keeps its quorum until it has not heard the others for PeerTimeout, half a second more than
		// drainTimeout.
		"one node is cut off": {
			fault:        func(sim *simulation, _ []*simProxy) { isolateLastNode(sim) },
			acknowledged: true,
			within:       PeerTimeout + 100*time.Millisecond,
		},
		"one node and its proxies are cut off": {
			fault: func(sim *simulation, proxies []*simProxy) {
				isolateLastNode(sim)
				for _, proxy := range proxies {
					proxy.isolated = proxy.nearest == 5
				}
			},
			acknowledged: true,
			within:       drainTimeout,
		},
		"proxies are cut off, and their nodes are not": {
			fault: func(_ *simulation, proxies []*simProxy) {
				for _, proxy := range proxies {
					proxy.isolated = proxy.nearest >= 4
				}
			},
			acknowledged: true,
			within:       drainTimeout,
		},
		"two nodes learn of it, and no more": {
			fault: func(sim *simulation, _ []*simProxy) {
				sim.isolate(0, 2, 3, 4, 5)
				sim.isolate(1, 2, 3, 4, 5)
			},
			within: inTouch, // after the second acknowledgement, by another node
		},
	} {
		t.Run(name, func(t *testing.T) { testStopSending(t, test) })
	}
}

func testStopSending(t *testing.T, test stopSendingCase) {
	const id = "i1"
	sim := newCalmSimulation(6, 2, 35*time.Millisecond, 5*time.Millisecond)
	proxies := sim.startProxies()
	sim.nodes[0].sendHeartbeat(id, sim.nodes[0].self.Zone, replication.PhaseReady, 1)
	sim.runFor(time.Second)
	for _, proxy := range proxies {
		if proxy.backendPhases[id] != replication.PhaseReady || !proxy.sendLease.Valid(sim.now) {
			t.Fatalf("proxy %d doesn't know the backend, or has no send lease: %v", proxy.index, proxy.backendPhases)
		}
	}
	if test.fault != nil {
		test.fault(sim, proxies)
	}
	sentAt := sim.now
	ackedAt := sim.drainBackend(sim.nodes[0], id, 2)
	if test.acknowledged == ackedAt.IsZero() {
		t.Errorf("acknowledged after %v", ackedAt.Sub(sentAt))
	}
	if !test.acknowledged {
		// The backend turns to another node, and the first one crashes: the time counts from the second
		// acknowledgement.
		sim.nodes[0].kill()
		sim.healPartitions()
		sim.runFor(4 * time.Second)
		if ackedAt = sim.drainBackend(sim.nodes[2], id, 2); ackedAt.IsZero() {
			t.Fatal("the second node doesn't acknowledge it either")
		}
	}
	if test.afterAck != nil {
		test.afterAck(sim)
	}
	took := time.Duration(0)
	if last := sim.lastSendTime(proxies, id); !last.IsZero() {
		took = last.Sub(ackedAt)
	}
	t.Logf("acknowledged after %v, the last may send until %v after that", ackedAt.Sub(sentAt), took)
	if took > test.within {
		t.Errorf("a proxy may send until %v after the acknowledgement, want %v", took, test.within)
	}
	sim.reportFailure(t)
}
