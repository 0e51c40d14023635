package replica

import (
	"github.com/go-faster/errors"

	"sagelever/internal/control/message"
)

// Errors of operations. The caller may retry, here or at another controller.
var (
	// ErrTooFewResponses means that an operation timed out, or that too few members responded. A write may have been
	// accepted by some members and may still take effect.
	ErrTooFewResponses = errors.New("too few members responded")

	// ErrCatchingUp means that this replica is not yet active in the current epoch.
	ErrCatchingUp = errors.New("this controller is catching up")

	// ErrNoQuorum means that this replica can't reach a majority of the members, so that its data may be outdated.
	ErrNoQuorum = errors.New("this controller does not reach a majority of the members")

	// ErrForeignProposer means that the proposer of a round is not a member of the round's epoch.
	ErrForeignProposer = errors.New("the proposer is not a member of the configuration")

	// ErrNotMember means that this replica is not a member of the current configuration.
	ErrNotMember = errors.New("this controller is not a member of the configuration")
)

// ContendedError means that competing rounds have defeated a change, or are likely to, and that the caller should send
// the change to the coordinator. The change may have taken effect.
type ContendedError struct {
	Coordinator message.Member
}

func (e *ContendedError) Error() string {
	return "other changes compete with this one: " + e.Coordinator.Node + " decides them"
}
