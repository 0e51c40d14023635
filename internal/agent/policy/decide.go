// Package decide holds every decision of one agent, for all deployments. An adapter makes a Balancer with
// New (seed, and the terms of the deployment as a plain map of names to values), then calls Step with the
// time since that start and one event, and carries out the actions it gets back, in order. The interface
// (ids, events, actions) stands in package agent. Nothing here does input or output or shares state.
// Three tables (state, input, next state, effect) stand first; run reads them.
package policy

import (
	"sort"
	"time"

	"sagelever/internal/agent/api"
)

var (
	transactionTransitions []transition[transactionState, transactionInput, *transaction]
	healthTransitions      []transition[healthState, healthInput, *backend]
	voteTransitions        []transition[voteState, voteInput, *vote]
)

func init() {
	transactionTransitions = []transition[transactionState, transactionInput, *transaction]{
		{queued, accepted, queued, (*Balancer).place},
		{queued, retryPlacement, queued, (*Balancer).place},
		{queued, attemptStarted, inFlight, nil},
		{inFlight, attemptStarted, inFlight, nil},
		{inFlight, attemptsFailed, queued, (*Balancer).retry},
		{inFlight, hedgeDue, inFlight, (*Balancer).hedge},
		{inFlight, responseStarted, streaming, (*Balancer).cancelOthers},
		{streaming, attemptsFailed, finished, (*Balancer).giveUp},
		{streaming, transactionClosed, finished, (*Balancer).forget},
		{queued, deadlineNear, finished, (*Balancer).giveUp},
		{inFlight, deadlineNear, finished, (*Balancer).giveUp},
		{queued, transactionClosed, finished, (*Balancer).forget},
		{inFlight, transactionClosed, finished, (*Balancer).forget},
	}
	healthTransitions = []transition[healthState, healthInput, *backend]{
		{healthy, foundUnhealthy, ejected, (*Balancer).eject},
		{ejected, ejectionExpired, probing, nil},
		{probing, foundUnhealthy, ejected, (*Balancer).eject},
		{probing, foundHealthy, healthy, (*Balancer).recovered},
		{healthy, peersFoundUnhealthy, ejected, nil},
		{probing, peersFoundUnhealthy, ejected, nil},
		{ejected, peerFoundHealthy, probing, nil},
	}
	voteTransitions = []transition[voteState, voteInput, *vote]{
		{voteNone, verdictChanged, votePending, (*Balancer).castVote},
		{voteCounted, verdictChanged, votePending, (*Balancer).castVote},
		{votePending, voteAccepted, voteCounted, nil},
		{votePending, voteRefused, voteNone, (*Balancer).delayVote},
		{votePending, voteOutdated, voteNone, (*Balancer).guessStage},
		{votePending, voteExpired, voteNone, nil},
		{voteCounted, voteExpired, votePending, (*Balancer).castVote},
	}
}

const heartbeatInterval = 20 * time.Millisecond // a few ticks of the wire, far below any goal time

func (b *Balancer) heartbeat() {
	b.schedule(heartbeatInterval, b.heartbeat)
	for _, backend := range b.ordered {
		// An appliance that owes answers and has given none for this long is taken for silent, whatever the
		// cause (hang, cut-off, crash): four times the usual time, but not under 300 ms, rides out pauses.
		if backend.inFlight > 0 && b.now-max(backend.lastAnswer, backend.owesSince) > max(4*b.usualLatency(), 300*time.Millisecond) {
			advance(b, healthTransitions, &backend.health, foundUnhealthy, backend)
		}
		if backend.health == ejected && b.now >= backend.ejectedUntil {
			advance(b, healthTransitions, &backend.health, ejectionExpired, backend)
		}
	}
	for _, f := range b.flows {
		b.adjustLimit(f)
	}
	b.retryQueued()
	b.reportCounts()
	b.reportHealth()
	b.retryWatch()
	b.updateVote()
}

// reportCounts sends what this agent has counted since it last told to those that judge by it. Twice a second is
// often against a stage; agents with little traffic tell less often, so that all cost a quarter of a full
// message a transaction at most. A lost message loses only evidence.
func (b *Balancer) reportCounts() {
	judges, size := b.judgeCount(), b.reportSize()
	minInterval := float64(judges*size) / 256 / 0.25 / b.rate(&b.demand)
	if !setting(b, "may.tell", false) || size == 0 || (b.now-b.lastReport).Seconds() < max(0.5, minInterval) {
		return
	}
	data := b.reportMessage()
	b.lastReport = b.now
	b.sendToFirst(judges, data)
}

// adjustLimit adapts how many sends of one flow (a workload of one customer) may be out. Time of answers against
// goals is held at 0.33: what is slower queues at the servers and is late for all, so fewer are let out; what
// is faster lets the bound grow, but not far past what is used. What waits everywhere but alone, one workload
// or customer, so chokes only itself. As many may always be out as answers at a sixth of the goal take.
func (b *Balancer) adjustLimit(f *flow) {
	if f.latencyRatio.Estimate(b.now, latencyRatioHalfLife, 0, 1) > 0.33 {
		f.limit *= 0.97
	} else {
		f.limit = min(f.limit*1.03, 1.5*float64(f.inFlight)+2*float64(len(b.ordered)))
	}
	f.limit = max(f.limit, b.rate(&f.demand)*f.workload.goal.Seconds()/6)
}

const latencyRatioHalfLife = 400 * time.Millisecond // a few answers long, yet shorter than a burst

// retryQueued tries held transactions again, those with the most payoff for their work first.
func (b *Balancer) retryQueued() {
	queued := b.queue
	b.queue = nil
	density := func(tx *transaction) float64 {
		if setting(b, "payoff.by", "") == "work" {
			return tx.workload.payoff
		}
		return tx.workload.payoff / b.meanLatency(tx.workload).Seconds()
	}
	sort.SliceStable(queued, func(i, j int) bool { return density(queued[i]) > density(queued[j]) })
	for _, tx := range queued {
		advance(b, transactionTransitions, &tx.state, retryPlacement, tx)
	}
}

// updateBackends keeps the list. A drain or a departure holds from the moment it is told, without using the grace.
func (b *Balancer) updateBackends(update api.BackendUpdate) {
	if update.Kind == api.UpdateUnavailable {
		// A failed call to discovery is tried again after a second or two, spread by chance.
		wait := time.Second + time.Duration(b.randomBelow(1000))*time.Millisecond
		b.schedule(wait, func() { b.emit(api.WatchBackends{On: true}) })
		return
	}
	if update.Kind != api.UpdateCached && len(update.Backends) > 0 {
		b.listReceived, b.listReceivedAt = true, b.now
	}
	b.applyList(update)
	b.switchTrialBuild()
}

// retryWatch asks for changes again until some have come: discovery turns calls away that it has no time for; a
// watch on sockets then brings nothing. Once in the time after which an agent counts as told.
func (b *Balancer) retryWatch() {
	if b.now >= b.nextWatchAt && !b.listReceived && b.watchUnconfirmed() {
		b.watchedAt, b.nextWatchAt = b.now, b.now+b.watchTimeout()+time.Duration(b.randomFloat()*float64(b.watchTimeout())/2)
		b.emit(api.WatchBackends{On: true})
	}
}

// scheduleWatch has it ask within half of that time, by chance, at the start and where machines are gone; not again
// until as long after its last call or the last list, as all do so at once and discovery is short then.
func (b *Balancer) scheduleWatch() {
	if half := b.watchTimeout() / 2; b.now-max(b.listReceivedAt, b.watchedAt) >= half && b.nextWatchAt > b.now+half {
		b.listReceived, b.nextWatchAt = false, b.now+time.Duration(b.randomFloat()*float64(half))
	}
}
