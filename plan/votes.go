package plan

import "sagelever/lore"

// Votes of an agent on a release.
const (
	VoteBack = "back"
	VoteOn   = "on"
)

// Count adds the agents' votes up to a phase, or to none. One vote back ends the trial: it is cast on the evidence of all,
// and the sooner it counts the fewer bad answers come. All who see requests of the service have to vote on.
func Count(number uint64, tallies []*lore.Tally) string {
	on, voters := 0, 0
	for _, t := range tallies {
		if t.Number != number {
			continue
		}
		voters++
		switch t.Vote {
		case VoteBack:
			return Reverted
		case VoteOn:
			on++
		}
	}
	if voters > 0 && 2*on > voters {
		return Finished
	}
	return ""
}
