package rangesync

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// An index has the same contents as a map after the same operations, and its tree keeps its invariants.
func TestIndexMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, 0))
		keySpace := rapid.IntRange(1, 5000).Draw(t, "space")
		index := NewIndex()
		expected := map[string]Fingerprint{}
		for phase := range rapid.IntRange(1, 4).Draw(t, "phases") {
			removePercent := rapid.IntRange(0, 100).Draw(t, "removing")
			for range 3000 {
				key := fmt.Sprintf("%04d", random.IntN(keySpace))
				if random.IntN(100) < removePercent {
					index.Remove(key)
					delete(expected, key)
					continue
				}
				fingerprint := chosenFingerprint(key, uint64(phase))
				index.Set(key, fingerprint)
				expected[key] = fingerprint
			}
			checkTree(t, index.root, true, "", "")
			compareIndex(t, index, expected, Range{})
			for range 5 {
				a := fmt.Sprintf("%04d", random.IntN(keySpace))
				b := fmt.Sprintf("%04d", random.IntN(keySpace))
				if a != b {
					compareIndex(t, index, expected, Range{min(a, b), max(a, b)})
				}
			}
		}
	})
}

// compareIndex compares summary, keys and ranks of a range with the expected fingerprints.
func compareIndex(t *rapid.T, index *Index, expected map[string]Fingerprint, r Range) {
	t.Helper()
	var want Summary
	var keys []string
	for key, fingerprint := range expected {
		if r.Contains(key) {
			want = want.add(Summary{Count: 1, Digest: fingerprint.digest})
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	if got := index.Summary(r); got != want {
		t.Fatalf("%v: %v, want %v", r, got, want)
	}
	if got := index.Keys(r, len(expected)+1); !slices.Equal(got, keys) {
		t.Fatalf("%v: keys %v, want %v", r, got, keys)
	}
	before := index.root.summaryBefore(r.From).Count
	for i, key := range keys {
		if got := index.root.keyAt(before + i); got != key {
			t.Fatalf("rank %d: %q, want %q", before+i, got, key)
		}
	}
}

// checkTree checks the order, summary and size of a node and of all nodes below it. All keys must be at least low and,
// unless high is empty, less than high.
func checkTree(t *rapid.T, n *node, root bool, low, high string) {
	t.Helper()
	if n.size() > maxNodeSize || !root && n.size() < minNodeSize {
		t.Fatalf("node of size %d", n.size())
	}
	if n.summary != n.computeSummary() {
		t.Fatal("wrong summary")
	}
	for i, e := range n.entries {
		if e.key < low || high != "" && e.key >= high || i > 0 && n.entries[i-1].key >= e.key {
			t.Fatalf("%q between %q and %q", e.key, low, high)
		}
	}
	for i, child := range n.children {
		from, to := low, high
		if i > 0 {
			from = child.minKey
		}
		if i+1 < len(n.children) {
			to = n.children[i+1].minKey
		}
		checkTree(t, child, false, from, to)
	}
}

// Fingerprints differ if any field of the state differs, with two exceptions: the proposal number of a chosen value,
// and the version of a value that is not known to be chosen.
func TestFingerprints(t *testing.T) {
	accepted := RegisterState{Version: 1, Accepted: ProposalNumber{Epoch: 2, Number: 3, Proposer: "m"}}
	chosen := accepted
	chosen.Chosen = true
	seen := map[Fingerprint]string{}
	checkUnique := func(name, key string, state RegisterState) {
		t.Helper()
		fingerprint := NewFingerprint(key, state)
		if other, ok := seen[fingerprint]; ok {
			t.Errorf("%s has the fingerprint of %s", name, other)
		}
		seen[fingerprint] = name
	}
	checkUnique("accepted", "k", accepted)
	checkUnique("chosen", "k", chosen)
	checkUnique("another key", "l", accepted)
	for name, proposal := range map[string]ProposalNumber{
		"epoch":    {3, 3, "m"},
		"number":   {2, 4, "m"},
		"proposer": {2, 3, "n"},
	} {
		checkUnique(name, "k", RegisterState{Version: 1, Accepted: proposal})
		if NewFingerprint("k", RegisterState{Chosen: true, Version: 1, Accepted: proposal}) != NewFingerprint("k", chosen) {
			t.Errorf("the %s of the proposal distinguishes two chosen values", name)
		}
	}
	checkUnique("version", "k", RegisterState{Chosen: true, Version: 2})
	if NewFingerprint("k", RegisterState{Version: 2, Accepted: accepted.Accepted}) != NewFingerprint("k", accepted) {
		t.Error("the version distinguishes two values of the same proposal")
	}
	unnamed := ProposalNumber{Epoch: 2, Number: 3}
	named := ProposalNumber{Epoch: 2, Number: 3, Proposer: "x"}
	checkUnique("key ends like a proposer", "kx", RegisterState{Accepted: unnamed})
	checkUnique("proposer begins like a key", "k", RegisterState{Accepted: named})
}

// The range of a prefix contains exactly the keys that begin with it.
func TestPrefixRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		edgeCases := rapid.SampledFrom([]string{"\ud7ff", "a\U0010FFFF", "\U0010FFFF", ""})
		prefix := rapid.OneOf(keyGen, edgeCases).Draw(t, "prefix")
		withPrefix := rapid.Map(keyGen, func(s string) string { return prefix + s })
		key := rapid.OneOf(keyGen, withPrefix).Draw(t, "key")
		r := PrefixRange(prefix)
		if r.Contains(key) != (strings.HasPrefix(key, prefix)) {
			t.Fatalf("%q in %q: %v", key, r, r.Contains(key))
		}
		if !r.valid() {
			t.Fatalf("%q: %q", prefix, r)
		}
	})
}
