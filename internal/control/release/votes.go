package release

import "sagelever/internal/control/replication"

// Votes of a proxy on a release. A proxy that has not decided has no vote.
const (
	VoteRevert = "back"
	VoteFinish = "on"
)

// CountVotes returns the phase in which the proxies' votes end the release with a number, or "" if it goes on.
//
// A single vote to revert ends it: a proxy casts it on the evidence of all proxies, and the sooner it counts, the fewer
// requests fail. To finish it takes a majority of the proxies that see requests of the service.
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
