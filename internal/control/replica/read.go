package replica

import (
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/rangesync"
)

// readState is the part of an operation that reads registers.
type readState struct {
	keys   []string                // the registers to read; if empty, all registers with the prefix
	prefix string                  // the key prefix of the registers to read
	values map[string]quorum.Value // the found values that are known to be chosen

	// undecided contains the registers whose values are not known to be chosen yet; nil while responses are collected.
	undecided map[string]bool
}

// Read reads the registers whose keys have a prefix. It merges the registers of a read quorum, whose members together
// hold every acknowledged value, and waits until the found values are known to be chosen, so that later reads find them
// too. Read returns the operation's ID.
func (r *Replica) Read(now, expiresAt time.Time, prefix string) uint64 {
	return r.startReadOperation(now, expiresAt, readState{prefix: prefix})
}

// ReadKeys is like Read for registers with given keys.
func (r *Replica) ReadKeys(now, expiresAt time.Time, keys []string) uint64 {
	return r.startReadOperation(now, expiresAt, readState{keys: keys})
}

func (r *Replica) startReadOperation(now, expiresAt time.Time, read readState) uint64 {
	op := &operation{kind: quorumRead, expiresAt: expiresAt, reportCompletion: true, read: read}
	return r.startOperation(now, op)
}

// startRead requests the registers from the other members.
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

// handleReadResponse merges the registers of another member. MaxFailures+1 members are a read quorum, including this
// replica.
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

// finishRead ends a read if all its values are known to be chosen. Otherwise the read waits until the undecided ones
// are chosen. The read doesn't propose them itself: a value that was just accepted will most likely be chosen soon, and
// the rounds of several reads would compete with the round that decides the value and with each other.
func (r *Replica) finishRead(now time.Time, op *operation) {
	if r.epochClosed() { // this replica's registers no longer count towards a read quorum
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
	op.attempt = attempt{number: op.attempt.number + 1} // ignores the responses that are still outstanding
	r.expediteRepair(now, op.read.undecided)
}

// resolveReads continues the reads that wait for a register whose value is now known to be chosen.
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

// readEntries returns this replica's copies of the registers of a read.
func (r *Replica) readEntries(op *operation) []quorum.Entry {
	if len(op.read.keys) > 0 {
		return r.acceptedEntries(op.read.keys)
	}
	return r.acceptor.EntriesWithPrefix(op.read.prefix)
}

// learnForOperation merges the entries of a member's response, and calls done once they are on disk.
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
