package replica

import (
	"strconv"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
)

// peerProgress is how far another member has come by the last pull that it sent here.
type peerProgress struct {
	vector         replication.Vector
	legacySequence uint64 // in this replica's local sequence numbers, in protocol version 1
	recordedAt     time.Time
}

// recordPullProgress notes how far the member that sent a pull has come.
func (r *Replica) recordPullProgress(now time.Time, request *message.PullRequest, complete bool) {
	node := request.From.Node
	previous, known := r.pullProgress[node]
	r.pullProgress[node] = peerProgress{
		vector:         request.Progress,
		legacySequence: request.LegacyVector[r.items.LegacySource],
		recordedAt:     now,
	}
	if away := now.Sub(previous.recordedAt); known && away > PeerTimeout+LeaseTerm {
		missing, _ := r.items.Missing(request.Progress, r.items.LocalSequence(), nil)
		r.logEvent("member returned",
			LogField{"member", node},
			LogField{"awayMs", formatMs(away)},
			LogField{"items", strconv.Itoa(len(missing))},
			LogField{"complete", strconv.FormatBool(complete)})
	}
}

// Replicated reports whether an item that was published here at a given time is held widely enough to be acknowledged:
// by so many members that each member with a quorum reaches one of them, and, until RemovalReplicationWait has passed,
// by all that are reachable.
func (r *Replica) Replicated(now time.Time, key string, publishedAt time.Time) bool {
	origin, sequence := r.items.OriginOf(key)
	if origin == "" {
		return false
	}
	localSequence := r.items.LocalSequenceOf(key)
	holders := 1
	onAllReachable := true
	for node := range r.peers {
		progress, known := r.pullProgress[node]
		switch {
		case known && progress.holds(origin, sequence, localSequence):
			holders++
		case r.reachable(node, now):
			onAllReachable = false
		}
	}
	if holders < replicationQuorum(len(r.local.configuration.Members)) {
		return false
	}
	return onAllReachable || now.Sub(publishedAt) >= RemovalReplicationWait
}

// holds reports whether a member holds an item, by its sequence number at its origin or, in protocol version 1, by its
// local sequence number here.
func (p peerProgress) holds(origin string, sequence, localSequence uint64) bool {
	if p.vector[origin] >= sequence {
		return true
	}
	return p.vector == nil && p.legacySequence >= localSequence
}

// replicationQuorum returns how many of the members have to hold an item so that every majority of them contains a
// holder: half of them rounded up. It is two at least, so that the item outlives the member that acknowledges it even
// in a configuration of two.
func replicationQuorum(members int) int {
	const minHolders = 2
	return max(members-members/2, min(members, minHolders))
}
