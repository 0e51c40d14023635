package fleet

import (
	"slices"
	"time"

	"sagelever/internal/agent/api"
)

// Backend is a backend with some cores, each of which works on one attempt at a time, and a queue.
type Backend struct {
	api.Backend
	Slowdown  float64 // multiple of the work that an attempt takes
	ErrorRate float64 // share of attempts that end with an error response
	LossRate  float64 // share of responses that never arrive, or whose connection breaks
	Down      bool    // it accepts no connection

	simulation   *Simulation
	busy         int // cores
	queue        []*attempt
	running      []*attempt
	pausedUntil  time.Duration
	pausedFor    time.Duration // all pauses together, up to pausedUntil
	coldArrivals []arrival     // within the last overloadWindow, while it warms up
	overloaded   bool          // it has got too much while it warmed up
}

// arrival is work that came to a backend that warms up.
type arrival struct{ at, work time.Duration }

// The rule on backends that warm up: within any overloadWindow one gets no more work than overloadFactor times what it
// can do at the end of that time, and overloadSlack for chance.
const (
	slowStartTime  = 4 * time.Second
	slowStartFrom  = 0.4
	overloadWindow = 1500 * time.Millisecond
	overloadFactor = 2.0
	overloadSlack  = 500 * time.Millisecond
)

const firstBackendID = 1000

func (s *Simulation) newBackend(index int, build api.Build, started time.Duration) *Backend {
	return &Backend{
		Backend: api.Backend{
			ID:          api.BackendID(firstBackendID + index),
			Build:       build,
			MachineType: "std",
			Zone:        "home",
			Started:     started,
			Weight:      1,
		},
		Slowdown:   1,
		simulation: s,
	}
}

// Pause stops a backend for a time: its attempts wait, and nothing is answered.
func (b *Backend) Pause(d time.Duration) {
	from := max(b.simulation.Now, b.pausedUntil)
	b.pausedUntil = from + d
	b.pausedFor += d
}

// Crash ends a backend: the connections of its attempts break, and it accepts none until Restart.
func (b *Backend) Crash() {
	b.Down = true
	for _, a := range append(b.queue, b.running...) {
		a.working = false
		a.respond(api.ConnectionLost)
	}
	b.queue, b.running, b.busy = nil, nil, 0
}

// Restart starts a backend that has crashed. It keeps its id and warms up.
func (b *Backend) Restart() {
	b.Down = false
	b.Started = b.simulation.Now
	b.pausedUntil = 0
	b.coldArrivals = nil
	b.overloaded = false
	b.simulation.announceBackends()
}

// capacityShare is the share of its full capacity that the backend has at its age.
func (b *Backend) capacityShare() float64 {
	age := b.simulation.Now - b.Started
	if age >= slowStartTime {
		return 1
	}
	return slowStartFrom + (1-slowStartFrom)*float64(age)/float64(slowStartTime)
}

// recordArrival checks the rule on backends that warm up.
func (b *Backend) recordArrival(work time.Duration) {
	now := b.simulation.Now
	if b.overloaded || now-b.Started >= slowStartTime {
		return
	}
	for len(b.coldArrivals) > 0 && now-b.coldArrivals[0].at > overloadWindow {
		b.coldArrivals = b.coldArrivals[1:]
	}
	b.coldArrivals = append(b.coldArrivals, arrival{now, work})
	var total time.Duration
	for _, a := range b.coldArrivals {
		total += a.work
	}
	cores := float64(b.simulation.Cores) * b.capacityShare()
	capacity := time.Duration(overloadFactor * cores * float64(overloadWindow))
	b.overloaded = total > capacity+overloadSlack
	if b.overloaded {
		b.simulation.violation("backend %d overloaded %v after its start: %v in %v", b.ID, now-b.Started, total,
			overloadWindow)
	}
}

// attempt is one attempt of an agent at a backend.
type attempt struct {
	backend   *Backend // nil if the agent has named an unknown one
	startedAt time.Duration
	work      time.Duration
	endsAt    time.Duration // when the work ends, if the backend does not pause meanwhile
	pausedFor time.Duration // the backend's, when endsAt was computed
	working   bool          // it is on a core
	finished  bool          // it has an outcome, or is canceled
	runCount  *int          // of its transaction, if that must not run twice
	report    func(api.Outcome, map[string]float64)
}

// receive takes an attempt that has arrived.
func (b *Backend) receive(a *attempt) {
	if !b.Down {
		b.recordArrival(a.work)
	}
	switch {
	case b.Down:
		a.respond(api.Unreachable)
	case b.busy < b.simulation.Cores:
		b.begin(a)
	case len(b.queue) < b.simulation.QueueLength:
		b.queue = append(b.queue, a)
	default:
		a.respond(api.Rejected)
	}
}

// begin puts an attempt on a core.
func (b *Backend) begin(a *attempt) {
	b.busy++
	b.running = append(b.running, a)
	a.working = true
	a.pausedFor = b.pausedFor
	start := max(b.simulation.Now, b.pausedUntil)
	a.endsAt = start + time.Duration(float64(a.work)*b.Slowdown/b.capacityShare())
	b.simulation.At(a.endsAt, func() { b.finish(a) })
}

// finish ends the work on an attempt, or waits for as long as the backend has paused meanwhile.
func (b *Backend) finish(a *attempt) {
	if !a.working {
		return
	}
	if paused := b.pausedFor - a.pausedFor; paused > 0 {
		a.pausedFor = b.pausedFor
		a.endsAt += paused
		b.simulation.At(a.endsAt, func() { b.finish(a) })
		return
	}
	b.release(a)
	if a.runCount != nil {
		*a.runCount++
	}
	switch lost := b.simulation.random.Float64(); {
	case lost < b.LossRate/2: // no response; the agent's time-out ends the attempt
	case lost < b.LossRate:
		a.respond(api.ConnectionLost)
	case b.simulation.random.Float64() < b.ErrorRate:
		a.respond(api.ErrorResponse)
	default:
		a.respond(api.Succeeded)
	}
}

// release takes an attempt off its core, and begins those that wait for one.
func (b *Backend) release(a *attempt) {
	a.working = false
	b.busy--
	b.running = slices.DeleteFunc(b.running, func(x *attempt) bool { return x == a })
	for len(b.queue) > 0 && b.busy < b.simulation.Cores {
		next := b.queue[0]
		b.queue = b.queue[1:]
		if !next.finished {
			b.begin(next)
		}
	}
}

// respond sends an outcome back to the agent, which receives it after the network's delay.
func (a *attempt) respond(outcome api.Outcome) {
	if a.finished {
		return
	}
	a.finished = true
	load := map[string]float64{"queue": float64(len(a.backend.queue))}
	simulation := a.backend.simulation
	simulation.After(simulation.NetworkDelay, func() { a.report(outcome, load) })
}

// cancel ends an attempt at the agent: the backend stops working on it.
func (a *attempt) cancel(outcome api.Outcome) {
	if a.finished {
		return
	}
	a.finished = true
	if a.working {
		a.backend.release(a)
	}
	a.report(outcome, nil)
}
