package rangesync

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/mailru/easyjson"
	"pgregory.net/rapid"
)

// bodyBytes is what an entry takes in a message in these measurements: the key, the ballots and a value of 200 bytes.
const bodyBytes = 300

// replicaPair is two sides that hold the same keys and differ in the versions of some of them.
type replicaPair struct {
	initiator, responder *Index
	keys                 []string
	version              uint64 // the latest of any key
}

func newReplicaPair(keys int) *replicaPair {
	f := &replicaPair{initiator: NewIndex(), responder: NewIndex(), version: 1}
	for i := range keys {
		f.keys = append(f.keys, fmt.Sprintf("item/tenants/tenant-%07d", i))
	}
	order := rand.New(rand.NewPCG(1, 1)).Perm(keys)
	for _, i := range order {
		f.initiator.Set(f.keys[i], chosenFingerprint(f.keys[i], 1))
		f.responder.Set(f.keys[i], chosenFingerprint(f.keys[i], 1))
	}
	return f
}

// syncCost is what a comparison took.
type syncCost struct {
	messages        int // requests and answers
	comparisonBytes int // bytes of requests and answers without entries
	entries         int // sent
	largestMessage  int // bytes of a message with its entries
	rounds          int // one after the other, of messages that could go side by side
}

// introduceDifferences makes keys differ, spread at random. Of changes that are not recent neither side remembers that they came last.
func (f *replicaPair) introduceDifferences(keys int, recent bool, random *rand.Rand) {
	f.version++
	for _, i := range random.Perm(len(f.keys))[:keys] {
		f.responder.Set(f.keys[i], chosenFingerprint(f.keys[i], f.version))
	}
	if !recent {
		f.initiator.history, f.responder.history = history{}, history{}
	}
}

// reconcile brings the asker up to date, with so many requests under way at once.
func (f *replicaPair) reconcile(limits Limits, window int) (c syncCost) {
	answerer := Responder{Index: f.responder, Limits: limits, EntrySize: func(string) int { return bodyBytes }}
	s := NewSession(1, f.initiator, PrefixRange("item/tenants/"), limits)
	for ; !s.Done(); c.rounds++ {
		var requests []*Request
		for len(requests) < window {
			request := s.NextRequest()
			if request == nil {
				break
			}
			requests = append(requests, request)
		}
		for _, request := range requests {
			f.exchange(&answerer, s, request, &c)
		}
	}
	return c
}

func (f *replicaPair) exchange(answerer *Responder, s *Session, request *Request, c *syncCost) {
	text, _ := easyjson.Marshal(request)
	read := &Request{}
	if err := easyjson.Unmarshal(text, read); err != nil {
		panic(err)
	}
	answer, err := answerer.Respond(read)
	if err != nil {
		panic(err)
	}
	back, _ := easyjson.Marshal(answer)
	heard := &Response{}
	if err := easyjson.Unmarshal(back, heard); err != nil {
		panic(err)
	}
	c.messages += 2
	c.comparisonBytes += len(text) + len(back)
	c.entries += len(answer.Keys)
	c.largestMessage = max(c.largestMessage, len(text), len(back)+len(answer.Keys)*bodyBytes)
	for _, key := range answer.Keys {
		at, _ := f.responder.digestOf(key)
		f.initiator.Set(key, Fingerprint{at})
	}
	if err := s.HandleResponse(heard); err != nil {
		panic(err)
	}
}

// digestOf is the digest of one key.
func (x *Index) digestOf(key string) (Digest, bool) {
	s := x.Summary(Range{key, key + "\x00"})
	return s.Digest, s.Count == 1
}

// expectedLevels is how often a set is split until its parts may be sent.
func expectedLevels(keys int, limits Limits) (n int) {
	for ; keys > limits.SendThreshold; n++ {
		keys = (keys + limits.SplitParts - 1) / limits.SplitParts
	}
	return n
}

// Of n keys d differ: the messages take bytes in proportion to d log n, and rounds to log n while nothing exceeds the
// bound of a message. Equal sets take one small message each way.
func TestCostBounds(t *testing.T) {
	fleets := map[int]*replicaPair{}
	rapid.Check(t, func(t *rapid.T) {
		keys := rapid.SampledFrom([]int{1, 10, 1000, 20_000}).Draw(t, "keys")
		f := fleets[keys]
		if f == nil {
			f = newReplicaPair(keys)
			fleets[keys] = f
		}
		differences := rapid.IntRange(0, min(keys, 100)).Draw(t, "differences")
		limits := DefaultLimits
		f.introduceDifferences(differences, false, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2)))
		c := f.reconcile(limits, 1)
		again := f.reconcile(limits, 1)
		if again.messages != 2 || again.comparisonBytes > 300 || again.entries != 0 {
			t.Fatalf("equal sets: %+v", again)
		}
		const keyBytes = 23                                                                               // of a bound
		level := rangeQueryBytes + rangeResultBytes + 4*keyBytes + limits.SplitParts*(partBytes+keyBytes) // bytes for a range and its split
		deep := expectedLevels(keys, limits) + 1
		if most := 2*headerBytes + differences*deep*level + again.comparisonBytes; c.comparisonBytes > most {
			t.Fatalf("%d bytes of comparison, want %d at most: %+v", c.comparisonBytes, most, c)
		}
		if c.entries < differences || f.initiator.root.summary != f.responder.root.summary {
			t.Fatalf("%d differences: %+v", differences, c)
		}
		if c.rounds > deep {
			t.Fatalf("%d rounds, want %d at most", c.rounds, deep)
		}
		if c.entries > differences*limits.SendThreshold || c.largestMessage > limits.MaxMessageBytes {
			t.Fatalf("%+v", c)
		}
	})
}

// A member without anything is sent all in bounded messages, with little else in them.
func TestCostOfEmptyReplica(t *testing.T) {
	f := newReplicaPair(20_000)
	f.initiator = NewIndex()
	c := f.reconcile(DefaultLimits, 1)
	least := len(f.keys) * bodyBytes
	t.Logf("%+v; the entries take %d bytes", c, least)
	if c.entries != len(f.keys) || f.initiator.root.summary != f.responder.root.summary {
		t.Errorf("%d entries sent of %d", c.entries, len(f.keys))
	}
	if c.largestMessage > DefaultLimits.MaxMessageBytes || c.messages > 2*(least/DefaultLimits.MaxMessageBytes*12/10+2) || c.comparisonBytes > least/20 {
		t.Errorf("%+v", c)
	}
}

// maxRedundantEntries is how many entries may go with a split that turn out to be known.
var maxRedundantEntries = DefaultLimits.RecentKeys + DefaultLimits.SendThreshold

// What has just changed on either side is found in one round, and mostly in two where both have changes.
func TestCostOfRecentChanges(t *testing.T) {
	f := newReplicaPair(20_000)
	random := rand.New(rand.NewPCG(9, 9))
	ahead := func(index *Index, keys int) {
		f.version++
		for _, i := range random.Perm(len(f.keys))[:keys] {
			index.Set(f.keys[i], chosenFingerprint(f.keys[i], f.version))
		}
	}
	for _, x := range []struct{ asker, answerer, rounds, entries int }{{0, 5, 1, 5}, {0, 500, 1, 500}, {0, 3000, 4, 3000}, {5, 0, 1, maxRedundantEntries}, {500, 0, 1, maxRedundantEntries}, {1, 1, 2, maxRedundantEntries}} {
		ahead(f.initiator, x.asker)
		ahead(f.responder, x.answerer)
		c := f.reconcile(DefaultLimits, 1)
		t.Logf("the asker ahead by %d, the answerer by %d: %+v", x.asker, x.answerer, c)
		if c.rounds > x.rounds || c.entries > x.entries {
			t.Errorf("want %d rounds and %d entries at most", x.rounds, x.entries)
		}
		f.responder.history, f.initiator.history = history{}, history{}
		for _, key := range f.keys { // the answerer learns from the asker
			at, _ := f.initiator.digestOf(key)
			f.responder.Set(key, Fingerprint{at})
		}
	}
}

// keyCounts of the measurements; the largest is a little more than the tenants of the target.
var keyCounts = []int{1000, 100_000, 800_000}

func BenchmarkCompare(b *testing.B) {
	for _, keys := range keyCounts {
		f := newReplicaPair(keys)
		for _, differences := range []int{0, 1, 100, 1000, 10_000} {
			if differences > keys {
				continue
			}
			for _, recent := range []bool{false, true} {
				b.Run(fmt.Sprintf("keys=%d/differences=%d/recent=%v", keys, differences, recent), func(b *testing.B) {
					f.measure(b, differences, recent, DefaultLimits, 1)
				})
			}
		}
		b.Run(fmt.Sprintf("keys=%d/differences=%d/window=8", keys, min(keys, 10_000)), func(b *testing.B) {
			f.measure(b, min(keys, 10_000), false, DefaultLimits, 8)
		})
	}
}

// BenchmarkLimits is what the default limits are chosen by.
func BenchmarkLimits(b *testing.B) {
	f := newReplicaPair(800_000)
	for _, parts := range []int{8, 16, 32, 64} {
		for _, sendKeys := range []int{1, 4, 16, 64} {
			limits := DefaultLimits
			limits.SplitParts, limits.SendThreshold = parts, sendKeys
			for _, differences := range []int{1, 100, 10_000} {
				b.Run(fmt.Sprintf("parts=%d/send=%d/differences=%d", parts, sendKeys, differences), func(b *testing.B) {
					f.measure(b, differences, false, limits, 1)
				})
			}
		}
	}
}

func (f *replicaPair) measure(b *testing.B, differences int, recent bool, limits Limits, window int) {
	random := rand.New(rand.NewPCG(3, 3))
	var c syncCost
	for range b.N {
		b.StopTimer()
		f.introduceDifferences(differences, recent, random)
		b.StartTimer()
		c = f.reconcile(limits, window)
	}
	c.report(b)
}

func (c syncCost) report(b *testing.B) {
	b.ReportMetric(float64(c.messages), "messages")
	b.ReportMetric(float64(c.rounds), "rounds")
	b.ReportMetric(float64(c.comparisonBytes), "compared-B")
	b.ReportMetric(float64(c.entries), "entries")
	b.ReportMetric(float64(c.largestMessage), "largest-B")
}

// BenchmarkFill sends all to a member that holds nothing.
func BenchmarkFill(b *testing.B) {
	for _, keys := range keyCounts {
		for _, window := range []int{1, 8} {
			b.Run(fmt.Sprintf("keys=%d/window=%d", keys, window), func(b *testing.B) {
				f := newReplicaPair(keys)
				var c syncCost
				for b.Loop() {
					f.initiator = NewIndex()
					c = f.reconcile(DefaultLimits, window)
				}
				c.report(b)
			})
		}
	}
}

// BenchmarkIndexSet changes one key of many.
func BenchmarkIndexSet(b *testing.B) {
	for _, keys := range keyCounts {
		f := newReplicaPair(keys)
		random := rand.New(rand.NewPCG(4, 4))
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			version := uint64(1)
			for b.Loop() {
				version++
				key := f.keys[random.IntN(keys)]
				f.responder.Set(key, chosenFingerprint(key, version))
			}
		})
	}
}

// BenchmarkIndexRemove takes one key of many out and puts it back.
func BenchmarkIndexRemove(b *testing.B) {
	f := newReplicaPair(800_000)
	random := rand.New(rand.NewPCG(5, 5))
	for b.Loop() {
		key := f.keys[random.IntN(len(f.keys))]
		f.responder.Remove(key)
		f.responder.Set(key, chosenFingerprint(key, 1))
	}
}

// BenchmarkIndexSummary sums up a range of many keys.
func BenchmarkIndexSummary(b *testing.B) {
	f := newReplicaPair(800_000)
	random := rand.New(rand.NewPCG(6, 6))
	for b.Loop() {
		from := random.IntN(len(f.keys) - 1)
		f.responder.Summary(Range{f.keys[from], f.keys[from+1+random.IntN(len(f.keys)-from-1)]})
	}
}

// BenchmarkIndexMemory builds an index of 800,000 keys whose texts somebody else holds, as the acceptor does.
func BenchmarkIndexMemory(b *testing.B) {
	keys := newReplicaPair(800_000).keys
	for name, order := range map[string][]int{"random": rand.New(rand.NewPCG(7, 7)).Perm(len(keys)), "sorted": nil} {
		b.Run(name, func(b *testing.B) {
			var took time.Duration
			var held uint64
			for range b.N {
				before := heapAlloc()
				begun := time.Now()
				index := NewIndex()
				for i := range keys {
					if order != nil {
						i = order[i]
					}
					index.Set(keys[i], chosenFingerprint(keys[i], 1))
				}
				took = time.Since(begun)
				held = heapAlloc() - before
				runtime.KeepAlive(index)
			}
			b.ReportMetric(float64(held)/1e6, "MB")
			b.ReportMetric(float64(took.Nanoseconds())/float64(len(keys)), "ns/key")
		})
	}
}

func heapAlloc() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
