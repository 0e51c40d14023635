package linear

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// bruteForce reports whether a history is linearizable. It tries all orders of the operations with a known outcome
// together with any subset of those with an unknown one. It shares no code with the package under test.
func bruteForce(history []Operation) bool {
	return bruteForceFrom(history, make([]bool, len(history)), Value{})
}

func bruteForceFrom(history []Operation, used []bool, register Value) bool {
	done := true
	for i, o := range history {
		done = done && (used[i] || o.Outcome == Unknown)
	}
	if done {
		return true
	}
	for i, o := range history {
		if used[i] || bruteForceTooEarly(history, used, o) {
			continue
		}
		after, ok := bruteForceApply(register, o)
		if !ok {
			continue
		}
		used[i] = true
		found := bruteForceFrom(history, used, after)
		used[i] = false
		if found {
			return true
		}
	}
	return false
}

// bruteForceTooEarly reports whether another operation that is not used yet returned before o was called.
func bruteForceTooEarly(history []Operation, used []bool, o Operation) bool {
	for i, other := range history {
		if !used[i] && other.Outcome != Unknown && other.Return < o.Call {
			return true
		}
	}
	return false
}

// bruteForceApply executes an operation on a register and reports whether the outcome matches the register's reply.
func bruteForceApply(register Value, o Operation) (after Value, ok bool) {
	if o.Kind == Read {
		absent := register.Version == 0 || register.Deleted
		return register, o.Outcome == Unknown || o.Value == register || o.Value == Value{} && absent
	}
	reply := Acknowledged
	after = register
	if o.Value.Version > register.Version {
		after = o.Value
	} else if o.Value.Version == register.Version && o.Value != register {
		reply = Rejected
	}
	return after, o.Outcome == Unknown || o.Outcome == reply
}

func drawOperation(t *rapid.T, i int) Operation {
	call := time.Duration(rapid.IntRange(0, 12).Draw(t, "call"))
	o := Operation{
		Client:  fmt.Sprint("caller", i),
		Item:    item,
		Kind:    rapid.SampledFrom([]Kind{Write, Read}).Draw(t, "kind"),
		Outcome: rapid.SampledFrom([]Outcome{Acknowledged, Acknowledged, Rejected, Unknown}).Draw(t, "outcome"),
		Value: Value{
			Version: uint64(rapid.IntRange(1, 3).Draw(t, "version")),
			Content: rapid.SampledFrom([]string{"X", "Y"}).Draw(t, "content"),
		},
		Call:   call,
		Return: call + time.Duration(rapid.IntRange(0, 6).Draw(t, "takes")),
	}
	if rapid.IntRange(0, 5).Draw(t, "gone") == 0 {
		o.Value.Content, o.Value.Deleted = "", true
	}
	if o.Kind == Read && o.Outcome == Rejected {
		o.Outcome = Acknowledged
	}
	if o.Kind == Read && rapid.IntRange(0, 3).Draw(t, "absent") == 0 {
		o.Value = Value{}
	}
	return o
}

// Check and brute force agree on random small histories.
func TestAgreesWithBruteForce(t *testing.T) {
	verdicts := map[Verdict]int{}
	rapid.Check(t, func(t *rapid.T) {
		for range 50 {
			var history []Operation
			for i := range rapid.IntRange(0, 6).Draw(t, "count") {
				history = append(history, drawOperation(t, i))
			}
			want := NotLinearizable
			if bruteForce(history) {
				want = Linearizable
			}
			got := verdict(t, history)
			if got != want {
				t.Fatalf("Check: %s, brute force: %s: %v", got, want, history)
			}
			verdicts[got]++
		}
	})
	t.Logf("verdicts: %v", verdicts)
	if verdicts[Linearizable] == 0 || verdicts[NotLinearizable] == 0 {
		t.Error("one of the verdicts never occurred")
	}
}

// A long history with many writes of unknown outcome is decided within the limit on configurations.
func TestLongHistory(t *testing.T) {
	x := execute(3, 5000)
	started := time.Now()
	r, err := Check(x.history, 0)
	if err != nil || r.Verdict != Linearizable {
		t.Fatal(r, err)
	}
	t.Logf("%d operations, %d configurations, %v", r.Operations, r.Configurations, time.Since(started))
	end := x.end()
	x.history = append(x.history,
		write("w", x.unusedVersion(), "new", Acknowledged, end, end+1),
		read("r", 1, "content0", end+2, end+3))
	started = time.Now()
	if r, err = Check(x.history, 0); err != nil || r.Verdict != NotLinearizable {
		t.Fatal(r, err)
	}
	t.Logf("with a violation: %d configurations, %v\n%s", r.Configurations, time.Since(started), r)
}
