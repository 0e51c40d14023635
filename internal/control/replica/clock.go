package replica

import "time"

// observeClock records the current time. If the clock was set back, the times of operations, repairs, peers and
// candidates are moved back by the same amount. Otherwise a round that lost a message, or the repair of an undecided
// value, would wait until the clock has caught up.
func (r *Replica) observeClock(now time.Time) {
	setBack := r.lastStepAt.Sub(now)
	r.lastStepAt = now
	if setBack <= 0 {
		return
	}
	for _, op := range r.operations {
		moveBack(setBack, &op.expiresAt, &op.attempt.deadline, &op.retryAt)
	}
	for key, value := range r.undecided {
		moveBack(setBack, &value.repairAt, &value.noticedAt, &value.roundAt)
		r.undecided[key] = value
	}
	for _, peer := range r.peers {
		moveBack(setBack, &peer.lastResponseAt, &peer.answeredPullAt, &peer.lastCompleteAt, &peer.lastPullAt, &peer.memberSince)
	}
	for _, candidate := range r.candidates {
		moveBack(setBack, &candidate.lastPullAt)
	}
	for _, pull := range r.partialPulls {
		moveBack(setBack, &pull.lastPartAt)
	}
	moveBack(setBack, &r.nextRepairAt, &r.contendedUntil, &r.startedAt, &r.lastEpochPullAt, &r.local.adoptedAt)
}

// moveBack subtracts a duration from each non-zero time.
func moveBack(by time.Duration, times ...*time.Time) {
	for _, t := range times {
		if !t.IsZero() {
			*t = t.Add(-by)
		}
	}
}
