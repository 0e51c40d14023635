// Package lease implements a proxy's permission to send requests to backends. The lease expires unless healthy
// controllers keep answering the proxy.
//
// docs/leaving.md derives the durations.
package lease

import "time"

// maxDuration is the maximum duration of a send lease. It is shorter than the proxy's membership lease at the
// controllers, so that the proxy has stopped sending when they report that its membership lease expired.
const maxDuration = 2200 * time.Millisecond

// SendLease is a proxy's permission to send to backends. It expires a fixed time after the proxy sent its last request
// that a healthy controller answered. When that request was sent, the controller had no removal of a backend that is
// missing at the proxy now. A proxy that gets no answers therefore stops sending without being notified. The caller
// passes in the time. A SendLease is not safe for concurrent use.
type SendLease struct {
	duration  time.Duration
	renewedAt time.Time // send time of the last request that a healthy controller answered
}

// Duration returns the duration of a send lease. drainTime is how long a backend continues to serve after its removal
// was acknowledged, or 0 if there is no such bound. A quarter of the drain time is reserved for requests in transit and
// for a controller that has just lost contact with the others.
func Duration(drainTime time.Duration) time.Duration {
	if drainTime <= 0 {
		return maxDuration
	}
	return min(maxDuration, drainTime*3/4)
}

// PullWait returns how long a controller may delay its response to a proxy's pull until there are updates. A lease must
// outlast the pull that renewed it, the next pull, and a slow response. Each pull gets two fifths of the lease's
// duration, and the response one fifth.
func PullWait(drainTime time.Duration) time.Duration { return Duration(drainTime) * 2 / 5 }

// New returns a lease that is not valid until it is renewed.
func New(drainTime time.Duration) SendLease {
	return SendLease{duration: Duration(drainTime)}
}

// Duration returns how long the lease is valid after a renewal.
func (l *SendLease) Duration() time.Duration { return l.duration }

// Renew records that a healthy controller has answered a request sent at requestedAt. The lease starts at the time of
// the request, because the proxy can't determine when during the call the controller created its answer. Renew has no
// effect if a later request has already renewed the lease.
func (l *SendLease) Renew(requestedAt time.Time) {
	if requestedAt.After(l.renewedAt) {
		l.renewedAt = requestedAt
	}
}

// Valid reports whether the lease is valid at the given time.
func (l *SendLease) Valid(now time.Time) bool { return now.Before(l.renewedAt.Add(l.duration)) }
