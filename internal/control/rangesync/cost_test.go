package rangesync

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/mailru/easyjson"
	"pgregory.net/rapid"
)

// entryBytes is the size of an entry in a message in these tests: the key, the proposal numbers and a value of 200
// bytes.
const entryBytes = 300

// replicaPair holds two replicas that have the same keys and differ in the versions of some of them.
type replicaPair struct {
	initiator *Index
	responder *Index
	keys      []string
	version   uint64 // the highest version of any key
}

func newReplicaPair(keys int) *replicaPair {
	pair := &replicaPair{initiator: NewIndex(), responder: NewIndex(), version: 1}
	for i := range keys {
		pair.keys = append(pair.keys, fmt.Sprintf("item/tenants/tenant-%07d", i))
	}
	order := rand.New(rand.NewPCG(1, 1)).Perm(keys)
	for _, i := range order {
		pair.initiator.Set(pair.keys[i], chosenFingerprint(pair.keys[i], 1))
		pair.responder.Set(pair.keys[i], chosenFingerprint(pair.keys[i], 1))
	}
	return pair
}

// syncCost is the cost of one reconciliation.
type syncCost struct {
	messages        int // requests and responses
	comparisonBytes int // size of the requests and responses without entries
	entries         int // number of entries sent
	largestMessage  int // size of the largest message with its entries, in bytes
	rounds          int // number of sequential round trips, each with all requests that can be in flight
}

// introduceDifferences changes the given number of random keys of the responder. If recent is false, it clears both
// histories afterwards.
func (pair *replicaPair) introduceDifferences(keys int, recent bool, random *rand.Rand) {
	pair.version++
	for _, i := range random.Perm(len(pair.keys))[:keys] {
		pair.responder.Set(pair.keys[i], chosenFingerprint(pair.keys[i], pair.version))
	}
	if !recent {
		pair.clearHistories()
	}
}

func (pair *replicaPair) clearHistories() {
	pair.initiator.history = history{}
	pair.responder.history = history{}
}

// reconcile brings the initiator up to date with at most window requests in flight, and returns the cost.
func (pair *replicaPair) reconcile(limits Limits, window int) (c syncCost) {
	responder := Responder{Index: pair.responder, Limits: limits, EntrySize: func(string) int { return entryBytes }}
	s := NewSession(1, pair.initiator, PrefixRange("item/tenants/"), limits)
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
			pair.exchange(&responder, s, request, &c)
		}
	}
	return c
}

// exchange sends one request and handles the response. Both messages are encoded and decoded.
func (pair *replicaPair) exchange(responder *Responder, s *Session, request *Request, c *syncCost) {
	received := &Request{}
	requestBytes := transmit(request, received)
	sent, err := responder.Respond(received)
	if err != nil {
		panic(err)
	}
	response := &Response{}
	responseBytes := transmit(sent, response)
	c.messages += 2
	c.comparisonBytes += requestBytes + responseBytes
	c.entries += len(sent.Keys)
	c.largestMessage = max(c.largestMessage, requestBytes, responseBytes+len(sent.Keys)*entryBytes)
	for _, key := range sent.Keys {
		pair.initiator.Set(key, Fingerprint{digest: pair.responder.digestOf(key)})
	}
	if err := s.HandleResponse(response); err != nil {
		panic(err)
	}
}

// transmit encodes a message and decodes it into another, and returns its size.
func transmit(message easyjson.Marshaler, into easyjson.Unmarshaler) (size int) {
	encoded, err := easyjson.Marshal(message)
	if err != nil {
		panic(err)
	}
	if err := easyjson.Unmarshal(encoded, into); err != nil {
		panic(err)
	}
	return len(encoded)
}

// digestOf returns the digest of one key.
func (x *Index) digestOf(key string) Digest {
	return x.Summary(Range{key, key + "\x00"}).Digest
}

// expectedLevels returns how often a set of the given number of keys is split until the entries of its parts are sent.
func expectedLevels(keys int, limits Limits) (levels int) {
	for ; keys > limits.SendThreshold; levels++ {
		keys = (keys + limits.SplitParts - 1) / limits.SplitParts
	}
	return levels
}

// If d of n keys differ, the size of the comparison is proportional to d log n and, as long as no message is full, the
// number of round trips is proportional to log n. Equal sets take one small message in each direction.
func TestCostBounds(t *testing.T) {
	pairs := map[int]*replicaPair{}
	rapid.Check(t, func(t *rapid.T) {
		keys := rapid.SampledFrom([]int{1, 10, 1000, 20_000}).Draw(t, "keys")
		pair := pairs[keys]
		if pair == nil {
			pair = newReplicaPair(keys)
			pairs[keys] = pair
		}
		differences := rapid.IntRange(0, min(keys, 100)).Draw(t, "differences")
		limits := DefaultLimits
		pair.introduceDifferences(differences, false, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2)))
		c := pair.reconcile(limits, 1)
		again := pair.reconcile(limits, 1)
		if again.messages != 2 || again.comparisonBytes > 300 || again.entries != 0 {
			t.Fatalf("equal sets: %+v", again)
		}
		const splitKeyBytes = 23
		splitBytes := rangeQueryBytes + rangeResultBytes + 4*splitKeyBytes + limits.SplitParts*(partBytes+splitKeyBytes)
		maxRounds := expectedLevels(keys, limits) + 1
		if limit := 2*headerBytes + differences*maxRounds*splitBytes + again.comparisonBytes; c.comparisonBytes > limit {
			t.Fatalf("%d bytes of comparison, want at most %d: %+v", c.comparisonBytes, limit, c)
		}
		if c.entries < differences || pair.initiator.root.summary != pair.responder.root.summary {
			t.Fatalf("%d differences: %+v", differences, c)
		}
		if c.rounds > maxRounds {
			t.Fatalf("%d rounds, want at most %d", c.rounds, maxRounds)
		}
		if c.entries > differences*limits.SendThreshold || c.largestMessage > limits.MaxMessageBytes {
			t.Fatalf("%+v", c)
		}
	})
}

// A replica without entries receives all of them in messages of bounded size, with little overhead.
func TestCostOfEmptyReplica(t *testing.T) {
	pair := newReplicaPair(20_000)
	pair.initiator = NewIndex()
	c := pair.reconcile(DefaultLimits, 1)
	totalBytes := len(pair.keys) * entryBytes
	t.Logf("%+v; the entries take %d bytes", c, totalBytes)
	if c.entries != len(pair.keys) || pair.initiator.root.summary != pair.responder.root.summary {
		t.Errorf("%d entries sent of %d", c.entries, len(pair.keys))
	}
	maxMessages := 2 * (totalBytes/DefaultLimits.MaxMessageBytes*12/10 + 2)
	if c.largestMessage > DefaultLimits.MaxMessageBytes || c.messages > maxMessages || c.comparisonBytes > totalBytes/20 {
		t.Errorf("%+v", c)
	}
}

// maxRedundantEntries is the maximum number of entries that are sent with a split although the initiator has them.
var maxRedundantEntries = DefaultLimits.RecentKeys + DefaultLimits.SendThreshold

// Recent changes of one side are found in one round trip if they fit into one message. A change on each side takes two
// round trips.
func TestCostOfRecentChanges(t *testing.T) {
	pair := newReplicaPair(20_000)
	random := rand.New(rand.NewPCG(9, 9))
	change := func(index *Index, keys int) {
		pair.version++
		for _, i := range random.Perm(len(pair.keys))[:keys] {
			index.Set(pair.keys[i], chosenFingerprint(pair.keys[i], pair.version))
		}
	}
	for _, test := range []struct{ initiatorChanges, responderChanges, maxRounds, maxEntries int }{
		{0, 5, 1, 5},
		{0, 500, 1, 500},
		{0, 3000, 4, 3000},
		{5, 0, 1, maxRedundantEntries},
		{500, 0, 1, maxRedundantEntries},
		{1, 1, 2, maxRedundantEntries},
	} {
		change(pair.initiator, test.initiatorChanges)
		change(pair.responder, test.responderChanges)
		c := pair.reconcile(DefaultLimits, 1)
		t.Logf("%d changes of the initiator, %d of the responder: %+v", test.initiatorChanges, test.responderChanges, c)
		if c.rounds > test.maxRounds || c.entries > test.maxEntries {
			t.Errorf("want at most %d rounds and %d entries", test.maxRounds, test.maxEntries)
		}
		pair.clearHistories()
		for _, key := range pair.keys { // make both sides equal again
			pair.responder.Set(key, Fingerprint{digest: pair.initiator.digestOf(key)})
		}
	}
}
