package plan

import (
	"fmt"
	"testing"
	"time"

	"sagelever/internal/control/quorum"
)

const confirm = 6 * time.Second

// An order that is sent again for as long as it may be, by an agent whose clock stands as far apart as clocks may, is the same
// order; a moment past the term it is a new one, and so it is past the term by the clock that is behind.
func TestApplyOnceAtWindowEdge(t *testing.T) {
	term, at := ResendWindow(confirm), time.UnixMilli(1_000_000)
	for _, x := range []struct {
		after, ahead time.Duration // since the order was taken, and by which this agent's clock stands before the taker's
		again        bool
	}{
		{0, 0, true}, {confirm, 0, true},
		{confirm - time.Millisecond, MaxClockSkew, true},
		{confirm, MaxClockSkew, false},
		{confirm + MaxClockSkew - time.Millisecond, 0, true},
		{confirm + MaxClockSkew, 0, false},
		{0, -MaxClockSkew, true}, {confirm, -MaxClockSkew, true},
		{confirm + 2*MaxClockSkew - time.Millisecond, -MaxClockSkew, true},
		{confirm + 2*MaxClockSkew, -MaxClockSkew, false},
	} {
		first := StartOnce("v2", time.Second, at, term)(quorum.Value{})
		ended := End(1, PhaseReverted)(first)
		next := StartOnce("v2", time.Second, at.Add(x.after).Add(x.ahead), term)(ended)
		if again := next == ended; again != x.again {
			t.Errorf("%v later by a clock %v ahead: the same order %v, want %v", x.after, x.ahead, again, x.again)
		}
	}
}

// What makes two orders of a release the same: target and time, also after others; a release under way goes on whenever the
// same is ordered.
func TestStartOnceRecognizesResends(t *testing.T) {
	term, at := ResendWindow(confirm), time.UnixMilli(1_000_000)
	v := quorum.Value{}
	begin := func(target string, over, after time.Duration, want uint64) {
		t.Helper()
		v = StartOnce(target, over, at.Add(after), term)(v)
		if r, _ := Read(v); r.Number != want {
			t.Errorf("%s over %v, %v later: release %d, want %d", target, over, after, r.Number, want)
		}
	}
	begin("v2", time.Second, 0, 1)
	begin("v2", time.Second, time.Hour, 1) // it is under way
	begin("v2", 2*time.Second, 0, 2)
	begin("v3", time.Second, 0, 3)
	begin("v2", time.Second, time.Second, 3)
	v = End(3, PhaseFinished)(v)
	begin("v3", time.Second, time.Second, 3)
	begin("v3", time.Second, term, 4)
	for i := range 3 * maxAppliedOrders {
		v = StartOnce(fmt.Sprint("w", i), time.Second, at, term)(v)
	}
	if n := len(ReadAppliedOrders(v).Orders); n != maxAppliedOrders {
		t.Errorf("%d orders are remembered, want %d", n, maxAppliedOrders)
	}
}

// A word on a zone again is the same one within the term, while it isn't known to have had its answer; after it, it is
// another.
func TestSetEvacuationOnceAtWindowEdge(t *testing.T) {
	term, at := ResendWindow(confirm), time.UnixMilli(1_000_000)
	v := SetEvacuationOnce(true, 0, at, term)(quorum.Value{})
	if again := SetEvacuationOnce(true, 0, at.Add(term-time.Millisecond), term)(v); again != v {
		t.Error("sent again within the term, it counts as another")
	}
	other := SetEvacuationOnce(true, 0, at.Add(term), term)(v)
	if c := ReadEvacuation(other.Body); c.Orders != 2 {
		t.Errorf("past the term, %d orders stand", c.Orders)
	}
	if heard := SetEvacuationOnce(true, v.Version, at.Add(time.Second), term)(v); ReadEvacuation(heard.Body).Orders != 2 {
		t.Error("known to have had its answer, it counts as the same")
	}
	old := quorum.Value{Version: 1, Body: "on"} // of a program that kept no time
	if again := SetEvacuationOnce(true, 0, at.Add(time.Hour), term)(old); again != old {
		t.Error("a word without a time counts as another")
	}
}

// Of an item's versions so many are remembered; of those before nothing is known, and orders that bring one have no clear
// answer; nor have those on an item that a program without histories wrote.
func TestCommitAfterHistoryIsTruncated(t *testing.T) {
	key := Key(KindTenants, "t")
	held := map[string]quorum.Value{}
	call := func(version uint64, body string) map[string]quorum.Value {
		return map[string]quorum.Value{key: {Version: version, Body: body}}
	}
	order := func(version uint64, body string) error {
		sent := call(version, body)
		for k, v := range Commit(sent)(held) {
			held[k] = v
		}
		return Outcome(held, sent)
	}
	const last = maxConfirmedVersions + 2
	for i := range uint64(last) {
		if err := order(2*i+2, `{}`); err != nil {
			t.Fatal(err)
		}
	}
	before := held[key]
	for version := uint64(1); version <= 2*last; version++ {
		err := order(version, `{}`)
		_, unclear := err.(*IndeterminateError)
		oldest := uint64(2*last - 2*maxConfirmedVersions)
		if unclear != (version < oldest) || err != nil && !unclear {
			t.Errorf("version %d: %v", version, err)
		}
		held[key] = before
	}
	if _, conflict := order(2*last-2, `{"homeRegions":["a"]}`).(*ConflictError); !conflict {
		t.Error("another content of a version that is remembered is no conflict")
	}
	held = call(7, `{ "homeRegions": [] }`)
	if err := order(7, `{"homeRegions":[]}`); err != nil {
		t.Errorf("the same but for white space: %v", err)
	}
	if _, unclear := order(6, `{}`).(*IndeterminateError); !unclear {
		t.Error("an item without a history is known to have had none")
	}
	if err := order(9, `{}`); err != nil {
		t.Error(err)
	}
	if err := order(8, `{}`); err != nil {
		t.Errorf("between what was remembered and what stands: %v", err)
	}
	if _, unclear := order(6, `{}`).(*IndeterminateError); !unclear {
		t.Error("what came before the first history is known")
	}
}
