package rangesync

import (
	"encoding/base64"
	"encoding/binary"
	"math/bits"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// Digest identifies a set of entries: the sum of their fingerprints modulo 2^128. Two different sets have the same
// digest with a probability of 2^-128. It detects accidental differences; it does not resist an adversary who chooses
// the keys.
type Digest struct {
	high, low uint64
}

const (
	digestBytes     = 16
	digestTextBytes = 22 // of the unpadded base64 encoding
)

// Add returns the digest of the union of two disjoint sets.
func (d Digest) Add(other Digest) Digest {
	low, carry := bits.Add64(d.low, other.low, 0)
	high, _ := bits.Add64(d.high, other.high, carry)
	return Digest{high: high, low: low}
}

// Sub returns the digest of a set without one of its subsets.
func (d Digest) Sub(other Digest) Digest {
	low, borrow := bits.Sub64(d.low, other.low, 0)
	high, _ := bits.Sub64(d.high, other.high, borrow)
	return Digest{high: high, low: low}
}

// MarshalEasyJSON writes the digest as a string of unpadded URL-safe base64.
func (d Digest) MarshalEasyJSON(w *jwriter.Writer) {
	var raw [digestBytes]byte
	binary.BigEndian.PutUint64(raw[:8], d.high)
	binary.BigEndian.PutUint64(raw[8:], d.low)
	w.String(base64.RawURLEncoding.EncodeToString(raw[:]))
}

// UnmarshalEasyJSON reads a digest in the format of MarshalEasyJSON.
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
	d.high = binary.BigEndian.Uint64(raw[:8])
	d.low = binary.BigEndian.Uint64(raw[8:])
}
