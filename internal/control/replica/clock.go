package replica

import "time"

// observeClock notes how late it is, and where the clock was set back brings what waits for a moment forward by as much: else a
// round that lost a message, or a value without an end, would wait for the time that was set back.
func (r *Replica) observeClock(now time.Time) {
	setBack := r.lastNow.Sub(now)
	r.lastNow = now
	if setBack <= 0 {
		return
	}
	for _, op := range r.operations {
		op.expiresAt, op.attemptDeadline, op.retryAt = shiftEarlier(op.expiresAt, setBack), shiftEarlier(op.attemptDeadline, setBack), shiftEarlier(op.retryAt, setBack)
	}
	for key, at := range r.undecided {
		r.undecided[key] = shiftEarlier(at, setBack)
	}
	for _, peer := range r.peers {
		peer.lastHeard, peer.lastPull, peer.memberSince = shiftEarlier(peer.lastHeard, setBack), shiftEarlier(peer.lastPull, setBack), shiftEarlier(peer.memberSince, setBack)
	}
	for _, candidate := range r.candidates {
		candidate.lastPull = shiftEarlier(candidate.lastPull, setBack)
	}
	r.startedAt, r.lastCallbackAt = shiftEarlier(r.startedAt, setBack), shiftEarlier(r.lastCallbackAt, setBack)
	r.local.adoptedAt = shiftEarlier(r.local.adoptedAt, setBack)
}

// shiftEarlier is a moment brought forward; the zero one stays.
func shiftEarlier(at time.Time, by time.Duration) time.Time {
	if at.IsZero() {
		return at
	}
	return at.Add(-by)
}
