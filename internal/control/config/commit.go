package config

import (
	"maps"
	"slices"

	"sagelever/internal/control/quorum"
)

// KeepHighestVersion returns an update for a single item without a history: a higher version replaces the current
// value, and an equal or lower one has no effect.
func KeepHighestVersion(incoming quorum.Value) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		if incoming.Version > current.Version {
			return incoming
		}
		return current
	}
}

// Commit returns the function that decides a change, given the current values of all registers that the change sets.
// Its invariants are:
//
//   - The highest version of an item is in force.
//   - At most one content is ever confirmed under a version: the first one.
//   - A change is atomic: if one of its items cannot be confirmed, none takes effect.
//   - A change that was refused (see Refuse) has no effect.
//
// An item that a higher version has already superseded is confirmed without effect. It is recorded in the register's
// history, so that no other content can be confirmed under its version later.
//
// Outcome derives the result of the change from the chosen values.
func Commit(changes map[string]quorum.Value) quorum.DecideFunc {
	digest := uint64(noChangeDigest)
	if len(changes) > 1 {
		digest = changeDigest(changes)
	}
	return func(current map[string]quorum.Value) map[string]quorum.Value {
		if isRefused(current, changes) {
			return nil
		}
		next := make(map[string]quorum.Value, len(changes))
		for key, incoming := range changes {
			switch statusOf(current[key], incoming) {
			case statusNewer:
				next[key] = supersede(current[key], incoming, digest)
			case statusSuperseded:
				recorded := recordSuperseded(current[key], incoming)
				if statusOf(recorded, incoming) != statusConfirmed {
					return nil // its version is lower than all that the full history keeps
				}
				next[key] = recorded
			case statusConflict, statusUnknown:
				return nil
			}
		}
		return next
	}
}

// supersede returns the new value of a register, with the current one added to its history. digest is the digest of the
// change that sets the new value, or noChangeDigest if the change sets no other item.
func supersede(current, incoming quorum.Value, digest uint64) quorum.Value {
	past := decodeHistory(current)
	if current.Version > 0 {
		past = past.add(current)
	}
	past.changeDigest = digest
	incoming.Annotation = past.encode()
	return incoming
}

// recordSuperseded returns the current value of a register, with an incoming value of a lower version added to its
// history.
func recordSuperseded(current, incoming quorum.Value) quorum.Value {
	current.Annotation = decodeHistory(current).add(incoming).encode()
	return current
}

// Outcome returns the result of a change, given the values that were chosen in a round of Commit: nil if every item is
// confirmed, otherwise an *InvalidError, a *ConflictError or an *IndeterminateError.
func Outcome(chosen, changes map[string]quorum.Value) error {
	conflict := findConflict(chosen, changes)
	switch {
	case allConfirmed(chosen, changes):
		return nil
	case isRefused(chosen, changes):
		return &InvalidError{Err: errRefusedBefore}
	case conflict == nil:
		return &IndeterminateError{Reason: unknownReason}
	case partlyCommitted(chosen, changes):
		return &IndeterminateError{Reason: partlyCommittedReason + conflict.Error()}
	}
	return conflict
}

// findConflict returns the conflict of the first item by key that has one, or nil.
func findConflict(chosen, changes map[string]quorum.Value) *ConflictError {
	for _, key := range slices.Sorted(maps.Keys(changes)) {
		if statusOf(chosen[key], changes[key]) == statusConflict {
			kind, name, _ := SplitKey(key)
			return &ConflictError{Kind: kind, Name: name, Version: changes[key].Version}
		}
	}
	return nil
}

// Reasons of an IndeterminateError.
const (
	unknownReason = "a version in the call is older than the history that is kept, so that its content is not known"
	// partlyCommittedReason is a prefix; the reason why the change as a whole can't be committed follows.
	partlyCommittedReason = "a part of this call is in force from an earlier attempt, but "
)

// partlyCommitted reports whether an interrupted attempt at the same change has left some of its items in force. Such a
// change must not be rejected.
func partlyCommitted(chosen, changes map[string]quorum.Value) bool {
	if len(changes) < 2 {
		return false
	}
	digest := changeDigest(changes)
	for key, incoming := range changes {
		current := chosen[key]
		setByChange := current.Version == incoming.Version && decodeHistory(current).changeDigest == digest
		if setByChange && statusOf(current, incoming) == statusConfirmed {
			return true
		}
	}
	return false
}
