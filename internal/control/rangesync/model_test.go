package rangesync

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"pgregory.net/rapid"
)

// register is the content of a register in the model. A higher version replaces a lower one.
type register struct {
	version uint64
	body    string
}

// member is one replica of the model: registers and their index.
type member struct {
	registers   map[string]register
	index       *Index
	fingerprint func(key string, version uint64) Fingerprint
}

func chosenFingerprint(key string, version uint64) Fingerprint {
	return NewFingerprint(key, RegisterState{Chosen: true, Version: version})
}

func newMember() *member {
	return &member{registers: map[string]register{}, index: NewIndex(), fingerprint: chosenFingerprint}
}

// learn stores a register, as a controller does, unless the member has the same or a higher version.
func (m *member) learn(key string, r register) {
	if current, ok := m.registers[key]; ok && current.version >= r.version {
		return
	}
	m.registers[key] = r
	m.index.Set(key, m.fingerprint(key, r.version))
}

// responseWithEntries is a response and the entries that are sent with it.
type responseWithEntries struct {
	response *Response
	entries  map[string]register
}

// link connects an initiator with a responder, and measures their messages.
type link struct {
	limits          Limits
	initiator       *member
	responder       *member
	requests        int
	entries         int // number of entries sent
	largestRequest  int // in bytes
	largestResponse int // in bytes, with its entries
}

// entryOverhead is the size of an entry of the model in a message without its key and body, in bytes.
const entryOverhead = 40

func entrySize(key string, r register) int {
	return jsonStringSize(key) + jsonStringSize(r.body) + entryOverhead
}

// respond returns the responder's reply to a request. Both messages are encoded and decoded.
func (l *link) respond(request *Request) responseWithEntries {
	received := &Request{}
	requestBytes := transmit(request, received)
	l.requests++
	l.largestRequest = max(l.largestRequest, requestBytes)
	responder := Responder{
		Index:     l.responder.index,
		Limits:    l.limits,
		EntrySize: func(key string) int { return entrySize(key, l.responder.registers[key]) },
	}
	sent, err := responder.Respond(received)
	if err != nil {
		panic(err)
	}
	reply := responseWithEntries{response: &Response{}, entries: map[string]register{}}
	responseBytes := transmit(sent, reply.response)
	reply.response.Keys = sent.Keys
	for _, key := range sent.Keys {
		reply.entries[key] = l.responder.registers[key]
		responseBytes += entrySize(key, reply.entries[key])
	}
	l.entries += len(sent.Keys)
	l.largestResponse = max(l.largestResponse, responseBytes)
	return reply
}

// deliver passes a response and its entries to the initiator.
func (l *link) deliver(s *Session, reply responseWithEntries) error {
	for key, r := range reply.entries {
		l.initiator.learn(key, r)
	}
	return s.HandleResponse(reply.response)
}

// reconcile runs a session to its end with one request in flight at a time.
func (l *link) reconcile(id uint64, r Range) {
	s := NewSession(id, l.initiator.index, r, l.limits)
	for !s.Done() {
		if err := l.deliver(s, l.respond(s.NextRequest())); err != nil {
			panic(err)
		}
	}
}

// findMissingKey returns a key of a range for which the initiator lacks the expected version, if any.
func findMissingKey(initiator *member, expected map[string]register, r Range) (key string, found bool) {
	for key, value := range expected {
		if r.Contains(key) && initiator.registers[key].version < value.version {
			return key, true
		}
	}
	return "", false
}

// keyGen draws keys that share prefixes, are prefixes of one another, and contain characters that JSON escapes.
var keyGen = rapid.Custom(func(t *rapid.T) string {
	const alphabet = "ab/0é\"<\u2028\U0010FFFF"
	letters := []rune(alphabet)
	n := rapid.IntRange(0, 6).Draw(t, "length")
	var key strings.Builder
	for range n {
		key.WriteRune(rapid.SampledFrom(letters).Draw(t, "letter"))
	}
	return key.String()
})

var limitsGen = rapid.Custom(func(t *rapid.T) Limits {
	return Limits{
		MaxMessageBytes: rapid.IntRange(headerBytes+600, 4000).Draw(t, "bytes"),
		MaxRanges:       rapid.IntRange(1, 20).Draw(t, "ranges"),
		SplitParts:      rapid.IntRange(2, 16).Draw(t, "parts"),
		SendThreshold:   rapid.IntRange(1, 8).Draw(t, "send"),
		FillThreshold:   rapid.IntRange(1, 64).Draw(t, "fill"),
		RecentKeys:      rapid.IntRange(0, 8).Draw(t, "recent"),
	}
})

var rangeGen = rapid.Custom(func(t *rapid.T) Range {
	switch rapid.IntRange(0, 3).Draw(t, "which") {
	case 0:
		return Range{}
	case 1:
		return PrefixRange("a/b")
	}
	return PrefixRange(keyGen.Draw(t, "prefix"))
})

// drawKeys draws the keys that the two replicas may have: a few keys of keyGen, and up to limit random ones.
func drawKeys(t *rapid.T, limit int) []string {
	keys := rapid.SliceOfNDistinct(keyGen, 1, 20, rapid.ID[string]).Draw(t, "keys")
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed of keys"), 0))
	for range rapid.IntRange(0, limit).Draw(t, "random keys") {
		keys = append(keys, fmt.Sprintf("a/%c%d", 'a'+rune(random.IntN(3)), random.IntN(10*limit)))
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// drawReplicas draws two members. Each has a random share of the keys, and a random share of the responder's registers
// are equal on both.
func drawReplicas(t *rapid.T, keys []string) (initiator, responder *member) {
	initiator, responder = newMember(), newMember()
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed of registers"), 0))
	presentPercent := rapid.IntRange(0, 100).Draw(t, "percent present")
	equalPercent := rapid.IntRange(0, 100).Draw(t, "percent equal")
	learnRandom := func(m *member, key string) {
		m.learn(key, register{version: 1 + random.Uint64N(9), body: strings.Repeat("x", random.IntN(30))})
	}
	for _, key := range keys {
		if random.IntN(100) < presentPercent {
			learnRandom(responder, key)
		}
		if r, ok := responder.registers[key]; ok && random.IntN(100) < equalPercent {
			initiator.learn(key, r)
		} else if random.IntN(100) < presentPercent {
			learnRandom(initiator, key)
		}
	}
	for range rapid.IntRange(0, 60).Draw(t, "later changes") { // changes that the initiator has missed
		key := keys[random.IntN(len(keys))]
		responder.learn(key, register{version: 10 + random.Uint64N(3), body: "later"})
	}
	return initiator, responder
}

// changeRegister passes a random version of a register to a member, which ignores it unless it is higher than its own.
func changeRegister(t *rapid.T, m *member, key string) {
	version := rapid.Uint64Range(1, 12).Draw(t, "version")
	bodySize := rapid.IntRange(0, 30).Draw(t, "body")
	m.learn(key, register{version: version, body: strings.Repeat("x", bodySize)})
}
