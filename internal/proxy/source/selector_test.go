package source

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sagelever/internal/control/membership"
)

var testLocality = Locality{Zone: "a1", Region: "a", RegionByZone: map[string]string{"a1": "a", "a2": "a", "b1": "b"}}

func newTestSelector(members ...membership.Member) *Selector {
	selector := NewSelector(testLocality, func() float64 { return 0.5 })
	selector.SetMembers(members)
	return selector
}

func member(zone, address string) membership.Member {
	return membership.Member{Node: address, Zone: zone, Addr: address}
}

// assertNext checks which controller is called next.
func assertNext(t *testing.T, selector *Selector, want string) {
	t.Helper()
	if got, ok := selector.Next(); !ok || got != want {
		t.Errorf("the next controller is %q (%t), want %q", got, ok, want)
	}
}

// A search calls no controller twice before all others have been called once, regardless of distances, earlier calls
// and the duration of calls. The only controller that is alive is therefore found within one round.
func TestSearchReachesEveryController(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "controllers")
		var members []membership.Member
		for i := range count {
			zone := rapid.SampledFrom([]string{"a1", "a2", "b1", ""}).Draw(t, "zone")
			members = append(members, member(zone, fmt.Sprintf("c%02d", i)))
		}
		selector := newTestSelector(members...)
		now := time.Unix(1000, 0)
		callNext := func(outcomes ...string) string {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "elapsedMs")) * time.Millisecond)
			address, ok := selector.Next()
			if !ok {
				t.Fatal("no controller to call, although no call is in progress")
			}
			selector.CallStarted(address, now)
			switch rapid.SampledFrom(outcomes).Draw(t, "outcome") {
			case "failed":
				selector.CallFailed(address, now)
			case "no quorum":
				selector.CallAnswered(address, now, now, false)
			default:
				selector.CallAnswered(address, now, now, true)
			}
			return address
		}
		for range rapid.IntRange(0, 3*count).Draw(t, "before") {
			callNext("failed", "no quorum", "answered")
		}
		called := map[string]bool{}
		for range count {
			address := callNext("failed", "no quorum")
			if called[address] {
				t.Fatalf("%s is called twice before all others have been called", address)
			}
			called[address] = true
		}
	})
}

// A search calls usable controllers first, nearest first, and then those that have failed in the order of their last
// calls.
func TestSearchOrder(t *testing.T) {
	selector := newTestSelector(member("b1", "far"), member("a2", "near"), member("a1", "own"), member("", "unknown"))
	now := time.Unix(1000, 0)
	for i, want := range []string{"own", "near", "far", "unknown"} {
		assertNext(t, selector, want)
		selector.CallStarted(want, now.Add(time.Duration(i)*time.Second))
	}
	if address, ok := selector.Next(); ok {
		t.Errorf("%s is called although calls to all controllers are in progress", address)
	}
	selector.CallFailed("near", now.Add(4*time.Second))
	selector.CallFailed("own", now.Add(5*time.Second))
	selector.CallAnswered("far", now.Add(2*time.Second), now.Add(5*time.Second), true)
	for _, want := range []string{"far", "own", "near"} {
		assertNext(t, selector, want)
		selector.CallStarted(want, now.Add(6*time.Second))
	}
}

// A controller is avoided for longer with each consecutive failure, and no longer after an answer to a later call. A
// controller without quorum is avoided for noQuorumDelay.
func TestAvoidance(t *testing.T) {
	selector := newTestSelector(member("a1", "own"), member("a2", "near"))
	now := time.Unix(1000, 0)
	assertAvoided := func(after time.Duration, want bool) {
		t.Helper()
		if _, ok := selector.Nearer("near", now.Add(after)); ok == want {
			t.Errorf("avoided %s later: %t, want %t", after, !ok, want)
		}
	}
	if first := selector.CallFailed("own", now); !first {
		t.Error("the first failure is not reported as the first")
	}
	assertAvoided(time.Second, true)
	assertAvoided(2*time.Second, false)
	if first := selector.CallOverdue("own", now); first {
		t.Error("the second consecutive failure is reported as the first")
	}
	assertAvoided(2*time.Second, true)
	selector.CallAnswered("own", now.Add(-time.Second), now, true) // the call started before the failures
	assertAvoided(time.Second, true)
	selector.CallAnswered("own", now.Add(time.Second), now.Add(2*time.Second), true)
	assertAvoided(2*time.Second, false)
	if hadQuorum := selector.CallAnswered("own", now.Add(2*time.Second), now.Add(2*time.Second), false); !hadQuorum {
		t.Error("the first answer without quorum is not reported as a loss of the quorum")
	}
	assertAvoided(2*time.Second, true)
	assertAvoided(2*time.Second+noQuorumDelay, false)
}

// Former members are removed. A seed that is no longer a member is kept, but called last.
func TestFormerMembers(t *testing.T) {
	selector := newTestSelector(member("a1", "former"), member("a1", "seed"), member("b1", "far"))
	selector.AddSeeds([]string{"seed"})
	selector.SetMembers([]membership.Member{member("b1", "far")})
	now := time.Unix(1000, 0)
	assertNext(t, selector, "far")
	selector.CallStarted("far", now)
	assertNext(t, selector, "seed")
	selector.CallStarted("seed", now)
	if address, ok := selector.Next(); ok {
		t.Errorf("the former member %s is called", address)
	}
	if selector.CallFailed("former", now) {
		t.Error("the failure of a removed controller is reported")
	}
}

// Nearer returns a nearer controller unless it is avoided or has a call in progress.
func TestNearer(t *testing.T) {
	selector := newTestSelector(member("a1", "own"), member("a2", "near"), member("b1", "far"))
	now := time.Unix(1000, 0)
	selector.CallFailed("own", now)
	for _, test := range []struct {
		from  string
		after time.Duration
		want  string
	}{
		{"far", 0, "near"},
		{"near", 0, ""},
		{"near", 2 * time.Second, "own"},
		{"own", 2 * time.Second, ""},
	} {
		nearer, ok := selector.Nearer(test.from, now.Add(test.after))
		if nearer != test.want || ok != (test.want != "") {
			t.Errorf("from %s after %s: %q (%t), want %q", test.from, test.after, nearer, ok, test.want)
		}
	}
	selector.CallStarted("near", now)
	if nearer, ok := selector.Nearer("far", now); ok {
		t.Errorf("%s is returned although a call to it is in progress", nearer)
	}
}

// The delays of a search grow with its rounds, up to a maximum.
func TestSearchDelayGrows(t *testing.T) {
	selector := newTestSelector(member("a1", "own"), member("a2", "near"))
	if first, second := selector.SearchDelay(0), selector.SearchDelay(2); second <= first {
		t.Errorf("delay %s in the first round, %s in the second", first, second)
	}
	if late := selector.SearchDelay(1000); late > searchBackoff.Max {
		t.Errorf("delay %s in a late round, want at most %s", late, searchBackoff.Max)
	}
}
