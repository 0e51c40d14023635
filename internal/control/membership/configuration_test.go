package membership

import (
	"fmt"
	"testing"

	"sagelever/internal/control/quorum"
)

// members returns n members, each in a different zone.
func members(n int) (members []Member) {
	for i := range n {
		members = append(members, Member{
			Node:   fmt.Sprint("m", i),
			Zone:   fmt.Sprint("z", i),
			Addr:   fmt.Sprint("10.0.0.", i, ":7"),
			DiskID: fmt.Sprint("d", i),
		})
	}
	return members
}

// In configurations of every size, these quorums intersect: prepare and accept quorums, also when MaxFailures members
// have lost their disks; the takeover quorum and the accept quorum of the previous epoch; the generation quorum and the
// members that have recorded a member's last generation.
func TestQuorumsIntersect(t *testing.T) {
	for n := 1; n <= 12; n++ {
		for maxFailures := range n + 2 {
			t.Run(fmt.Sprintf("%d members, %d failures", n, maxFailures), func(t *testing.T) {
				configuration := NewConfiguration(4, members(n), maxFailures)
				checkMaxFailures(t, configuration, maxFailures)
				checkQuorums(t, configuration)
				checkGenerationQuorum(t, configuration)
			})
		}
	}
}

// checkMaxFailures checks that MaxFailures is the requested number or, if that is too large, the largest number of
// failures that leaves a majority.
func checkMaxFailures(t *testing.T, c Configuration, requested int) {
	t.Helper()
	n := len(c.Members)
	if c.MaxFailures < 0 || c.MaxFailures > requested || n < 2*c.MaxFailures+1 {
		t.Errorf("MaxFailures is %d", c.MaxFailures)
	}
	if c.MaxFailures < requested && n >= 2*(c.MaxFailures+1)+1 {
		t.Errorf("MaxFailures is %d, but more could be tolerated", c.MaxFailures)
	}
}

func checkQuorums(t *testing.T, c Configuration) {
	t.Helper()
	n := len(c.Members)
	accept := n - c.MaxFailures
	prepare := c.MaxFailures + 1
	takeover := c.Successor(c.Members, c.MaxFailures).TakeoverQuorum()
	if accept+prepare <= n || 2*accept <= n {
		t.Errorf("accept quorum of %d and prepare quorum of %d need not intersect", accept, prepare)
	}
	if takeover != prepare || accept+takeover <= n {
		t.Errorf("wrong takeover quorum of %d", takeover)
	}
	if takeover > n-c.MaxFailures {
		t.Errorf("takeover quorum of %d, but only %d members may remain", takeover, n-c.MaxFailures)
	}
	// An accept quorum stores the next configuration and then rejects rounds of this epoch. The other members must be
	// too few to prepare a round.
	if n-accept >= prepare {
		t.Errorf("%d members accept rounds of this epoch, but %d promises suffice", n-accept, prepare)
	}
}

func checkGenerationQuorum(t *testing.T, c Configuration) {
	t.Helper()
	others := len(c.Members) - 1
	available := others - c.MaxFailures
	quorumSize := c.GenerationQuorum()
	if quorumSize < 0 || quorumSize > available && quorumSize > 0 {
		t.Errorf("generation quorum of %d, but only %d others may remain", quorumSize, available)
	}
	if majority := others/2 + 1; available >= majority && 2*quorumSize <= others {
		t.Errorf("generation quorum of %d out of %d need not intersect another", quorumSize, others)
	}
	if c.MaxFailures > 0 && quorumSize == 0 {
		t.Error("generation quorum is 0")
	}
}

// Any two majorities of a configuration intersect.
func TestIsMajority(t *testing.T) {
	for n := 1; n <= 12; n++ {
		configuration := NewConfiguration(1, members(n), 1)
		for k := range n + 1 {
			if got, want := configuration.IsMajority(k), k > n-k; got != want {
				t.Errorf("%d of %d: got %v", k, n, got)
			}
		}
	}
}

// A configuration is the same after encoding and parsing.
func TestConfigurationRoundTrip(t *testing.T) {
	configuration := NewConfiguration(4, members(5), 2).Successor(members(6), 2)
	parsed, err := ParseConfiguration(configuration.Value())
	if err != nil || fmt.Sprint(parsed) != fmt.Sprint(configuration) {
		t.Fatalf("%+v became %+v, %v", configuration, parsed, err)
	}
}

func TestParseInvalidConfiguration(t *testing.T) {
	valid := NewConfiguration(4, members(5), 2).Successor(members(6), 2).Value().Body
	for name, value := range map[string]quorum.Value{
		"no body":             {Version: 5},
		"not an object":       {Version: 5, Body: "[]"},
		"another epoch":       {Version: 6, Body: valid},
		"no members":          {Version: 5, Body: `{"e":5,"f":1,"m":[]}`},
		"truncated":           {Version: 5, Body: valid[:40]},
		"numbers for members": {Version: 5, Body: `{"e":5,"f":1,"m":[1,2]}`},
	} {
		if _, err := ParseConfiguration(value); err == nil {
			t.Errorf("%s: parsed without an error", name)
		}
	}
}

// The update replaces the configuration, but does not replace a later one.
func TestReplaceWith(t *testing.T) {
	configuration := NewConfiguration(4, members(6), 2)
	next := configuration.Successor(members(5), 2)
	other := configuration.Successor(members(6), 2)
	update := configuration.ReplaceWith(next)
	for _, test := range []struct {
		name    string
		current quorum.Value
		want    quorum.Value
	}{
		{name: "the configuration", current: configuration.Value(), want: next.Value()},
		{name: "no value", current: quorum.Value{}, want: next.Value()},
		{name: "another successor", current: other.Value(), want: other.Value()},
		{name: "the same successor", current: next.Value(), want: next.Value()},
	} {
		if got := update(test.current); got != test.want {
			t.Errorf("%s became %+v", test.name, got)
		}
	}
}

// A node is a different member with another disk, and the same member at another address.
func TestMemberIdentityIncludesDisk(t *testing.T) {
	configuration := NewConfiguration(1, members(3), 1)
	wiped := configuration.Members[1]
	wiped.DiskID = "other"
	moved := configuration.Members[1]
	moved.Addr = "10.9.9.9:7"
	if configuration.Contains(wiped) {
		t.Error("a member with another disk is contained")
	}
	if !configuration.Contains(moved) {
		t.Error("a member at another address is not contained")
	}
}

func TestFind(t *testing.T) {
	configuration := NewConfiguration(1, members(3), 1)
	if found, ok := configuration.Find("m1"); !ok || found != configuration.Members[1] {
		t.Errorf("m1: got %+v, %v", found, ok)
	}
	if _, ok := configuration.Find("m9"); ok {
		t.Error("m9 was found")
	}
}
