package rangesync

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// injectedFault is a defect that is injected into a reconciliation.
type injectedFault struct {
	name             string
	fingerprint      func(key string, version uint64) Fingerprint // of both sides; nil for the correct one
	tamper           func(responder *member, request *Request, reply *responseWithEntries)
	mismatchedNumber bool // responses are delivered with the number of another request
}

// fingerprintByVersion is a weak fingerprint: two registers with the versions 20 and 11 have the same digest as with
// the versions 21 and 10.
func fingerprintByVersion(_ string, version uint64) Fingerprint {
	return Fingerprint{digest: Digest{low: version}}
}

// dropSplitKeys omits the first key after each split from the summaries of the parts.
func dropSplitKeys(responder *member, request *Request, reply *responseWithEntries) {
	for i, result := range reply.response.Ranges {
		for j, splitKey := range result.SplitKeys {
			first := responder.index.Keys(Range{From: splitKey, To: request.Ranges[i].To}, 1)[0]
			fingerprint := responder.fingerprint(first, responder.registers[first].version)
			result.PartCounts[j+1]--
			result.PartDigests[j+1] = result.PartDigests[j+1].Sub(fingerprint.digest)
		}
	}
}

// skipLastEntry omits the last entry before ResumeFrom.
func skipLastEntry(_ *member, _ *Request, reply *responseWithEntries) {
	if n := len(reply.response.Ranges); reply.response.Ranges[n-1].ResumeFrom != "" {
		delete(reply.entries, reply.response.Keys[len(reply.response.Keys)-1])
	}
}

// dropUnansweredRanges marks the ranges that did not fit into the response as complete.
func dropUnansweredRanges(_ *member, request *Request, reply *responseWithEntries) {
	for len(reply.response.Ranges) < len(request.Ranges) {
		reply.response.Ranges = append(reply.response.Ranges, RangeResult{})
	}
}

// dropResumeKey marks a range as complete although only the entries at its beginning were sent.
func dropResumeKey(_ *member, _ *Request, reply *responseWithEntries) {
	for i := range reply.response.Ranges {
		reply.response.Ranges[i].ResumeFrom = ""
	}
}

// treatRecentAsComplete marks a range as complete although only the latest changes were sent.
func treatRecentAsComplete(_ *member, request *Request, reply *responseWithEntries) {
	if len(request.Ranges) == 1 && len(reply.response.Keys) > 0 && len(reply.response.Ranges[0].PartCounts) > 0 {
		reply.response.Ranges[0] = RangeResult{}
	}
}

// skipRecentChange omits one of the entries that have changed since the initiator's summary, and marks the range as
// complete.
func skipRecentChange(_ *member, request *Request, reply *responseWithEntries) {
	result := &reply.response.Ranges[0]
	fromHistory := len(request.Ranges) == 1 && request.Ranges[0].Count > DefaultLimits.SendThreshold &&
		len(result.PartCounts) == 0 && len(reply.response.Keys) > 0
	if fromHistory {
		result.Truncated = false
		delete(reply.entries, reply.response.Keys[0])
	}
}

// randomMember returns a member with most of keySpace keys, each in one of two versions.
func randomMember(random *rand.Rand, fault injectedFault, keySpace int) *member {
	m := newMember()
	if fault.fingerprint != nil {
		m.fingerprint = fault.fingerprint
	}
	for i := range keySpace {
		if random.IntN(10) > 0 {
			m.learn(fmt.Sprintf("%03d", i), register{version: uint64(10 + random.IntN(2))})
		}
	}
	return m
}

// copySome copies most registers of one member to another, some of them in a random version.
func copySome(random *rand.Rand, to, from *member) {
	for _, k := range slices.Sorted(maps.Keys(from.registers)) { // ordered, so that a seed is reproducible
		switch random.IntN(20) {
		case 0:
		case 1:
			to.learn(k, register{version: uint64(10 + random.IntN(2))})
		default:
			to.learn(k, from.registers[k])
		}
	}
}

// findMissedEntry runs one reconciliation with a fault and a seed. It returns the key of an entry that the initiator
// missed, if any.
func findMissedEntry(seed uint64, fault injectedFault) (key string, found bool) {
	random := rand.New(rand.NewPCG(seed, 1))
	l := randomLink(random, fault)
	s := NewSession(1, l.initiator.index, Range{}, l.limits)
	var earlier []responseWithEntries
	for !s.Done() {
		request := s.NextRequest()
		reply := l.respond(request)
		if fault.tamper != nil {
			fault.tamper(l.responder, request, &reply)
		}
		earlier = append(earlier, reply)
		if random.IntN(2) == 0 {
			repeated := earlier[random.IntN(len(earlier))]
			if fault.mismatchedNumber {
				mismatched := *repeated.response
				mismatched.Number = request.Number
				repeated.response = &mismatched
			}
			if l.deliver(s, repeated) != nil {
				continue // the response is malformed for the request in flight, which the session has abandoned
			}
		}
		if err := l.deliver(s, reply); err != nil {
			panic(err)
		}
	}
	return findMissingKey(l.initiator, l.responder.registers, Range{})
}

// randomLink returns a link between a responder and an initiator, which is empty, similar to the responder, or has
// missed its latest changes.
func randomLink(random *rand.Rand, fault injectedFault) *link {
	keySpace := 2 + random.IntN(200)
	responder := randomMember(random, fault, keySpace)
	initiator := randomMember(random, fault, 0)
	switch random.IntN(3) {
	case 1:
		copySome(random, initiator, responder)
	case 2:
		for _, k := range slices.Sorted(maps.Keys(responder.registers)) {
			initiator.learn(k, responder.registers[k])
		}
		for range 1 + random.IntN(40) {
			responder.learn(fmt.Sprintf("%03d", random.IntN(keySpace)), register{version: uint64(12 + random.IntN(3))})
		}
	}
	limits := Limits{
		MaxMessageBytes: 900,
		MaxRanges:       8,
		SplitParts:      4,
		SendThreshold:   2,
		FillThreshold:   32,
		RecentKeys:      2,
	}
	return &link{limits: limits, initiator: initiator, responder: responder}
}

// With each injected fault, some reconciliations miss entries. The same reconciliations miss none without a fault.
func TestInjectedFaultsAreDetected(t *testing.T) {
	const seeds = 400
	for _, fault := range []injectedFault{
		{name: "none"},
		{name: "digest by the sum of versions", fingerprint: fingerprintByVersion},
		{name: "key at a split omitted", tamper: dropSplitKeys},
		{name: "last entry of a page omitted", tamper: skipLastEntry},
		{name: "page without ResumeFrom", tamper: dropResumeKey},
		{name: "unanswered ranges completed", tamper: dropUnansweredRanges},
		{name: "latest changes treated as all entries", tamper: treatRecentAsComplete},
		{name: "change missing from the history", tamper: skipRecentChange},
		{name: "response with the number of another request", mismatchedNumber: true},
	} {
		detected := 0
		for seed := range uint64(seeds) {
			if _, found := findMissedEntry(seed, fault); found {
				detected++
			}
		}
		t.Logf("%s: entries missed in %d of %d sessions", fault.name, detected, seeds)
		if (detected > 0) != (fault.name != "none") {
			t.Errorf("%s: entries missed in %d sessions", fault.name, detected)
		}
	}
}
