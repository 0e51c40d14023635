package config

import "sagelever/internal/control/quorum"

// A change that is valid by itself may be refused because of the configuration in force. An earlier attempt at the same
// change may have left values with some of the members. Once the operator has been told of the refusal, these must not
// take effect. A refusal is therefore decided by a round over all registers of the change, which replaces what earlier
// attempts have left (quorum.Keep).

// RefusalOutcome returns the result of a change, given the values that were chosen in a round that keeps all of its
// registers: nil if an earlier attempt has committed the change, an *IndeterminateError if it has done so in part,
// otherwise reason.
func RefusalOutcome(chosen, changes map[string]quorum.Value, reason error) error {
	switch {
	case allConfirmed(chosen, changes):
		return nil
	case partlyCommitted(chosen, changes):
		return &IndeterminateError{Reason: partlyCommittedReason + reason.Error()}
	}
	return reason
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
