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

// deletedDigest is the content digest of a deleted item. No other content has it.
const deletedDigest = 0

// contentDigest returns a digest of an item's content without its version: the first eight bytes of the SHA-256 of the
// compact body. Two different contents collide with a probability of 2^-64.
func contentDigest(value quorum.Value) uint64 {
	if value.Deleted {
		return deletedDigest
	}
	sum := sha256.Sum256([]byte(compactBody(value.Body)))
	return max(deletedDigest+1, binary.BigEndian.Uint64(sum[:]))
}

// noChangeDigest stands for a value that was the only one in its change. No change has this digest.
const noChangeDigest = 0

// changeDigest returns a digest of everything that a change sets.
func changeDigest(changes map[string]quorum.Value) uint64 {
	sum := sha256.Sum256([]byte(ChangeText(changes)))
	return max(noChangeDigest+1, binary.BigEndian.Uint64(sum[:]))
}

// ChangeText returns a string that identifies what a change sets: it is equal for two changes if and only if they set
// the same items, versions and contents, apart from collisions of content digests. It is not printable.
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

// compactBody returns a JSON body without insignificant white space, the form in which bodies are compared. A body that
// is not valid JSON is returned unchanged.
func compactBody(body string) string {
	var compact bytes.Buffer
	if json.Compact(&compact, []byte(body)) != nil {
		return body
	}
	return compact.String()
}
