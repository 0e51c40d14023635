package config

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"slices"

	"sagelever/internal/control/quorum"
)

// maxConfirmedVersions bounds what an item's register remembers: twelve bytes for each version. A day's operators resend within
// seconds, in which one item hardly passes through so many versions.
const maxConfirmedVersions = 8

// history is what an item's register remembers of the contents that were confirmed before the one that stands. It is the
// note of the item's value.
type history struct {
	changeDigest uint64 // the digest of the call that brought the value, where it set more than one item; else 0
	// complete says that a version below the lowest one listed was never confirmed; else nothing is known of it. An item
	// that was written by a program without histories has none, and is not complete.
	complete  bool
	confirmed []confirmedVersion // by version, rising
}

// confirmedVersion is a version that was acknowledged, with a digest of its content.
type confirmedVersion struct {
	version uint32
	digest  uint64
}

const (
	flagComplete = 1 << iota
	flagChangeDigest
)

// decodeHistory reads the history of a value that is held.
func decodeHistory(current quorum.Value) history {
	if current.Version == 0 {
		return history{complete: true}
	}
	data, err := base64.RawStdEncoding.DecodeString(current.Annotation)
	if err != nil || len(data) == 0 {
		return history{}
	}
	h := history{complete: data[0]&flagComplete != 0}
	hasDigest := data[0]&flagChangeDigest != 0
	data = data[1:]
	if hasDigest && len(data) >= 8 {
		h.changeDigest = binary.BigEndian.Uint64(data)
		data = data[8:]
	}
	for ; len(data) >= 12; data = data[12:] {
		h.confirmed = append(h.confirmed, confirmedVersion{binary.BigEndian.Uint32(data), binary.BigEndian.Uint64(data[4:])})
	}
	return h
}

// encode is the history as it is kept.
func (h history) encode() string {
	data := []byte{0}
	if h.complete {
		data[0] |= flagComplete
	}
	if h.changeDigest != 0 {
		data[0] |= flagChangeDigest
		data = binary.BigEndian.AppendUint64(data, h.changeDigest)
	}
	for _, c := range h.confirmed {
		data = binary.BigEndian.AppendUint32(data, c.version)
		data = binary.BigEndian.AppendUint64(data, c.digest)
	}
	return base64.RawStdEncoding.EncodeToString(data)
}

// add adds a content that was confirmed; where there are too many the lowest version is forgotten.
func (h history) add(value quorum.Value) history {
	h.confirmed = slices.Clone(h.confirmed)
	position, _ := slices.BinarySearchFunc(h.confirmed, uint32(value.Version), compareVersion)
	h.confirmed = slices.Insert(h.confirmed, position, confirmedVersion{uint32(value.Version), contentDigest(value)})
	if len(h.confirmed) > maxConfirmedVersions {
		h.confirmed, h.complete = h.confirmed[1:], false
	}
	return h
}

// lookup is the digest that was confirmed under a version; known is false where it may have been forgotten.
func (h history) lookup(version uint64) (digest uint64, found, known bool) {
	if position, ok := slices.BinarySearchFunc(h.confirmed, uint32(version), compareVersion); ok {
		return h.confirmed[position].digest, true, true
	}
	known = h.complete || len(h.confirmed) > 0 && uint64(h.confirmed[0].version) < version
	return 0, false, known
}

func compareVersion(c confirmedVersion, version uint32) int {
	return int(int64(c.version) - int64(version))
}

// contentDigest tells contents apart, but for a chance of one in 2^64.
func contentDigest(value quorum.Value) uint64 {
	if value.Deleted {
		return 0
	}
	sum := sha256.Sum256([]byte(compactBody(value.Body)))
	return max(1, binary.BigEndian.Uint64(sum[:])) // 0 stands for a dropped item
}
