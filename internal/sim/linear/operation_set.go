package linear

import (
	"encoding/binary"
	"slices"
)

const wordBits = 64

// operationSet is a set of operations by their number; all before the prefix are in it.
type operationSet struct {
	prefix int
	words  []uint64
}

func newOperationSet(size int) operationSet {
	return operationSet{words: make([]uint64, (size+wordBits)/wordBits)}
}

func (p *operationSet) has(i int) bool { return p.words[i/wordBits]>>(i%wordBits)&1 != 0 }

func (p *operationSet) add(i int) {
	p.words[i/wordBits] |= 1 << (i % wordBits)
	for p.has(p.prefix) {
		p.prefix++
	}
}

func (p *operationSet) clone() operationSet { return operationSet{p.prefix, slices.Clone(p.words)} }

// key tells a configuration from all others: the set, from the prefix on, and what is held.
func (p *operationSet) key(register Value) string {
	out := binary.AppendUvarint(nil, uint64(p.prefix))
	first, last := p.prefix/wordBits, len(p.words)
	for last > first && p.words[last-1] == 0 {
		last--
	}
	out = binary.AppendUvarint(out, uint64(last-first))
	for _, w := range p.words[first:last] {
		out = binary.BigEndian.AppendUint64(out, w)
	}
	out = binary.AppendUvarint(out, register.Version)
	if register.Deleted {
		out = append(out, 1)
	}
	return string(append(out, register.Content...))
}
