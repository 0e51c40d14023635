package rangesync

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/mailru/easyjson"
	"pgregory.net/rapid"
)

// register is what a member of the model holds under a key: the later version wins.
type register struct {
	version uint64
	body    string
}

// member is a side of the model: registers and their index.
type member struct {
	registers   map[string]register
	index       *Index
	fingerprint func(key string, version uint64) Fingerprint
}

func chosen(key string, version uint64) Fingerprint {
	return FingerprintOf(key, State{Chosen: true, Version: version})
}

func newMember() *member {
	return &member{registers: map[string]register{}, index: NewIndex(), fingerprint: chosen}
}

// learn takes up a register unless a later version is held, as the members of the core do.
func (m *member) learn(key string, r register) {
	if held, ok := m.registers[key]; ok && held.version >= r.version {
		return
	}
	m.registers[key] = r
	m.index.Set(key, m.fingerprint(key, r.version))
}

// wire is a message of the model: an answer with the entries that belong to it.
type wire struct {
	answer  *Answer
	entries map[string]register
}

// link counts what goes to and fro.
type link struct {
	limits        Limits
	requests      int
	bytes         int // of requests and answers without entries
	entries       int // sent
	entryBytes    int
	largestAnswer int // with its entries
	largestAsk    int
	asker         *member
	answerer      *member
	tamper        func(*wire) // a planted fault of the answerer
}

func entrySize(key string, r register) int { return textSize(key) + textSize(r.body) + 40 }

// ask has the answerer answer a request, with both messages brought to bytes and back.
func (l *link) ask(request *Request) wire {
	text, err := easyjson.Marshal(request)
	if err != nil {
		panic(err)
	}
	l.requests++
	l.bytes += len(text)
	l.largestAsk = max(l.largestAsk, len(text))
	read := &Request{}
	if err := easyjson.Unmarshal(text, read); err != nil {
		panic(err)
	}
	answerer := Answerer{Index: l.answerer.index, Limits: l.limits, Size: func(key string) int { return entrySize(key, l.answerer.registers[key]) }}
	answer, err := answerer.Answer(read)
	if err != nil {
		panic(err)
	}
	text, err = easyjson.Marshal(answer)
	if err != nil {
		panic(err)
	}
	w := wire{answer: &Answer{}, entries: map[string]register{}}
	if err := easyjson.Unmarshal(text, w.answer); err != nil {
		panic(err)
	}
	size := len(text)
	for _, key := range answer.Keys {
		w.entries[key] = l.answerer.registers[key]
		size += entrySize(key, w.entries[key])
		l.entryBytes += entrySize(key, w.entries[key])
	}
	l.entries += len(answer.Keys)
	l.bytes += len(text)
	l.largestAnswer = max(l.largestAnswer, size)
	w.answer.Keys = answer.Keys
	if l.tamper != nil {
		l.tamper(&w)
	}
	return w
}

// take hands an answer to the asker.
func (l *link) take(s *Session, w wire) error {
	for key, r := range w.entries {
		l.asker.learn(key, r)
	}
	return s.Answered(w.answer)
}

// run compares to the end, one request at a time.
func (l *link) run(id uint64, r Range) {
	s := NewSession(id, l.asker.index, r, l.limits)
	for !s.Done() {
		if err := l.take(s, l.ask(s.Next())); err != nil {
			panic(err)
		}
	}
}

// lacks names a key in a range of which the asker holds less than the answerer did.
func lacks(asker *member, had map[string]register, r Range) (string, bool) {
	for key, value := range had {
		if r.Contains(key) && asker.registers[key].version < value.version {
			return key, true
		}
	}
	return "", false
}

// keyGen draws keys that share beginnings, are beginnings of one another, and hold what JSON escapes.
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
		MessageBytes: rapid.IntRange(headText+600, 4000).Draw(t, "bytes"),
		Ranges:       rapid.IntRange(1, 20).Draw(t, "ranges"),
		Parts:        rapid.IntRange(2, 16).Draw(t, "parts"),
		SendKeys:     rapid.IntRange(1, 8).Draw(t, "send"),
		FillKeys:     rapid.IntRange(1, 64).Draw(t, "fill"),
	}
})

func drawMember(t *rapid.T, keys []string, name string) *member {
	m := newMember()
	for _, key := range rapid.SliceOf(rapid.SampledFrom(keys)).Draw(t, name) {
		change(t, m, key)
	}
	return m
}

func change(t *rapid.T, m *member, key string) {
	m.learn(key, register{rapid.Uint64Range(1, 9).Draw(t, "version"), strings.Repeat("x", rapid.IntRange(0, 30).Draw(t, "body"))})
}

var rangeGen = rapid.Custom(func(t *rapid.T) Range {
	if rapid.Bool().Draw(t, "whole") {
		return Range{}
	}
	return Prefix(keyGen.Draw(t, "prefix"))
})

// Whatever both hold, the asker afterwards holds all that the answerer held in the range; messages keep their bound.
func TestAskerLearnsAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := rapid.SliceOfNDistinct(keyGen, 1, 200, rapid.ID[string]).Draw(t, "keys")
		l := &link{limits: limitsGen.Draw(t, "limits"), asker: drawMember(t, keys, "asker"), answerer: drawMember(t, keys, "answerer")}
		r := rangeGen.Draw(t, "range")
		l.run(1, r)
		if key, found := lacks(l.asker, l.answerer.registers, r); found {
			t.Fatalf("%q is not learned", key)
		}
		if l.largestAnswer > l.limits.MessageBytes || l.largestAsk > l.limits.MessageBytes {
			t.Fatalf("an answer of %d bytes, a request of %d; the bound is %d", l.largestAnswer, l.largestAsk, l.limits.MessageBytes)
		}
	})
}

// An entry that the answerer holds unchanged from the beginning to the end of a comparison is never missed, while both
// sides change, and answers come late, twice, out of order or not at all. When the changes end, the comparison does.
func TestNothingMissedAmidChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := rapid.SliceOfNDistinct(keyGen, 1, 100, rapid.ID[string]).Draw(t, "keys")
		l := &link{limits: limitsGen.Draw(t, "limits"), asker: drawMember(t, keys, "asker"), answerer: drawMember(t, keys, "answerer")}
		r := rangeGen.Draw(t, "range")
		unchanged := maps.Clone(l.answerer.registers)
		s := NewSession(1, l.asker.index, r, l.limits)
		var sent []*Request
		var answers []wire
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "which") }
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			if s.Done() {
				break
			}
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				if q := s.Next(); q != nil {
					sent = append(sent, q)
				}
			case 2:
				if len(sent) > 0 { // also one that was answered before
					answers = append(answers, l.ask(sent[pick(len(sent))]))
				}
			case 3:
				if len(answers) > 0 { // also one that was taken before
					if err := l.take(s, answers[pick(len(answers))]); err != nil {
						t.Fatal(err)
					}
				}
			case 4:
				if len(sent) > 0 {
					s.Lost(sent[pick(len(sent))].Number)
				}
			case 5:
				key := rapid.SampledFrom(keys).Draw(t, "key")
				was := l.answerer.registers[key]
				change(t, l.answerer, key)
				if l.answerer.registers[key] != was {
					delete(unchanged, key)
				}
			case 6:
				change(t, l.asker, rapid.SampledFrom(keys).Draw(t, "key"))
			}
		}
		for rounds := 0; !s.Done(); rounds++ {
			if rounds > 1000 {
				t.Fatal("no end")
			}
			if q := s.Next(); q != nil {
				sent = append(sent, q)
			}
			for _, q := range sent {
				if err := l.take(s, l.ask(q)); err != nil {
					t.Fatal(err)
				}
			}
			sent = nil
			for number := range s.waiting {
				s.Lost(number)
			}
		}
		if key, found := lacks(l.asker, unchanged, r); found {
			t.Fatalf("%q was there all the while and is missed", key)
		}
	})
}

// The index says the same as a plain map, and its tree keeps its form.
func TestIndexAsAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, 0))
		space := rapid.IntRange(1, 5000).Draw(t, "space")
		index, plain := NewIndex(), map[string]Fingerprint{}
		for phase := range rapid.IntRange(1, 4).Draw(t, "phases") {
			removing := rapid.IntRange(0, 100).Draw(t, "removing")
			for range 3000 {
				key := fmt.Sprintf("%04d", random.IntN(space))
				if random.IntN(100) < removing {
					index.Remove(key)
					delete(plain, key)
					continue
				}
				f := chosen(key, uint64(phase))
				index.Set(key, f)
				plain[key] = f
			}
			checkTree(t, index.root, true, "", "")
			compareIndex(t, index, plain, Range{})
			for range 5 {
				a, b := fmt.Sprintf("%04d", random.IntN(space)), fmt.Sprintf("%04d", random.IntN(space))
				if a != b {
					compareIndex(t, index, plain, Range{min(a, b), max(a, b)})
				}
			}
		}
	})
}

func compareIndex(t *rapid.T, index *Index, plain map[string]Fingerprint, r Range) {
	var want Summary
	var keys []string
	for key, f := range plain {
		if r.Contains(key) {
			want = want.plus(Summary{1, f.digest})
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	if got := index.Summary(r); got != want {
		t.Fatalf("%v: %v, want %v", r, got, want)
	}
	if got := index.Keys(r, len(plain)+1); !slices.Equal(got, keys) {
		t.Fatalf("%v: keys %v, want %v", r, got, keys)
	}
	before := index.root.before(r.From).Count
	for i, key := range keys {
		if got := index.root.at(before + i); got != key {
			t.Fatalf("at %d: %q, want %q", before+i, got, key)
		}
	}
}

// checkTree checks order, sums and sizes of nodes below one whose keys lie from low on and before high.
func checkTree(t *rapid.T, n *node, root bool, low, high string) {
	if n.size() > mostInNode || !root && n.size() < leastInNode {
		t.Fatalf("a node of %d", n.size())
	}
	if n.summary != n.sumUp() {
		t.Fatal("a wrong sum")
	}
	for i, e := range n.entries {
		if e.key < low || high != "" && e.key >= high || i > 0 && n.entries[i-1].key >= e.key {
			t.Fatalf("%q between %q and %q", e.key, low, high)
		}
	}
	for i, c := range n.children {
		from, to := low, high
		if i > 0 {
			from = c.least
		}
		if i+1 < len(n.children) {
			to = n.children[i+1].least
		}
		checkTree(t, c, false, from, to)
	}
}
