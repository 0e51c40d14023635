package replica

import (
	"slices"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
)

// pendingRequest is a request whose response is outstanding.
type pendingRequest struct {
	operationID uint64
	attempt     int
	to          message.Member
}

// broadcast sends a request of an operation to all members including this replica.
func (r *Replica) broadcast(now time.Time, op *operation, path string, request *message.PeerRequest) {
	peers := r.votingPeers()
	r.send(op, peers, path, request)
	op.attempt.pendingResponses = len(peers) + 1
	op.attempt.sentAt = now
	number := op.attempt.number
	self := message.Member{Node: r.voterID()}
	r.serveRequest(now, path, request, func(now time.Time, response *message.PeerResponse, err error) {
		if !r.isCurrent(op, number) {
			return
		}
		if err != nil {
			response = nil
		}
		r.dispatchResponse(now, op, self, response)
	})
}

// requestFrom sends a request of an operation to some other replicas.
func (r *Replica) requestFrom(
	now time.Time, op *operation, to []message.Member, path string, request *message.PeerRequest,
) {
	r.send(op, to, path, request)
	op.attempt.pendingResponses = len(to)
	if op.attempt.pendingResponses == 0 {
		r.scheduleRetry(now, op)
	}
}

// requestMore sends a further request of an attempt to one replica.
func (r *Replica) requestMore(op *operation, to message.Member, path string, request *message.PeerRequest) {
	op.attempt.pendingResponses++
	r.send(op, []message.Member{to}, path, request)
}

func (r *Replica) send(op *operation, to []message.Member, path string, request *message.PeerRequest) {
	for _, peer := range to {
		r.lastID++
		r.pendingRequests[r.lastID] = pendingRequest{op.id, op.attempt.number, peer}
		r.output.Requests = append(r.output.Requests, OutgoingRequest{r.lastID, peer, path, request})
	}
}

// HandleResponse handles the response to the request with the given ID; a nil response means that the request failed.
func (r *Replica) HandleResponse(now time.Time, id uint64, response *message.PeerResponse) {
	pending, known := r.pendingRequests[id]
	delete(r.pendingRequests, id)
	if !known {
		return
	}
	if response != nil && response.Configuration != nil { // the request was of an epoch that has ended
		changed := r.learnEntries(now, []quorum.Entry{*response.Configuration})
		r.save(now, Save{Entries: changed}, nil)
	}
	if op := r.operations[pending.operationID]; op != nil && op.attempt.number == pending.attempt {
		r.dispatchResponse(now, op, pending.to, response)
	}
}

// dispatchResponse passes a response of the current attempt to its operation; a nil response means that the request
// failed.
func (r *Replica) dispatchResponse(
	now time.Time, op *operation, from message.Member, response *message.PeerResponse,
) {
	op.attempt.pendingResponses--
	number := op.attempt.number
	if response != nil {
		r.recordResponseTime(op, from, now)
		switch op.kind {
		case proposeWrite, repairValues:
			r.handleRoundResponse(now, op, from.Node, response)
		case quorumRead, verifyRegisters:
			r.handleReadResponse(now, op, from, response)
		case confirmValues:
			r.handleConfirmed(now, op, from.Node, response)
		case confirmDisk:
			r.handleGenerationResponse(now, op, from, response)
		case takeOverEpoch, catchUp:
			r.handleStateResponse(now, op, from, response)
		}
	}
	r.retryIfStuck(now, op, number)
}

// recordResponseTime updates the smoothed and the shortest time that a member takes to respond to a phase of a round, including its disk
// writes.
func (r *Replica) recordResponseTime(op *operation, from message.Member, now time.Time) {
	peer := r.peers[from.Node]
	elapsed := now.Sub(op.attempt.sentAt)
	if peer == nil || !op.kind.runsRound() || elapsed < 0 || elapsed > attemptTimeout {
		return // the response is this replica's own, not part of a round, or the clock was set
	}
	if peer.responseTime == 0 {
		peer.responseTime, peer.shortestTrip = elapsed, elapsed
	}
	peer.shortestTrip = min(peer.shortestTrip, elapsed)
	peer.responseTime += (elapsed - peer.responseTime) / responseTimeWeight
}

// roundPhases is the number of phases of a Paxos round, each of which waits for a quorum.
const roundPhases = 2

// RoundTime returns the estimated duration of a round, based on the smoothed response times of the members.
func (r *Replica) RoundTime() time.Duration { return roundPhases * r.quorumResponseTime() }

// RoundTripTime returns the time of a trip to the most distant member and back, as far as it is known. Unlike RoundTime, it does
// not grow with load.
func (r *Replica) RoundTripTime() (longest time.Duration) {
	for _, peer := range r.peers {
		longest = max(longest, peer.shortestTrip)
	}
	return longest
}

// quorumResponseTime returns the estimated time until enough members for a quorum have responded, based on their
// smoothed response times. It returns minRetryDelay if too few response times are known.
func (r *Replica) quorumResponseTime() time.Duration {
	var times []time.Duration
	for _, peer := range r.peers {
		if peer.responseTime > 0 {
			times = append(times, peer.responseTime)
		}
	}
	needed := len(r.local.configuration.Members) - r.local.configuration.MaxFailures - 1 // besides this replica
	if needed < 1 || len(times) < needed {
		return minRetryDelay
	}
	slices.Sort(times)
	return times[needed-1]
}
