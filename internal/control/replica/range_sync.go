package replica

import (
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/rangesync"
)

// entryOverheadBytes bounds the bytes of a register in a message beside its key, note and body: names of fields, ballots, numbers.
const entryOverheadBytes = 256

// serveRanges answers for the ranges of registers that another replica asks about: that it holds the same, or what it lacks, as
// far as one message goes. Registers change only to what is newer, so that a comparison misses nothing that was held when it
// began.
func (r *Replica) serveRanges(request *message.PeerRequest, response *message.PeerResponse) {
	if request.Ranges == nil {
		response.OK = false
		return
	}
	answerer := rangesync.Responder{Index: r.acceptor.Index(), Limits: rangesync.DefaultLimits, EntrySize: r.entrySize}
	answer, err := answerer.Respond(request.Ranges)
	if err != nil { // no correct replica asks so
		response.OK = false
		return
	}
	response.Ranges = answer
	for _, key := range answer.Keys {
		response.Entries = append(response.Entries, r.acceptor.Get(key))
	}
}

// maxEscapeFactor is by how many times a text may grow in a message.
const maxEscapeFactor = 6

// entrySize bounds the bytes of a register in a message.
func (r *Replica) entrySize(key string) int {
	entry := r.acceptor.Get(key)
	texts := len(key) + len(entry.Value.Body) + len(entry.Value.Annotation) + len(entry.Promised.Proposer) + len(entry.Accepted.Proposer)
	return entryOverheadBytes + maxEscapeFactor*texts
}

// startSessions begins to compare ranges of registers with some other replicas: the first request is the same for all.
func (r *Replica) startSessions(op *operation, others []message.Member, ranges rangesync.Range) *rangesync.Request {
	r.lastID++
	op.sessions = map[message.Member]*rangesync.Session{}
	var first *rangesync.Request
	for _, peer := range others {
		session := rangesync.NewSession(r.lastID, r.acceptor.Index(), ranges, rangesync.DefaultLimits)
		op.sessions[peer] = session
		first = session.NextRequest()
	}
	return first
}

// handleRanges takes an answer to a comparison, learns what it brings, and asks on; then is called once all is held that the other
// held when the comparison began, and is on the disk as far as it came by it.
func (r *Replica) handleRanges(now time.Time, op *operation, from message.Member, path string, response *message.PeerResponse, done func(now time.Time)) {
	session := op.sessions[from]
	if session == nil || response.Ranges == nil {
		return
	}
	r.learnForOperation(now, op, response.Entries, func(now time.Time) {
		if session.HandleResponse(response.Ranges) != nil {
			return // malformed: the other is passed over
		}
		for next := session.NextRequest(); next != nil; next = session.NextRequest() {
			r.requestMore(op, from, path, r.rangesRequest(path, next))
		}
		if session.Done() {
			delete(op.sessions, from)
			done(now)
		}
	})
}

func (r *Replica) rangesRequest(path string, ranges *rangesync.Request) *message.PeerRequest {
	request := &message.PeerRequest{Epoch: r.local.configuration.Epoch, Ranges: ranges}
	if path == message.StatePath {
		request.Configuration = r.local.entry()
	}
	return request
}

// entriesWithPrefix are those that hold something and whose keys begin so.
func (r *Replica) entriesWithPrefix(prefix string) []quorum.Entry {
	return r.acceptor.EntriesWithPrefix(prefix)
}
