package policy

import (
	"sort"
	"time"

	"sagelever/internal/agent/api"
)

// The rows are state, input, next state and effect. An input without a row for the current state is ignored.
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
		{streaming, transactionClosed, finished, (*Balancer).removeTransaction},
		{queued, deadlineNear, finished, (*Balancer).giveUp},
		{inFlight, deadlineNear, finished, (*Balancer).giveUp},
		{queued, transactionClosed, finished, (*Balancer).removeTransaction},
		{inFlight, transactionClosed, finished, (*Balancer).removeTransaction},
	}
	healthTransitions = []transition[healthState, healthInput, *backend]{
		{healthy, foundUnhealthy, ejected, (*Balancer).eject},
		{ejected, ejectionExpired, probing, nil},
		{probing, foundUnhealthy, ejected, (*Balancer).eject},
		{probing, foundHealthy, healthy, (*Balancer).reportRecovery},
		{healthy, peersFoundUnhealthy, ejected, nil},
		{probing, peersFoundUnhealthy, ejected, nil},
		{ejected, peerFoundHealthy, probing, nil},
	}
	voteTransitions = []transition[voteState, voteInput, *vote]{
		{voteNone, verdictChanged, votePending, (*Balancer).castVote},
		{voteCounted, verdictChanged, votePending, (*Balancer).castVote},
		{votePending, voteAccepted, voteCounted, nil},
		{votePending, voteRefused, voteNone, (*Balancer).delayVote},
		{votePending, voteOutdated, voteNone, (*Balancer).toggleStageOffset},
		{votePending, voteExpired, voteNone, nil},
		{voteCounted, voteExpired, votePending, (*Balancer).castVote},
	}
}

const heartbeatInterval = 20 * time.Millisecond // a few clock ticks, far below any goal

const silenceLatencies, minSilence = 4, 300 * time.Millisecond // multiple of the recent latency; minimum

// heartbeat ejects backends that stopped answering (hung, partitioned, crashed), adjusts the limits and sends
// due messages and votes.
func (b *Balancer) heartbeat() {
	b.schedule(heartbeatInterval, b.heartbeat)
	for _, backend := range b.ordered {
		silence := b.now - max(backend.lastResponseAt, backend.awaitingSince)
		if backend.inFlight > 0 && silence > max(silenceLatencies*b.recentLatency(), minSilence) {
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

const minReportSeconds, messagesPerTransaction = 0.5, 0.25 // the latter in messages of maxMessageSize

// reportCounts sends the outcomes counted since the last report to the voting agents, at most twice a second.
// With little traffic it sends less often, which bounds the message volume for each transaction.
func (b *Balancer) reportCounts() {
	voters, size := b.voterCount(), b.reportSize()
	minInterval := float64(voters*size) / maxMessageSize / messagesPerTransaction / b.rate(&b.demand)
	if !b.settings.mayMessage || size == 0 ||
		(b.now-b.lastReport).Seconds() < max(minReportSeconds, minInterval) {
		return
	}
	data := b.reportMessage()
	b.lastReport = b.now
	b.sendToFirst(voters, data)
}

const targetLatencyRatio = 0.33                    // of latency to goal; more indicates queueing at backends
const limitDecrease, limitIncrease = 0.97, 1.03    // factors for each heartbeat
const limitPerInFlight, limitPerBackend = 1.5, 2.0 // bound the limit to a multiple of its use
const minLimitGoalDivisor = 6                      // the limit admits the demand at a latency of goal/6

// adjustLimit adjusts how many attempts of one flow may be in flight, by the ratio of latency to the goal.
func (b *Balancer) adjustLimit(f *flow) {
	if f.latencyRatio.Estimate(b.now, latencyRatioHalfLife, 0, 1) > targetLatencyRatio {
		f.limit *= limitDecrease
	} else {
		f.limit = min(f.limit*limitIncrease,
			limitPerInFlight*float64(f.inFlight)+limitPerBackend*float64(len(b.ordered)))
	}
	f.limit = max(f.limit, b.rate(&f.demand)*f.workload.goal.Seconds()/minLimitGoalDivisor)
}

const latencyRatioHalfLife = 400 * time.Millisecond // several responses, but shorter than a burst

// retryQueued retries the placement of queued transactions, in descending order of payoff per unit of work.
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

const watchRetryDelay, watchRetryJitterMS = time.Second, 1000 // after discovery was unavailable

// updateBackends applies a list. Drains and removals take effect immediately; the grace period is not used.
func (b *Balancer) updateBackends(update api.BackendUpdate) {
	if update.Kind == api.UpdateUnavailable {
		wait := watchRetryDelay + time.Duration(b.randomBelow(watchRetryJitterMS))*time.Millisecond
		b.schedule(wait, func() { b.emit(api.WatchBackends{On: true}) })
		return
	}
	if update.Kind != api.UpdateCached && len(update.Backends) > 0 {
		b.listReceived, b.listReceivedAt = true, b.now
	}
	b.applyList(update)
	b.switchTrialBuild()
}

// retryWatch repeats the watch request, about once in watchTimeout, until a list arrives: an overloaded
// discovery rejects calls, and on sockets the agent gets no error for that.
func (b *Balancer) retryWatch() {
	if b.now >= b.nextWatchAt && !b.listReceived && b.watchUnconfirmed() {
		jitter := time.Duration(b.randomFloat() * float64(b.settings.watchTimeout) / 2)
		b.watchedAt, b.nextWatchAt = b.now, b.now+b.settings.watchTimeout+jitter
		b.emit(api.WatchBackends{On: true})
	}
}

// scheduleWatch schedules a watch request at a random time within half of watchTimeout, at the start and when
// a backend is unreachable. All agents do so at the same time, so a recent request or list suppresses it.
func (b *Balancer) scheduleWatch() {
	half := b.settings.watchTimeout / 2
	if b.now-max(b.listReceivedAt, b.watchedAt) >= half && b.nextWatchAt > b.now+half {
		b.listReceived, b.nextWatchAt = false, b.now+time.Duration(b.randomFloat()*float64(half))
	}
}
