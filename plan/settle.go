package plan

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"

	"sagelever/internal/control/quorum"
)

// standing is how an item that is sent stands to what its register holds.
type standing int

const (
	fresh     standing = iota // its version is higher than what is held
	taken                     // this very content was confirmed under its version
	clashing                  // another content was
	late                      // a higher version is held, and nothing was confirmed under its version
	forgotten                 // a higher version is held, and what was confirmed under its version is not known any more
)

// standingOf compares an item that is sent with what its register holds.
func standingOf(held, sent quorum.Value) standing {
	switch {
	case sent.Version > held.Version:
		return fresh
	case sent.Version == held.Version:
		if held.Gone == sent.Gone && held.Body == sent.Body || contentDigest(held) == contentDigest(sent) {
			return taken
		}
		return clashing
	}
	content, found, known := readHistory(held).find(sent.Version)
	switch {
	case !known:
		return forgotten
	case !found:
		return late
	case content != contentDigest(sent):
		return clashing
	}
	return taken
}

// Settle is the rule of the configuration for a call, over what its registers hold: the highest version of an item prevails,
// of two contents under one version the first that is confirmed, and where one item of the call can't be confirmed, nothing
// of the call changes anything. A version that others have passed by is confirmed without an effect and remembered, so that
// no other content is confirmed under it later.
func Settle(sent map[string]quorum.Value) quorum.Decide {
	var call uint64
	if len(sent) > 1 {
		call = callDigest(sent)
	}
	return func(held map[string]quorum.Value) map[string]quorum.Value {
		out := make(map[string]quorum.Value, len(sent))
		for key, v := range sent {
			switch standingOf(held[key], v) {
			case fresh:
				out[key] = replaceBy(held[key], v, call)
			case late:
				x := held[key]
				x.Note = readHistory(x).with(v).note()
				if standingOf(x, v) != taken {
					return nil // it is too old to be remembered
				}
				out[key] = x
			case clashing, forgotten:
				return nil
			}
		}
		return out
	}
}

// replaceBy is an item's new value with what came before it; call is the digest of the call that it came by, 0 where it came
// by itself.
func replaceBy(held, v quorum.Value, call uint64) quorum.Value {
	h := readHistory(held)
	if held.Version > 0 {
		h = h.with(held)
	}
	h.call = call
	v.Note = h.note()
	return v
}

// Outcome tells from what a round of Settle has chosen how its call ended: nil where every item was confirmed, *Conflict, or
// *Unclear.
func Outcome(chosen, sent map[string]quorum.Value) error {
	var conflict *Conflict
	settled := true
	for _, key := range slices.Sorted(maps.Keys(sent)) {
		switch standingOf(chosen[key], sent[key]) {
		case taken:
		case clashing:
			if conflict == nil {
				kind, name, _ := SplitKey(key)
				conflict = &Conflict{kind, name, sent[key].Version}
			}
			settled = false
		default:
			settled = false
		}
	}
	switch {
	case settled:
		return nil
	case conflict == nil:
		return &Unclear{"a version in the call is so old that it is not known any more what was confirmed under it"}
	case partlyInForce(chosen, sent):
		return &Unclear{partOfCall + conflict.Error()}
	}
	return conflict
}

// partlyInForce tells whether an attempt at this call that was broken off has left some of its items in force: the call
// then can't be refused.
func partlyInForce(chosen, sent map[string]quorum.Value) bool {
	if len(sent) < 2 {
		return false
	}
	call := callDigest(sent)
	for key, v := range sent {
		held := chosen[key]
		if held.Version == v.Version && readHistory(held).call == call && standingOf(held, v) == taken {
			return true
		}
	}
	return false
}

// partOfCall begins the reason why a call is left without a clear answer.
const partOfCall = "a part of this very call stands from an earlier attempt, but "

// callDigest tells calls apart by all that they set.
func callDigest(sent map[string]quorum.Value) uint64 {
	sum := sha256.Sum256([]byte(CallText(sent)))
	return max(1, binary.BigEndian.Uint64(sum[:]))
}

// CallText is equal for calls that set the same.
func CallText(sent map[string]quorum.Value) string {
	var b bytes.Buffer
	for _, key := range slices.Sorted(maps.Keys(sent)) {
		v := sent[key]
		b.WriteString(key)
		b.WriteByte(0)
		b.Write(binary.BigEndian.AppendUint64(nil, v.Version))
		b.Write(binary.BigEndian.AppendUint64(nil, contentDigest(v)))
	}
	return b.String()
}

// compactBody is a body without the white space between its words: two that differ by that are the same. What can't be read
// stays as it is.
func compactBody(body string) string {
	var b bytes.Buffer
	if json.Compact(&b, []byte(body)) != nil {
		return body
	}
	return b.String()
}
