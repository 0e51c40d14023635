package replica

import (
	"slices"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
)

func (r *Replica) handleReadResponse(now time.Time, op *operation, from message.Member, response *message.PeerResponse) {
	if op.answered[from.Node] || !response.OK {
		return
	}
	onSaved := func(now time.Time) {
		op.answered[from.Node] = true
		if len(op.answered) >= r.local.configuration.MaxFailures {
			r.finishRead(now, op)
		}
	}
	if len(op.readKeys) > 0 {
		r.learnForOperation(now, op, response.Entries, onSaved)
		return
	}
	r.handleRanges(now, op, from, message.ReadPath, response, onSaved)
}

// finishRead ends a read, once what it tells is chosen.
func (r *Replica) finishRead(now time.Time, op *operation) {
	if r.epochClosed() { // this member's own word does not count any more
		r.scheduleRetry(now, op)
		return
	}
	op.kind, op.keys, op.decide, op.chosenValues = completeRead, nil, keepValues, map[string]quorum.Value{}
	for _, entry := range r.readEntries(op) {
		if entry.Chosen {
			op.chosenValues[entry.Key] = entry.Value
		} else {
			op.keys = append(op.keys, entry.Key)
		}
	}
	slices.Sort(op.keys)
	if len(op.keys) == 0 {
		r.finish(op, op.chosenValues, nil)
		return
	}
	r.startAttempt(now, op)
}

// readEntries is what this member holds of what a read is about.
func (r *Replica) readEntries(op *operation) []quorum.Entry {
	if len(op.readKeys) > 0 {
		return r.entriesByKey(op.readKeys)
	}
	return r.entriesWithPrefix(op.prefix)
}

// entriesByKey is what this member holds of some registers.
func (r *Replica) entriesByKey(keys []string) []quorum.Entry {
	var held []quorum.Entry
	for _, key := range keys {
		if entry := r.acceptor.Get(key); entry.Accepted != (quorum.ProposalNumber{}) {
			held = append(held, entry)
		}
	}
	return held
}
