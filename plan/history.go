package plan

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"slices"

	"sagelever/internal/control/quorum"
)

// mostConfirmed bounds what an item's register remembers: twelve bytes for each version. A day's operators resend within
// seconds, in which one item hardly passes through so many versions.
const mostConfirmed = 8

// history is what an item's register remembers of the contents that were confirmed before the one that stands. It is the
// note of the item's value.
type history struct {
	call uint64 // the digest of the call that brought the value, where it set more than one item; else 0
	// complete says that a version below the lowest one listed was never confirmed; else nothing is known of it. An item
	// that was written by a program without histories has none, and is not complete.
	complete  bool
	confirmed []confirmed // by version, rising
}

// confirmed is a version that was acknowledged, with a digest of its content.
type confirmed struct {
	version uint32
	content uint64
}

const (
	completeFlag = 1 << iota
	callFlag
)

// readHistory reads the history of a value that is held.
func readHistory(held quorum.Value) history {
	if held.Version == 0 {
		return history{complete: true}
	}
	b, err := base64.RawStdEncoding.DecodeString(held.Note)
	if err != nil || len(b) == 0 {
		return history{}
	}
	h := history{complete: b[0]&completeFlag != 0}
	withCall := b[0]&callFlag != 0
	b = b[1:]
	if withCall && len(b) >= 8 {
		h.call = binary.BigEndian.Uint64(b)
		b = b[8:]
	}
	for ; len(b) >= 12; b = b[12:] {
		h.confirmed = append(h.confirmed, confirmed{binary.BigEndian.Uint32(b), binary.BigEndian.Uint64(b[4:])})
	}
	return h
}

// note is the history as it is kept.
func (h history) note() string {
	b := []byte{0}
	if h.complete {
		b[0] |= completeFlag
	}
	if h.call != 0 {
		b[0] |= callFlag
		b = binary.BigEndian.AppendUint64(b, h.call)
	}
	for _, c := range h.confirmed {
		b = binary.BigEndian.AppendUint32(b, c.version)
		b = binary.BigEndian.AppendUint64(b, c.content)
	}
	return base64.RawStdEncoding.EncodeToString(b)
}

// with adds a content that was confirmed; where there are too many the lowest version is forgotten.
func (h history) with(v quorum.Value) history {
	h.confirmed = slices.Clone(h.confirmed)
	at, _ := slices.BinarySearchFunc(h.confirmed, uint32(v.Version), byVersion)
	h.confirmed = slices.Insert(h.confirmed, at, confirmed{uint32(v.Version), contentDigest(v)})
	if len(h.confirmed) > mostConfirmed {
		h.confirmed, h.complete = h.confirmed[1:], false
	}
	return h
}

// find is the digest that was confirmed under a version; known is false where it may have been forgotten.
func (h history) find(version uint64) (content uint64, found, known bool) {
	if at, ok := slices.BinarySearchFunc(h.confirmed, uint32(version), byVersion); ok {
		return h.confirmed[at].content, true, true
	}
	known = h.complete || len(h.confirmed) > 0 && uint64(h.confirmed[0].version) < version
	return 0, false, known
}

func byVersion(c confirmed, version uint32) int { return int(int64(c.version) - int64(version)) }

// contentDigest tells contents apart, but for a chance of one in 2^64.
func contentDigest(v quorum.Value) uint64 {
	if v.Gone {
		return 0
	}
	sum := sha256.Sum256([]byte(compactBody(v.Body)))
	return max(1, binary.BigEndian.Uint64(sum[:])) // 0 stands for a dropped item
}
