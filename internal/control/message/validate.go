package message

import (
	"cmp"
	"slices"

	"github.com/go-faster/errors"

	"sagelever/internal/control/quorum"
)

const (
	// maxProposalNumber is far above any number that proposers reach by counting.
	maxProposalNumber = 1 << 62

	// maxIncarnation leaves room for the counter in the version of a lease.
	maxIncarnation = 1 << 55
)

// InvalidError means that no correct sender sends the message.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string { return "invalid message: " + e.Reason }

// AsInvalid returns the *InvalidError that err wraps, if any.
func AsInvalid(err error) (*InvalidError, bool) { return errors.Into[*InvalidError](err) }

// Validate returns an *InvalidError if no correct controller sends the request to the given path.
func (r *PeerRequest) Validate(path string) error {
	switch path {
	case PreparePath:
		return cmp.Or(r.validateProposal(), r.validateRoundEpoch(), r.validateKeys())
	case AcceptPath:
		return cmp.Or(r.validateProposal(), r.validateRoundEpoch(), r.validateEntries())
	case ConfirmPath:
		return cmp.Or(r.validateProposal(), r.validateKeys())
	case ReadPath:
		return requireThat(len(r.Keys) > 0 || r.Ranges != nil, "neither keys nor ranges")
	case StatePath:
		return requireThat(r.Ranges != nil, "no ranges")
	case GenerationPath:
		return requireThat(r.From.Node != "" && r.From.DiskID != "", "no sender")
	}
	return nil
}

func (r *PeerRequest) validateProposal() error {
	return cmp.Or(
		requireThat(r.Proposal.Number > 0 && r.Proposal.Number < maxProposalNumber, "proposal number out of range"),
		requireThat(r.Proposal.Proposer != "", "no proposer"),
		requireThat(r.Proposal.Epoch <= r.Epoch, "proposal of a later epoch"),
	)
}

// validateRoundEpoch checks that the round is one of the sender's epoch. A confirmation may concern a value that was
// accepted in an earlier one.
func (r *PeerRequest) validateRoundEpoch() error {
	return requireThat(r.Proposal.Epoch == r.Epoch, "proposal of another epoch")
}

func (r *PeerRequest) validateKeys() error {
	return cmp.Or(
		requireThat(len(r.Keys) > 0, "no keys"),
		requireThat(!slices.Contains(r.Keys, ""), "empty key"),
	)
}

func (r *PeerRequest) validateEntries() error {
	isUnnamed := func(entry quorum.Entry) bool { return entry.Key == "" }
	return cmp.Or(
		requireThat(len(r.Entries) > 0, "no entries"),
		requireThat(!slices.ContainsFunc(r.Entries, isUnnamed), "empty key"),
	)
}

// Validate returns an *InvalidError if neither a correct controller nor a correct proxy sends the pull.
func (r *PullRequest) Validate() error {
	return cmp.Or(
		requireThat(r.Role == RoleController || r.Role == RoleProxy, "unknown role"),
		requireThat(r.From.Node != "", "no sender"),
		requireThat(r.Incarnation < maxIncarnation, "incarnation out of range"),
	)
}

// Validate returns an *InvalidError if no correct proxy sends the report.
func (r *InFlightReport) Validate() error { return requireThat(r.From.Node != "", "no sender") }

func requireThat(holds bool, reason string) error {
	if holds {
		return nil
	}
	return &InvalidError{reason}
}
