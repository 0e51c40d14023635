package linear

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// execution is what a single register did, one operation after the other, and how callers saw it: each operation has its
// moment somewhere between its call and its answer.
type execution struct {
	rng     *rand.Rand
	held    Value
	history []Operation
	now     time.Duration
}

// longest is how long a call takes at most, in the moments of an execution: some ten others begin in it.
const longest = 20

func execute(seed uint64, steps int) *execution {
	x := &execution{rng: rand.New(rand.NewPCG(seed, 11))}
	for range steps {
		x.step()
	}
	return x
}

func (x *execution) step() {
	x.now += time.Duration(1 + x.rng.IntN(4))
	begin := max(0, x.now-time.Duration(x.rng.IntN(longest)))
	o := Operation{Name: fmt.Sprint("caller", len(x.history)), Item: item, Begin: begin, End: x.now + time.Duration(x.rng.IntN(longest))}
	if x.rng.IntN(2) == 0 {
		o.Kind, o.Value = Read, x.held
		if x.held.Gone && x.rng.IntN(2) == 0 {
			o.Value = Value{}
		}
	} else {
		x.write(&o)
	}
	x.history = append(x.history, o)
}

func (x *execution) write(o *Operation) {
	low := x.held.Version - min(x.held.Version, 2)
	o.Value = Value{Version: max(1, low+uint64(x.rng.IntN(5))), Content: fmt.Sprint("content", x.rng.IntN(3))}
	if x.rng.IntN(6) == 0 {
		o.Value.Content, o.Value.Gone = "", true
	}
	lost := x.rng.IntN(5) == 0 // it never arrives
	switch {
	case lost:
	case o.Value.Version > x.held.Version:
		x.held = o.Value
	case o.Value.Version == x.held.Version && o.Value != x.held:
		o.Outcome = Refused
	}
	if lost || x.rng.IntN(5) == 0 { // its answer is lost, and it may have arrived after the caller gave up
		o.Outcome, o.End = Unknown, 0
	}
}

// after is a moment when all that was called has been answered.
func (x *execution) after() time.Duration { return x.now + 2*longest }

// newest is a version above all that anybody ever sent.
func (x *execution) newest() (version uint64) {
	for _, o := range x.history {
		version = max(version, o.Value.Version)
	}
	return version + 1
}

func verdict(t *rapid.T, history []Operation) Verdict {
	r, err := Check(history, 0)
	if err != nil {
		t.Fatal(err)
	}
	return r.Verdict
}

// What a single register did is accepted, however the calls overlap.
func TestExecutionsFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := execute(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(0, 200).Draw(t, "steps"))
		if r, err := Check(x.history, 0); err != nil || r.Verdict != Linearizable {
			t.Fatal(r, err)
		}
	})
}

// plant has a violation put after each of many executions, within another one that goes on beside it.
func plant(t *testing.T, violate func(x *execution, version uint64, at time.Duration) []Operation) {
	rapid.Check(t, func(t *rapid.T) {
		x := execute(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(0, 60).Draw(t, "steps"))
		planted := violate(x, x.newest(), x.after())
		history := append(planted, x.history...)
		if v := verdict(t, history); v != Violated {
			t.Fatalf("%s: %v", v, history)
		}
	})
}

// fits has what a planted violation looks like without the fault put in the same place: it must be accepted.
func fits(t *testing.T, follow func(x *execution, version uint64, at time.Duration) []Operation) {
	rapid.Check(t, func(t *rapid.T) {
		x := execute(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(0, 60).Draw(t, "steps"))
		history := append(follow(x, x.newest(), x.after()), x.history...)
		if v := verdict(t, history); v != Linearizable {
			t.Fatalf("%s: %v", v, history)
		}
	})
}

func TestStaleRead(t *testing.T) {
	plant(t, func(x *execution, version uint64, at time.Duration) []Operation {
		stale := Operation{Name: "stale", Item: item, Kind: Read, Value: x.held, Begin: at + 2, End: at + 3}
		return []Operation{order("w", version, "new", Confirmed, at, at+1), stale}
	})
	fits(t, func(x *execution, version uint64, at time.Duration) []Operation {
		early := Operation{Name: "early", Item: item, Kind: Read, Value: x.held, Begin: at + 1, End: at + 3}
		return []Operation{order("w", version, "new", Confirmed, at, at+1), early}
	})
}

func TestLostAcknowledgedWrite(t *testing.T) {
	plant(t, func(x *execution, version uint64, at time.Duration) []Operation {
		return []Operation{
			order("lost", version+1, "new", Confirmed, at, at+1),
			order("after", version, "old", Confirmed, at+2, at+3),
			read("r", version, "old", at+4, at+5),
		}
	})
	fits(t, func(x *execution, version uint64, at time.Duration) []Operation {
		return []Operation{
			order("lost", version+1, "new", Unknown, at, 0),
			order("after", version, "old", Confirmed, at+2, at+3),
			read("r", version, "old", at+4, at+5),
		}
	})
}

func TestTwoContentsUnderOneVersion(t *testing.T) {
	plant(t, func(x *execution, version uint64, at time.Duration) []Operation {
		return []Operation{order("a", version, "X", Confirmed, at, at+9), order("b", version, "Y", Confirmed, at, at+9)}
	})
	fits(t, func(x *execution, version uint64, at time.Duration) []Operation {
		return []Operation{order("a", version, "X", Confirmed, at, at+9), order("b", version, "Y", Refused, at, at+9)}
	})
}

func TestResurrectedValue(t *testing.T) {
	plant(t, func(x *execution, version uint64, at time.Duration) []Operation {
		return []Operation{
			order("w", version, "new", Confirmed, at, at+1),
			drop("d", version+1, Confirmed, at+2, at+3),
			read("r", version, "new", at+4, at+5),
		}
	})
	fits(t, func(x *execution, version uint64, at time.Duration) []Operation {
		return []Operation{
			order("w", version, "new", Confirmed, at, at+1),
			drop("d", version+1, Confirmed, at+2, at+3),
			read("r", 0, "", at+4, at+5),
		}
	})
}

func TestReadGoingBack(t *testing.T) {
	plant(t, func(x *execution, version uint64, at time.Duration) []Operation {
		return []Operation{
			order("a", version, "X", Unknown, at, 0),
			order("b", version+1, "Y", Unknown, at, 0),
			read("r", version+1, "Y", at+2, at+3),
			read("s", version, "X", at+4, at+5),
		}
	})
	fits(t, func(x *execution, version uint64, at time.Duration) []Operation {
		return []Operation{
			order("a", version, "X", Unknown, at, 0),
			order("b", version+1, "Y", Unknown, at, 0),
			read("r", version+1, "Y", at+2, at+4),
			read("s", version, "X", at+4, at+5),
		}
	})
}

func TestRefusedTookEffect(t *testing.T) {
	plant(t, func(x *execution, version uint64, at time.Duration) []Operation {
		return []Operation{order("a", version, "X", Confirmed, at, at+1), order("b", version+1, "Y", Refused, at, at+9), read("r", version+1, "Y", at+10, at+11)}
	})
	fits(t, func(x *execution, version uint64, at time.Duration) []Operation {
		return []Operation{
			order("a", version, "X", Confirmed, at, at+1),
			order("b", version, "Y", Refused, at, at+9),
			read("r", version, "X", at+10, at+11),
		}
	})
}
