package membership

import (
	"fmt"
	"testing"

	"sagelever/internal/control/quorum"
)

// members are so many, each in a zone of its own.
func members(n int) (out []Member) {
	for i := range n {
		out = append(out, Member{Node: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i), Addr: fmt.Sprint("10.0.0.", i, ":7"), DiskID: fmt.Sprint("d", i)})
	}
	return out
}

// The quorums of a set of every size meet: whoever reads from Lose+1 asks one of those that hold what was written to
// len-Lose, also when Lose of these have lost it and say so; whoever takes over asks one that holds it; of the others that
// know of a restarted member's generation one is asked, also when Lose of them are down.
func TestQuorumsMeet(t *testing.T) {
	for n := 1; n <= 12; n++ {
		for lose := range n + 2 {
			set := NewConfiguration(4, members(n), lose)
			next := set.Successor(set.Members, lose)
			write, read := n-set.MaxFailures, set.MaxFailures+1
			if set.MaxFailures < 0 || set.MaxFailures > lose || n < 2*set.MaxFailures+1 {
				t.Errorf("%d members, %d asked for: Lose is %d", n, lose, set.MaxFailures)
			}
			if set.MaxFailures < lose && n >= 2*(set.MaxFailures+1)+1 {
				t.Errorf("%d members, %d asked for: Lose is %d, and more could be borne", n, lose, set.MaxFailures)
			}
			if write+read <= n || 2*write <= n {
				t.Errorf("%d members, Lose %d: %d that hold a value and %d that are asked need not meet", n, set.MaxFailures, write, read)
			}
			if next.TakeoverQuorum() != read || write+next.TakeoverQuorum() <= n {
				t.Errorf("%d members, Lose %d: takeover from %d", n, set.MaxFailures, next.TakeoverQuorum())
			}
			if next.TakeoverQuorum() > n-set.MaxFailures {
				t.Errorf("%d members, Lose %d: takeover wants %d, and %d may be left", n, set.MaxFailures, next.TakeoverQuorum(), n-set.MaxFailures)
			}
			// What is sealed by n-Lose: of those that still promise in the epoch before there are too few for a round.
			if n-write >= read {
				t.Errorf("%d members, Lose %d: %d are not sealed, and %d promises are enough", n, set.MaxFailures, n-write, read)
			}
			checkGenerationQuorum(t, set)
		}
	}
}

func checkGenerationQuorum(t *testing.T, set Configuration) {
	others, asked := len(set.Members)-1, set.GenerationQuorum()
	if asked < 0 || asked > others-set.MaxFailures && asked > 0 {
		t.Errorf("%d members, Lose %d: %d witnesses, and %d others may be left", others+1, set.MaxFailures, asked, others-set.MaxFailures)
	}
	if half := others/2 + 1; others-set.MaxFailures >= half && 2*asked <= others {
		t.Errorf("%d members, Lose %d: %d witnesses of %d need not meet those that know", others+1, set.MaxFailures, asked, others)
	}
	if set.MaxFailures > 0 && asked == 0 {
		t.Errorf("%d members, Lose %d: nobody is asked", others+1, set.MaxFailures)
	}
}

// A majority of a set meets every other.
func TestMajority(t *testing.T) {
	for n := 1; n <= 12; n++ {
		set := NewConfiguration(1, members(n), 1)
		for k := range n + 1 {
			if set.IsMajority(k) != (k > n-k) {
				t.Errorf("%d of %d: %v", k, n, set.IsMajority(k))
			}
		}
	}
}

// A set is the same once it was the value of its register; what is none is refused.
func TestConfigurationRoundTrip(t *testing.T) {
	set := NewConfiguration(4, members(5), 2).Successor(members(6), 2)
	read, err := ParseConfiguration(set.Value())
	if err != nil || fmt.Sprint(read) != fmt.Sprint(set) {
		t.Fatalf("%+v became %+v, %v", set, read, err)
	}
	for name, v := range map[string]quorum.Value{
		"no text":             {Version: 5},
		"no object":           {Version: 5, Body: "[]"},
		"another epoch":       {Version: 6, Body: set.Value().Body},
		"no members":          {Version: 5, Body: `{"e":5,"f":1,"m":[]}`},
		"a cut off text":      {Version: 5, Body: set.Value().Body[:40]},
		"numbers for members": {Version: 5, Body: `{"e":5,"f":1,"m":[1,2]}`},
	} {
		if _, err := ParseConfiguration(v); err == nil {
			t.Errorf("%s is taken for a set", name)
		}
	}
}

// A change of the register puts the next set in the place of this one, and of no later one.
func TestReplaceWith(t *testing.T) {
	set := NewConfiguration(4, members(6), 2)
	next := set.Successor(members(5), 2)
	change := set.ReplaceWith(next)
	if got := change(set.Value()); got != next.Value() {
		t.Errorf("the set became %+v", got)
	}
	if got := change(quorum.Value{}); got != next.Value() {
		t.Errorf("nothing became %+v", got)
	}
	other := set.Successor(members(6), 2).Value()
	if got := change(other); got != other {
		t.Errorf("another next set became %+v", got)
	}
	if got := change(next.Value()); got != next.Value() {
		t.Errorf("the same next set became %+v", got)
	}
}

// The same node on another disk is another member.
func TestMemberIdentityIncludesDisk(t *testing.T) {
	set := NewConfiguration(1, members(3), 1)
	wiped := set.Members[1]
	wiped.DiskID = "other"
	moved := set.Members[1]
	moved.Addr = "10.9.9.9:7"
	if set.Contains(wiped) {
		t.Error("a member that lost its disk counts")
	}
	if !set.Contains(moved) {
		t.Error("a member at another address does not count")
	}
	if found, ok := set.Find("m1"); !ok || found != set.Members[1] {
		t.Errorf("m1 is %+v, %v", found, ok)
	}
	if _, ok := set.Find("m9"); ok {
		t.Error("m9 is found")
	}
}
