package linear

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// execution generates the history of a single register that executes one operation after the other, each at a point in
// time between its call and its return.
type execution struct {
	random   *rand.Rand
	register Value
	history  []Operation
	now      time.Duration
}

// maxDelay is the upper limit of the time between the execution of an operation and its call or return. About ten other
// operations are executed in that time.
const maxDelay = 20

func execute(seed uint64, steps int) *execution {
	x := &execution{random: rand.New(rand.NewPCG(seed, 11))}
	for range steps {
		x.step()
	}
	return x
}

func (x *execution) step() {
	x.now += time.Duration(1 + x.random.IntN(4))
	o := Operation{
		Client: fmt.Sprint("caller", len(x.history)),
		Item:   item,
		Call:   max(0, x.now-time.Duration(x.random.IntN(maxDelay))),
		Return: x.now + time.Duration(x.random.IntN(maxDelay)),
	}
	if x.random.IntN(2) == 0 {
		o.Kind = Read
		o.Value = x.register
		if x.register.Deleted && x.random.IntN(2) == 0 {
			o.Value = Value{}
		}
	} else {
		x.write(&o)
	}
	x.history = append(x.history, o)
}

func (x *execution) write(o *Operation) {
	low := x.register.Version - min(x.register.Version, 2)
	o.Value = Value{Version: max(1, low+uint64(x.random.IntN(5))), Content: fmt.Sprint("content", x.random.IntN(3))}
	if x.random.IntN(6) == 0 {
		o.Value.Content, o.Value.Deleted = "", true
	}
	requestLost := x.random.IntN(5) == 0
	switch {
	case requestLost:
	case o.Value.Version > x.register.Version:
		x.register = o.Value
	case o.Value.Version == x.register.Version && o.Value != x.register:
		o.Outcome = Rejected
	}
	if requestLost || x.random.IntN(5) == 0 { // or the reply is lost
		o.Outcome = Unknown
		o.Return = 0
	}
}

// end returns a time after the return of all operations.
func (x *execution) end() time.Duration { return x.now + 2*maxDelay }

// unusedVersion returns a version that is higher than all that were sent.
func (x *execution) unusedVersion() (version uint64) {
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

// The executions of a single register are linearizable, regardless of how the calls overlap.
func TestExecutionsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := execute(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(0, 200).Draw(t, "steps"))
		if r, err := Check(x.history, 0); err != nil || r.Verdict != Linearizable {
			t.Fatal(r, err)
		}
	})
}

// historyFunc returns operations to be added at the end of an execution. Their versions start at an unused one.
type historyFunc func(x *execution, version uint64, at time.Duration) []Operation

// checkRejected checks that random executions are not linearizable after a violation has been added.
func checkRejected(t *testing.T, violate historyFunc) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		x := execute(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(0, 60).Draw(t, "steps"))
		history := append(violate(x, x.unusedVersion(), x.end()), x.history...)
		if v := verdict(t, history); v != NotLinearizable {
			t.Fatalf("%s: %v", v, history)
		}
	})
}

// checkAccepted checks that random executions remain linearizable after operations that resemble a violation have been
// added.
func checkAccepted(t *testing.T, extend historyFunc) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		x := execute(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(0, 60).Draw(t, "steps"))
		history := append(extend(x, x.unusedVersion(), x.end()), x.history...)
		if v := verdict(t, history); v != Linearizable {
			t.Fatalf("%s: %v", v, history)
		}
	})
}

func TestStaleRead(t *testing.T) {
	checkRejected(t, func(x *execution, version uint64, at time.Duration) []Operation {
		stale := Operation{Client: "stale", Item: item, Kind: Read, Value: x.register, Call: at + 2, Return: at + 3}
		return []Operation{write("w", version, "new", Acknowledged, at, at+1), stale}
	})
	checkAccepted(t, func(x *execution, version uint64, at time.Duration) []Operation {
		early := Operation{Client: "early", Item: item, Kind: Read, Value: x.register, Call: at + 1, Return: at + 3}
		return []Operation{write("w", version, "new", Acknowledged, at, at+1), early}
	})
}

func TestLostAcknowledgedWrite(t *testing.T) {
	checkRejected(t, func(x *execution, version uint64, at time.Duration) []Operation {
		return []Operation{
			write("lost", version+1, "new", Acknowledged, at, at+1),
			write("after", version, "old", Acknowledged, at+2, at+3),
			read("r", version, "old", at+4, at+5),
		}
	})
	checkAccepted(t, func(x *execution, version uint64, at time.Duration) []Operation {
		return []Operation{
			write("lost", version+1, "new", Unknown, at, 0),
			write("after", version, "old", Acknowledged, at+2, at+3),
			read("r", version, "old", at+4, at+5),
		}
	})
}

func TestConflictingContents(t *testing.T) {
	checkRejected(t, func(x *execution, version uint64, at time.Duration) []Operation {
		return []Operation{
			write("a", version, "X", Acknowledged, at, at+9),
			write("b", version, "Y", Acknowledged, at, at+9),
		}
	})
	checkAccepted(t, func(x *execution, version uint64, at time.Duration) []Operation {
		return []Operation{
			write("a", version, "X", Acknowledged, at, at+9),
			write("b", version, "Y", Rejected, at, at+9),
		}
	})
}

func TestResurrectedValue(t *testing.T) {
	checkRejected(t, func(x *execution, version uint64, at time.Duration) []Operation {
		return []Operation{
			write("w", version, "new", Acknowledged, at, at+1),
			remove("d", version+1, Acknowledged, at+2, at+3),
			read("r", version, "new", at+4, at+5),
		}
	})
	checkAccepted(t, func(x *execution, version uint64, at time.Duration) []Operation {
		return []Operation{
			write("w", version, "new", Acknowledged, at, at+1),
			remove("d", version+1, Acknowledged, at+2, at+3),
			read("r", 0, "", at+4, at+5),
		}
	})
}

func TestNonMonotonicReads(t *testing.T) {
	checkRejected(t, func(x *execution, version uint64, at time.Duration) []Operation {
		return []Operation{
			write("a", version, "X", Unknown, at, 0),
			write("b", version+1, "Y", Unknown, at, 0),
			read("r", version+1, "Y", at+2, at+3),
			read("s", version, "X", at+4, at+5),
		}
	})
	checkAccepted(t, func(x *execution, version uint64, at time.Duration) []Operation {
		return []Operation{
			write("a", version, "X", Unknown, at, 0),
			write("b", version+1, "Y", Unknown, at, 0),
			read("r", version+1, "Y", at+2, at+4),
			read("s", version, "X", at+4, at+5),
		}
	})
}

func TestRejectedWriteTookEffect(t *testing.T) {
	checkRejected(t, func(x *execution, version uint64, at time.Duration) []Operation {
		return []Operation{
			write("a", version, "X", Acknowledged, at, at+1),
			write("b", version+1, "Y", Rejected, at, at+9),
			read("r", version+1, "Y", at+10, at+11),
		}
	})
	checkAccepted(t, func(x *execution, version uint64, at time.Duration) []Operation {
		return []Operation{
			write("a", version, "X", Acknowledged, at, at+1),
			write("b", version, "Y", Rejected, at, at+9),
			read("r", version, "X", at+10, at+11),
		}
	})
}
