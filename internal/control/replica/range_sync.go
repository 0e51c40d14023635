package replica

import (
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/rangesync"
)

const (
	// entryOverheadBytes bounds the encoded size of a register beside its texts: field names, numbers and the like.
	entryOverheadBytes = 256

	// maxEscapeFactor bounds how much longer a text gets when it is encoded.
	maxEscapeFactor = 6
)

// entrySize bounds the encoded size of a register.
func (r *Replica) entrySize(key string) int {
	entry := r.acceptor.Get(key)
	value := entry.Value
	texts := len(key) + len(value.Body) + len(value.Annotation) +
		len(entry.Promised.Proposer) + len(entry.Accepted.Proposer)
	return entryOverheadBytes + maxEscapeFactor*texts
}

// serveRanges adds to a response what the sender's ranges lack, as far as one message goes. Entries only ever change
// to newer ones, so that a comparison misses nothing that was held when it began.
func (r *Replica) serveRanges(request *message.PeerRequest, response *message.PeerResponse) {
	if request.Ranges == nil {
		response.OK = false
		return
	}
	comparison := rangesync.Responder{
		Index:     r.acceptor.Index(),
		Limits:    rangesync.DefaultLimits,
		EntrySize: r.entrySize,
	}
	ranges, err := comparison.Respond(request.Ranges)
	if err != nil { // a malformed request, which no correct replica sends
		response.OK = false
		return
	}
	response.Ranges = ranges
	for _, key := range ranges.Keys {
		response.Entries = append(response.Entries, r.acceptor.Get(key))
	}
}

// startSessions begins to compare a range of registers with some other replicas. It returns the first request, which
// is the same for all; nil where there are none.
func (r *Replica) startSessions(
	op *operation, others []message.Member, compared rangesync.Range,
) (first *rangesync.Request) {
	r.lastID++
	op.attempt.sessions = map[message.Member]*rangesync.Session{}
	for _, peer := range others {
		session := rangesync.NewSession(r.lastID, r.acceptor.Index(), compared, rangesync.DefaultLimits)
		op.attempt.sessions[peer] = session
		first = session.NextRequest()
	}
	return first
}

// handleRanges takes a response to a comparison, learns the entries that it contains, and sends the next requests.
// done is called once this replica holds, and has saved, everything that the other held when the comparison began.
func (r *Replica) handleRanges(
	now time.Time, op *operation, from message.Member, path string,
	response *message.PeerResponse, done func(now time.Time),
) {
	session := op.attempt.sessions[from]
	if session == nil || response.Ranges == nil {
		return
	}
	r.learnForOperation(now, op, response.Entries, func(now time.Time) {
		if session.HandleResponse(response.Ranges) != nil {
			return // malformed: the other's part is never complete
		}
		for next := session.NextRequest(); next != nil; next = session.NextRequest() {
			r.requestMore(op, from, path, r.newRangesRequest(path, next))
		}
		if session.Done() {
			delete(op.attempt.sessions, from)
			done(now)
		}
	})
}

// newRangesRequest returns the message for a request of a comparison.
func (r *Replica) newRangesRequest(path string, ranges *rangesync.Request) *message.PeerRequest {
	request := &message.PeerRequest{Epoch: r.local.configuration.Epoch, Ranges: ranges}
	if path == message.StatePath {
		request.Configuration = r.local.chosenEntry()
	}
	return request
}
