package replica

import (
	"testing"
	"time"

	"sagelever/internal/control/replication"
	"sagelever/internal/lease"
)

// startProxies starts twelve more proxies, two in each of six zones, and waits until they have pulled.
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

// lastSendTime runs the simulation for 8 s and returns when any of the proxies could last send to a backend. A proxy
// stops when it receives the backend's drain or its send lease expires. The time is zero if no proxy could send.
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

// drainBackend makes a backend send its drain to a node. It returns when the drain was acknowledged, or zero if it was
// not acknowledged within operationTimeout, for which the backend waits.
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
	acknowledged bool                                       // by the first node that receives the drain
	within       time.Duration                              // limit after the acknowledgement
}

// All proxies stop sending to a backend within a bounded time after the acknowledgement of its drain: connected ones
// within 300 ms; those that are isolated, or whose node cannot reach the node that received the drain, within
// drainTimeout; those whose node alone is isolated, within PeerTimeout plus 100 ms. A drain that too few nodes hold is
// not acknowledged. The bounds are derived in docs/leaving.md.
func TestProxiesStopSending(t *testing.T) {
	const connectedLimit = 300 * time.Millisecond
	isolateLastNode := func(sim *simulation) { sim.isolate(5, 0, 1, 2, 3, 4) }
	for name, test := range map[string]stopSendingCase{
		"all connected": {acknowledged: true, within: connectedLimit},
		"the node that has acknowledged crashes": {
			afterAck:     func(sim *simulation) { sim.nodes[0].kill() },
			acknowledged: true,
			within:       connectedLimit,
		},
		"one link is cut": {
			fault:        func(sim *simulation, _ []*simProxy) { sim.isolate(0, 5) },
			acknowledged: true,
			within:       drainTimeout,
		},
		// The node keeps its quorum until it has received nothing from the others for PeerTimeout, which is half a
		// second longer than drainTimeout.
		"one node is isolated": {
			fault:        func(sim *simulation, _ []*simProxy) { isolateLastNode(sim) },
			acknowledged: true,
			within:       PeerTimeout + 100*time.Millisecond,
		},
		"one node and its proxies are isolated": {
			fault: func(sim *simulation, proxies []*simProxy) {
				isolateLastNode(sim)
				for _, proxy := range proxies {
					proxy.isolated = proxy.nearest == 5
				}
			},
			acknowledged: true,
			within:       drainTimeout,
		},
		"proxies are isolated but their nodes are not": {
			fault: func(_ *simulation, proxies []*simProxy) {
				for _, proxy := range proxies {
					proxy.isolated = proxy.nearest >= 4
				}
			},
			acknowledged: true,
			within:       drainTimeout,
		},
		"only two nodes receive the drain": {
			fault: func(sim *simulation, _ []*simProxy) {
				sim.isolate(0, 2, 3, 4, 5)
				sim.isolate(1, 2, 3, 4, 5)
			},
			within: connectedLimit, // after the second acknowledgement, by another node
		},
	} {
		t.Run(name, func(t *testing.T) { testStopSending(t, test) })
	}
}

func testStopSending(t *testing.T, test stopSendingCase) {
	const id = "i1"
	sim := newFaultFreeSimulation(6, 2, 35*time.Millisecond, 5*time.Millisecond)
	proxies := sim.startProxies()
	sim.nodes[0].sendHeartbeat(id, sim.nodes[0].self.Zone, replication.PhaseReady, 1)
	sim.runFor(time.Second)
	for _, proxy := range proxies {
		if proxy.backendPhases[id] != replication.PhaseReady || !proxy.sendLease.Valid(sim.now) {
			t.Fatalf("proxy %d doesn't have the backend as ready, or has no valid send lease: %v", proxy.index, proxy.backendPhases)
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
		// The first node crashes and the backend sends its drain to another node: the limit counts from the
		// acknowledgement by that node.
		sim.nodes[0].kill()
		sim.healPartitions()
		sim.runFor(4 * time.Second)
		if ackedAt = sim.drainBackend(sim.nodes[2], id, 2); ackedAt.IsZero() {
			t.Fatal("the second node doesn't acknowledge the drain either")
		}
	}
	if test.afterAck != nil {
		test.afterAck(sim)
	}
	took := time.Duration(0)
	if last := sim.lastSendTime(proxies, id); !last.IsZero() {
		took = last.Sub(ackedAt)
	}
	t.Logf("acknowledged after %v, the last proxy may send until %v after that", ackedAt.Sub(sentAt), took)
	if took > test.within {
		t.Errorf("a proxy may send until %v after the acknowledgement, want at most %v", took, test.within)
	}
	sim.reportFailure(t)
}
