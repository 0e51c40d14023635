package replica

import (
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/rangesync"
)

const (
	// entryOverheadBytes is an upper bound on the encoded size of a register without its strings: field names, numbers
	// and the like.
	entryOverheadBytes = 256

	// maxEscapeFactor is an upper bound on the factor by which encoding lengthens a string.
	maxEscapeFactor = 6
)

// entrySize returns an upper bound on the encoded size of a register.
func (r *Replica) entrySize(key string) int {
	entry := r.acceptor.Get(key)
	value := entry.Value
	texts := len(key) + len(value.Body) + len(value.Annotation) +
		len(entry.Promised.Proposer) + len(entry.Accepted.Proposer)
	return entryOverheadBytes + maxEscapeFactor*texts
}

// serveRanges adds to a response the registers that the sender's ranges lack, up to the size limit of a message.
// Entries are only replaced by newer ones, so a comparison misses no value that this replica held when it began.
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
	if err != nil { // the request is malformed, which indicates a faulty sender
		response.OK = false
		return
	}
	response.Ranges = ranges
	for _, key := range ranges.Keys {
		response.Entries = append(response.Entries, r.acceptor.Get(key))
	}
}

// startSessions starts to compare a range of registers with other replicas. It returns the first request, which is the
// same for all of them; nil if there are no other replicas.
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

// handleRanges handles a response to a comparison: it merges the entries of the response and sends the next requests.
// It calls done once this replica has saved all registers that the other replica held when the comparison began.
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
			return // the response is malformed; the comparison never completes
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

// newRangesRequest returns the message that contains a request of a comparison.
func (r *Replica) newRangesRequest(path string, ranges *rangesync.Request) *message.PeerRequest {
	request := &message.PeerRequest{Epoch: r.local.configuration.Epoch, Ranges: ranges}
	if path == message.StatePath {
		request.Configuration = r.local.chosenEntry()
	}
	return request
}
