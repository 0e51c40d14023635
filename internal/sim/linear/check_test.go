package linear

import (
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

const item = "services/flags"

func write(client string, version uint64, content string, outcome Outcome, call, ret time.Duration) Operation {
	return Operation{
		Client:  client,
		Item:    item,
		Kind:    Write,
		Value:   Value{Version: version, Content: content},
		Outcome: outcome,
		Call:    call,
		Return:  ret,
	}
}

func remove(client string, version uint64, outcome Outcome, call, ret time.Duration) Operation {
	o := write(client, version, "", outcome, call, ret)
	o.Value.Deleted = true
	return o
}

func read(client string, version uint64, content string, call, ret time.Duration) Operation {
	value := Value{Version: version, Content: content}
	return Operation{Client: client, Item: item, Kind: Read, Value: value, Call: call, Return: ret}
}

func mustCheck(t *testing.T, history ...Operation) Result {
	t.Helper()
	r, err := Check(history, 0)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

var linearizableHistories = map[string][]Operation{
	"empty":           nil,
	"read of nothing": {read("r", 0, "", 0, 1)},
	"write and read": {
		write("o", 1, "X", Acknowledged, 0, 1),
		read("r", 1, "X", 2, 3),
	},
	"reads during a write, before and after it took effect": {
		write("o", 1, "X", Acknowledged, 0, 9),
		read("r", 0, "", 1, 2),
		read("s", 1, "X", 3, 4),
	},
	"repeated write": {
		write("o", 1, "X", Acknowledged, 0, 1),
		write("p", 1, "X", Acknowledged, 2, 3),
	},
	"lower version after a higher one": {
		write("o", 2, "X", Acknowledged, 0, 1),
		write("p", 1, "Y", Acknowledged, 2, 3),
		read("r", 2, "X", 4, 5),
	},
	"conflict": {
		write("o", 1, "X", Acknowledged, 0, 1),
		write("p", 1, "Y", Rejected, 2, 3),
	},
	"conflict with a write of unknown outcome": {
		write("o", 1, "X", Unknown, 0, 0),
		write("p", 1, "Y", Rejected, 2, 3),
		read("r", 1, "X", 4, 5),
	},
	"write of unknown outcome never takes effect": {
		write("o", 1, "X", Unknown, 0, 0),
		read("r", 0, "", 2, 3),
	},
	"write of unknown outcome takes effect late": {
		write("o", 1, "X", Unknown, 0, 0),
		read("r", 0, "", 2, 3),
		read("s", 1, "X", 4, 5),
	},
	"write of unknown outcome conflicts with an acknowledged one": {
		write("o", 1, "X", Unknown, 0, 0),
		write("p", 1, "Y", Acknowledged, 2, 3),
		read("s", 1, "Y", 4, 5),
	},
	"deleted": {
		write("o", 1, "X", Acknowledged, 0, 1),
		remove("p", 2, Acknowledged, 2, 3),
		read("r", 0, "", 4, 5),
	},
	"deleted and written again": {
		remove("p", 2, Acknowledged, 2, 3),
		write("o", 3, "X", Acknowledged, 4, 5),
		read("r", 3, "X", 6, 7),
	},
	"read of unknown outcome": {
		{Client: "r", Item: item, Kind: Read, Value: Value{Version: 7}, Outcome: Unknown},
	},
	// Version 2 is either written or deleted before version 3, and the read of nothing is possible only after the
	// deletion. The configurations of the two paths differ only in operations after the first one that is not linearized.
	"deleted between two writes": {
		write("high", 9, "Z", Unknown, 0, 0),
		write("a", 1, "A", Acknowledged, 0, 1),
		remove("d", 2, Unknown, 2, 0),
		write("p", 2, "Y", Unknown, 3, 0),
		read("r", 0, "", 4, 20),
		write("o", 3, "X", Acknowledged, 4, 20),
		read("s", 3, "X", 30, 31),
	},
	"call at the moment of a return": {
		write("o", 1, "X", Acknowledged, 0, 1),
		read("r", 0, "", 1, 2),
	},
}

func TestLinearizableHistories(t *testing.T) {
	for name, history := range linearizableHistories {
		t.Run(name, func(t *testing.T) {
			if r := mustCheck(t, history...); r.Verdict != Linearizable {
				t.Error(r)
			}
		})
	}
}

var nonLinearizableHistories = map[string][]Operation{
	"read of a value that was never written": {read("r", 1, "X", 0, 1)},
	"read of a rejected write": {
		write("o", 1, "X", Acknowledged, 0, 1),
		write("p", 1, "Y", Rejected, 2, 3),
		read("r", 1, "Y", 4, 5),
	},
	"rejected without a conflict": {write("p", 1, "Y", Rejected, 2, 3)},
	"rejected with the same content": {
		write("o", 1, "X", Acknowledged, 0, 1),
		write("p", 1, "X", Rejected, 2, 3),
	},
	"rejected by a higher version": {
		write("o", 2, "X", Acknowledged, 0, 1),
		write("p", 1, "Y", Rejected, 2, 3),
	},
	"read before the write was called": {
		read("r", 1, "X", 0, 1),
		write("o", 1, "X", Acknowledged, 2, 3),
	},
	"read before the call of a write of unknown outcome": {
		read("r", 1, "X", 0, 1),
		write("o", 1, "X", Unknown, 2, 0),
	},
	"read of nothing after a write": {
		write("o", 1, "X", Acknowledged, 0, 1),
		read("r", 0, "", 2, 3),
	},
	"reads of two contents under one version": {
		write("o", 1, "X", Unknown, 0, 0),
		write("p", 1, "Y", Unknown, 0, 0),
		read("r", 1, "X", 2, 3),
		read("s", 1, "Y", 2, 3),
	},
	"write acknowledged, but another content was read": {
		write("o", 1, "X", Acknowledged, 0, 9),
		write("p", 1, "Y", Unknown, 0, 0),
		read("r", 1, "Y", 2, 3),
	},
}

func TestNonLinearizableHistories(t *testing.T) {
	for name, history := range nonLinearizableHistories {
		t.Run(name, func(t *testing.T) {
			r := mustCheck(t, history...)
			if r.Verdict != NotLinearizable || len(r.Violations) != 1 {
				t.Error(r)
			}
		})
	}
}

// A violation of one item is reported for that item only, regardless of the other items.
func TestItemsAreIndependent(t *testing.T) {
	other := read("r", 0, "", 5, 6)
	other.Item = "services/other"
	r := mustCheck(t, write("o", 1, "X", Acknowledged, 0, 1), other, read("s", 0, "", 5, 6))
	if r.Verdict != NotLinearizable || r.Items != 2 || len(r.Violations) != 1 || r.Violations[0].Item != item {
		t.Error(r)
	}
}

func TestViolationExplanation(t *testing.T) {
	r := mustCheck(t,
		write("first", 1, "X", Acknowledged, 0, 1),
		write("second", 2, "Y", Acknowledged, 2, 3),
		read("stale", 1, "X", 4, 5),
		read("fresh", 2, "Y", 6, 7))
	if r.Verdict != NotLinearizable {
		t.Fatal(r)
	}
	v := r.Violations[0]
	if v.Conflicting.Client != "stale" || len(v.Linearization) != 2 || v.Register.Version != 2 {
		t.Error(v)
	}
	for _, text := range []string{
		`conflicting operation: stale reads version 1 with "X"`,
		"first writes",
		"second writes",
		`leaves version 2 with "Y"`,
	} {
		if !strings.Contains(v.String(), text) {
			t.Errorf("%q is missing in: %s", text, v)
		}
	}
}

// A search that reaches the limit on configurations returns Undecided.
func TestUndecided(t *testing.T) {
	history := []Operation{
		write("o", 1, "X", Unknown, 0, 0),
		write("p", 2, "Y", Unknown, 0, 0),
		read("r", 2, "Y", 1, 2),
	}
	r, err := Check(history, 1)
	if err != nil || r.Verdict != Undecided || len(r.Undecided) != 1 {
		t.Error(r, err)
	}
	if r = mustCheck(t, history...); r.Verdict != Linearizable {
		t.Error(r)
	}
}

func TestInvalidHistory(t *testing.T) {
	for name, o := range map[string]Operation{
		"returned before its call": write("o", 1, "X", Acknowledged, 2, 1),
		"write without a version":  write("o", 0, "X", Acknowledged, 0, 1),
		"rejected read":            {Item: item, Kind: Read, Outcome: Rejected},
	} {
		if _, err := Check([]Operation{o}, 0); !errors.Is(err, ErrInvalidHistory) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
