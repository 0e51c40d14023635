package release

import (
	"fmt"
	"testing"
	"time"

	"sagelever/internal/control/dedup"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
)

const confirmTimeout = 6 * time.Second

// wantRelease checks the target and the phase of the release in a register.
func wantRelease(t *testing.T, value quorum.Value, target string, phase Phase) {
	t.Helper()
	if release, _ := Read(value); release.Target != target || release.Phase != phase {
		t.Errorf("release to %s is %s, want one to %s that is %s", release.Target, release.Phase, target, phase)
	}
}

// A release ends once, even if decisions are concurrent and its order is resent. A new order starts another release.
func TestOneEnd(t *testing.T) {
	now := time.Unix(1, 0)
	start := func(value quorum.Value, target string) quorum.Value {
		return StartOnce(target, 12*time.Second, now, dedup.ResendWindow(confirmTimeout))(value)
	}
	started := start(quorum.Value{}, "v2")
	if again := start(started, "v2"); again != started {
		t.Error("a resent order changed the register")
	}
	for _, decisions := range [][2]Phase{{PhaseFinished, PhaseReverted}, {PhaseReverted, PhaseFinished}} {
		ended := started
		for _, phase := range decisions {
			ended = End(1, phase)(ended)
		}
		wantRelease(t, ended, "v2", decisions[0])
		wantRelease(t, start(ended, "v2"), "v2", decisions[0]) // the order is resent late
		next := start(ended, "v3")
		wantRelease(t, End(1, PhaseFinished)(next), "v3", PhaseInService) // a decision on the previous release
	}
}

// An order is a resent one if an order with the same target and duration was applied within the window, even with
// others in between. A release in progress continues whenever it is ordered again.
func TestStartOnceRecognizesResends(t *testing.T) {
	window := dedup.ResendWindow(confirmTimeout)
	first := time.UnixMilli(1_000_000)
	value := quorum.Value{}
	start := func(target string, duration, after time.Duration, wantNumber uint64) {
		t.Helper()
		value = StartOnce(target, duration, first.Add(after), window)(value)
		if release, _ := Read(value); release.Number != wantNumber {
			t.Errorf("%s over %v, %v later: release %d, want %d", target, duration, after, release.Number, wantNumber)
		}
	}
	start("v2", time.Second, 0, 1)
	start("v2", time.Second, time.Hour, 1) // in progress
	start("v2", 2*time.Second, 0, 2)
	start("v3", time.Second, 0, 3)
	start("v2", time.Second, time.Second, 3)
	value = End(3, PhaseFinished)(value)
	start("v3", time.Second, time.Second, 3)
	start("v3", time.Second, window, 4)
	for i := range 3 * dedup.MaxAppliedOrders {
		value = StartOnce(fmt.Sprint("w", i), time.Second, first, window)(value)
	}
	if count := len(dedup.ReadAppliedOrders(value).Orders); count != dedup.MaxAppliedOrders {
		t.Errorf("%d orders are recorded, want %d", count, dedup.MaxAppliedOrders)
	}
}

func TestCountVotes(t *testing.T) {
	for _, test := range []struct {
		votes []string
		want  Phase
	}{
		{[]string{"", "", ""}, ""},
		{[]string{VoteFinish, "", ""}, ""},
		{[]string{VoteFinish, VoteFinish, ""}, PhaseFinished},
		{[]string{VoteFinish, VoteFinish, VoteRevert}, PhaseReverted},
		{nil, ""},
	} {
		tallies := []*replication.ReleaseTally{}
		for _, vote := range test.votes {
			tallies = append(tallies, &replication.ReleaseTally{ReleaseNumber: 2, Vote: vote})
		}
		tallies = append(tallies, &replication.ReleaseTally{ReleaseNumber: 1, Vote: VoteRevert})
		if got := CountVotes(2, tallies); got != test.want {
			t.Errorf("votes %q: phase %q, want %q", test.votes, got, test.want)
		}
	}
}
