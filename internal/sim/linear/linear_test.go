package linear

import (
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

const item = "services/flags"

func order(name string, version uint64, content string, outcome Outcome, begin, end time.Duration) Operation {
	return Operation{Name: name, Item: item, Kind: Write, Value: Value{Version: version, Content: content}, Outcome: outcome, Begin: begin, End: end}
}

func drop(name string, version uint64, outcome Outcome, begin, end time.Duration) Operation {
	return Operation{Name: name, Item: item, Kind: Write, Value: Value{Version: version, Gone: true}, Outcome: outcome, Begin: begin, End: end}
}

func read(name string, version uint64, content string, begin, end time.Duration) Operation {
	return Operation{Name: name, Item: item, Kind: Read, Value: Value{Version: version, Content: content}, Begin: begin, End: end}
}

func checked(t *testing.T, history ...Operation) Result {
	t.Helper()
	r, err := Check(history, 0)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestFits(t *testing.T) {
	for name, history := range map[string][]Operation{
		"empty":                           nil,
		"read of nothing":                 {read("r", 0, "", 0, 1)},
		"an order and its read":           {order("o", 1, "X", Confirmed, 0, 1), read("r", 1, "X", 2, 3)},
		"read during an order, before it": {order("o", 1, "X", Confirmed, 0, 9), read("r", 0, "", 1, 2), read("s", 1, "X", 3, 4)},
		"the same order again":            {order("o", 1, "X", Confirmed, 0, 1), order("p", 1, "X", Confirmed, 2, 3)},
		"an older order after a newer":    {order("o", 2, "X", Confirmed, 0, 1), order("p", 1, "Y", Confirmed, 2, 3), read("r", 2, "X", 4, 5)},
		"a conflict":                      {order("o", 1, "X", Confirmed, 0, 1), order("p", 1, "Y", Refused, 2, 3)},
		"a conflict with an unclear one":  {order("o", 1, "X", Unknown, 0, 0), order("p", 1, "Y", Refused, 2, 3), read("r", 1, "X", 4, 5)},
		"an unclear one never comes":      {order("o", 1, "X", Unknown, 0, 0), read("r", 0, "", 2, 3)},
		"an unclear one comes late":       {order("o", 1, "X", Unknown, 0, 0), read("r", 0, "", 2, 3), read("s", 1, "X", 4, 5)},
		"an unclear one loses":            {order("o", 1, "X", Unknown, 0, 0), order("p", 1, "Y", Confirmed, 2, 3), read("s", 1, "Y", 4, 5)},
		"dropped":                         {order("o", 1, "X", Confirmed, 0, 1), drop("p", 2, Confirmed, 2, 3), read("r", 0, "", 4, 5)},
		"dropped and written again":       {drop("p", 2, Confirmed, 2, 3), order("o", 3, "X", Confirmed, 4, 5), read("r", 3, "X", 6, 7)},
		"a read without an answer":        {{Name: "r", Item: item, Kind: Read, Value: Value{Version: 7}, Outcome: Unknown}},
		// Two ways lead to version 3, and only that by the drop leaves a place for the read of nothing: they differ by what has its
		// place alone, after an order that has none.
		"dropped between two orders": {
			order("high", 9, "Z", Unknown, 0, 0), order("a", 1, "A", Confirmed, 0, 1), drop("d", 2, Unknown, 2, 0),
			order("p", 2, "Y", Unknown, 3, 0), read("r", 0, "", 4, 20), order("o", 3, "X", Confirmed, 4, 20), read("s", 3, "X", 30, 31),
		},
		"a moment shared by answer and call": {order("o", 1, "X", Confirmed, 0, 1), read("r", 0, "", 1, 2)},
	} {
		t.Run(name, func(t *testing.T) {
			if r := checked(t, history...); r.Verdict != Linearizable {
				t.Error(r)
			}
		})
	}
}

func TestDoesNotFit(t *testing.T) {
	for name, history := range map[string][]Operation{
		"read of what nobody wrote":         {read("r", 1, "X", 0, 1)},
		"read of a refused order":           {order("o", 1, "X", Confirmed, 0, 1), order("p", 1, "Y", Refused, 2, 3), read("r", 1, "Y", 4, 5)},
		"refused without a conflict":        {order("p", 1, "Y", Refused, 2, 3)},
		"refused for its own content":       {order("o", 1, "X", Confirmed, 0, 1), order("p", 1, "X", Refused, 2, 3)},
		"refused though a newer one stands": {order("o", 2, "X", Confirmed, 0, 1), order("p", 1, "Y", Refused, 2, 3)},
		"read before the order was called":  {read("r", 1, "X", 0, 1), order("o", 1, "X", Confirmed, 2, 3)},
		"unclear order before its call":     {read("r", 1, "X", 0, 1), order("o", 1, "X", Unknown, 2, 0)},
		"nothing after an order":            {order("o", 1, "X", Confirmed, 0, 1), read("r", 0, "", 2, 3)},
		"two reads with two contents":       {order("o", 1, "X", Unknown, 0, 0), order("p", 1, "Y", Unknown, 0, 0), read("r", 1, "X", 2, 3), read("s", 1, "Y", 2, 3)},
		"confirmed, and another was read":   {order("o", 1, "X", Confirmed, 0, 9), order("p", 1, "Y", Unknown, 0, 0), read("r", 1, "Y", 2, 3)},
	} {
		t.Run(name, func(t *testing.T) {
			r := checked(t, history...)
			if r.Verdict != Violated || len(r.Violations) != 1 {
				t.Error(r)
			}
		})
	}
}

// One item that breaks is told, and the others do not hide it.
func TestItemsApart(t *testing.T) {
	other := read("r", 0, "", 5, 6)
	other.Item = "services/other"
	r := checked(t, order("o", 1, "X", Confirmed, 0, 1), other, read("s", 0, "", 5, 6))
	if r.Verdict != Violated || r.Items != 2 || len(r.Violations) != 1 || r.Violations[0].Item != item {
		t.Error(r)
	}
}

func TestExplains(t *testing.T) {
	r := checked(t, order("ann", 1, "X", Confirmed, 0, 1), order("bob", 2, "Y", Confirmed, 2, 3), read("cid", 1, "X", 4, 5), read("dan", 2, "Y", 6, 7))
	if r.Verdict != Violated {
		t.Fatal(r)
	}
	v := r.Violations[0]
	if v.Misfit.Name != "cid" || len(v.Order) != 2 || v.Held.Version != 2 {
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
	history := []Operation{order("o", 1, "X", Unknown, 0, 0), order("p", 2, "Y", Unknown, 0, 0), read("r", 2, "Y", 1, 2)}
	r, err := Check(history, 1)
	if err != nil || r.Verdict != Undecided || len(r.Undecided) != 1 {
		t.Error(r, err)
	}
	if r = checked(t, history...); r.Verdict != Linearizable {
		t.Error(r)
	}
}

func TestNotAHistory(t *testing.T) {
	for name, o := range map[string]Operation{
		"answered before its call": order("o", 1, "X", Confirmed, 2, 1),
		"no version":               order("o", 0, "X", Confirmed, 0, 1),
		"a refused read":           {Item: item, Kind: Read, Outcome: Refused},
	} {
		if _, err := Check([]Operation{o}, 0); !errors.Is(err, ErrHistory) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
