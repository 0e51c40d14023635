package release

import "sagelever/internal/control/replication"

// Votes of an agent on a release.
const (
	VoteRevert = "back"
	VoteFinish = "on"
)

// CountVotes adds the agents' votes up to a phase, or to none. One vote back ends the trial: it is cast on the evidence of all,
// and the sooner it counts the fewer bad answers come. All who see requests of the service have to vote on.
func CountVotes(number uint64, tallies []*replication.ReleaseTally) string {
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
	if voters > 0 && 2*finishVotes > voters {
		return PhaseFinished
	}
	return ""
}
