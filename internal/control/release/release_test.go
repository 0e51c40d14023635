package release

import (
	"testing"
	"time"

	"sagelever/internal/control/dedup"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
)

// One release has one end, however many decisions race and however often the order comes; a new order begins anew.
func TestOneEnd(t *testing.T) {
	now := time.Unix(1, 0)
	begin := func(v quorum.Value, target string) quorum.Value {
		return StartOnce(target, 12*time.Second, now, dedup.ResendWindow(6*time.Second))(v)
	}
	v := begin(quorum.Value{}, "v2")
	if again := begin(v, "v2"); again != v {
		t.Error("a repeated order has changed something")
	}
	for _, order := range [][2]string{{PhaseFinished, PhaseReverted}, {PhaseReverted, PhaseFinished}} {
		x := v
		for _, phase := range order {
			x = End(1, phase)(x)
		}
		if r, _ := Read(x); r.Phase != order[0] {
			t.Errorf("first %s, then %s: %s", order[0], order[1], r.Phase)
		}
		if r, _ := Read(begin(x, "v2")); r.Phase != order[0] {
			t.Error("a late copy of the order has begun the release anew")
		}
		y := begin(x, "v3")
		if r, _ := Read(End(1, PhaseFinished)(y)); r.Phase != PhaseInService || r.Target != "v3" {
			t.Error("a vote on the release before has ended the new one")
		}
	}
}

func TestCountVotes(t *testing.T) {
	vote := func(words ...string) (list []*replication.ReleaseTally) {
		for _, v := range words {
			list = append(list, &replication.ReleaseTally{ReleaseNumber: 2, Vote: v})
		}
		return append(list, &replication.ReleaseTally{ReleaseNumber: 1, Vote: VoteRevert})
	}
	for _, x := range []struct {
		list []*replication.ReleaseTally
		want string
	}{
		{vote("", "", ""), ""}, {vote(VoteFinish, "", ""), ""}, {vote(VoteFinish, VoteFinish, ""), PhaseFinished}, {vote(VoteFinish, VoteFinish, VoteRevert), PhaseReverted}, {vote(), ""},
	} {
		if got := CountVotes(2, x.list); got != x.want {
			t.Errorf("%d votes: %q, want %q", len(x.list), got, x.want)
		}
	}
}
