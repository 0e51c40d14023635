package config

import (
	"maps"
	"slices"

	"sagelever/internal/control/quorum"
)

// KeepHighestVersion returns the rule for a single item without a history: the highest version prevails, and an equal
// or lower one has no effect.
func KeepHighestVersion(incoming quorum.Value) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		if incoming.Version > current.Version {
			return incoming
		}
		return current
	}
}

// Commit returns the rule by which a change is decided, given the current values of all registers that it sets:
//
//   - The highest version of an item prevails.
//   - Under one version only the first content that is confirmed is ever confirmed.
//   - The change is atomic: if one of its items cannot be confirmed, none takes effect.
//
// An item that a higher version has already superseded is confirmed without effect, and recorded in the register's
// history, so that no other content can be confirmed under its version later.
//
// Outcome tells from the chosen values how the change ended.
func Commit(changes map[string]quorum.Value) quorum.DecideFunc {
	digest := uint64(noChangeDigest)
	if len(changes) > 1 {
		digest = changeDigest(changes)
	}
	return func(current map[string]quorum.Value) map[string]quorum.Value {
		next := make(map[string]quorum.Value, len(changes))
		for key, incoming := range changes {
			switch statusOf(current[key], incoming) {
			case statusNewer:
				next[key] = supersede(current[key], incoming, digest)
			case statusSuperseded:
				recorded := recordSuperseded(current[key], incoming)
				if statusOf(recorded, incoming) != statusConfirmed {
					return nil // it is older than everything that the full history keeps
				}
				next[key] = recorded
			case statusConflict, statusForgotten:
				return nil
			}
		}
		return next
	}
}

// supersede returns the new value of a register, with the current one added to its history. digest is that of the
// change by which the new value comes, or noChangeDigest if it comes alone.
func supersede(current, incoming quorum.Value, digest uint64) quorum.Value {
	past := decodeHistory(current)
	if current.Version > 0 {
		past = past.add(current)
	}
	past.changeDigest = digest
	incoming.Annotation = past.encode()
	return incoming
}

// recordSuperseded returns the current value of a register, with an incoming one of a lower version added to its
// history.
func recordSuperseded(current, incoming quorum.Value) quorum.Value {
	current.Annotation = decodeHistory(current).add(incoming).encode()
	return current
}

// Outcome returns how a change ended, given the values that a round of Commit has chosen: nil if every item is
// confirmed, else a *ConflictError or an *IndeterminateError.
func Outcome(chosen, changes map[string]quorum.Value) error {
	var conflict *ConflictError
	allConfirmed := true
	for _, key := range slices.Sorted(maps.Keys(changes)) {
		status := statusOf(chosen[key], changes[key])
		if status != statusConfirmed {
			allConfirmed = false
		}
		if status == statusConflict && conflict == nil {
			kind, name, _ := SplitKey(key)
			conflict = &ConflictError{Kind: kind, Name: name, Version: changes[key].Version}
		}
	}
	switch {
	case allConfirmed:
		return nil
	case conflict == nil:
		return &IndeterminateError{Reason: forgottenReason}
	case partlyCommitted(chosen, changes):
		return &IndeterminateError{Reason: partlyCommittedReason + conflict.Error()}
	}
	return conflict
}

// Reasons of an IndeterminateError.
const (
	forgottenReason = "a version in the call is older than the history that is kept, so that its content is not known"
	// partlyCommittedReason precedes the reason why the change as a whole can't be committed.
	partlyCommittedReason = "a part of this call is in force from an earlier attempt, but "
)

// partlyCommitted reports whether an interrupted attempt at this very change has left some of its items in force. The
// change cannot be rejected then.
func partlyCommitted(chosen, changes map[string]quorum.Value) bool {
	if len(changes) < 2 {
		return false
	}
	digest := changeDigest(changes)
	for key, incoming := range changes {
		current := chosen[key]
		cameByChange := current.Version == incoming.Version && decodeHistory(current).changeDigest == digest
		if cameByChange && statusOf(current, incoming) == statusConfirmed {
			return true
		}
	}
	return false
}
