package config

import (
	"encoding/base64"
	"encoding/binary"
	"slices"

	"sagelever/internal/control/quorum"
)

// maxConfirmedVersions bounds the history of an item. Operators resend a change within seconds; in that time an item
// gets this many versions only if dozens of operators change it concurrently.
const maxConfirmedVersions = 24

// history lists the versions of an item that were confirmed before the current one. It is stored in the annotation of
// the register's value.
type history struct {
	// changeDigest is the digest of the change that set the current value if that change set more than one item,
	// otherwise noChangeDigest.
	changeDigest uint64
	// complete is set if no version below the lowest listed one was ever confirmed. Otherwise such versions may have
	// been confirmed. A value written by a build without histories has an empty, incomplete history.
	complete  bool
	confirmed []confirmedVersion // in ascending order of versions
}

// confirmedVersion is a version that was confirmed to an operator, with the digest of its content.
type confirmedVersion struct {
	version uint32
	digest  uint64
}

// Flags of an encoded history. The encoding is a byte of flags, the digest of the change if flagChangeDigest is set,
// and the confirmed versions, each followed by its digest. Numbers are big-endian; the result is encoded as base64.
const (
	flagComplete = 1 << iota
	flagChangeDigest
)

const (
	versionBytes   = 4
	digestBytes    = 8
	confirmedBytes = versionBytes + digestBytes
)

// decodeHistory decodes the history in the current value of a register.
func decodeHistory(current quorum.Value) history {
	if current.Version == 0 {
		return history{complete: true}
	}
	data, err := base64.RawStdEncoding.DecodeString(current.Annotation)
	if err != nil || len(data) == 0 {
		return history{}
	}
	flags := data[0]
	data = data[1:]
	past := history{complete: flags&flagComplete != 0}
	if flags&flagChangeDigest != 0 && len(data) >= digestBytes {
		past.changeDigest = binary.BigEndian.Uint64(data)
		data = data[digestBytes:]
	}
	for ; len(data) >= confirmedBytes; data = data[confirmedBytes:] {
		past.confirmed = append(past.confirmed, confirmedVersion{
			version: binary.BigEndian.Uint32(data),
			digest:  binary.BigEndian.Uint64(data[versionBytes:]),
		})
	}
	return past
}

// encode returns the history as an annotation.
func (h history) encode() string {
	data := []byte{0}
	if h.complete {
		data[0] |= flagComplete
	}
	if h.changeDigest != noChangeDigest {
		data[0] |= flagChangeDigest
		data = binary.BigEndian.AppendUint64(data, h.changeDigest)
	}
	for _, entry := range h.confirmed {
		data = binary.BigEndian.AppendUint32(data, entry.version)
		data = binary.BigEndian.AppendUint64(data, entry.digest)
	}
	return base64.RawStdEncoding.EncodeToString(data)
}

// add returns the history with a confirmed value added. If it exceeds maxConfirmedVersions, the lowest version is
// dropped.
func (h history) add(value quorum.Value) history {
	added := confirmedVersion{version: uint32(value.Version), digest: contentDigest(value)}
	position, _ := slices.BinarySearchFunc(h.confirmed, added.version, compareVersion)
	h.confirmed = slices.Insert(slices.Clone(h.confirmed), position, added)
	if len(h.confirmed) > maxConfirmedVersions {
		h.confirmed = h.confirmed[1:]
		h.complete = false
	}
	return h
}

// lookup returns the digest of the content that was confirmed under a version. found reports whether the version is
// listed. known is false if the version may have been confirmed without being listed.
func (h history) lookup(version uint64) (digest uint64, found, known bool) {
	if position, ok := slices.BinarySearchFunc(h.confirmed, uint32(version), compareVersion); ok {
		return h.confirmed[position].digest, true, true
	}
	known = h.complete || len(h.confirmed) > 0 && uint64(h.confirmed[0].version) < version
	return 0, false, known
}

func compareVersion(entry confirmedVersion, version uint32) int {
	return int(int64(entry.version) - int64(version))
}
