package linear

import (
	"encoding/binary"
	"slices"
)

const wordBits = 64

// operationSet is a bitmap of operation indexes.
//
// Invariant: all indexes below prefix are in the set, and prefix itself is not.
type operationSet struct {
	prefix int
	words  []uint64
}

// newOperationSet returns an empty set for indexes below size.
func newOperationSet(size int) operationSet {
	return operationSet{words: make([]uint64, (size+wordBits)/wordBits)}
}

func (s *operationSet) has(i int) bool { return s.words[i/wordBits]>>(i%wordBits)&1 != 0 }

func (s *operationSet) add(i int) {
	s.words[i/wordBits] |= 1 << (i % wordBits)
	for s.has(s.prefix) {
		s.prefix++
	}
}

func (s *operationSet) clone() operationSet {
	return operationSet{prefix: s.prefix, words: slices.Clone(s.words)}
}

// key returns a string that identifies the configuration that consists of this set and a register value. Words that
// the prefix implies are omitted.
func (s *operationSet) key(register Value) string {
	first := s.prefix / wordBits
	last := len(s.words)
	for last > first && s.words[last-1] == 0 {
		last--
	}
	key := binary.AppendUvarint(nil, uint64(s.prefix))
	key = binary.AppendUvarint(key, uint64(last-first))
	for _, word := range s.words[first:last] {
		key = binary.BigEndian.AppendUint64(key, word)
	}
	key = binary.AppendUvarint(key, register.Version)
	if register.Deleted {
		key = append(key, 1)
	}
	key = append(key, register.Content...)
	return string(key)
}
