package ebb

import "time"

// Leave is a node's leave to send: it lasts for a term after the moment at which the core, or the appliance itself, can last
// be said not to have known of a removal. A node that hears nothing stops by itself; it does not have to be told.
type Leave struct {
	term time.Duration
	core time.Time // when it last asked a sound member what it then was told
}

// most is how long a leave lasts at most: less than the lease that the core holds for the node, so that it has stopped when
// the core says that its lease ran out.
const most = 2200 * time.Millisecond

// Term is how long a leave lasts, of `empty`, the time for which an appliance goes on serving after the acknowledgement: a
// quarter of it is kept for a request on its way and for a member that has just lost the others. It counts from the
// question, as nobody can say when an answer was given.
func Term(empty time.Duration) time.Duration {
	if empty <= 0 {
		return most
	}
	return min(most, empty*3/4)
}

// Wait is how long a pull may wait for news. A leave must outlast the pull that has brought it and the next one, and a slow
// answer: two fifths of it for each, and one for that.
func Wait(empty time.Duration) time.Duration { return Term(empty) * 2 / 5 }

// Span is how long the leave lasts.
func (l *Leave) Span() time.Duration { return l.term }

// NewLeave is a leave that has yet to be given.
func NewLeave(empty time.Duration) Leave { return Leave{term: Term(empty)} }

// Heard notes that a sound member has answered what was asked at a moment: what it knew then is known here.
func (l *Leave) Heard(asked time.Time) {
	if asked.After(l.core) {
		l.core = asked
	}
}

// Holds tells whether the core's word still covers a moment.
func (l *Leave) Holds(now time.Time) bool { return now.Before(l.core.Add(l.term)) }
