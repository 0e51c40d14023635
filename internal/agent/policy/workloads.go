package policy

import (
	"math"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/stats/decay"
)

// workload is one workload of the deployment with the agent's observations of it.
type workload struct {
	name             api.Workload
	effect           string // effectPure, effectReceipted or effectEffectful
	receiptGroup     string // backends that recognize each other's receipts: groupAll, groupZone or groupCell
	goal             time.Duration
	receiptLifetime  time.Duration // how long backends keep a receipt
	payoff           float64       // of a transaction that succeeds within the goal
	accepted         decay.SlidingWindow
	latencyByMachine map[api.MachineType]*decay.Mean // of the baseline, before the trial
	latency          decay.Mean
	baselineLatency  decay.Mean   // from the platform's tallies, before the trial
	tally            [2]tallySums // the platform's tallies during the trial, by arm
}

// tallySums are sums over the platform's tallies.
type tallySums struct {
	attempts   float64
	succeeded  float64
	latencySum float64 // of those that succeeded, in seconds
}

func (s *tallySums) add(attempts, succeeded, meanLatency float64) {
	s.attempts += attempts
	s.succeeded += succeeded
	s.latencySum += succeeded * meanLatency
}

// workloadOf returns the workload with a name. A workload that is not in the settings is effectful with a goal of 1 s.
func (b *Balancer) workloadOf(name api.Workload) *workload {
	w := b.workloads[name]
	if w != nil {
		return w
	}
	byName, prefix := b.settings.byName, "workload."+string(name)+"."
	w = &workload{
		name:             name,
		effect:           lookUp(byName, prefix+"effect", effectEffectful),
		receiptGroup:     lookUp(byName, prefix+"group", ""),
		goal:             lookUp(byName, prefix+"goal", time.Second),
		receiptLifetime:  lookUp(byName, prefix+"memory", time.Duration(0)),
		payoff:           lookUp(byName, prefix+"payoff", 1.0),
		latencyByMachine: map[api.MachineType]*decay.Mean{},
	}
	b.workloads[name] = w
	return w
}

// latencyOn returns the baseline's latency on one machine type, before the trial.
func (w *workload) latencyOn(machine api.MachineType) *decay.Mean {
	if w.latencyByMachine[machine] == nil {
		w.latencyByMachine[machine] = &decay.Mean{}
	}
	return w.latencyByMachine[machine]
}

// meanLatency returns the recent mean latency of a workload. The prior is a quarter of the goal, as goals are usually
// set to a few times the latency.
func (b *Balancer) meanLatency(w *workload) time.Duration {
	prior := w.goal.Seconds() / 4
	return time.Duration(w.latency.Estimate(b.now, latencyHalfLife, prior, 2) * float64(time.Second))
}

// recentLatency returns the mean latency of recent responses, with a prior of 100 ms.
func (b *Balancer) recentLatency() time.Duration {
	return time.Duration(b.latency.Estimate(b.now, latencyHalfLife, 0.1, 1) * float64(time.Second))
}

// recordLatency records the latency of a successful response.
func (b *Balancer) recordLatency(w *workload, backend *backend, elapsed time.Duration) {
	latency := elapsed.Seconds()
	backend.slowness.Add(b.now, b.slownessHalfLife(), latency/b.meanLatency(w).Seconds())
	w.latency.Add(b.now, latencyHalfLife, latency)
	b.latency.Add(b.now, latencyHalfLife, latency)
}

// flow is the traffic of one customer for one workload. Each flow has its own limit on attempts in flight.
type flow struct {
	workload     *workload
	demand       decay.Sum
	inFlight     int
	limit        float64    // of attempts in flight
	latencyRatio decay.Mean // of latency to the workload's goal
}

type flowKey struct {
	workload api.Workload
	customer api.Customer
}

// flowOf returns the flow of a workload and a customer. A new flow starts without a limit.
func (b *Balancer) flowOf(w *workload, customer api.Customer) *flow {
	key := flowKey{w.name, customer}
	f := b.flows[key]
	if f == nil {
		f = &flow{workload: w, limit: math.Inf(1)}
		b.flows[key] = f
	}
	return f
}

// ratePerSecond converts a sum that decays with demandHalfLife, and started at time 0, to a rate. The sum of a constant
// rate r converges to r x halfLife / ln 2 and has reached the share 1 - 2^(-now/halfLife) of that at time now.
func ratePerSecond(sum float64, now time.Duration) float64 {
	span := float64(demandHalfLife) / math.Ln2 * (1 - math.Exp2(-float64(now)/float64(demandHalfLife)))
	return sum / max(span, float64(time.Second)) * float64(time.Second)
}
