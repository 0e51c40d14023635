package release

import "sagelever/internal/control/replication"

// Votes of a proxy on a release. The vote of a proxy that has not decided is empty.
const (
	VoteRevert = "back"
	VoteFinish = "on"
)

// CountVotes returns the phase in which the proxies' votes end the release with the given number, or "" if the release
// continues.
//
// A single vote to revert suffices: a proxy bases it on the reports of all proxies, and an early revert reduces the
// number of failed requests. Finishing a release requires a majority of the proxies with requests to the service.
func CountVotes(number uint64, tallies []*replication.ReleaseTally) Phase {
	finishVotes, voters := 0, 0
	for _, tally := range tallies {
		if tally.ReleaseNumber != number {
			continue
		}
		voters++
		switch tally.Vote {
		case VoteRevert:
			return PhaseReverted
		case VoteFinish:
			finishVotes++
		}
	}
	if 2*finishVotes > voters {
		return PhaseFinished
	}
	return ""
}
