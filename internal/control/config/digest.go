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
// compact body. Two different contents have the same digest with a probability of 2^-64.
func contentDigest(value quorum.Value) uint64 {
	if value.Deleted {
		return deletedDigest
	}
	sum := sha256.Sum256([]byte(compactBody(value.Body)))
	return max(deletedDigest+1, binary.BigEndian.Uint64(sum[:]))
}

// noChangeDigest stands for a value that did not come with others in one change. No change has it as its digest.
const noChangeDigest = 0

// changeDigest returns a digest of everything that a change sets.
func changeDigest(changes map[string]quorum.Value) uint64 {
	sum := sha256.Sum256([]byte(ChangeText(changes)))
	return max(noChangeDigest+1, binary.BigEndian.Uint64(sum[:]))
}

// ChangeText returns a text that is the same for two changes if and only if they set the same (but for collisions of
// content digests). It is not printable.
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

// compactBody returns a JSON body without insignificant white space, by which bodies are compared. A body that is not
// valid JSON is returned as it is.
func compactBody(body string) string {
	var compact bytes.Buffer
	if json.Compact(&compact, []byte(body)) != nil {
		return body
	}
	return compact.String()
}
