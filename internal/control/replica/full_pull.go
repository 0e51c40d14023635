package replica

import (
	"maps"
	"strings"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
)

// fullPull is a pull of all items, which may take several responses of one member. Items that the member doesn't hold
// are dropped only after the last response: earlier responses are truncated and therefore lack items.
type fullPull struct {
	source     string          // the member's node
	received   map[string]bool // the keys received since the start of the pull, from any member
	progress   replication.Vector
	lastPartAt time.Time
}

// isStuck reports whether the next response of a full pull is overdue.
func (p *fullPull) isStuck(now time.Time) bool { return now.Sub(p.lastPartAt) > PeerTimeout }

// continuedPull returns the full pull in progress if the member with the given node is its source, and nil otherwise.
// It discards a full pull that is stuck.
func (r *Replica) continuedPull(now time.Time, node string) *fullPull {
	if r.fullPull != nil && r.fullPull.isStuck(now) {
		r.fullPull = nil
	}
	if r.fullPull == nil || r.fullPull.source != node {
		return nil
	}
	return r.fullPull
}

// applyFullPull handles a response that starts or continues a full pull. It returns false for any other response.
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
		r.progressValid = false // until the last response; if that never arrives, another full pull is needed
		r.items.Advance(response.Progress)
		return true
	}
	r.finishFullPull(pull)
	return true
}

// finishFullPull drops the items that the source of a full pull doesn't hold: they were dropped by the members while
// this replica was unreachable.
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
