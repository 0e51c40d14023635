package rangesync

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"math/bits"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// Digest sums up entries: the sum modulo 2^128 of their fingerprints. Two sets that differ have the same digest by a
// chance of one in 2^128. It withstands accidents, not somebody who picks keys in order to make two sets look alike.
type Digest struct {
	high, low uint64
}

// digestBytes is the length of a digest in bytes, and digestTextBytes that of its text in a message.
const (
	digestBytes     = 16
	digestTextBytes = 22
)

// Add is the digest of two disjoint sets together.
func (d Digest) Add(other Digest) Digest {
	low, carry := bits.Add64(d.low, other.low, 0)
	high, _ := bits.Add64(d.high, other.high, carry)
	return Digest{high, low}
}

// Sub is the digest of a set without a part of it.
func (d Digest) Sub(other Digest) Digest {
	low, borrow := bits.Sub64(d.low, other.low, 0)
	high, _ := bits.Sub64(d.high, other.high, borrow)
	return Digest{high, low}
}

// MarshalEasyJSON writes the digest as text.
func (d Digest) MarshalEasyJSON(w *jwriter.Writer) {
	var raw [digestBytes]byte
	binary.BigEndian.PutUint64(raw[:8], d.high)
	binary.BigEndian.PutUint64(raw[8:], d.low)
	w.String(base64.RawURLEncoding.EncodeToString(raw[:]))
}

// UnmarshalEasyJSON reads the text of a digest.
func (d *Digest) UnmarshalEasyJSON(l *jlexer.Lexer) {
	text := l.String()
	if !l.Ok() {
		return
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) != digestBytes {
		l.AddError(errors.Errorf("%q is not a digest", text))
		return
	}
	d.high, d.low = binary.BigEndian.Uint64(raw[:8]), binary.BigEndian.Uint64(raw[8:])
}

// Fingerprint stands for a key and what is known of its value. Equal ones mean that neither side has anything to tell the
// other about the key.
type Fingerprint struct {
	digest Digest
}

// ProposalNumber is the ballot under which a value was accepted.
type ProposalNumber struct {
	Epoch    uint64
	Number   uint64
	Proposer string
}

// RegisterState is what one member knows of a register's value.
type RegisterState struct {
	Chosen     bool
	Version    uint64 // of the value
	Annotation string // of the value's writer, which may change under one version
	Accepted   ProposalNumber
}

// NewFingerprint is the fingerprint of a register. The version and the note of a chosen value say all, whichever ballot it came
// by; of one that is not known to be chosen the ballot says all.
func NewFingerprint(key string, state RegisterState) Fingerprint {
	text := make([]byte, 0, 128) // on the stack for usual keys
	text = binary.AppendUvarint(text, uint64(len(key)))
	text = append(text, key...)
	if state.Chosen {
		text = append(text, 1)
		text = binary.BigEndian.AppendUint64(text, state.Version)
		text = append(text, state.Annotation...)
	} else {
		text = append(text, 0)
		text = binary.BigEndian.AppendUint64(text, state.Accepted.Epoch)
		text = binary.BigEndian.AppendUint64(text, state.Accepted.Number)
		text = append(text, state.Accepted.Proposer...)
	}
	sum := sha256.Sum256(text)
	return Fingerprint{Digest{binary.BigEndian.Uint64(sum[:8]), binary.BigEndian.Uint64(sum[8:])}}
}
