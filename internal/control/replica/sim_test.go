package replica

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/release"
	"sagelever/internal/lease"
	"sagelever/internal/sim/linear"
)

// simulation runs a complete control group in one process, from a seed: controllers with disks,
// proxies, backends and operators. Messages are lost, duplicated, delayed and reordered; controllers crash, freeze,
// lose their disks and are partitioned in one or both directions; a crash loses all or some of the unsynced writes;
// disks are slow or fail; clocks are skewed and step. Safety is checked throughout, and recovery after the faults have
// ended.
type simulation struct {
	rng              *rand.Rand
	now              time.Time
	events           eventQueue
	memberCount      int // the number of members of a complete configuration
	faultTolerance   int // the number of disks that may be lost at the same time
	nodes            []*simNode
	proxies          []*simProxy
	mutation         string                           // one of the constants in sim_mutations_test.go; empty for none
	failure          string                           // the first violation; empty for none
	traceTo          io.Writer                        // receives a line for each message and event; nil for none
	bandwidth        int                              // of pull responses to members, in bytes per second; 0: unlimited
	maxResponseBytes int                              // Config.MaxResponseBytes of the members
	unsupportedPath  string                           // not served by members, as in an earlier version; or empty
	latency          func(from, to int) time.Duration // of messages; nil means random
	syncTime         time.Duration                    // of disks; 0 means random

	// Measurements.
	messagesSent     int // requests of operations and their responses
	syncCount        int
	measuredNode     int // the node whose pull responses are counted
	measuredBytes    int // the total size of the pull responses to measuredNode
	measuresMessages bool
	largestMessage   int // in bytes
	ackCount         int
	timeToRecover    time.Duration  // from the end of the faults to complete recovery
	coverage         map[string]int // by event: how often it occurred

	// State of the checks: registers.
	ackedVersions    map[string]uint64        // by register: the newest acknowledged version
	readVersions     map[string]uint64        // by register: the newest version that a read has returned
	chosenBodies     map[string]string        // by register and version: the content reported as chosen
	confirmedBodies  map[string]string        // by item and version: the content confirmed to an operator
	releaseOutcomes  map[string]release.Phase // by service and release number: the final phase
	sentVersions     map[string]uint64        // by register: the last version sent by an operator
	evacuationOrders int                      // number of orders on zones
	history          []linear.Operation       // writes and reads of items

	racing       *racingCalls                      // nil: no calls of several items
	leaseBodies  map[string]string                 // by lease, version and grantor
	publications map[string]map[uint64]publication // by origin and sequence number: the registers in pull responses

	// State of the checks: backends.
	drainAckedAt     map[string]time.Time // by backend: when its drain was acknowledged
	drainSentAt      map[string]time.Time // by backend: when that drain was requested
	drainingBackends map[string]bool
	callCounts       map[string]uint64 // by backend: the number of its heartbeats
	homeNodes        map[string]int    // by backend: the node to which it sends its heartbeats
	killTimes        []time.Time       // of the last two crashes

	// State of the checks: the configuration.
	configuration  membership.Configuration            // the newest that any node has adopted as chosen
	configurations map[uint64]membership.Configuration // by epoch
	lastRemoval    time.Time                           // when a node was last removed permanently

	// Faults.
	injectsFaults          bool
	longRun                bool      // long enough for stale disks to be restored
	ignoresViolations      bool      // only recovery is checked: a disk copy too recent to be detected was restored
	partitionedUntil       time.Time // no partition is healed before this time
	linksHealedAt          time.Time // when links were last restored
	candidateLostAt        time.Time // when a candidate's disk was last lost
	movedNode              *simNode  // the only node that may move to another address
	faultOnReconfiguration bool      // inject another fault during the next reconfiguration
}

// simStart is when a simulation begins.
var simStart = time.Unix(1_000_000, 0)

func (sim *simulation) elapsed() time.Duration { return sim.now.Sub(simStart) }

// newSimulation creates a group and schedules the start of its nodes and proxies.
func newSimulation(seed uint64, memberCount, faultTolerance int, mutation string) *simulation {
	sim := &simulation{
		rng:              rand.New(rand.NewPCG(seed, 11)),
		now:              simStart,
		memberCount:      memberCount,
		faultTolerance:   faultTolerance,
		mutation:         mutation,
		injectsFaults:    true,
		coverage:         map[string]int{},
		ackedVersions:    map[string]uint64{},
		readVersions:     map[string]uint64{},
		chosenBodies:     map[string]string{},
		confirmedBodies:  map[string]string{},
		releaseOutcomes:  map[string]release.Phase{},
		sentVersions:     map[string]uint64{},
		leaseBodies:      map[string]string{},
		publications:     map[string]map[uint64]publication{},
		drainAckedAt:     map[string]time.Time{},
		drainSentAt:      map[string]time.Time{},
		drainingBackends: map[string]bool{},
		callCounts:       map[string]uint64{},
		homeNodes:        map[string]int{},
		killTimes:        make([]time.Time, 2),
		configurations:   map[uint64]membership.Configuration{},
	}
	for zone := range memberCount {
		node := sim.newNode(zone)
		node.bootstrap = true
		sim.nodes = append(sim.nodes, node)
		sim.schedule(sim.randomDuration(0, 300), node.start)
	}
	for _, node := range sim.nodes {
		node.initialPeers = sim.nodes[:min(3, memberCount)]
	}
	for i := range 3 {
		proxy := &simProxy{sim: sim, index: i, home: i % memberCount, sendLease: lease.New(drainTimeout)}
		sim.proxies = append(sim.proxies, proxy)
		sim.schedule(sim.randomDuration(300, 900), proxy.start)
	}
	return sim
}

// newNode creates another controller for a zone, with an empty disk. Its index determines its name and address.
func (sim *simulation) newNode(zone int) *simNode {
	index := len(sim.nodes)
	self := message.Member{
		Node: fmt.Sprint("m", index),
		Zone: fmt.Sprint("z", zone),
		Addr: fmt.Sprint("10.0.0.", index, ":7"),
	}
	return &simNode{
		sim:         sim,
		index:       index,
		zone:        zone,
		self:        self,
		unreachable: map[int]bool{},
		disk:        newSimDisk(),
		clockSkew:   sim.randomDuration(0, 600) - 300*time.Millisecond,
	}
}

// randomNode returns a random node that is not removed.
func (sim *simulation) randomNode() *simNode {
	for {
		if node := sim.nodes[sim.rng.IntN(len(sim.nodes))]; !node.removed {
			return node
		}
	}
}

// nodeByAddr returns the node that has an address now or had it before.
func (sim *simulation) nodeByAddr(addr string) *simNode {
	for _, node := range sim.nodes {
		if node.self.Addr == addr || slices.Contains(node.formerAddrs, addr) {
			return node
		}
	}
	panic("no node has the address " + addr)
}

// randomDuration draws a duration in whole milliseconds; both bounds are inclusive.
func (sim *simulation) randomDuration(from, to int) time.Duration {
	return time.Duration(from+sim.rng.IntN(to-from+1)) * time.Millisecond
}

// oneIn returns true with a probability of 1/n.
func (sim *simulation) oneIn(n int) bool { return sim.rng.IntN(n) == 0 }

// fail records a violation unless one was recorded before or violations are ignored.
func (sim *simulation) fail(format string, args ...any) {
	if sim.failure == "" && !sim.ignoresViolations {
		sim.failure = fmt.Sprintf("after %v: ", sim.elapsed()) + fmt.Sprintf(format, args...)
	}
}

func (sim *simulation) log(args ...any) {
	if sim.traceTo != nil {
		fmt.Fprintln(sim.traceTo, append([]any{sim.elapsed()}, args...)...)
	}
}

// traced prints a value without the addresses of pointers and with sorted keys, so that equal runs have equal traces.
type traced struct{ value any }

func (t traced) String() string {
	encoded, err := json.Marshal(t.value)
	if err != nil {
		return err.Error()
	}
	var generic any // its maps are encoded in the order of their keys
	if err := json.Unmarshal(encoded, &generic); err != nil {
		return err.Error()
	}
	sorted, err := json.Marshal(generic)
	if err != nil {
		return err.Error()
	}
	return string(sorted)
}

// event is a function that is scheduled for a point in time. Events with the same time run in the order in which they
// were scheduled.
type event struct {
	at  time.Time
	seq int
	run func()
}

// eventQueue is a heap.Interface.
type eventQueue struct {
	list []event
	seq  int
}

func (queue *eventQueue) Len() int { return len(queue.list) }

func (queue *eventQueue) Less(i, j int) bool {
	a, b := queue.list[i], queue.list[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.seq < b.seq
}

func (queue *eventQueue) Swap(i, j int) { queue.list[i], queue.list[j] = queue.list[j], queue.list[i] }

func (queue *eventQueue) Push(item any) { queue.list = append(queue.list, item.(event)) }

func (queue *eventQueue) Pop() any {
	last := queue.list[len(queue.list)-1]
	queue.list = queue.list[:len(queue.list)-1]
	return last
}

// schedule schedules an event after a delay.
func (sim *simulation) schedule(delay time.Duration, run func()) {
	sim.events.seq++
	heap.Push(&sim.events, event{sim.now.Add(delay), sim.events.seq, run})
}

// runUntil runs the events scheduled up to and including a time, or until a check fails.
func (sim *simulation) runUntil(until time.Time) {
	for sim.failure == "" && sim.events.Len() > 0 && !sim.events.list[0].at.After(until) {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
	}
	sim.now = until
}

// runFor runs the events of the next duration, like runUntil.
func (sim *simulation) runFor(duration time.Duration) { sim.runUntil(sim.now.Add(duration)) }

// waitFor runs the simulation in steps until a condition holds or the limit is reached. It reports whether the
// condition holds.
func (sim *simulation) waitFor(limit, step time.Duration, holds func() bool) bool {
	for end := sim.now.Add(limit); sim.now.Before(end); sim.runFor(step) {
		if holds() {
			return true
		}
	}
	return holds()
}
