package cluster

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
)

func smallOptions(t *testing.T, seed uint64) Options {
	return Options{Proxies: 6, Backends: 8, Seed: seed, Load: 0.6, MeanWork: 50 * time.Millisecond, DrainTime: time.Second, WarmUp: 300 * time.Millisecond, ShutdownGrace: 1500 * time.Millisecond, HeartbeatInterval: 400 * time.Millisecond,
		ArrivalBound: 700 * time.Millisecond, // the bound aimed at is 300 ms; a machine that builds and tests other things at once is not held to it
		Dir:          t.TempDir(), Logger: zap.NewNop()}
}

// Every backend leaves and returns once, in each way there is, and then all of a service at once with a zone, the nodes and
// a steward: nothing is lost, doubled, late or cut.
func TestEveryBackendDrains(t *testing.T) {
	t.Parallel()
	r, err := RunDrain(context.Background(), smallOptions(t, 1), time.Second, true)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Check(); err != nil || r.Drained.Removals != 8 || r.Stress.Removals < 4 || r.Drained.Served < r.Drained.Requests*9/10 {
		t.Errorf("%v\n%v", err, r)
	}
}

// The ledger finds each fault that is planted in a whole system.
func TestPlantedFaultsAreDetected(t *testing.T) {
	t.Parallel()
	for fault, word := range map[Fault]string{FaultSkipRun: "lost", FaultRunTwice: "doubled", FaultAbortRun: "cut", FaultStrayRequest: "late_after_notice"} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			o := smallOptions(t, 2)
			o.Backends, o.Fault, o.ArrivalBound = 4, fault, 200*time.Millisecond
			r, err := RunDrain(context.Background(), o, 500*time.Millisecond, false)
			if err != nil {
				t.Fatal(err)
			}
			if err := r.Check(); err == nil || strings.Contains(err.Error(), word+"=0") {
				t.Errorf("%v\n%v", err, r)
			}
		})
	}
}

// What each kind of history counts as.
func TestLedger(t *testing.T) {
	begun := time.Unix(1_800_000_000, 0)
	at := func(ms int) time.Time { return begun.Add(time.Duration(ms) * time.Millisecond) }
	good := func(l *Ledger, id string) {
		l.AttemptStarted(id, id+"-0", "k", true, begun)
		l.RunCompleted(id+"-0", 10*time.Millisecond)
		l.AttemptEnded(id+"-0", 200, true, true, true)
		l.OperationEnded(id, at(30))
	}
	for want, plant := range map[string]func(l *Ledger){
		"": func(*Ledger) {},
		"lost=1": func(l *Ledger) {
			l.AttemptStarted("b", "b-0", "k", false, begun)
			l.AttemptEnded("b-0", 200, true, true, true)
		},
		"doubled=1":  func(l *Ledger) { l.RunCompleted("a-0", 0) },
		"doubled=1 ": func(l *Ledger) { l.AttemptStarted("a", "a-1", "k", true, begun); l.RunCompleted("a-1", 0) }, // by another try
		"doubled=1  ": func(l *Ledger) {
			l.AttemptStarted("b", "b-0", "k", true, begun)
			l.RunCompleted("b-0", 0)
			l.AttemptEnded("b-0", 503, true, true, true)
		},
		"cut=1": func(l *Ledger) { l.AttemptStarted("b", "b-0", "k", false, begun); l.RunAborted("b-0") },
		"dropped=1": func(l *Ledger) {
			l.AttemptStarted("b", "b-0", "k", false, begun)
			l.AttemptEnded("b-0", 0, false, false, true)
		},
		"mixed=1": func(l *Ledger) {
			l.AttemptStarted("b", "b-0", "k", false, begun)
			l.AttemptEnded("b-0", 200, true, false, true)
		},
		"late_after_notice=1": func(l *Ledger) {
			l.RemovalAcknowledged("app", "emptying", at(0))
			l.RequestArrived("app", at(300), 300*time.Millisecond)
			l.RequestArrived("app", at(301), 300*time.Millisecond)
			l.BackendReturned("app", at(400))
			l.RequestArrived("app", at(500), 300*time.Millisecond)
		},
	} {
		l := NewLedger()
		good(l, "a")
		plant(l)
		f := l.Summarize(begun, time.Time{})
		err := f.Check()
		if want == "" && (err != nil || f.Kinds["k"].WaitP99 != 20*time.Millisecond) || want != "" && (err == nil || !strings.Contains(err.Error(), strings.TrimSpace(want))) {
			t.Errorf("%q: %v, %v", want, err, f)
		}
		if k := f.Kinds["k"]; (k.Violations > 0) != (want != "" && !strings.HasPrefix(want, "late")) || k.Requests != f.Requests {
			t.Errorf("%q: by kind %+v", want, k)
		}
		if strings.HasPrefix(want, "late") && f.LastArrivalMax != 301*time.Millisecond {
			t.Errorf("the last arrival: %v", f.LastArrivalMax)
		}
	}
	if (Summary{}).Check() == nil {
		t.Error("nothing was served, and it passes")
	}
}

// A delayed link takes its time both ways, keeps the order and tells the end.
func TestDelayed(t *testing.T) {
	a, b := net.Pipe()
	go func() {
		buf := make([]byte, 64)
		n, _ := io.ReadAtLeast(b, buf, 4)
		fmt.Fprintf(b, "got %s", buf[:n])
		b.Close()
	}()
	const way = 20 * time.Millisecond
	d := WithDelay(a, way)
	defer d.Close()
	begun := time.Now()
	io.WriteString(d, "on")
	io.WriteString(d, "ce")
	got, err := io.ReadAll(d)
	if err != nil || string(got) != "got once" || time.Since(begun) < 2*way {
		t.Errorf("%q %v after %v", got, err, time.Since(begun))
	}
}
