package replica

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strings"

	"sagelever/internal/control/quorum"
)

// pageBytes bounds the bodies of one message that hands over registers; one register may be longer.
const pageBytes = 256 << 10

// fillPage answers for the registers whose keys begin with the asked prefix and come after the asked key: that they are the
// same as the asker's, or what they hold, as far as one message goes. Registers change only to what is newer, so that pages
// that are asked one after the other miss nothing that was held when the first was asked.
func (m *Replica) fillPage(a *Ask, r *Reply) {
	all := m.registers(a.Prefix)
	if a.After == "" && Digest(all) == a.Digest {
		r.Same = true
		return
	}
	slices.SortFunc(all, func(a, b quorum.Entry) int { return strings.Compare(a.Key, b.Key) })
	first, _ := slices.BinarySearchFunc(all, a.After, func(e quorum.Entry, key string) int { return strings.Compare(e.Key, key) })
	size := 0
	for _, e := range all[first:] {
		if e.Key == a.After {
			continue
		}
		if size += len(e.Key) + len(e.Value.Body); size > pageBytes && len(r.Held) > 0 {
			r.More = r.Held[len(r.Held)-1].Key
			return
		}
		r.Held = append(r.Held, e)
	}
}

// registers are those that hold something and whose keys begin so.
func (m *Replica) registers(prefix string) []quorum.Entry {
	all := m.acceptor.All()
	return slices.DeleteFunc(all, func(e quorum.Entry) bool { return !strings.HasPrefix(e.Key, prefix) })
}

// Digest is equal for members that hold the same, and for others by a chance of one in 2^64: of a chosen value its version
// and its writer's note say all, whichever ballot it came by. A sum of weak hashes, which needs no order, once took versions 20 and 11 of two
// registers for 21 and 8.
func Digest(entries []quorum.Entry) uint64 {
	slices.SortFunc(entries, func(a, b quorum.Entry) int { return strings.Compare(a.Key, b.Key) })
	var text []byte
	for _, e := range entries {
		epoch, n, who := e.Accepted.Epoch, e.Accepted.N, e.Accepted.Who
		if e.Chosen {
			epoch, n, who = 0, e.Value.Version, e.Value.Note
		}
		text = append(append(text, e.Key...), 0)
		text = binary.BigEndian.AppendUint64(text, epoch)
		text = binary.BigEndian.AppendUint64(text, n)
		text = append(append(text, who...), 0)
	}
	sum := sha256.Sum256(text)
	return binary.BigEndian.Uint64(sum[:])
}
