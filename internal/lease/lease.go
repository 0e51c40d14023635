package lease

import "time"

// SendLease is a node's leave to send: it lasts for a term after the moment at which the core, or the appliance itself, can last
// be said not to have known of a removal. A node that hears nothing stops by itself; it does not have to be told.
type SendLease struct {
	duration  time.Duration
	renewedAt time.Time // when it last asked a sound member what it then was told
}

// maxLeaseDuration is how long a leave lasts at most: less than the lease that the core holds for the node, so that it has stopped when
// the core says that its lease ran out.
const maxLeaseDuration = 2200 * time.Millisecond

// LeaseDuration is how long a leave lasts, of `empty`, the time for which an appliance goes on serving after the acknowledgement: a
// quarter of it is kept for a request on its way and for a member that has just lost the others. It counts from the
// question, as nobody can say when an answer was given.
func LeaseDuration(drainTime time.Duration) time.Duration {
	if drainTime <= 0 {
		return maxLeaseDuration
	}
	return min(maxLeaseDuration, drainTime*3/4)
}

// PullWait is how long a pull may wait for news. A leave must outlast the pull that has brought it and the next one, and a slow
// answer: two fifths of it for each, and one for that.
func PullWait(drainTime time.Duration) time.Duration { return LeaseDuration(drainTime) * 2 / 5 }

// Span is how long the leave lasts.
func (l *SendLease) Span() time.Duration { return l.duration }

// NewSendLease is a leave that has yet to be given.
func NewSendLease(drainTime time.Duration) SendLease {
	return SendLease{duration: LeaseDuration(drainTime)}
}

// Renew notes that a sound member has answered what was asked at a moment: what it knew then is known here.
func (l *SendLease) Renew(requestedAt time.Time) {
	if requestedAt.After(l.renewedAt) {
		l.renewedAt = requestedAt
	}
}

// Valid tells whether the core's word still covers a moment.
func (l *SendLease) Valid(now time.Time) bool { return now.Before(l.renewedAt.Add(l.duration)) }
