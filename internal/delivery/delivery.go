// Package delivery decides whether a caller has received the answer to its request. That an answer was written, or that the
// host of the peer has confirmed its bytes, is no evidence: a relay may have received them. The actions of the caller
// afterwards are. A caller without an answer closes its connection after some silence; one that has its answer closes the
// connection at once, keeps it, or uses it again.
//
// The package does no I/O; the caller passes in what it has observed.
package delivery

import "time"

const (
	// MaxAnswerTime is the time after the arrival of a request within which an answer reaches the caller reliably. A
	// connection that the caller closes sooner was not given up because of silence.
	MaxAnswerTime = 700 * time.Millisecond

	// silenceTime is the time after the arrival of a request from which on a connection that the caller closes was given up
	// because of silence.
	silenceTime = 950 * time.Millisecond

	// ObservationTime is the time after the arrival of a request after which a caller that got no answer has certainly
	// given up its connection: a second of silence, and a second for the way there and for a busy machine.
	ObservationTime = 2 * time.Second
)

// Callers without an answer send their request again after a pause that grows.
const (
	firstRepeatPause = 100 * time.Millisecond
	maxRepeatPause   = time.Second

	// Bounds of the time that a repetition takes, beyond twice the caller's pause, until it is on record.
	minRecordTime = 150 * time.Millisecond
	maxRecordTime = 400 * time.Millisecond

	// unlikelyRepeatTime is the least time in which a repetition is expected if the way in which the connection ended is
	// rare for a caller with an answer.
	unlikelyRepeatTime = time.Second
)

// Action is what the peer of a connection does after the answer was written.
type Action int

// Actions of a peer.
const (
	KeptOpen Action = iota // it has done nothing
	Reused                 // it has sent something
	Closed
	Reset // the connection failed
)

// String returns the name of the action.
func (a Action) String() string {
	switch a {
	case Reused:
		return "reused"
	case Closed:
		return "closed"
	case Reset:
		return "reset"
	}
	return "kept open"
}

// Observation is what was seen of the peer of a connection after the answer was written.
type Observation struct {
	Action Action
	At     time.Time // when the action was noticed, which may be later than when it took place
	// Unconfirmed is set if the host of the peer has not confirmed all bytes.
	Unconfirmed bool
}

// Verdict is the result of Judge.
type Verdict int

// Verdicts.
const (
	Lost Verdict = iota
	Received
	// ReceivedUnlessRepeated means that the peer has either got the answer or was disconnected: in that case, it sends the
	// request again within RepeatTime.
	ReceivedUnlessRepeated
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	switch v {
	case Received:
		return "received"
	case ReceivedUnlessRepeated:
		return "received unless repeated"
	}
	return "lost"
}

// Judge decides whether an answer was received. arrivedAfter is a time before which nothing of the request had arrived. If
// the peer does nothing, the observation must have lasted for ObservationTime.
func Judge(arrivedAfter time.Time, seen Observation) Verdict {
	age := seen.At.Sub(arrivedAfter)
	switch seen.Action {
	case Reused:
		return Received
	case Closed, Reset:
		if age < silenceTime {
			return ReceivedUnlessRepeated
		}
		return Lost
	}
	if seen.Unconfirmed || age < ObservationTime {
		return Lost
	}
	return Received
}

// RepeatTime returns the time after the end of a connection within which a repetition of the request is on record, if the
// verdict is ReceivedUnlessRepeated. commitTime is how long the request took until it was on record, and earlierCopies the
// number of times that it may have been sent before.
func RepeatTime(arrivedAfter time.Time, seen Observation, commitTime time.Duration, earlierCopies int) time.Duration {
	pause := firstRepeatPause
	for range earlierCopies {
		pause = min(2*pause, maxRepeatPause)
	}
	wait := 2*pause + min(max(commitTime, minRecordTime), maxRecordTime)
	if seen.Action == Reset || seen.At.Sub(arrivedAfter) >= MaxAnswerTime {
		return max(wait, unlikelyRepeatTime)
	}
	return wait
}
