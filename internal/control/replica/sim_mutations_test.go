package replica

import (
	"slices"

	"sagelever/internal/control/drain"
	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/release"
)

// A mutation disables one mechanism in the replicas of a simulation. The checks must detect that it is missing.
const (
	mutationRemovedVotes        = "a removed member votes"
	mutationOpenEpoch           = "epochs are not closed"
	mutationSmallTakeover       = "a takeover reads one member too few"
	mutationNoTakeover          = "a new member is active without a takeover"
	mutationStaleDiskTrusted    = "an old copy of a disk is trusted"
	mutationNoEpochInProposals  = "proposal numbers have no epoch"
	mutationPageLost            = "catching up loses a page"
	mutationWipedVotes          = "a member without its disk votes"
	mutationEndlessLease        = "leases never expire"
	mutationAckBeforeSync       = "saves are acknowledged before the sync"
	mutationReorderedWrites     = "saves are reordered"
	mutationMergedDecisions     = "two decisions on a release are merged"
	mutationUnreplicatedDrain   = "a drain is acknowledged by one member alone"
	mutationUncheckedConfirm    = "members confirm what they have not accepted"
	mutationUnverifiedAuthority = "a member reports its authority as confirmed without a verification"
	mutationNoAbsentValues      = "a round leaves registers without a value"
	mutationForgottenRefusals   = "refused calls are not recorded"
)

// mutateRequest may alter a request, or redirect it to a removed member in the zone of its receiver.
func (sim *simulation) mutateRequest(to *simNode, request OutgoingRequest) (*simNode, OutgoingRequest) {
	if sim.mutation == mutationNoAbsentValues && request.Path == message.AcceptPath {
		altered := *request.Request
		isAbsent := func(entry quorum.Entry) bool { return entry.Value == quorum.Absent }
		altered.Entries = slices.DeleteFunc(slices.Clone(altered.Entries), isAbsent)
		request.Request = &altered
	}
	isRound := request.Path == message.PreparePath || request.Path == message.AcceptPath
	if sim.mutation != mutationRemovedVotes || !isRound || request.Request.Epoch == 0 {
		return to, request
	}
	for _, node := range sim.nodes {
		if !node.up || node == to || node.zone != to.zone {
			continue
		}
		local := &node.replica.local
		if local.identity.EverActive && !local.isMember() {
			altered := *request.Request
			altered.Epoch = local.configuration.Epoch
			request.Request = &altered
			return node, request
		}
	}
	return to, request
}

// mutateResponse may alter a response on its way to a node.
func (sim *simulation) mutateResponse(
	to *simNode, request OutgoingRequest, response *message.PeerResponse,
) *message.PeerResponse {
	if response == nil {
		return nil
	}
	altered := *response
	switch {
	case sim.mutation == mutationStaleDiskTrusted && request.Path == message.GenerationPath:
		altered.Generation = 0
	case sim.mutation == mutationUncheckedConfirm && request.Path == message.ConfirmPath:
		altered.Unconfirmed = nil
	case sim.mutation == mutationNoEpochInProposals && request.Path == message.PreparePath && response.OK:
		altered.Entries = withoutEpochOrder(response.Entries, request.Request.Epoch)
	case response.OK && sim.losesPage(to, request):
		isOther := func(entry quorum.Entry) bool { return entry.Key != membership.RegisterKey }
		altered.Entries = slices.DeleteFunc(slices.Clone(response.Entries), isOther)
	}
	return &altered
}

// losesPage reports whether the mutation removes the registers from the response to a request. Responses to a
// verification are included, because the verification would restore what the mutation removes.
func (sim *simulation) losesPage(to *simNode, request OutgoingRequest) bool {
	switch sim.mutation {
	case mutationPageLost:
		return isCatchingUp(to, request)
	case mutationWipedVotes, mutationNoTakeover:
		return isVerifying(to, request)
	}
	return false
}

// isCatchingUp reports whether a node sends a request to take over, to catch up or to verify its registers, which would
// restore a page that was lost before.
func isCatchingUp(node *simNode, request OutgoingRequest) bool {
	return request.Path == message.StatePath || isVerifying(node, request)
}

// isVerifying reports whether a node sends a request to verify its registers by comparing them with those of others.
func isVerifying(node *simNode, request OutgoingRequest) bool {
	reads := request.Path == message.ReadPath && len(request.Request.Keys) == 0
	return reads && node.replica.isRunning(verifyRegisters)
}

// withoutEpochOrder orders proposals of earlier epochs after those of the given epoch, which may happen if proposals
// are compared by their numbers alone.
func withoutEpochOrder(entries []quorum.Entry, epoch uint64) []quorum.Entry {
	altered := slices.Clone(entries)
	for i := range altered {
		accepted := &altered[i].Accepted
		if *accepted != (quorum.ProposalNumber{}) && accepted.Epoch < epoch {
			accepted.Epoch = epoch
			accepted.Number += 1000
		}
	}
	return altered
}

// mutateBefore may alter a replica before it handles a request. mutateAfter restores the replica.
func (sim *simulation) mutateBefore(node *simNode, request OutgoingRequest) {
	switch sim.mutation {
	case mutationOpenEpoch:
		if request.Path == message.ReadPath || !concernsOnlyConfiguration(request.Request) {
			sim.hideNextConfiguration(node)
		}
	case mutationRemovedVotes:
		if request.Path != message.ReadPath {
			sim.pretendMembership(node, request.Request.Epoch)
		}
	}
}

// hideNextConfiguration removes the next configuration, which a replica has accepted, from its acceptor.
func (sim *simulation) hideNextConfiguration(node *simNode) {
	replica := node.replica
	if node.hiddenEntry.Key != "" || replica.Epoch() == 0 || !replica.Active() || !replica.epochClosed() {
		return
	}
	node.hiddenEntry = replica.acceptor.Get(membership.RegisterKey)
	var remaining []quorum.Entry
	for _, key := range sim.registerKeys() {
		if key != membership.RegisterKey {
			remaining = append(remaining, replica.acceptor.Get(key))
		}
	}
	replica.acceptor = quorum.NewAcceptor(remaining, replica.acceptor.MinProposal())
}

// pretendMembership adds a removed replica to the members in its own configuration, if that is of the given epoch.
func (sim *simulation) pretendMembership(node *simNode, epoch uint64) {
	local := &node.replica.local
	if !local.identity.EverActive || local.isMember() || epoch != local.configuration.Epoch {
		return
	}
	node.savedConfiguration = local.configuration
	node.savedIdentity = local.identity
	node.membershipAltered = true
	local.identity.ActiveEpoch = epoch
	local.diskConfirmed = true
	local.configuration.Members = append(slices.Clone(local.configuration.Members), local.self)
}

// mutateAfter restores what mutateBefore has altered.
func (sim *simulation) mutateAfter(node *simNode) {
	if node.hiddenEntry.Key != "" {
		node.replica.acceptor.Learn([]quorum.Entry{node.hiddenEntry})
		node.hiddenEntry = quorum.Entry{}
	}
	if node.membershipAltered {
		node.replica.local.configuration = node.savedConfiguration
		node.replica.local.identity = node.savedIdentity
		node.membershipAltered = false
	}
}

// mutateStep may alter a replica after a step.
func (sim *simulation) mutateStep(node *simNode) {
	local := &node.replica.local
	epoch := local.configuration.Epoch
	if epoch <= 1 {
		return
	}
	switch sim.mutation {
	case mutationSmallTakeover:
		local.configuration.PreviousMaxFailures = sim.faultTolerance - 1
	case mutationNoTakeover:
		if local.isMember() && !local.identity.EverActive && local.identitySaved && local.diskConfirmed {
			local.identity.EverActive = true
			local.identity.ActiveEpoch = epoch
		}
	}
}

// registerKeys returns the keys of all registers that a simulation writes.
func (sim *simulation) registerKeys() []string {
	keys := []string{membership.RegisterKey, drain.EvacuationKey("z1"), release.RegisterKey("s")}
	for i := range routeCount {
		keys = append(keys, routeKey(i))
	}
	return keys
}
