package engine

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"sagelever/agent"
)

// scriptedPolicy is a module that answers each event by a function.
type scriptedPolicy func(now time.Duration, event agent.Event) []agent.Action

func (s scriptedPolicy) Step(now time.Duration, event agent.Event) []agent.Action {
	return s(now, event)
}

func startEngine(t *testing.T, s scriptedPolicy, do func(agent.Action)) *Engine {
	t.Helper()
	if do == nil {
		do = func(agent.Action) {}
	}
	e := New(time.Now(), s, do, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go e.Run(ctx)
	return e
}

// waitForActions waits for the next orders of a transaction.
func waitForActions(x *Transaction) []agent.Action {
	<-x.Ready()
	return x.Actions()
}

func TestOrdersComeInOrder(t *testing.T) {
	done := make(chan agent.Action, 2)
	e := startEngine(t, func(_ time.Duration, event agent.Event) []agent.Action {
		switch event := event.(type) {
		case agent.TransactionAccepted:
			return []agent.Action{agent.LogLine{Text: "a"}, agent.StartAttempt{Transaction: event.ID, Backend: 7}, agent.LogLine{Text: "b"}}
		case agent.AttemptEnded:
			return []agent.Action{agent.DeferTransaction{Transaction: event.Transaction}}
		}
		return nil
	}, func(a agent.Action) { done <- a })
	x, err := e.Begin(agent.TransactionAccepted{ID: "r", Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := e.Begin(agent.TransactionAccepted{ID: "r"}); err == nil {
		t.Error("a transaction that is open is taken again")
	}
	if got := waitForActions(x); len(got) != 1 || got[0].(agent.StartAttempt).Backend != 7 {
		t.Fatalf("orders %v", got)
	}
	if (<-done).(agent.LogLine).Text != "a" || (<-done).(agent.LogLine).Text != "b" {
		t.Error("actions out of order")
	}
	x.EndAttempt(agent.AttemptEnded{Attempt: x.BeginAttempt(func() {})})
	if _, ok := waitForActions(x)[0].(agent.DeferTransaction); !ok {
		t.Error("no deferral after the send has ended")
	}
}

// A send that was ordered when the transaction was already answered must still end, or the module counts it as out.
func TestSendsOrderedTooLateEnd(t *testing.T) {
	ended := make(chan agent.AttemptEnded, 2)
	e := startEngine(t, func(_ time.Duration, event agent.Event) []agent.Action {
		switch event := event.(type) {
		case agent.TransactionAccepted:
			return []agent.Action{agent.StartAttempt{Transaction: event.ID}, agent.StartAttempt{Transaction: event.ID}}
		case agent.TransactionClosed:
			return []agent.Action{agent.CancelAttempt{Transaction: event.Transaction}}
		case agent.AttemptEnded:
			ended <- event
		}
		return nil
	}, nil)
	x, _ := e.Begin(agent.TransactionAccepted{ID: "r", Timeout: time.Second})
	<-x.Ready()
	off := make(chan bool)
	x.BeginAttempt(func() { close(off) })
	x.actions = x.actions[1:] // the first was begun, the second never read
	x.Close()
	<-off
	if late := <-ended; late.Outcome != agent.NotSent || late.Attempt != 1 || !late.TransactionDone {
		t.Errorf("the second send ends with %+v", late)
	}
	x.EndAttempt(agent.AttemptEnded{Outcome: agent.Canceled})
	if first := <-ended; !first.TransactionDone || first.Outcome != agent.Canceled {
		t.Errorf("the first send ends with %+v", first)
	}
}

func TestPanicLeavesAnswers(t *testing.T) {
	e := startEngine(t, func(_ time.Duration, event agent.Event) []agent.Action {
		if taken, ok := event.(agent.TransactionAccepted); ok && taken.ID == "bad" {
			panic("broken")
		} else if ok {
			return []agent.Action{agent.DeferTransaction{Transaction: taken.ID}}
		}
		return nil
	}, nil)
	x, _ := e.Begin(agent.TransactionAccepted{ID: "bad"})
	if _, ok := waitForActions(x)[0].(agent.FailTransaction); !ok {
		t.Error("a transaction on which the module broke is not broken off")
	}
	x, _ = e.Begin(agent.TransactionAccepted{ID: "good"})
	if _, ok := waitForActions(x)[0].(agent.DeferTransaction); !ok {
		t.Error("the module is not asked any more")
	}
}

func TestTimersInOrder(t *testing.T) {
	rung := make(chan agent.TimerID, 3)
	e := startEngine(t, func(now time.Duration, event agent.Event) []agent.Action {
		if due, ok := event.(agent.TimerFired); ok {
			rung <- due.Timer
			return nil
		}
		return []agent.Action{agent.SetTimer{After: 3 * time.Millisecond, Timer: 2}, agent.SetTimer{Timer: 1},
			agent.SetTimer{After: 3 * time.Millisecond, Timer: 3}}
	}, nil)
	e.Deliver(agent.MessageReceived{})
	for want := agent.TimerID(1); want <= 3; want++ {
		if got := <-rung; got != want {
			t.Errorf("timer %d, want %d", got, want)
		}
	}
}

// Nothing is left of transactions that are over, however many there were.
func TestNothingLeft(t *testing.T) {
	left := make(chan [2]int, 1)
	var e *Engine
	e = startEngine(t, func(_ time.Duration, event agent.Event) []agent.Action {
		switch event := event.(type) {
		case agent.TransactionAccepted:
			return []agent.Action{agent.SetTimer{}, agent.StartAttempt{Transaction: event.ID}, agent.StartAttempt{Transaction: event.ID}}
		case agent.MessageReceived:
			left <- [2]int{len(e.transactions), len(e.timers)}
		}
		return nil
	}, nil)
	for i := range 1000 {
		x, err := e.Begin(agent.TransactionAccepted{ID: agent.TransactionID(rune(i + 1000))})
		if err != nil {
			t.Fatal(err)
		}
		waitForActions(x)
		no := x.BeginAttempt(func() {})
		if i%2 == 0 { // half of them end before their client leaves, half after
			x.EndAttempt(agent.AttemptEnded{Attempt: no})
		}
		x.Close()
		if i%2 == 1 {
			x.EndAttempt(agent.AttemptEnded{Attempt: no})
		}
		x.EndAttempt(agent.AttemptEnded{Attempt: x.BeginAttempt(func() {})})
	}
	e.Deliver(agent.MessageReceived{})
	if got := <-left; got[0] != 0 || got[1] > 1 {
		t.Errorf("%d transactions and %d timers are left", got[0], got[1])
	}
}
