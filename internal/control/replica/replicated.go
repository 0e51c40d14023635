package replica

import (
	"strconv"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
)

// peerProgress is the progress of another member as of its last pull from this replica.
type peerProgress struct {
	vector         replication.Vector
	legacySequence uint64 // the progress in this replica's local sequence numbers, for protocol version 1
	recordedAt     time.Time
}

// recordPullProgress records the progress of the member that sent a pull.
func (r *Replica) recordPullProgress(now time.Time, request *message.PullRequest, complete bool) {
	node := request.From.Node
	previous, known := r.pullProgress[node]
	r.pullProgress[node] = peerProgress{
		vector:         request.Progress,
		legacySequence: request.LegacyVector[r.items.LegacySource],
		recordedAt:     now,
	}
	if awayFor := now.Sub(previous.recordedAt); known && awayFor > PeerTimeout+LeaseTerm {
		missing, _ := r.items.Missing(request.Progress, r.items.LocalSequence(), nil)
		r.logEvent("member returned",
			LogField{"member", node},
			LogField{"awayMs", formatMs(awayFor)},
			LogField{"items", strconv.Itoa(len(missing))},
			LogField{"complete", strconv.FormatBool(complete)})
	}
}

// Replicated reports whether enough members hold an item, which was published at the given time, for it to be
// acknowledged: every majority of the members must contain a holder, and until RemovalReplicationWait has passed, all
// reachable members must hold the item.
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

// holds reports whether a member holds an item, based on the item's sequence number at its origin or, for protocol
// version 1, its local sequence number at this replica.
func (p peerProgress) holds(origin string, sequence, localSequence uint64) bool {
	if p.vector[origin] >= sequence {
		return true
	}
	return p.vector == nil && p.legacySequence >= localSequence
}

// replicationQuorum returns how many of the members must hold an item so that every majority contains a holder: half of
// them, rounded up. It is at least two if there are two or more members, so that the item survives the loss of the
// member that acknowledges it.
func replicationQuorum(members int) int {
	const minHolders = 2
	return max(members-members/2, min(members, minHolders))
}
