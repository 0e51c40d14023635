package drain

import "time"

// A caller without an answer sends its order again, to another controller, after a pause that grows. The pause follows a
// second of silence, or at once a connection that has failed. An order that comes at another time is not a repetition.
const (
	callerSilence    = time.Second
	firstRepeatPause = 100 * time.Millisecond
	maxRepeatPause   = time.Second

	// failureSlack is the time that a repetition after a failure takes beyond the pause and the trips between controllers and
	// to the caller. The answer to a repetition may wait for longer than the first, as it changes nothing that the members
	// would report.
	failureSlack       = 250 * time.Millisecond
	repeatFailureSlack = 400 * time.Millisecond

	// knownLate is the longest time that an order takes until the next controller knows of it.
	knownLate = 500 * time.Millisecond

	// silenceSlack is the time that a repetition after silence takes beyond the pause. Copies that no controller has received
	// make the pause longer.
	silenceSlack = 350 * time.Millisecond

	// maxRepeatTime is the longest time between a copy and its repetition.
	maxRepeatTime = callerSilence + maxRepeatPause + silenceSlack

	// repeatTrips is the number of round trips in which a repetition follows: the answer waits until the members report, and
	// passes to the caller, which connects to the next controller and sends the order there.
	repeatTrips = 4
)

// isRepeatTime reports whether an order may be a repetition by the time since the last copy. copies is the number of copies
// that are known to have been sent, and roundTripTime the time to the most distant controller and back.
func isRepeatTime(sinceLast time.Duration, copies int, roundTripTime time.Duration) bool {
	pause := firstRepeatPause
	for range copies - 1 {
		pause = min(2*pause, maxRepeatPause)
	}
	slack := failureSlack
	if copies > 1 {
		slack = repeatFailureSlack
	}
	trips := repeatTrips * roundTripTime
	afterFailure := sinceLast <= pause+slack+trips
	longestPause := min(2*pause, maxRepeatPause)
	afterSilence := sinceLast >= callerSilence+pause-knownLate && sinceLast <= callerSilence+longestPause+silenceSlack+trips
	return afterFailure || afterSilence
}
