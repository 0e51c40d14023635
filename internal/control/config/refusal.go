package config

import (
	"maps"
	"slices"

	"github.com/go-faster/errors"

	"sagelever/internal/control/quorum"
)

// A change that is valid by itself may be refused because of the configuration in force. Another attempt at the same
// change may be in progress elsewhere, or may have left values with some of the members. Once the operator has been told
// of the refusal, none of these may take effect, even if the configuration has changed and the change would now be valid.
// A refusal is therefore recorded by a round over all registers of the change: the round replaces what earlier attempts
// have left, and Commit rejects later attempts.

// maxRefusedChanges bounds the refused changes that a register records. Beyond it, the oldest one is forgotten.
const maxRefusedChanges = 24

// errRefusedBefore is the reason of a refusal that an earlier attempt at the same change has recorded.
var errRefusedBefore = errors.New(
	"this very call was refused before and stays refused: send the change under higher versions")

// Refuse returns the function that decides to refuse a change, given the current values of all registers that the change
// sets. It leaves a change alone that an earlier attempt has committed, even if only in part.
//
// RefusalOutcome derives the result of the change from the chosen values.
func Refuse(changes map[string]quorum.Value) quorum.DecideFunc {
	return func(current map[string]quorum.Value) map[string]quorum.Value {
		if allConfirmed(current, changes) || partlyCommitted(current, changes) || isRefused(current, changes) {
			return nil
		}
		key := refusalKey(changes)
		return map[string]quorum.Value{key: recordRefused(current[key], changeDigest(changes))}
	}
}

// RefusalOutcome returns the result of a change, given the values that were chosen in a round of Refuse: nil if another
// attempt has committed the change, reason if the refusal is recorded, otherwise an *IndeterminateError.
func RefusalOutcome(chosen, changes map[string]quorum.Value, reason error) error {
	if !allConfirmed(chosen, changes) && isRefused(chosen, changes) {
		return reason
	}
	return Outcome(chosen, changes)
}

// refusalKey returns the key of the register that records the refusal of a change.
func refusalKey(changes map[string]quorum.Value) string {
	return slices.Min(slices.Collect(maps.Keys(changes)))
}

// recordRefused returns the current value of a register, with a refused change added to its history.
func recordRefused(current quorum.Value, digest uint64) quorum.Value {
	past := decodeHistory(current)
	past.refused = append(past.refused, digest)
	past.refused = past.refused[max(0, len(past.refused)-maxRefusedChanges):]
	if current.Version == 0 {
		current = quorum.Absent
	}
	current.Annotation = past.encode()
	return current
}

// isRefused reports whether the refusal of a change is recorded.
func isRefused(current, changes map[string]quorum.Value) bool {
	if len(changes) == 0 {
		return false
	}
	refused := decodeHistory(current[refusalKey(changes)]).refused
	return len(refused) > 0 && slices.Contains(refused, changeDigest(changes))
}

// allConfirmed reports whether every item of a change is confirmed.
func allConfirmed(current, changes map[string]quorum.Value) bool {
	for key, incoming := range changes {
		if statusOf(current[key], incoming) != statusConfirmed {
			return false
		}
	}
	return true
}
