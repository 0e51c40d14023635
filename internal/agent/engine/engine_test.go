package engine

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"sagelever/internal/agent/api"
)

// scriptedPolicy is a Policy whose Step is the function.
type scriptedPolicy func(now time.Duration, event api.Event) []api.Action

func (s scriptedPolicy) Step(now time.Duration, event api.Event) []api.Action {
	return s(now, event)
}

func startEngine(t *testing.T, policy scriptedPolicy, execute func(api.Action)) *Engine {
	t.Helper()
	if execute == nil {
		execute = func(api.Action) {}
	}
	e := New(time.Now(), policy, execute, slog.New(slog.DiscardHandler))
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

// waitForQueuedActions waits until count actions of a transaction are queued, and leaves them in the queue. Ready may
// receive a value after the first of several actions.
func waitForQueuedActions(t *testing.T, x *Transaction, count int) {
	t.Helper()
	const waitLimit = 10 * time.Second
	deadline := time.After(waitLimit)
	for queued := 0; queued < count; {
		select {
		case <-x.Ready():
		case <-deadline:
			t.Fatalf("%d actions are queued after %v, want %d", queued, waitLimit, count)
		}
		x.mu.Lock()
		queued = len(x.actions)
		x.mu.Unlock()
	}
}

func TestActionsInOrder(t *testing.T) {
	executed := make(chan api.Action, 2)
	e := startEngine(t, func(_ time.Duration, event api.Event) []api.Action {
		switch event := event.(type) {
		case api.TransactionAccepted:
			return []api.Action{api.LogLine{Text: "a"}, api.StartAttempt{Transaction: event.ID, Backend: 7},
				api.LogLine{Text: "b"}}
		case api.AttemptEnded:
			return []api.Action{api.DeferTransaction{Transaction: event.Transaction}}
		}
		return nil
	}, func(a api.Action) { executed <- a })
	x, err := e.Begin(api.TransactionAccepted{ID: "r", Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := e.Begin(api.TransactionAccepted{ID: "r"}); err == nil {
		t.Error("an open transaction is accepted again")
	}
	if got := waitForActions(x); len(got) != 1 || got[0].(api.StartAttempt).Backend != 7 {
		t.Fatalf("actions %v", got)
	}
	if (<-executed).(api.LogLine).Text != "a" || (<-executed).(api.LogLine).Text != "b" {
		t.Error("actions out of order")
	}
	x.EndAttempt(api.AttemptEnded{Attempt: x.BeginAttempt(func() {})})
	if _, ok := waitForActions(x)[0].(api.DeferTransaction); !ok {
		t.Error("no deferral after the attempt ended")
	}
}

// An attempt that the policy requested after the transaction was answered must still end. Otherwise the policy counts
// it as in flight forever.
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
	waitForQueuedActions(t, x, 2)
	canceled := make(chan bool)
	x.BeginAttempt(func() { close(canceled) })
	x.mu.Lock()
	x.actions = x.actions[1:] // the first attempt has begun, the second has not
	x.mu.Unlock()
	x.Close()
	<-canceled
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
		t.Error("no failure after the policy panicked on the transaction")
	}
	x, _ = e.Begin(api.TransactionAccepted{ID: "good"})
	if _, ok := waitForActions(x)[0].(api.DeferTransaction); !ok {
		t.Error("no answer to the transaction after the panic")
	}
}

func TestTimersInOrder(t *testing.T) {
	fired := make(chan api.TimerID, 3)
	e := startEngine(t, func(now time.Duration, event api.Event) []api.Action {
		if due, ok := event.(api.TimerFired); ok {
			fired <- due.Timer
			return nil
		}
		return []api.Action{api.SetTimer{After: 3 * time.Millisecond, Timer: 2}, api.SetTimer{Timer: 1},
			api.SetTimer{After: 3 * time.Millisecond, Timer: 3}}
	}, nil)
	e.Deliver(api.MessageReceived{})
	for want := api.TimerID(1); want <= 3; want++ {
		if got := <-fired; got != want {
			t.Errorf("timer %d, want %d", got, want)
		}
	}
}

// The engine retains no state of closed transactions.
func TestNoTransactionLeft(t *testing.T) {
	remaining := make(chan [2]int, 1)
	var e *Engine
	e = startEngine(t, func(_ time.Duration, event api.Event) []api.Action {
		switch event := event.(type) {
		case api.TransactionAccepted:
			return []api.Action{api.SetTimer{}, api.StartAttempt{Transaction: event.ID}, api.StartAttempt{Transaction: event.ID}}
		case api.MessageReceived:
			remaining <- [2]int{len(e.transactions), len(e.timers)}
		}
		return nil
	}, nil)
	for i := range 1000 {
		x, err := e.Begin(api.TransactionAccepted{ID: api.TransactionID(rune(i + 1000))})
		if err != nil {
			t.Fatal(err)
		}
		waitForActions(x)
		number := x.BeginAttempt(func() {})
		if i%2 == 0 { // half of the attempts end before the transaction is closed, half after
			x.EndAttempt(api.AttemptEnded{Attempt: number})
		}
		x.Close()
		if i%2 == 1 {
			x.EndAttempt(api.AttemptEnded{Attempt: number})
		}
		x.EndAttempt(api.AttemptEnded{Attempt: x.BeginAttempt(func() {})})
	}
	e.Deliver(api.MessageReceived{})
	if got := <-remaining; got[0] != 0 || got[1] > 1 {
		t.Errorf("%d transactions and %d timers remain", got[0], got[1])
	}
}
