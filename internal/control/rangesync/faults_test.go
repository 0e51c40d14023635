package rangesync

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// fault is a mistake planted in a comparison.
type fault struct {
	name        string
	fingerprint func(key string, version uint64) Fingerprint // of both sides; nil for the right one
	tamper      func(answerer *member, asked *Request, w *wire)
	misplace    bool // an answer is taken for one to another request
}

// sumOfVersions is the digest that once took versions 20 and 11 of two registers for 21 and 10.
func sumOfVersions(_ string, version uint64) Fingerprint { return Fingerprint{Digest{low: version}} }

// loseBoundaryKeys leaves the key at each bound out of the digests of the parts.
func loseBoundaryKeys(answerer *member, asked *Request, w *wire) {
	for i, told := range w.answer.Ranges {
		for j, bound := range told.Bounds {
			first := answerer.index.Keys(Range{From: bound, To: asked.Ranges[i].To}, 1)[0]
			f := answerer.fingerprint(first, answerer.registers[first].version)
			told.Counts[j+1]--
			told.Digests[j+1] = told.Digests[j+1].Minus(f.digest)
		}
	}
}

// skipLastOfPage leaves out the last entry before the place to go on from.
func skipLastOfPage(_ *member, _ *Request, w *wire) {
	if n := len(w.answer.Ranges); w.answer.Ranges[n-1].Rest != "" {
		delete(w.entries, w.answer.Keys[len(w.answer.Keys)-1])
	}
}

// closeUnanswered says of the ranges for which there was no room that they are done.
func closeUnanswered(_ *member, asked *Request, w *wire) {
	for len(w.answer.Ranges) < len(asked.Ranges) {
		w.answer.Ranges = append(w.answer.Ranges, Told{})
	}
}

// forgetRest sends the beginning of a range for the whole of it.
func forgetRest(_ *member, _ *Request, w *wire) {
	for i := range w.answer.Ranges {
		w.answer.Ranges[i].Rest = ""
	}
}

// takeRecentForAll says that nothing differs but what has changed last.
func takeRecentForAll(_ *member, asked *Request, w *wire) {
	if len(asked.Ranges) == 1 && len(w.answer.Keys) > 0 && len(w.answer.Ranges[0].Counts) > 0 {
		w.answer.Ranges[0] = Told{}
	}
}

// skipOfChanges leaves out one of the entries that are sent by the history alone, and says that these were all.
func skipOfChanges(_ *member, asked *Request, w *wire) {
	told := &w.answer.Ranges[0]
	if len(asked.Ranges) == 1 && asked.Ranges[0].Count > DefaultLimits.SendKeys && len(told.Counts) == 0 && len(w.answer.Keys) > 0 {
		told.Again = false
		delete(w.entries, w.answer.Keys[0])
	}
}

// randomMember holds most keys of a space, each in one of a few versions.
func randomMember(random *rand.Rand, f fault, space int) *member {
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

// missed plays one comparison by a seed and names an entry that is missed in it.
func missed(seed uint64, f fault) (key string, found bool) {
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
	l := &link{limits: Limits{MessageBytes: 900, Ranges: 8, Parts: 4, SendKeys: 2, FillKeys: 32, RecentKeys: 2}, asker: asker, answerer: answerer}
	s := NewSession(1, asker.index, Range{}, l.limits)
	var late []wire
	for !s.Done() {
		request := s.Next()
		w := l.ask(request)
		if f.tamper != nil {
			f.tamper(answerer, request, &w)
		}
		late = append(late, w)
		if random.IntN(2) == 0 { // an earlier one comes again
			again := late[random.IntN(len(late))]
			if f.misplace {
				misplaced := *again.answer
				misplaced.Number = request.Number
				again.answer = &misplaced
			}
			if l.take(s, again) != nil {
				continue // it is malformed for that request, which is lost
			}
		}
		if err := l.take(s, w); err != nil {
			panic(err)
		}
	}
	return lacks(asker, answerer.registers, Range{})
}

// Each planted fault is found by plays of random seeds in which the right code misses nothing.
func TestPlantedFaultsAreFound(t *testing.T) {
	const seeds = 400
	for _, f := range []fault{
		{name: "none"},
		{name: "a digest by the sum of versions", fingerprint: sumOfVersions},
		{name: "a split that loses the key at a bound", tamper: loseBoundaryKeys},
		{name: "a page that skips its last key", tamper: skipLastOfPage},
		{name: "a page without a place to go on from", tamper: forgetRest},
		{name: "ranges without an answer taken for done", tamper: closeUnanswered},
		{name: "the latest changes taken for all", tamper: takeRecentForAll},
		{name: "a change that the history leaves out", tamper: skipOfChanges},
		{name: "an answer taken for one to another request", misplace: true},
	} {
		found := 0
		for seed := range uint64(seeds) {
			if _, is := missed(seed, f); is {
				found++
			}
		}
		t.Logf("%s: entries missed in %d of %d plays", f.name, found, seeds)
		if (found > 0) != (f.name != "none") {
			t.Errorf("%s: entries missed in %d plays", f.name, found)
		}
	}
}
