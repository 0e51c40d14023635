package replica

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
)

// partialPull collects the parts of an answer to a pull that exceeds the size limit of a response. The parts take effect
// together, after the last one. Before it, this replica may not claim the progress of the earlier parts: a part covers
// sequence numbers of one origin whose items were replaced by items of another origin, which only a later part contains.
// The claim would reach other replicas, and none of them would request these items any more.
type partialPull struct {
	request    *message.PullRequest // the first one
	parts      []*message.PullResponse
	progress   replication.Vector // on which the next request builds
	received   map[string]bool    // the keys received from other members in the meantime
	lastPartAt time.Time
}

// newPartialPull returns the pull that begins with a request and its response.
func newPartialPull(request *message.PullRequest, first *message.PullResponse) *partialPull {
	pull := &partialPull{request: request, progress: replication.Vector{}, received: map[string]bool{}}
	if !first.Complete {
		maps.Copy(pull.progress, request.Progress)
	}
	return pull
}

// add adds the next part.
func (p *partialPull) add(part *message.PullResponse) {
	p.parts = append(p.parts, part)
	for origin, sequence := range part.Progress {
		p.progress[origin] = max(p.progress[origin], sequence)
	}
}

// isComplete reports whether the answer contains all items of its source.
func (p *partialPull) isComplete() bool { return p.parts[0].Complete }

// isContinuedBy reports whether a response is the next part: it comes from the same process, and its request built on
// the earlier parts.
func (p *partialPull) isContinuedBy(request *message.PullRequest, response *message.PullResponse) bool {
	sameProgress := request.Progress.Covers(p.progress) && p.progress.Covers(request.Progress)
	return !response.Complete && sameProgress && sourceOrigin(response) == sourceOrigin(p.parts[0])
}

// sourceOrigin returns the origin of the items that a response's source publishes.
func sourceOrigin(response *message.PullResponse) string {
	if len(response.Origins) == 0 {
		return ""
	}
	return response.Origins[0]
}

// isStuck reports whether the next part is overdue.
func (p *partialPull) isStuck(now time.Time) bool { return now.Sub(p.lastPartAt) > PeerTimeout }

// collectParts adds a response to the pull that it continues, or begins a pull with it. It returns the pull if this
// response is the last part.
func (r *Replica) collectParts(
	now time.Time, from message.Member, request *message.PullRequest, response *message.PullResponse,
) (pull *partialPull, changed []quorum.Entry) {
	pull = r.partialPulls[from.Node]
	if pull != nil && !pull.isContinuedBy(request, response) {
		changed = r.endBrokenPull(now, from.Node)
		pull = nil
	}
	if pull == nil {
		pull = newPartialPull(request, response)
	}
	delete(r.partialPulls, from.Node)
	pull.add(response)
	if !response.Truncated || len(pull.progress) == 0 {
		return pull, changed
	}
	pull.lastPartAt = now
	r.partialPulls[from.Node] = pull
	if pull.isComplete() && !r.progressCurrent(now) {
		r.progressValid = false // until the last part; if that never arrives, another pull of all items is needed
	}
	return nil, changed
}

// applyPull merges the items of a pull whose last part has arrived, and advances this replica's progress. It returns
// the changed register entries, which the caller must save.
func (r *Replica) applyPull(now time.Time, pull *partialPull) (changed []quorum.Entry) {
	first := pull.parts[0]
	// An answer to a request from before a reset builds on items that were dropped since. It doesn't advance the
	// progress, and its items are published again with this replica as their origin.
	coversProgress := first.Complete || pull.request.ResetCount == r.resetCount
	changed, received := r.mergeParts(now, pull, coversProgress)
	if pull.request.MembersOnly {
		return changed
	}
	switch {
	case first.ProtocolVersion < message.ProtocolVersion:
	case first.Complete && !r.progressCurrent(now):
		maps.Copy(received, pull.received)
		r.replaceItems(received, pull.progress)
	case coversProgress:
		for _, part := range pull.parts {
			r.items.Advance(part.Progress)
		}
	}
	r.lastPullAt = now
	return changed
}

// mergeParts merges the items of all parts. It returns the changed register entries and the keys of all items.
func (r *Replica) mergeParts(
	now time.Time, pull *partialPull, coversProgress bool,
) (changed []quorum.Entry, received map[string]bool) {
	received = map[string]bool{}
	for _, part := range pull.parts {
		changed = append(changed, r.mergeItems(now, part, coversProgress, received)...)
	}
	for _, other := range r.partialPulls {
		maps.Copy(other.received, received)
	}
	return changed, received
}

// replaceItems drops the items that the source of a complete answer doesn't hold: they were dropped by the members
// while this replica was unreachable.
func (r *Replica) replaceItems(received map[string]bool, progress replication.Vector) {
	isRegister := func(item replication.Item) bool { return strings.HasPrefix(item.Key, replication.RegisterKeyPrefix) }
	for _, key := range r.items.ReplaceReceived(received, progress, isRegister) {
		r.deleteFromDisk(key)
		if id, ok := strings.CutPrefix(key, replication.BackendKeyPrefix); ok {
			delete(r.backends, id)
		}
	}
	r.progressValid = true
	r.resetCount++
}

// endBrokenPull ends a pull whose remaining parts won't arrive. Its source may count this replica as a holder of the
// items received so far, so they are published with this replica as their origin. It returns the changed register
// entries, which the caller must save.
func (r *Replica) endBrokenPull(now time.Time, node string) (changed []quorum.Entry) {
	pull := r.partialPulls[node]
	delete(r.partialPulls, node)
	changed, _ = r.mergeParts(now, pull, false)
	return changed
}

// endStuckPulls ends the pulls whose next part is overdue.
func (r *Replica) endStuckPulls(now time.Time) {
	for _, node := range slices.Sorted(maps.Keys(r.partialPulls)) {
		if r.partialPulls[node].isStuck(now) {
			r.save(now, Save{Entries: r.endBrokenPull(now, node)}, nil)
		}
	}
}

// pullingAllItems reports whether a pull of all items is in progress that this replica needs because its progress is
// not valid.
func (r *Replica) pullingAllItems() bool {
	if r.progressValid {
		return false
	}
	for _, pull := range r.partialPulls {
		if pull.isComplete() {
			return true
		}
	}
	return false
}
