package replica

import (
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/rangesync"
)

// readState is the part of an operation that reads registers.
type readState struct {
	keys   []string                // the registers to read; where there are none, those with the prefix
	prefix string                  // of the keys of the registers to read
	values map[string]quorum.Value // the values found that are known to be chosen

	// undecided are the registers whose values are not known to be chosen yet; nil while the members are asked.
	undecided map[string]bool
}

// Read reads the registers whose keys have a prefix. It brings this replica up to date with as many members as hold,
// among them, everything that was ever acknowledged, and waits until what is found is known to be chosen, so that a later
// read finds it too. It returns the operation's ID.
func (r *Replica) Read(now, expiresAt time.Time, prefix string) uint64 {
	return r.startReadOperation(now, expiresAt, readState{prefix: prefix})
}

// ReadKeys is Read for some registers by name.
func (r *Replica) ReadKeys(now, expiresAt time.Time, keys []string) uint64 {
	return r.startReadOperation(now, expiresAt, readState{keys: keys})
}

func (r *Replica) startReadOperation(now, expiresAt time.Time, read readState) uint64 {
	op := &operation{kind: quorumRead, expiresAt: expiresAt, reportCompletion: true, read: read}
	return r.startOperation(now, op)
}

// startRead asks the other members for what they hold.
func (r *Replica) startRead(now time.Time, op *operation) {
	op.read.undecided = nil
	configuration := r.local.configuration
	if configuration.MaxFailures == 0 {
		r.finishRead(now, op)
		return
	}
	peers := r.votingPeers()
	var request *message.PeerRequest
	if len(op.read.keys) > 0 {
		request = &message.PeerRequest{Epoch: configuration.Epoch, Keys: op.read.keys}
	} else {
		ranges := r.startSessions(op, peers, rangesync.PrefixRange(op.read.prefix))
		request = r.newRangesRequest(message.ReadPath, ranges)
	}
	r.requestFrom(now, op, peers, message.ReadPath, request)
}

// handleReadResponse takes what another member holds. With this replica itself, MaxFailures+1 members are enough.
func (r *Replica) handleReadResponse(
	now time.Time, op *operation, from message.Member, response *message.PeerResponse,
) {
	if op.attempt.answered[from.Node] || !response.OK {
		return
	}
	memberDone := func(now time.Time) {
		op.attempt.answered[from.Node] = true
		if len(op.attempt.answered) >= r.local.configuration.MaxFailures {
			r.finishRead(now, op)
		}
	}
	if len(op.read.keys) > 0 {
		r.learnForOperation(now, op, response.Entries, memberDone)
		return
	}
	r.handleRanges(now, op, from, message.ReadPath, response, memberDone)
}

// finishRead ends a read whose values are all known to be chosen; otherwise it waits until the others are decided. It
// doesn't propose them itself: a value that was just accepted is most likely about to be chosen, and rounds of reads would
// compete with the one that decides it and with each other.
func (r *Replica) finishRead(now time.Time, op *operation) {
	if r.epochClosed() { // what this replica holds counts no longer
		r.scheduleRetry(now, op)
		return
	}
	if op.kind == verifyRegisters {
		r.finishVerifyingRead(now, op)
		return
	}
	op.read.values = map[string]quorum.Value{}
	op.read.undecided = map[string]bool{}
	for _, entry := range r.readEntries(op) {
		switch {
		case entry.Chosen:
			op.read.values[entry.Key] = entry.Value
		case isConfirmable(entry.Key) || len(op.read.keys) > 0:
			op.read.undecided[entry.Key] = true
		}
	}
	if len(op.read.undecided) == 0 {
		r.finish(op, op.read.values, nil)
		return
	}
	op.attempt = attempt{number: op.attempt.number + 1} // the other members' responses are not needed any more
	r.expediteRepair(now, op.read.undecided)
}

// resolveReads tells the reads that wait for a register that its value is known to be chosen.
func (r *Replica) resolveReads(entry quorum.Entry) {
	for _, id := range r.operationIDs() {
		op := r.operations[id]
		if op == nil || op.kind != quorumRead || !op.read.undecided[entry.Key] {
			continue
		}
		delete(op.read.undecided, entry.Key)
		op.read.values[entry.Key] = entry.Value
		if len(op.read.undecided) == 0 {
			r.finish(op, op.read.values, nil)
		}
	}
}

// readEntries returns what this replica holds of the registers of a read.
func (r *Replica) readEntries(op *operation) []quorum.Entry {
	if len(op.read.keys) > 0 {
		return r.acceptedEntries(op.read.keys)
	}
	return r.acceptor.EntriesWithPrefix(op.read.prefix)
}

// learnForOperation learns what a member has sent in a response, and calls done once that is on disk.
func (r *Replica) learnForOperation(
	now time.Time, op *operation, entries []quorum.Entry, done func(now time.Time),
) {
	number := op.attempt.number
	op.attempt.pendingSaves++
	changed := r.learnEntries(now, entries)
	r.save(now, Save{Entries: changed}, func(now time.Time, err error) {
		if !r.isCurrent(op, number) {
			return
		}
		op.attempt.pendingSaves--
		if err != nil {
			op.attempt.saveFailed = true
		}
		if !op.attempt.saveFailed {
			done(now)
		}
		r.retryIfStuck(now, op, number)
	})
}
