package replica

import (
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
)

// responseCallback receives the response to a request, or the error with which the request failed.
type responseCallback func(now time.Time, response *message.PeerResponse, err error)

// HandleRequest handles a request of another member. The response is part of the Output of this step or of a later one,
// with the same call ID: it is sent only once the state that it depends on is on disk. An invalid request gets a
// *message.InvalidError and changes nothing.
func (r *Replica) HandleRequest(now time.Time, callID uint64, path string, request *message.PeerRequest) {
	respond := func(_ time.Time, response *message.PeerResponse, err error) {
		r.output.Responses = append(r.output.Responses, OutgoingResponse{callID, response, err})
	}
	if err := request.Validate(path); err != nil {
		respond(now, nil, err)
		return
	}
	r.serveRequest(now, path, request, respond)
}

// serveRequest serves a request of another member, or of this replica to itself as a voter.
func (r *Replica) serveRequest(now time.Time, path string, request *message.PeerRequest, respond responseCallback) {
	switch path {
	case message.GenerationPath:
		respond(now, r.serveGeneration(request), nil)
	case message.StatePath:
		r.serveState(now, request, respond)
	default:
		r.serveEpochRequest(now, path, request, respond)
	}
}

// serveEpochRequest serves a request that only an active member of the request's epoch may answer.
func (r *Replica) serveEpochRequest(
	now time.Time, path string, request *message.PeerRequest, respond responseCallback,
) {
	if request.Epoch < r.local.configuration.Epoch { // the response contains the current configuration
		respond(now, &message.PeerResponse{Configuration: r.local.chosenEntry()}, nil)
		return
	}
	if request.Epoch > r.local.configuration.Epoch || !r.Active() {
		respond(now, nil, ErrCatchingUp)
		return
	}
	isRound := path == message.PreparePath || path == message.AcceptPath
	if isRound && !r.isMemberProposer(request.Proposal.Proposer) {
		respond(now, nil, ErrForeignProposer)
		return
	}
	response := &message.PeerResponse{}
	var changed []quorum.Entry
	switch path {
	case message.PreparePath:
		r.detectCompetingRound(now, request)
		response, changed = r.servePrepare(request)
	case message.AcceptPath:
		r.detectCompetingRound(now, request)
		response, changed = r.serveAccept(request)
	case message.ConfirmPath:
		response, changed = r.serveConfirm(request)
	case message.ReadPath:
		response = r.serveRead(request)
	}
	r.trackUndecided(now, changed) // even if the save fails
	r.save(now, Save{Entries: changed}, respondSaved(response, respond))
}

// isMemberProposer reports whether a proposer is a member of the current configuration. Before the first configuration,
// the initial peers are identified by their addresses, which may differ from those that this replica knows.
func (r *Replica) isMemberProposer(proposer string) bool {
	if r.local.configuration.Epoch == 0 {
		return true
	}
	_, isMember := r.local.configuration.Find(proposerNode(proposer))
	return isMember
}

// respondSaved returns a save callback that sends a response if the save succeeds, and the error otherwise.
func respondSaved(response *message.PeerResponse, respond responseCallback) saveCallback {
	return func(now time.Time, err error) {
		if err != nil {
			respond(now, nil, err)
			return
		}
		respond(now, response, nil)
	}
}

// servePrepare serves phase 1 of a round.
func (r *Replica) servePrepare(request *message.PeerRequest) (*message.PeerResponse, []quorum.Entry) {
	if r.epochClosed() && !concernsOnlyConfiguration(request) {
		return &message.PeerResponse{}, nil
	}
	accepted, changed, rejectedBy := r.acceptor.Prepare(request.Proposal, request.Keys)
	if rejectedBy != (quorum.ProposalNumber{}) {
		return &message.PeerResponse{PromisedProposal: rejectedBy}, nil
	}
	return &message.PeerResponse{OK: true, Entries: accepted}, changed
}

// serveAccept serves phase 2 of a round.
func (r *Replica) serveAccept(request *message.PeerRequest) (*message.PeerResponse, []quorum.Entry) {
	if r.epochClosed() && !concernsOnlyConfiguration(request) {
		return &message.PeerResponse{}, nil
	}
	changed, rejectedBy := r.acceptor.Accept(request.Proposal, request.Entries)
	if rejectedBy != (quorum.ProposalNumber{}) {
		return &message.PeerResponse{PromisedProposal: rejectedBy}, nil
	}
	return &message.PeerResponse{OK: true}, changed
}

// serveRead serves a quorum read of registers by key or by a comparison of ranges. It refuses reads in a closed epoch:
// the next configuration may already be in force, and its members may have chosen values that this replica doesn't
// hold.
func (r *Replica) serveRead(request *message.PeerRequest) *message.PeerResponse {
	if r.epochClosed() {
		return &message.PeerResponse{}
	}
	response := &message.PeerResponse{OK: true}
	if len(request.Keys) > 0 {
		response.Entries = r.acceptedEntries(request.Keys)
	} else {
		r.serveRanges(request, response)
	}
	return response
}

// acceptedEntries returns those of the given registers for which this replica has accepted a value.
func (r *Replica) acceptedEntries(keys []string) []quorum.Entry {
	var accepted []quorum.Entry
	for _, key := range keys {
		if entry := r.acceptor.Get(key); entry.Accepted != (quorum.ProposalNumber{}) {
			accepted = append(accepted, entry)
		}
	}
	return accepted
}

// learnEntries merges entries of other replicas. It publishes the values that are known to be chosen and schedules the
// repair of the others. It returns the changed entries, which the caller must save.
func (r *Replica) learnEntries(now time.Time, entries []quorum.Entry) (changed []quorum.Entry) {
	changed = r.acceptor.Learn(entries)
	r.trackUndecided(now, changed)
	for _, entry := range changed {
		if !entry.Chosen {
			continue
		}
		r.publishEntry(entry)
		r.resolveUndecided(now, entry)
		if entry.Key == membership.RegisterKey {
			r.adoptConfiguration(now, entry)
		}
	}
	return changed
}

// publishEntry publishes a chosen register as an item.
func (r *Replica) publishEntry(entry quorum.Entry) {
	r.mergeLocal(replication.Item{
		Key:     replication.RegisterKeyPrefix + entry.Key,
		Version: entry.Value.Version,
		Body:    entryBody(entry),
	})
}

// entryBody returns the item body of a chosen register.
func entryBody(entry quorum.Entry) string {
	published := quorum.Entry{Key: entry.Key, Accepted: entry.Accepted, Value: entry.Value, Chosen: true}
	body, _ := easyjson.Marshal(published) // can't fail: the fields are strings, integers and booleans
	return string(body)
}
