package engine

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"sagelever/internal/agent/api"
)

// scriptedPolicy is a policy that answers each event by a function.
type scriptedPolicy func(now time.Duration, event api.Event) []api.Action

func (s scriptedPolicy) Step(now time.Duration, event api.Event) []api.Action {
	return s(now, event)
}

func startEngine(t *testing.T, s scriptedPolicy, do func(api.Action)) *Engine {
	t.Helper()
	if do == nil {
		do = func(api.Action) {}
	}
	e := New(time.Now(), s, do, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go e.Run(ctx)
	return e
}

// waitForActions waits for the next actions of a transaction.
func waitForActions(x *Transaction) []api.Action {
	<-x.Ready()
	return x.Actions()
}

func TestActionsInOrder(t *testing.T) {
	done := make(chan api.Action, 2)
	e := startEngine(t, func(_ time.Duration, event api.Event) []api.Action {
		switch event := event.(type) {
		case api.TransactionAccepted:
			return []api.Action{api.LogLine{Text: "a"}, api.StartAttempt{Transaction: event.ID, Backend: 7},
				api.LogLine{Text: "b"}}
		case api.AttemptEnded:
			return []api.Action{api.DeferTransaction{Transaction: event.Transaction}}
		}
		return nil
	}, func(a api.Action) { done <- a })
	x, err := e.Begin(api.TransactionAccepted{ID: "r", Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := e.Begin(api.TransactionAccepted{ID: "r"}); err == nil {
		t.Error("a transaction that is open is accepted again")
	}
	if got := waitForActions(x); len(got) != 1 || got[0].(api.StartAttempt).Backend != 7 {
		t.Fatalf("actions %v", got)
	}
	if (<-done).(api.LogLine).Text != "a" || (<-done).(api.LogLine).Text != "b" {
		t.Error("actions out of order")
	}
	x.EndAttempt(api.AttemptEnded{Attempt: x.BeginAttempt(func() {})})
	if _, ok := waitForActions(x)[0].(api.DeferTransaction); !ok {
		t.Error("no deferral after the attempt has ended")
	}
}

// An attempt that was ordered when the transaction was already answered must still end, or the policy counts it as in
// flight.
func TestLateAttemptsEnd(t *testing.T) {
	ended := make(chan api.AttemptEnded, 2)
	e := startEngine(t, func(_ time.Duration, event api.Event) []api.Action {
		switch event := event.(type) {
		case api.TransactionAccepted:
			return []api.Action{api.StartAttempt{Transaction: event.ID}, api.StartAttempt{Transaction: event.ID}}
		case api.TransactionClosed:
			return []api.Action{api.CancelAttempt{Transaction: event.Transaction}}
		case api.AttemptEnded:
			ended <- event
		}
		return nil
	}, nil)
	x, _ := e.Begin(api.TransactionAccepted{ID: "r", Timeout: time.Second})
	<-x.Ready()
	off := make(chan bool)
	x.BeginAttempt(func() { close(off) })
	x.actions = x.actions[1:] // the first was begun, the second never taken
	x.Close()
	<-off
	if late := <-ended; late.Outcome != api.NotSent || late.Attempt != 1 || !late.TransactionDone {
		t.Errorf("the second attempt ends with %+v", late)
	}
	x.EndAttempt(api.AttemptEnded{Outcome: api.Canceled})
	if first := <-ended; !first.TransactionDone || first.Outcome != api.Canceled {
		t.Errorf("the first attempt ends with %+v", first)
	}
}

func TestPanicFailsTransaction(t *testing.T) {
	e := startEngine(t, func(_ time.Duration, event api.Event) []api.Action {
		if taken, ok := event.(api.TransactionAccepted); ok && taken.ID == "bad" {
			panic("broken")
		} else if ok {
			return []api.Action{api.DeferTransaction{Transaction: taken.ID}}
		}
		return nil
	}, nil)
	x, _ := e.Begin(api.TransactionAccepted{ID: "bad"})
	if _, ok := waitForActions(x)[0].(api.FailTransaction); !ok {
		t.Error("a transaction on which the policy panicked does not fail")
	}
	x, _ = e.Begin(api.TransactionAccepted{ID: "good"})
	if _, ok := waitForActions(x)[0].(api.DeferTransaction); !ok {
		t.Error("the policy gets no more events")
	}
}

func TestTimersInOrder(t *testing.T) {
	rung := make(chan api.TimerID, 3)
	e := startEngine(t, func(now time.Duration, event api.Event) []api.Action {
		if due, ok := event.(api.TimerFired); ok {
			rung <- due.Timer
			return nil
		}
		return []api.Action{api.SetTimer{After: 3 * time.Millisecond, Timer: 2}, api.SetTimer{Timer: 1},
			api.SetTimer{After: 3 * time.Millisecond, Timer: 3}}
	}, nil)
	e.Deliver(api.MessageReceived{})
	for want := api.TimerID(1); want <= 3; want++ {
		if got := <-rung; got != want {
			t.Errorf("timer %d, want %d", got, want)
		}
	}
}

// Nothing is left of transactions that are over, however many there were.
func TestNoTransactionLeft(t *testing.T) {
	left := make(chan [2]int, 1)
	var e *Engine
	e = startEngine(t, func(_ time.Duration, event api.Event) []api.Action {
		switch event := event.(type) {
		case api.TransactionAccepted:
			return []api.Action{api.SetTimer{}, api.StartAttempt{Transaction: event.ID}, api.StartAttempt{Transaction: event.ID}}
		case api.MessageReceived:
			left <- [2]int{len(e.transactions), len(e.timers)}
		}
		return nil
	}, nil)
	for i := range 1000 {
		x, err := e.Begin(api.TransactionAccepted{ID: api.TransactionID(rune(i + 1000))})
		if err != nil {
			t.Fatal(err)
		}
		waitForActions(x)
		no := x.BeginAttempt(func() {})
		if i%2 == 0 { // half of them end before their client leaves, half after
			x.EndAttempt(api.AttemptEnded{Attempt: no})
		}
		x.Close()
		if i%2 == 1 {
			x.EndAttempt(api.AttemptEnded{Attempt: no})
		}
		x.EndAttempt(api.AttemptEnded{Attempt: x.BeginAttempt(func() {})})
	}
	e.Deliver(api.MessageReceived{})
	if got := <-left; got[0] != 0 || got[1] > 1 {
		t.Errorf("%d transactions and %d timers are left", got[0], got[1])
	}
}
