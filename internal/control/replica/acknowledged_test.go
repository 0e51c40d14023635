package replica

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sagelever/internal/control/config"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/lease"
)

// putRoutes makes an operator write the given number of routes at a node in a single call. acknowledged is called when
// the write is acknowledged.
func (sim *simulation) putRoutes(node *simNode, routes int, version uint64, acknowledged func()) {
	change := map[string]quorum.Value{}
	var keys []string
	for i := range routes {
		change[bulkKey(i)] = quorum.Value{Version: version, Body: fmt.Sprint(version, " ", i, strings.Repeat("x", 300))}
		keys = append(keys, bulkKey(i))
	}
	node.step(func(now time.Time) {
		id := node.replica.WriteAtomic(now, now.Add(4*time.Second), keys, config.Commit(change))
		node.completions[id] = func(completion Completion) {
			if completion.Err != nil {
				sim.fail("the write of %d routes failed: %v", routes, completion.Err)
				return
			}
			for _, key := range keys {
				sim.recordAcknowledged(key, completion.Values[key])
			}
			acknowledged()
		}
	})
}

// addProxies adds proxies, the first of which starts after the given delay and the others at intervals of pause. The
// proxies begin with different members.
func (sim *simulation) addProxies(count int, delay, pause time.Duration) {
	for i := range count {
		proxy := &simProxy{
			sim:       sim,
			index:     len(sim.proxies),
			home:      i % len(sim.nodes),
			sendLease: lease.New(drainTimeout),
		}
		sim.proxies = append(sim.proxies, proxy)
		sim.schedule(delay+time.Duration(i)*pause, proxy.start)
	}
}

// All members are killed within 10 ms of the acknowledgement of a change and restarted. Proxies that start afterwards
// must not treat their items as complete before they have received the change (issue 57).
func TestProxiesAfterAllMembersWereKilled(t *testing.T) {
	for _, routes := range []int{1, 10, 100} {
		for _, killDelay := range []time.Duration{0, 2 * time.Millisecond, 4 * time.Millisecond, 10 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d routes, killed after %v", routes, killDelay), func(t *testing.T) {
				sim := newFaultFreeSimulation(6, 2, 35*time.Millisecond, 5*time.Millisecond)
				sim.putRoutes(sim.nodes[0], routes, 1, func() {})
				sim.runFor(3 * time.Second)
				sim.putRoutes(sim.nodes[0], routes+1, 2, func() {
					for _, node := range sim.nodes {
						sim.schedule(killDelay, node.kill)
						sim.schedule(killDelay+time.Second, node.start)
					}
					sim.addProxies(60, killDelay+time.Second, 25*time.Millisecond)
				})
				sim.runFor(6 * time.Second)
				sim.reportFailure(t)
				for _, proxy := range sim.proxies {
					if !proxy.authoritative {
						t.Errorf("proxy %d is not authoritative yet", proxy.index)
					}
				}
			})
		}
	}
}

// The member that acknowledges a change is killed at that time and not restarted. The other members complete the change
// within 700 ms, whatever its size. If the members run the previous version, which has no confirm requests, completion
// requires another round, within 2 s.
func TestChangeOutlivesItsCoordinator(t *testing.T) {
	for _, test := range []struct {
		name            string
		unsupportedPath string
		limit           time.Duration
	}{
		{name: "current version", limit: 700 * time.Millisecond},
		{name: "previous version", unsupportedPath: message.ConfirmPath, limit: 2 * time.Second},
	} {
		for _, routes := range []int{1, 10, 100, 1000} {
			t.Run(fmt.Sprint(test.name, ", ", routes, " routes"), func(t *testing.T) {
				sim := newFaultFreeSimulation(6, 2, 35*time.Millisecond, 5*time.Millisecond)
				sim.unsupportedPath = test.unsupportedPath
				sim.testLostCoordinator(t, routes, test.limit)
			})
		}
	}
}

// testLostCoordinator checks that the other members hold a change as chosen within limit after the member that
// acknowledged it was killed.
func (sim *simulation) testLostCoordinator(t *testing.T, routes int, limit time.Duration) {
	coordinator := sim.nodes[0]
	acknowledged := false
	sim.putRoutes(coordinator, routes, 1, func() {
		acknowledged = true
		coordinator.kill()
	})
	if !sim.waitFor(3*time.Second, time.Millisecond, func() bool { return acknowledged }) {
		t.Fatal("the change was not acknowledged")
	}
	startedAt := sim.now
	isComplete := func() bool {
		for _, node := range sim.nodes[1:] {
			if node.missingItems(routes, 1) > 0 {
				return false
			}
		}
		return true
	}
	if !sim.waitFor(limit, time.Millisecond, isComplete) {
		sim.waitFor(10*time.Second, time.Millisecond, isComplete)
		t.Errorf("the other members hold the change after %v, want at most %v", sim.now.Sub(startedAt), limit)
	}
	t.Logf("the other members hold the change after %v", sim.now.Sub(startedAt))
	sim.reportFailure(t)
}
