package linear

import (
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

const item = "services/flags"

func write(name string, version uint64, content string, outcome Outcome, begin, end time.Duration) Operation {
	return Operation{Client: name, Item: item, Kind: Write, Value: Value{Version: version, Content: content}, Outcome: outcome, Call: begin, Return: end}
}

func remove(name string, version uint64, outcome Outcome, begin, end time.Duration) Operation {
	return Operation{Client: name, Item: item, Kind: Write, Value: Value{Version: version, Deleted: true}, Outcome: outcome, Call: begin, Return: end}
}

func read(name string, version uint64, content string, begin, end time.Duration) Operation {
	return Operation{Client: name, Item: item, Kind: Read, Value: Value{Version: version, Content: content}, Call: begin, Return: end}
}

func mustCheck(t *testing.T, history ...Operation) Result {
	t.Helper()
	r, err := Check(history, 0)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestLinearizableHistories(t *testing.T) {
	for name, history := range map[string][]Operation{
		"empty":                           nil,
		"read of nothing":                 {read("r", 0, "", 0, 1)},
		"an order and its read":           {write("o", 1, "X", Acknowledged, 0, 1), read("r", 1, "X", 2, 3)},
		"read during an order, before it": {write("o", 1, "X", Acknowledged, 0, 9), read("r", 0, "", 1, 2), read("s", 1, "X", 3, 4)},
		"the same order again":            {write("o", 1, "X", Acknowledged, 0, 1), write("p", 1, "X", Acknowledged, 2, 3)},
		"an older order after a newer":    {write("o", 2, "X", Acknowledged, 0, 1), write("p", 1, "Y", Acknowledged, 2, 3), read("r", 2, "X", 4, 5)},
		"a conflict":                      {write("o", 1, "X", Acknowledged, 0, 1), write("p", 1, "Y", Rejected, 2, 3)},
		"a conflict with an unclear one":  {write("o", 1, "X", Unknown, 0, 0), write("p", 1, "Y", Rejected, 2, 3), read("r", 1, "X", 4, 5)},
		"an unclear one never comes":      {write("o", 1, "X", Unknown, 0, 0), read("r", 0, "", 2, 3)},
		"an unclear one comes late":       {write("o", 1, "X", Unknown, 0, 0), read("r", 0, "", 2, 3), read("s", 1, "X", 4, 5)},
		"an unclear one loses":            {write("o", 1, "X", Unknown, 0, 0), write("p", 1, "Y", Acknowledged, 2, 3), read("s", 1, "Y", 4, 5)},
		"dropped":                         {write("o", 1, "X", Acknowledged, 0, 1), remove("p", 2, Acknowledged, 2, 3), read("r", 0, "", 4, 5)},
		"dropped and written again":       {remove("p", 2, Acknowledged, 2, 3), write("o", 3, "X", Acknowledged, 4, 5), read("r", 3, "X", 6, 7)},
		"a read without an answer":        {{Client: "r", Item: item, Kind: Read, Value: Value{Version: 7}, Outcome: Unknown}},
		// Two ways lead to version 3, and only that by the drop leaves a place for the read of nothing: they differ by what has its
		// place alone, after an order that has none.
		"dropped between two orders": {
			write("high", 9, "Z", Unknown, 0, 0), write("a", 1, "A", Acknowledged, 0, 1), remove("d", 2, Unknown, 2, 0),
			write("p", 2, "Y", Unknown, 3, 0), read("r", 0, "", 4, 20), write("o", 3, "X", Acknowledged, 4, 20), read("s", 3, "X", 30, 31),
		},
		"a moment shared by answer and call": {write("o", 1, "X", Acknowledged, 0, 1), read("r", 0, "", 1, 2)},
	} {
		t.Run(name, func(t *testing.T) {
			if r := mustCheck(t, history...); r.Verdict != Linearizable {
				t.Error(r)
			}
		})
	}
}

func TestNonLinearizableHistories(t *testing.T) {
	for name, history := range map[string][]Operation{
		"read of what nobody wrote":         {read("r", 1, "X", 0, 1)},
		"read of a refused order":           {write("o", 1, "X", Acknowledged, 0, 1), write("p", 1, "Y", Rejected, 2, 3), read("r", 1, "Y", 4, 5)},
		"refused without a conflict":        {write("p", 1, "Y", Rejected, 2, 3)},
		"refused for its own content":       {write("o", 1, "X", Acknowledged, 0, 1), write("p", 1, "X", Rejected, 2, 3)},
		"refused though a newer one stands": {write("o", 2, "X", Acknowledged, 0, 1), write("p", 1, "Y", Rejected, 2, 3)},
		"read before the order was called":  {read("r", 1, "X", 0, 1), write("o", 1, "X", Acknowledged, 2, 3)},
		"unclear order before its call":     {read("r", 1, "X", 0, 1), write("o", 1, "X", Unknown, 2, 0)},
		"nothing after an order":            {write("o", 1, "X", Acknowledged, 0, 1), read("r", 0, "", 2, 3)},
		"two reads with two contents":       {write("o", 1, "X", Unknown, 0, 0), write("p", 1, "Y", Unknown, 0, 0), read("r", 1, "X", 2, 3), read("s", 1, "Y", 2, 3)},
		"confirmed, and another was read":   {write("o", 1, "X", Acknowledged, 0, 9), write("p", 1, "Y", Unknown, 0, 0), read("r", 1, "Y", 2, 3)},
	} {
		t.Run(name, func(t *testing.T) {
			r := mustCheck(t, history...)
			if r.Verdict != NotLinearizable || len(r.Violations) != 1 {
				t.Error(r)
			}
		})
	}
}

// One item that breaks is told, and the others do not hide it.
func TestItemsAreIndependent(t *testing.T) {
	other := read("r", 0, "", 5, 6)
	other.Item = "services/other"
	r := mustCheck(t, write("o", 1, "X", Acknowledged, 0, 1), other, read("s", 0, "", 5, 6))
	if r.Verdict != NotLinearizable || r.Items != 2 || len(r.Violations) != 1 || r.Violations[0].Item != item {
		t.Error(r)
	}
}

func TestViolationExplanation(t *testing.T) {
	r := mustCheck(t, write("ann", 1, "X", Acknowledged, 0, 1), write("bob", 2, "Y", Acknowledged, 2, 3), read("cid", 1, "X", 4, 5), read("dan", 2, "Y", 6, 7))
	if r.Verdict != NotLinearizable {
		t.Fatal(r)
	}
	v := r.Violations[0]
	if v.Conflicting.Client != "cid" || len(v.Linearization) != 2 || v.Register.Version != 2 {
		t.Error(v)
	}
	for _, text := range []string{`does not fit: cid reads version 1 with "X"`, "ann orders", "bob orders", `leaves version 2 with "Y"`} {
		if !strings.Contains(v.String(), text) {
			t.Errorf("%q is not in: %s", text, v)
		}
	}
}

// The bound is told as such, and passes for neither verdict.
func TestUndecided(t *testing.T) {
	history := []Operation{write("o", 1, "X", Unknown, 0, 0), write("p", 2, "Y", Unknown, 0, 0), read("r", 2, "Y", 1, 2)}
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
		"answered before its call": write("o", 1, "X", Acknowledged, 2, 1),
		"no version":               write("o", 0, "X", Acknowledged, 0, 1),
		"a refused read":           {Item: item, Kind: Read, Outcome: Rejected},
	} {
		if _, err := Check([]Operation{o}, 0); !errors.Is(err, ErrInvalidHistory) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
