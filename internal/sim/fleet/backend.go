package fleet

import (
	"slices"
	"time"

	"sagelever/internal/agent/api"
)

// Backend is a simulated backend with a queue and a number of cores, each of which executes one attempt at a time.
type Backend struct {
	api.Backend
	Slowdown  float64 // factor by which the work of an attempt is multiplied
	ErrorRate float64 // share of attempts that end with an error response
	LossRate  float64 // share of responses that are lost: half never arrive, half have their connection broken
	Down      bool    // whether the backend refuses connections

	simulation        *Simulation
	busy              int // cores in use
	queue             []*attempt
	running           []*attempt
	pausedUntil       time.Duration
	pausedFor         time.Duration // total length of all pauses up to pausedUntil
	slowStartArrivals []arrival     // within the last overloadWindow, during slow start
	overloaded        bool          // whether the overload rule was violated since the start
}

// arrival is work that arrived at a backend during its slow start.
type arrival struct{ at, work time.Duration }

// The overload rule limits the work that a backend receives during its slow start: within any overloadWindow, at most
// overloadFactor times what it can do in that time at its capacity at the end of the window, plus overloadSlack for
// random variation.
const (
	slowStartTime  = 4 * time.Second
	slowStartFrom  = 0.4 // share of the full capacity at the start
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

// Pause suspends a backend for a time: its attempts wait, and it sends no responses.
func (b *Backend) Pause(d time.Duration) {
	from := max(b.simulation.Now, b.pausedUntil)
	b.pausedUntil = from + d
	b.pausedFor += d
}

// Crash stops a backend: the connections of its attempts break, and it accepts no connections until Restart.
func (b *Backend) Crash() {
	b.Down = true
	for _, a := range append(b.queue, b.running...) {
		a.working = false
		a.respond(api.ConnectionLost)
	}
	b.queue, b.running, b.busy = nil, nil, 0
}

// Restart starts a crashed backend, which keeps its ID and begins with a slow start.
func (b *Backend) Restart() {
	b.Down = false
	b.Started = b.simulation.Now
	b.pausedUntil = 0
	b.slowStartArrivals = nil
	b.overloaded = false
	b.simulation.announceBackends()
}

// capacityShare returns the share of its full capacity that the backend has at its present age.
func (b *Backend) capacityShare() float64 {
	age := b.simulation.Now - b.Started
	if age >= slowStartTime {
		return 1
	}
	return slowStartFrom + (1-slowStartFrom)*float64(age)/float64(slowStartTime)
}

// recordArrival records work that arrived and reports a violation of the overload rule.
func (b *Backend) recordArrival(work time.Duration) {
	now := b.simulation.Now
	if b.overloaded || now-b.Started >= slowStartTime {
		return
	}
	for len(b.slowStartArrivals) > 0 && now-b.slowStartArrivals[0].at > overloadWindow {
		b.slowStartArrivals = b.slowStartArrivals[1:]
	}
	b.slowStartArrivals = append(b.slowStartArrivals, arrival{now, work})
	var total time.Duration
	for _, a := range b.slowStartArrivals {
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
	backend   *Backend // nil if the agent chose an unknown one
	startedAt time.Duration
	work      time.Duration
	endsAt    time.Duration // when the work ends unless the backend pauses until then
	pausedFor time.Duration // the backend's pausedFor when endsAt was computed
	working   bool          // whether the attempt is executed on a core
	finished  bool          // whether the attempt has an outcome or was canceled
	runCount  *int          // runCount of the transaction if that must not run twice, else nil
	report    func(api.Outcome, map[string]float64)
}

// receive starts, queues or rejects an attempt that has arrived.
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

// begin starts to execute an attempt on a core.
func (b *Backend) begin(a *attempt) {
	b.busy++
	b.running = append(b.running, a)
	a.working = true
	a.pausedFor = b.pausedFor
	start := max(b.simulation.Now, b.pausedUntil)
	a.endsAt = start + time.Duration(float64(a.work)*b.Slowdown/b.capacityShare())
	b.simulation.At(a.endsAt, func() { b.finish(a) })
}

// finish completes an attempt. If the backend has paused during the attempt, it postpones this by the length of the
// pauses.
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
	case lost < b.LossRate/2: // no response; the timeout of the agent ends the attempt
	case lost < b.LossRate:
		a.respond(api.ConnectionLost)
	case b.simulation.random.Float64() < b.ErrorRate:
		a.respond(api.ErrorResponse)
	default:
		a.respond(api.Succeeded)
	}
}

// release frees the core of an attempt and begins queued attempts on free cores.
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

// respond sends an outcome to the agent, which receives it after the network delay.
func (a *attempt) respond(outcome api.Outcome) {
	if a.finished {
		return
	}
	a.finished = true
	load := map[string]float64{"queue": float64(len(a.backend.queue))}
	simulation := a.backend.simulation
	simulation.After(simulation.NetworkDelay, func() { a.report(outcome, load) })
}

// cancel ends an attempt on behalf of the agent. The backend stops working on it.
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
