package config

import (
	"encoding/base64"
	"encoding/binary"
	"slices"
	"strings"

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
	// refused contains the digests of the last changes that were refused and recorded in this register, the oldest
	// first; see Refuse.
	refused []uint64
}

// confirmedVersion is a version that was confirmed to an operator, with the digest of its content.
type confirmedVersion struct {
	version uint32
	digest  uint64
}

// Flags of an encoded history. The encoding is a byte of flags, the digest of the change if flagChangeDigest is set,
// and the confirmed versions, each followed by its digest. Numbers are big-endian; the result is encoded as base64. The
// digests of refused changes, if any, follow refusedSeparator in the same encoding.
const (
	flagComplete = 1 << iota
	flagChangeDigest
)

// refusedSeparator separates the refused changes from the rest of an encoded history. Builds that don't record refused
// changes can't decode a history that contains it: to them, the history is incomplete.
const refusedSeparator = "!"

const (
	versionBytes   = 4
	digestBytes    = 8
	confirmedBytes = versionBytes + digestBytes
)

// decodeHistory decodes the history in the current value of a register.
func decodeHistory(current quorum.Value) history {
	confirmed, refused, _ := strings.Cut(current.Annotation, refusedSeparator)
	past := history{complete: true}
	if current.Version > 0 {
		past = decodeConfirmed(confirmed)
	}
	past.refused = decodeDigests(refused)
	return past
}

// decodeConfirmed decodes a history without its refused changes.
func decodeConfirmed(text string) history {
	data, err := base64.RawStdEncoding.DecodeString(text)
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

// decodeDigests decodes a list of digests.
func decodeDigests(text string) (digests []uint64) {
	data, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return nil
	}
	for ; len(data) >= digestBytes; data = data[digestBytes:] {
		digests = append(digests, binary.BigEndian.Uint64(data))
	}
	return digests
}

// encode returns the history as an annotation.
func (h history) encode() string {
	if len(h.refused) == 0 {
		return h.encodeConfirmed()
	}
	var data []byte
	for _, digest := range h.refused {
		data = binary.BigEndian.AppendUint64(data, digest)
	}
	return h.encodeConfirmed() + refusedSeparator + base64.RawStdEncoding.EncodeToString(data)
}

// encodeConfirmed encodes the history without its refused changes.
func (h history) encodeConfirmed() string {
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
