package policy

import (
	"sort"
	"time"

	"sagelever/internal/agent/api"
)

// The transitions of the state machines: state, input, next state, effect. Other inputs are ignored.
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

// heartbeat ejects silent backends (hung, cut off, crashed), adapts the limits and sends what is due.
func (b *Balancer) heartbeat() {
	b.schedule(heartbeatInterval, b.heartbeat)
	for _, backend := range b.ordered {
		silence := b.now - max(backend.lastAnswer, backend.owesSince)
		if backend.inFlight > 0 && silence > max(4*b.usualLatency(), 300*time.Millisecond) {
			b.advanceHealth(backend, foundUnhealthy)
		}
		if backend.health == ejected && b.now >= backend.ejectedUntil {
			b.advanceHealth(backend, ejectionExpired)
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

// reportCounts sends the outcomes counted since the last report to the agents that judge: twice a second,
// less often with little traffic, so that it costs at most a quarter of a full message for each transaction.
func (b *Balancer) reportCounts() {
	judges, size := b.judgeCount(), b.reportSize()
	minInterval := float64(judges*size) / 256 / 0.25 / b.rate(&b.demand)
	if !b.settings.mayMessage || size == 0 || (b.now-b.lastReport).Seconds() < max(0.5, minInterval) {
		return
	}
	data := b.reportMessage()
	b.lastReport = b.now
	b.sendToFirst(judges, data)
}

// adjustLimit adapts how many attempts of one flow (a workload of one customer) may be in flight. It holds
// latency at 0.33 of the goal, as what is slower queues at the backends; but the limit grows not far past its
// use, and never falls below what a latency of a sixth of the goal has in flight.
func (b *Balancer) adjustLimit(f *flow) {
	if f.latencyRatio.Estimate(b.now, latencyRatioHalfLife, 0, 1) > 0.33 {
		f.limit *= 0.97
	} else {
		f.limit = min(f.limit*1.03, 1.5*float64(f.inFlight)+2*float64(len(b.ordered)))
	}
	f.limit = max(f.limit, b.rate(&f.demand)*f.workload.goal.Seconds()/6)
}

const latencyRatioHalfLife = 400 * time.Millisecond // a few responses long, yet shorter than a burst

// retryQueued tries to place queued transactions again, those with the most payoff for their work first.
func (b *Balancer) retryQueued() {
	waiting := b.queue
	b.queue = nil
	density := func(tx *transaction) float64 {
		if b.settings.payoffBy == payoffByWork {
			return tx.workload.payoff
		}
		return tx.workload.payoff / b.meanLatency(tx.workload).Seconds()
	}
	sort.SliceStable(waiting, func(i, j int) bool { return density(waiting[i]) > density(waiting[j]) })
	for _, tx := range waiting {
		b.advanceTransaction(tx, retryPlacement)
	}
}

// updateBackends takes up a list. A drain or a departure holds at once, without use of the drain's grace.
func (b *Balancer) updateBackends(update api.BackendUpdate) {
	if update.Kind == api.UpdateUnavailable {
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

// retryWatch repeats the watch until a list has come, as an overloaded discovery rejects calls, unseen on
// sockets: once in the time after which an agent counts as informed.
func (b *Balancer) retryWatch() {
	if b.now >= b.nextWatchAt && !b.listReceived && b.watchUnconfirmed() {
		jitter := time.Duration(b.randomFloat() * float64(b.settings.watchTimeout) / 2)
		b.watchedAt, b.nextWatchAt = b.now, b.now+b.settings.watchTimeout+jitter
		b.emit(api.WatchBackends{On: true})
	}
}

// scheduleWatch has the watch repeated within half of that time, at random, at the start and when a backend
// is unreachable; not again soon after a call or list, as all agents do so at once.
func (b *Balancer) scheduleWatch() {
	half := b.settings.watchTimeout / 2
	if b.now-max(b.listReceivedAt, b.watchedAt) >= half && b.nextWatchAt > b.now+half {
		b.listReceived, b.nextWatchAt = false, b.now+time.Duration(b.randomFloat()*float64(half))
	}
}
