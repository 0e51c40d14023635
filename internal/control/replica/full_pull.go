package replica

import (
	"maps"
	"strings"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
)

// fullPull is a pull of everything that takes several responses of one member. What the member doesn't hold is dropped
// here once the last of them has come, and not before: the first ones only lack what was held back for size.
type fullPull struct {
	source     string          // the member's node
	received   map[string]bool // the keys that came meanwhile, from whichever member
	progress   replication.Vector
	lastPartAt time.Time
}

// isStuck reports whether the next part of a full pull is overdue.
func (p *fullPull) isStuck(now time.Time) bool { return now.Sub(p.lastPartAt) > PeerTimeout }

// continuedPull returns the full pull that is under way and of which a member sends the next part; nil if there is none.
func (r *Replica) continuedPull(now time.Time, node string) *fullPull {
	if r.fullPull != nil && r.fullPull.isStuck(now) {
		r.fullPull = nil
	}
	if r.fullPull == nil || r.fullPull.source != node {
		return nil
	}
	return r.fullPull
}

// applyFullPull takes a response that is complete, or the next part of one that was not. It reports whether it was either.
func (r *Replica) applyFullPull(
	now time.Time, from message.Member, request *message.PullRequest, response *message.PullResponse, received map[string]bool,
) bool {
	if r.fullPull != nil {
		maps.Copy(r.fullPull.received, received)
	}
	pull := r.continuedPull(now, from.Node)
	isNextPart := pull != nil && !response.Complete && request.Progress.Covers(pull.progress) &&
		pull.progress.Covers(request.Progress)
	switch {
	case response.Complete && !r.progressCurrent(now):
		pull = &fullPull{source: from.Node, received: received, progress: replication.Vector{}}
	case !isNextPart:
		return false
	}
	for origin, sequence := range response.Progress {
		pull.progress[origin] = max(pull.progress[origin], sequence)
	}
	if response.Truncated && len(pull.progress) > 0 {
		pull.lastPartAt = now
		r.fullPull = pull
		r.progressValid = false // until the last part: one that never comes is followed by another full pull
		r.items.Advance(response.Progress)
		return true
	}
	r.finishFullPull(pull)
	return true
}

// finishFullPull drops the items that a member which has sent everything doesn't hold: they were forgotten while this
// replica was away.
func (r *Replica) finishFullPull(pull *fullPull) {
	r.fullPull = nil
	isRegister := func(item replication.Item) bool { return strings.HasPrefix(item.Key, replication.RegisterKeyPrefix) }
	for _, key := range r.items.ReplaceReceived(pull.received, pull.progress, isRegister) {
		r.deleteFromDisk(key)
		if id, ok := strings.CutPrefix(key, replication.BackendKeyPrefix); ok {
			delete(r.backends, id)
		}
	}
	r.progressValid = true
	r.resetCount++
}
