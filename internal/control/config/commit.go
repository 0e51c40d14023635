package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"

	"sagelever/internal/control/quorum"
)

// itemStatus is how an item that is sent stands to what its register holds.
type itemStatus int

const (
	statusNewer      itemStatus = iota // its version is higher than what is held
	statusConfirmed                    // this very content was confirmed under its version
	statusConflict                     // another content was
	statusSuperseded                   // a higher version is held, and nothing was confirmed under its version
	statusForgotten                    // a higher version is held, and what was confirmed under its version is not known any more
)

// statusOf compares an item that is sent with what its register holds.
func statusOf(current, incoming quorum.Value) itemStatus {
	switch {
	case incoming.Version > current.Version:
		return statusNewer
	case incoming.Version == current.Version:
		if current.Deleted == incoming.Deleted && current.Body == incoming.Body || contentDigest(current) == contentDigest(incoming) {
			return statusConfirmed
		}
		return statusConflict
	}
	digest, found, known := decodeHistory(current).lookup(incoming.Version)
	switch {
	case !known:
		return statusForgotten
	case !found:
		return statusSuperseded
	case digest != contentDigest(incoming):
		return statusConflict
	}
	return statusConfirmed
}

// Commit is the rule of the configuration for a call, over what its registers hold: the highest version of an item prevails,
// of two contents under one version the first that is confirmed, and where one item of the call can't be confirmed, nothing
// of the call changes anything. A version that others have passed by is confirmed without an effect and remembered, so that
// no other content is confirmed under it later.
func Commit(changes map[string]quorum.Value) quorum.DecideFunc {
	var digest uint64
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
				remembered := current[key]
				remembered.Annotation = decodeHistory(remembered).add(incoming).encode()
				if statusOf(remembered, incoming) != statusConfirmed {
					return nil // it is too old to be remembered
				}
				next[key] = remembered
			case statusConflict, statusForgotten:
				return nil
			}
		}
		return next
	}
}

// supersede is an item's new value with what came before it; call is the digest of the call that it came by, 0 where it came
// by itself.
func supersede(current, incoming quorum.Value, digest uint64) quorum.Value {
	past := decodeHistory(current)
	if current.Version > 0 {
		past = past.add(current)
	}
	past.changeDigest = digest
	incoming.Annotation = past.encode()
	return incoming
}

// Outcome tells from what a round of Settle has chosen how its call ended: nil where every item was confirmed, *Conflict, or
// *Unclear.
func Outcome(chosen, changes map[string]quorum.Value) error {
	var conflict *ConflictError
	allConfirmed := true
	for _, key := range slices.Sorted(maps.Keys(changes)) {
		switch statusOf(chosen[key], changes[key]) {
		case statusConfirmed:
		case statusConflict:
			if conflict == nil {
				kind, name, _ := SplitKey(key)
				conflict = &ConflictError{kind, name, changes[key].Version}
			}
			allConfirmed = false
		default:
			allConfirmed = false
		}
	}
	switch {
	case allConfirmed:
		return nil
	case conflict == nil:
		return &IndeterminateError{"a version in the call is so old that it is not known any more what was confirmed under it"}
	case partlyCommitted(chosen, changes):
		return &IndeterminateError{partlyCommittedReason + conflict.Error()}
	}
	return conflict
}

// partlyCommitted tells whether an attempt at this call that was broken off has left some of its items in force: the call
// then can't be refused.
func partlyCommitted(chosen, changes map[string]quorum.Value) bool {
	if len(changes) < 2 {
		return false
	}
	digest := changeDigest(changes)
	for key, incoming := range changes {
		current := chosen[key]
		if current.Version == incoming.Version && decodeHistory(current).changeDigest == digest && statusOf(current, incoming) == statusConfirmed {
			return true
		}
	}
	return false
}

// partlyCommittedReason begins the reason why a call is left without a clear answer.
const partlyCommittedReason = "a part of this very call stands from an earlier attempt, but "

// changeDigest tells calls apart by all that they set.
func changeDigest(changes map[string]quorum.Value) uint64 {
	sum := sha256.Sum256([]byte(ChangeText(changes)))
	return max(1, binary.BigEndian.Uint64(sum[:]))
}

// ChangeText is equal for calls that set the same.
func ChangeText(changes map[string]quorum.Value) string {
	var text bytes.Buffer
	for _, key := range slices.Sorted(maps.Keys(changes)) {
		value := changes[key]
		text.WriteString(key)
		text.WriteByte(0)
		text.Write(binary.BigEndian.AppendUint64(nil, value.Version))
		text.Write(binary.BigEndian.AppendUint64(nil, contentDigest(value)))
	}
	return text.String()
}

// compactBody is a body without the white space between its words: two that differ by that are the same. What can't be read
// stays as it is.
func compactBody(body string) string {
	var compact bytes.Buffer
	if json.Compact(&compact, []byte(body)) != nil {
		return body
	}
	return compact.String()
}
