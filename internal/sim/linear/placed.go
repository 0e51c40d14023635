package linear

import (
	"encoding/binary"
	"slices"
)

const wordBits = 64

// placedSet is a set of operations by their number; all before the prefix are in it.
type placedSet struct {
	prefix int
	words  []uint64
}

func newPlacedSet(size int) placedSet {
	return placedSet{words: make([]uint64, (size+wordBits)/wordBits)}
}

func (p *placedSet) has(i int) bool { return p.words[i/wordBits]>>(i%wordBits)&1 != 0 }

func (p *placedSet) add(i int) {
	p.words[i/wordBits] |= 1 << (i % wordBits)
	for p.has(p.prefix) {
		p.prefix++
	}
}

func (p *placedSet) clone() placedSet { return placedSet{p.prefix, slices.Clone(p.words)} }

// key tells a configuration from all others: the set, from the prefix on, and what is held.
func (p *placedSet) key(held Value) string {
	out := binary.AppendUvarint(nil, uint64(p.prefix))
	first, last := p.prefix/wordBits, len(p.words)
	for last > first && p.words[last-1] == 0 {
		last--
	}
	out = binary.AppendUvarint(out, uint64(last-first))
	for _, w := range p.words[first:last] {
		out = binary.BigEndian.AppendUint64(out, w)
	}
	out = binary.AppendUvarint(out, held.Version)
	if held.Gone {
		out = append(out, 1)
	}
	return string(append(out, held.Content...))
}
