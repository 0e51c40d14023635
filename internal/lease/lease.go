// Package lease holds a proxy's permission to send to backends, which expires by itself where the proxy hears nothing.
//
// docs/leaving.md derives the times.
package lease

import "time"

// maxDuration bounds a send lease. It is shorter than the membership lease that the controllers hold for the proxy, so
// that the proxy has stopped sending when they report that its membership lease expired.
const maxDuration = 2200 * time.Millisecond

// SendLease is a proxy's permission to send to backends. It lasts for a fixed time after the last moment at which a
// controller is known not to have known of a removal that the proxy does not know of. A proxy that hears nothing
// stops by itself; it does not have to be told. The time is passed in, and a SendLease is not safe for concurrent
// use.
type SendLease struct {
	duration  time.Duration
	renewedAt time.Time // when the last request was sent that a healthy controller answered
}

// Duration returns how long a send lease lasts, given the time for which a backend goes on serving after its
// removal was acknowledged (0 where there is no such bound). A quarter of the drain time is kept for a request on its
// way, and for a controller that has just lost contact with the others.
func Duration(drainTime time.Duration) time.Duration {
	if drainTime <= 0 {
		return maxDuration
	}
	return min(maxDuration, drainTime*3/4)
}

// PullWait returns how long a controller may hold a proxy's pull until there are updates. A lease must outlast the pull
// that has renewed it, the next one, and a slow response: two fifths of it for each pull, and one for the response.
func PullWait(drainTime time.Duration) time.Duration { return Duration(drainTime) * 2 / 5 }

// New returns a lease that has yet to be granted: it is not valid until it is renewed.
func New(drainTime time.Duration) SendLease {
	return SendLease{duration: Duration(drainTime)}
}

// Duration returns how long the lease lasts.
func (l *SendLease) Duration() time.Duration { return l.duration }

// Renew records that a healthy controller has answered a request sent at requestedAt. The lease counts from the
// request, since nobody can say when during it the answer was formed. An older moment changes nothing.
func (l *SendLease) Renew(requestedAt time.Time) {
	if requestedAt.After(l.renewedAt) {
		l.renewedAt = requestedAt
	}
}

// Valid reports whether the lease covers a moment.
func (l *SendLease) Valid(now time.Time) bool { return now.Before(l.renewedAt.Add(l.duration)) }
