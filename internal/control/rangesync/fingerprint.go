package rangesync

import (
	"crypto/sha256"
	"encoding/binary"
)

// Fingerprint identifies a key together with the state of its value on a replica. If two replicas have equal
// fingerprints for a key, neither needs to send its entry to the other.
type Fingerprint struct {
	digest Digest
}

// ProposalNumber is the proposal number under which a value was accepted (see quorum.ProposalNumber).
type ProposalNumber struct {
	Epoch    uint64
	Number   uint64
	Proposer string
}

// RegisterState is the state of a register on a replica (see quorum.Entry).
type RegisterState struct {
	Chosen     bool
	Version    uint64 // of the value
	Annotation string // of the value; it may change while the version stays the same
	Accepted   ProposalNumber
}

// fingerprintBufferSize is the initial capacity of the hash input, in bytes; with keys of usual length, the input stays
// on the stack.
const fingerprintBufferSize = 128

// The first byte of a register's state in the hash input.
const (
	notChosenTag = 0
	chosenTag    = 1
)

// NewFingerprint returns the fingerprint of a register. A chosen value is identified by its version and annotation,
// regardless of the proposal under which it was accepted. A value that is not known to be chosen is identified by its
// proposal number.
func NewFingerprint(key string, state RegisterState) Fingerprint {
	input := make([]byte, 0, fingerprintBufferSize)
	input = binary.AppendUvarint(input, uint64(len(key)))
	input = append(input, key...)
	if state.Chosen {
		input = append(input, chosenTag)
		input = binary.BigEndian.AppendUint64(input, state.Version)
		input = append(input, state.Annotation...)
	} else {
		input = append(input, notChosenTag)
		input = binary.BigEndian.AppendUint64(input, state.Accepted.Epoch)
		input = binary.BigEndian.AppendUint64(input, state.Accepted.Number)
		input = append(input, state.Accepted.Proposer...)
	}
	hash := sha256.Sum256(input)
	return Fingerprint{digest: Digest{
		high: binary.BigEndian.Uint64(hash[:8]),
		low:  binary.BigEndian.Uint64(hash[8:16]),
	}}
}
