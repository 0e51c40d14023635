package rangesync

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// injectedFault is a mistake planted in a comparison.
type injectedFault struct {
	name        string
	fingerprint func(key string, version uint64) Fingerprint // of both sides; nil for the right one
	tamper      func(answerer *member, asked *Request, w *responseWithEntries)
	misplace    bool // an answer is taken for one to another request
}

// fingerprintByVersion is the digest that once took versions 20 and 11 of two registers for 21 and 10.
func fingerprintByVersion(_ string, version uint64) Fingerprint {
	return Fingerprint{Digest{low: version}}
}

// dropSplitKeys leaves the key at each bound out of the digests of the parts.
func dropSplitKeys(answerer *member, asked *Request, w *responseWithEntries) {
	for i, told := range w.response.Ranges {
		for j, bound := range told.SplitKeys {
			first := answerer.index.Keys(Range{From: bound, To: asked.Ranges[i].To}, 1)[0]
			f := answerer.fingerprint(first, answerer.registers[first].version)
			told.PartCounts[j+1]--
			told.PartDigests[j+1] = told.PartDigests[j+1].Sub(f.digest)
		}
	}
}

// skipLastEntry leaves out the last entry before the place to go on from.
func skipLastEntry(_ *member, _ *Request, w *responseWithEntries) {
	if n := len(w.response.Ranges); w.response.Ranges[n-1].ResumeFrom != "" {
		delete(w.entries, w.response.Keys[len(w.response.Keys)-1])
	}
}

// dropUnansweredRanges says of the ranges for which there was no room that they are done.
func dropUnansweredRanges(_ *member, asked *Request, w *responseWithEntries) {
	for len(w.response.Ranges) < len(asked.Ranges) {
		w.response.Ranges = append(w.response.Ranges, RangeResult{})
	}
}

// dropResumeKey sends the beginning of a range for the whole of it.
func dropResumeKey(_ *member, _ *Request, w *responseWithEntries) {
	for i := range w.response.Ranges {
		w.response.Ranges[i].ResumeFrom = ""
	}
}

// treatRecentAsComplete says that nothing differs but what has changed last.
func treatRecentAsComplete(_ *member, asked *Request, w *responseWithEntries) {
	if len(asked.Ranges) == 1 && len(w.response.Keys) > 0 && len(w.response.Ranges[0].PartCounts) > 0 {
		w.response.Ranges[0] = RangeResult{}
	}
}

// skipRecentChange leaves out one of the entries that are sent by the history alone, and says that these were all.
func skipRecentChange(_ *member, asked *Request, w *responseWithEntries) {
	told := &w.response.Ranges[0]
	if len(asked.Ranges) == 1 && asked.Ranges[0].Count > DefaultLimits.SendThreshold && len(told.PartCounts) == 0 && len(w.response.Keys) > 0 {
		told.Truncated = false
		delete(w.entries, w.response.Keys[0])
	}
}

// randomMember holds most keys of a space, each in one of a few versions.
func randomMember(random *rand.Rand, f injectedFault, space int) *member {
	m := newMember()
	if f.fingerprint != nil {
		m.fingerprint = f.fingerprint
	}
	for i := range space {
		if random.IntN(10) > 0 {
			m.learn(fmt.Sprintf("%03d", i), register{version: uint64(10 + random.IntN(2))})
		}
	}
	return m
}

// copySome has one member hold most of what another holds, and some of it in other versions.
func copySome(random *rand.Rand, to, from *member) {
	for _, k := range slices.Sorted(maps.Keys(from.registers)) { // in order, for the same play by the same seed
		switch random.IntN(20) {
		case 0:
		case 1:
			to.learn(k, register{version: uint64(10 + random.IntN(2))})
		default:
			to.learn(k, from.registers[k])
		}
	}
}

// findMissedEntry plays one comparison by a seed and names an entry that is missed in it.
func findMissedEntry(seed uint64, f injectedFault) (key string, found bool) {
	random := rand.New(rand.NewPCG(seed, 1))
	space := 2 + random.IntN(200)
	answerer := randomMember(random, f, space)
	asker := randomMember(random, f, 0)
	switch random.IntN(3) {
	case 0: // it is new
	case 1:
		copySome(random, asker, answerer)
	case 2: // it was away
		for _, k := range slices.Sorted(maps.Keys(answerer.registers)) {
			asker.learn(k, answerer.registers[k])
		}
		for range 1 + random.IntN(40) {
			answerer.learn(fmt.Sprintf("%03d", random.IntN(space)), register{version: uint64(12 + random.IntN(3))})
		}
	}
	l := &link{limits: Limits{MaxMessageBytes: 900, MaxRanges: 8, SplitParts: 4, SendThreshold: 2, FillThreshold: 32, RecentKeys: 2}, initiator: asker, responder: answerer}
	s := NewSession(1, asker.index, Range{}, l.limits)
	var late []responseWithEntries
	for !s.Done() {
		request := s.NextRequest()
		w := l.respond(request)
		if f.tamper != nil {
			f.tamper(answerer, request, &w)
		}
		late = append(late, w)
		if random.IntN(2) == 0 { // an earlier one comes again
			again := late[random.IntN(len(late))]
			if f.misplace {
				misplaced := *again.response
				misplaced.Number = request.Number
				again.response = &misplaced
			}
			if l.deliver(s, again) != nil {
				continue // it is malformed for that request, which is lost
			}
		}
		if err := l.deliver(s, w); err != nil {
			panic(err)
		}
	}
	return findMissingKey(asker, answerer.registers, Range{})
}

// Each planted fault is found by plays of random seeds in which the right code misses nothing.
func TestInjectedFaultsAreDetected(t *testing.T) {
	const seeds = 400
	for _, f := range []injectedFault{
		{name: "none"},
		{name: "a digest by the sum of versions", fingerprint: fingerprintByVersion},
		{name: "a split that loses the key at a bound", tamper: dropSplitKeys},
		{name: "a page that skips its last key", tamper: skipLastEntry},
		{name: "a page without a place to go on from", tamper: dropResumeKey},
		{name: "ranges without an answer taken for done", tamper: dropUnansweredRanges},
		{name: "the latest changes taken for all", tamper: treatRecentAsComplete},
		{name: "a change that the history leaves out", tamper: skipRecentChange},
		{name: "an answer taken for one to another request", misplace: true},
	} {
		found := 0
		for seed := range uint64(seeds) {
			if _, is := findMissedEntry(seed, f); is {
				found++
			}
		}
		t.Logf("%s: entries missed in %d of %d plays", f.name, found, seeds)
		if (found > 0) != (f.name != "none") {
			t.Errorf("%s: entries missed in %d plays", f.name, found)
		}
	}
}
