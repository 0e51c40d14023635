package replica

import (
	"maps"
	"slices"
	"time"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/rangesync"
)

// operation is what this member has under way with the others.
type operation struct {
	id               uint64
	kind             int
	expiresAt        time.Time // after which it has failed; zero: it goes on until it is done
	keys             []string  // of a write
	decide           quorum.DecideFunc
	prefix           string                  // of what a read is about
	readKeys         []string                // the registers that a read is about, where they are named
	chosenValues     map[string]quorum.Value // what a read has found that is chosen
	reportCompletion bool                    // whoever began it wants to hear of it
	onEnd            func()

	attempt          int // numbers the attempts, so that late replies are told apart
	accepting        bool
	round            *quorum.Round
	answered         map[string]bool                       // members whose answer is whole
	sessions         map[message.Member]*rangesync.Session // comparisons with other replicas
	pendingSaves     int                                   // what was learned and is not on the disk yet
	saveFailed       bool                                  // the disk has refused it
	pendingResponses int                                   // replies that are still to come
	attemptDeadline  time.Time                             // of the attempt
	retryAt          time.Time                             // when the next attempt begins; zero while one is under way
}

const (
	proposeWrite = iota
	quorumRead
	completeRead  // what a read has found without a known end
	repairValues  // what this member holds without a known end
	confirmDisk   // that this member's disk is not one from the past
	takeOverEpoch // the epoch in force: taking over from the one before
	catchUp       // what an acting member holds, as a candidate
)

// needsActiveMember tells whether a task wants this member to act in the epoch in force.
func (op *operation) needsActiveMember() bool { return op.kind <= repairValues }

type pendingRequest struct {
	operationID uint64
	attempt     int
	to          message.Member
}

// Write makes changes to registers lasting: when it is done without an error, so many disks hold the outcome that
// withstand can't lose it. It tries rounds until the time ends.
func (r *Replica) Write(now time.Time, until time.Time, changes map[string]quorum.UpdateFunc) uint64 {
	keys, decide := quorum.UpdateEach(changes)
	return r.WriteAtomic(now, until, keys, decide)
}

// WriteAtomic is Write for a change that depends on what all of its registers hold.
func (r *Replica) WriteAtomic(now time.Time, until time.Time, keys []string, decide quorum.DecideFunc) uint64 {
	return r.startOperation(now, &operation{kind: proposeWrite, expiresAt: until, keys: keys, decide: decide, reportCompletion: true})
}

// Read brings this member up to what f+1 members know, so that it has all that was ever acknowledged, and brings to an end
// what it then holds of these registers without knowing that it is chosen: what a read tells stays so.
func (r *Replica) Read(now time.Time, until time.Time, prefix string) uint64 {
	return r.startOperation(now, &operation{kind: quorumRead, expiresAt: until, prefix: prefix, reportCompletion: true})
}

// ReadKeys is Read for some registers by name: no more than these is told.
func (r *Replica) ReadKeys(now time.Time, until time.Time, keys []string) uint64 {
	return r.startOperation(now, &operation{kind: quorumRead, expiresAt: until, readKeys: keys, reportCompletion: true})
}

func (r *Replica) startOperation(now time.Time, op *operation) uint64 {
	r.lastID++
	op.id = r.lastID
	r.operations[op.id] = op
	r.startAttempt(now, op)
	return op.id
}

// startAttempt begins a task, or begins it again.
func (r *Replica) startAttempt(now time.Time, op *operation) {
	if op.needsActiveMember() && !r.Active() || op.kind == quorumRead && r.epochClosed() {
		r.postpone(now, op)
		return
	}
	op.attempt++
	op.accepting, op.retryAt, op.attemptDeadline = false, time.Time{}, now.Add(attemptTimeout)
	op.answered, op.pendingSaves, op.saveFailed = map[string]bool{}, 0, false
	configuration := r.local.configuration
	switch op.kind {
	case proposeWrite, completeRead, repairValues:
		op.round = quorum.NewRound(r.acceptor.NextProposal(configuration.Epoch, r.local.proposerID()), len(configuration.Members), configuration.MaxFailures, op.keys, op.decide)
		r.broadcast(now, op, message.PreparePath, &message.PeerRequest{Epoch: configuration.Epoch, Proposal: op.round.Proposal, Keys: op.round.Keys()})
	case quorumRead:
		if configuration.MaxFailures == 0 {
			r.finishRead(now, op)
			return
		}
		peers := r.votingPeers()
		if len(op.readKeys) > 0 {
			r.requestFrom(now, op, peers, message.ReadPath, &message.PeerRequest{Epoch: configuration.Epoch, Keys: op.readKeys})
			return
		}
		r.requestFrom(now, op, peers, message.ReadPath, r.rangesRequest(message.ReadPath, r.startSessions(op, peers, rangesync.PrefixRange(op.prefix))))
	case confirmDisk:
		r.requestDiskConfirmation(now, op)
	case takeOverEpoch:
		r.requestTakeoverState(now, op)
	case catchUp:
		r.requestCatchUpState(now, op)
	}
}

// postpone has a task wait until this member acts in the epoch in force, where it is about to; else the task ends at once,
// as another agent is better asked.
func (r *Replica) postpone(now time.Time, op *operation) {
	switch {
	case !r.local.isMember():
		r.finish(op, nil, ErrNotMember)
	case !r.local.identity.Acting:
		r.finish(op, nil, ErrCatchingUp)
	default:
		op.retryAt = now.Add(minRetryDelay/2 + time.Duration(r.config.Random()*float64(minRetryDelay)))
	}
}

// broadcast sends a message to all members, this one too.
func (r *Replica) broadcast(now time.Time, op *operation, path string, request *message.PeerRequest) {
	peers := r.votingPeers()
	r.send(op, peers, path, request)
	op.pendingResponses = len(peers) + 1
	attempt := op.attempt
	r.serveRequest(now, path, request, func(now time.Time, response *message.PeerResponse, err error) {
		if r.operations[op.id] != op || op.attempt != attempt {
			return
		}
		if err != nil {
			response = nil
		}
		r.dispatchResponse(now, op, message.Member{Node: r.quorumName()}, response)
	})
}

// requestFrom sends a message to some others.
func (r *Replica) requestFrom(now time.Time, op *operation, to []message.Member, path string, request *message.PeerRequest) {
	r.send(op, to, path, request)
	op.pendingResponses = len(to)
	if op.pendingResponses == 0 {
		r.scheduleRetry(now, op)
	}
}

func (r *Replica) send(op *operation, to []message.Member, path string, request *message.PeerRequest) {
	for _, peer := range to {
		r.lastID++
		r.pendingRequests[r.lastID] = pendingRequest{op.id, op.attempt, peer}
		r.output.Requests = append(r.output.Requests, OutgoingRequest{r.lastID, peer, path, request})
	}
}

// requestMore asks one member for the next page of its answer.
func (r *Replica) requestMore(op *operation, from message.Member, path string, request *message.PeerRequest) {
	op.pendingResponses++
	r.send(op, []message.Member{from}, path, request)
}

// HandleResponse takes the reply to a message, or nil where none came.
func (r *Replica) HandleResponse(now time.Time, number uint64, response *message.PeerResponse) {
	pending, ok := r.pendingRequests[number]
	delete(r.pendingRequests, number)
	if !ok {
		return
	}
	if response != nil && response.Configuration != nil { // whoever asked goes by a set that is over
		r.save(now, Save{Entries: r.learnEntries(now, []quorum.Entry{*response.Configuration})}, nil)
	}
	if op := r.operations[pending.operationID]; op != nil && op.attempt == pending.attempt {
		r.dispatchResponse(now, op, pending.to, response)
	}
}

func (r *Replica) dispatchResponse(now time.Time, op *operation, from message.Member, response *message.PeerResponse) {
	op.pendingResponses--
	attempt := op.attempt
	if response != nil {
		switch op.kind {
		case proposeWrite, completeRead, repairValues:
			r.handleRoundResponse(now, op, from.Node, response)
		case quorumRead:
			r.handleReadResponse(now, op, from, response)
		case confirmDisk:
			r.handleGenerationResponse(now, op, from, response)
		case takeOverEpoch, catchUp:
			r.handleStateResponse(now, op, from, response)
		}
	}
	if r.operations[op.id] != op || op.attempt != attempt || !op.retryAt.IsZero() || op.pendingSaves > 0 {
		return
	}
	if op.pendingResponses <= 0 || op.round != nil && op.needsActiveMember() && op.kind != quorumRead && op.round.CannotSucceed(op.pendingResponses) {
		r.scheduleRetry(now, op) // too few are left that could make enough
	}
}

func (r *Replica) handleRoundResponse(now time.Time, op *operation, from string, response *message.PeerResponse) {
	if !response.OK {
		op.round.HandleRejection(response.PromisedProposal)
		return
	}
	if !op.accepting {
		if values := op.round.HandlePromise(from, response.Entries); values != nil {
			op.accepting = true
			op.attempt++ // promises that come after this are not counted as words
			r.broadcast(now, op, message.AcceptPath, &message.PeerRequest{Epoch: op.round.Proposal.Epoch, Proposal: op.round.Proposal, Entries: values})
		}
		return
	}
	if !op.round.HandleAccepted(from) {
		return
	}
	chosen := op.round.ChosenEntries()
	r.save(now, Save{Entries: r.learnEntries(now, chosen)}, nil) // whoever finds it unsettled settles it again: no word is wanted
	values := make(map[string]quorum.Value, len(chosen))
	for _, entry := range chosen {
		values[entry.Key] = entry.Value
	}
	maps.Copy(values, op.chosenValues)
	r.finish(op, values, nil)
}

// learnForOperation learns what a member has told in answer to a task, and goes on with it once that is on the disk.
func (r *Replica) learnForOperation(now time.Time, op *operation, held []quorum.Entry, done func(now time.Time)) {
	attempt := op.attempt
	op.pendingSaves++
	r.save(now, Save{Entries: r.learnEntries(now, held)}, func(now time.Time, err error) {
		if r.operations[op.id] != op || op.attempt != attempt {
			return
		}
		op.pendingSaves--
		if err != nil {
			op.saveFailed = true
		}
		if !op.saveFailed {
			done(now)
		}
		if r.operations[op.id] == op && op.attempt == attempt && op.retryAt.IsZero() && op.pendingSaves == 0 && op.pendingResponses <= 0 {
			r.scheduleRetry(now, op)
		}
	})
}

func keepValues(map[string]quorum.Value) map[string]quorum.Value { return nil }

// maxRepairKeys bounds the registers of one round that brings values to an end, and so the size of its messages.
const maxRepairKeys = 256

// repairUndecided brings values to an end whose writer is gone: each holder waits a while, by lot, and then writes them again. The set of
// members comes by itself: whoever has accepted a next one takes part in no other round.
func (r *Replica) repairUndecided(now time.Time) {
	if !r.Active() {
		return
	}
	var due []string
	for _, key := range slices.Sorted(maps.Keys(r.undecided)) {
		if entry := r.acceptor.Get(key); entry.Chosen || entry.Accepted == (quorum.ProposalNumber{}) {
			delete(r.undecided, key)
			continue
		}
		if !now.Before(r.undecided[key]) && len(due) < maxRepairKeys && (key == membership.RegisterKey || !r.epochClosed()) {
			due = append(due, key)
		}
	}
	if slices.Contains(due, membership.RegisterKey) {
		due = []string{membership.RegisterKey}
	}
	for _, key := range due {
		r.undecided[key] = now.Add(attemptTimeout + time.Duration(r.config.Random()*float64(repairDelay)))
	}
	if len(due) > 0 {
		r.startOperation(now, &operation{kind: repairValues, keys: due, decide: keepValues})
	}
}

// scheduleRetry ends an attempt that has failed; the next begins after a while, by lot, as another may be at the same registers.
func (r *Replica) scheduleRetry(now time.Time, op *operation) {
	if op.round != nil {
		r.acceptor.Observe(op.round.HighestRejection())
	}
	if op.kind == repairValues { // it is tried again when it is due again
		r.finish(op, nil, ErrTooFewResponses)
		return
	}
	op.retryAt = now.Add(minRetryDelay + time.Duration(r.config.Random()*float64(4*minRetryDelay)))
}

func (r *Replica) finish(op *operation, values map[string]quorum.Value, err error) {
	delete(r.operations, op.id)
	if op.onEnd != nil {
		op.onEnd()
	}
	if op.reportCompletion {
		r.output.Completions = append(r.output.Completions, Completion{op.id, values, err})
	}
}

// NextDeadline is when Tick wants to be called next; zero where nothing is under way.
func (r *Replica) NextDeadline() (deadline time.Time) {
	consider := func(moment time.Time) {
		if !moment.IsZero() && (deadline.IsZero() || moment.Before(deadline)) {
			deadline = moment
		}
	}
	for _, op := range r.operations {
		consider(op.expiresAt)
		if op.retryAt.IsZero() {
			consider(op.attemptDeadline)
		} else {
			consider(op.retryAt)
		}
	}
	return deadline
}

// Tick does what is due by the clock among what is under way.
func (r *Replica) Tick(now time.Time) {
	r.observeClock(now)
	for _, number := range r.operationIDs() {
		op := r.operations[number]
		if op == nil { // another one has ended it
			continue
		}
		switch {
		case !op.expiresAt.IsZero() && !now.Before(op.expiresAt):
			r.finish(op, nil, ErrTooFewResponses)
		case op.retryAt.IsZero() && !op.attemptDeadline.IsZero() && !now.Before(op.attemptDeadline):
			r.scheduleRetry(now, op)
		case !op.retryAt.IsZero() && !now.Before(op.retryAt):
			if op.kind == completeRead && !op.accepting && op.round == nil {
				op.kind = quorumRead
			}
			r.startAttempt(now, op)
		}
	}
}

// operationIDs are the tasks in the order in which they began.
func (r *Replica) operationIDs() []uint64 { return slices.Sorted(maps.Keys(r.operations)) }
