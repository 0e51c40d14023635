package relay

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/control/replica"
	"sagelever/lore"
	"sagelever/plan"
)

// puller is the news of a relay that runs nowhere.
func puller(t *testing.T) *news {
	t.Helper()
	return run(t).news
}

// told is an answer of a member in its current form.
func told(come lore.Vector, items ...lore.Item) *replica.News {
	return &replica.News{Source: "core@2", Wire: replica.Wire, Sound: true, Agents: 3, Here: 1, Come: come, Items: items}
}

// News that lay unread while the process stood still is not taken up: neither what it says nor its moment.
func TestNewsFromBeforeAFreeze(t *testing.T) {
	n := puller(t)
	key := plan.Key(plan.Routes, "late")
	route := `{"host":"h","pathStart":"/late/","kind":"harmless","giveUp":"3s","service":"s"}`
	pull := &replica.Pull{WaitMs: 880}
	bound := 880*time.Millisecond + answerTime
	asked := time.Now()
	n.mu.Lock()
	reached, front := n.reached, n.now
	n.mu.Unlock()
	if err := n.take("frozen", pull, told(lore.Vector{"a": 9}, reg(key, 3, route)), asked, asked.Add(bound+1)); !errors.Is(err, errLate) {
		t.Fatalf("taken up: %v", err)
	}
	n.mu.Lock()
	if n.now == "frozen" || n.reached.Before(reached) || n.come["a"] != 0 {
		t.Errorf("it left its mark: %s (from %s), %v", n.now, front, n.come)
	}
	n.mu.Unlock()
	if n.r.table.Load().Find("h", "/late/1") != nil {
		t.Error("its route is in force")
	}
	if err := n.take("in time", pull, told(lore.Vector{"a": 9}, reg(key, 3, route)), asked, asked.Add(bound)); err != nil {
		t.Fatal(err)
	}
	if n.r.table.Load().Find("h", "/late/1") == nil {
		t.Error("the same in time is not taken up")
	}
}

// What a relay holds is as old as the question, not as the reading of the answer, and an answer to an earlier question does
// not make it older again.
func TestNewsIsAsOldAsItsQuestion(t *testing.T) {
	n := puller(t)
	now := time.Now().Add(time.Minute) // later than what the relay pulls meanwhile
	moment := func() time.Time { n.mu.Lock(); defer n.mu.Unlock(); return n.reached }
	for _, x := range []struct{ asked, read, want time.Duration }{
		{0, time.Second, 0},
		{500 * time.Millisecond, 600 * time.Millisecond, 500 * time.Millisecond},
		{100 * time.Millisecond, 700 * time.Millisecond, 500 * time.Millisecond}, // it was overtaken
	} {
		if err := n.take("core", &replica.Pull{}, told(lore.Vector{}), now.Add(x.asked), now.Add(x.read)); err != nil || !moment().Equal(now.Add(x.want)) {
			t.Errorf("asked at %v, read at %v: as of %v, %v", x.asked, x.read, moment().Sub(now), err)
		}
	}
}

// Answers of a member's earlier life, and those that were overtaken, take nothing back: neither an item nor how far the
// relay has come, and a claim that builds on what has been given up since is none.
func TestNewsOfAnEarlierLife(t *testing.T) {
	n := puller(t)
	now := time.Now().Add(time.Minute)
	take := func(asked lore.Vector, got *replica.News) {
		t.Helper()
		if err := n.take("core", &replica.Pull{Come: asked}, got, now, now); err != nil {
			t.Fatal(err)
		}
	}
	far := func(origin string) uint64 { n.mu.Lock(); defer n.mu.Unlock(); return n.come[origin] }
	whole := told(lore.Vector{"life2": 5})
	whole.Whole = true
	take(nil, whole)
	key := plan.Key(plan.Routes, "new")
	take(lore.Vector{"life2": 5}, told(lore.Vector{"life2": 8}, reg(key, 9, `{"host":"h","pathStart":"/nine/","kind":"harmless","giveUp":"3s","service":"s"}`)))
	take(lore.Vector{"life2": 5}, told(lore.Vector{"life1": 3, "life2": 6}, reg(key, 8, `{"host":"h","pathStart":"/eight/","kind":"harmless","giveUp":"3s","service":"s"}`)))
	if far("life2") != 8 || far("life1") != 3 {
		t.Errorf("come to %v", n.come)
	}
	if table := n.r.table.Load(); table.Find("h", "/nine/1") == nil || table.Find("h", "/eight/1") != nil {
		t.Error("it went back to an older version")
	}
	take(lore.Vector{"life2": 8, "life0": 4}, told(lore.Vector{"life0": 7, "life2": 20}))
	if far("life0") != 0 || far("life2") != 8 {
		t.Errorf("it claims what it was not told: %v", n.come)
	}
}

// A census of a member that numbers lower than in its life before is answered all the same.
func TestCensusAfterAClockWentBack(t *testing.T) {
	n := puller(t)
	for _, number := range []uint64{900, 700} {
		got := told(lore.Vector{})
		got.Count = number
		at := time.Now().Add(time.Minute)
		if err := n.take("core", &replica.Pull{}, got, at, at); err != nil {
			t.Fatal(err)
		}
		n.mu.Lock()
		if n.counted != number {
			t.Errorf("census %d: the last that was answered is %d", number, n.counted)
		}
		n.mu.Unlock()
	}
}

// Once the lease is given back no pull asks for it again.
func TestNoPullAfterTheEnd(t *testing.T) {
	n := puller(t)
	n.mu.Lock()
	addr := n.now
	n.mu.Unlock()
	n.end(context.Background())
	if _, err := n.pull(context.Background(), addr, 0); !errors.Is(err, errGivenBack) {
		t.Errorf("pulled: %v", err)
	}
}
