package life

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"sagelever/agent"
	"sagelever/engine"
)

// scriptedPolicy is a module that answers each event by a function.
type scriptedPolicy func(event agent.Event) []agent.Action

func (s scriptedPolicy) Step(_ time.Duration, event agent.Event) []agent.Action { return s(event) }

func startEngine(t *testing.T, step scriptedPolicy) *engine.Engine {
	t.Helper()
	e := engine.New(time.Now(), step, func(agent.Action) {}, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go e.Run(ctx)
	return e
}

func respondWith(actions ...agent.Action) scriptedPolicy {
	return func(event agent.Event) []agent.Action {
		if _, ok := event.(agent.TransactionAccepted); ok {
			return actions
		}
		return nil
	}
}

// Every way in which a transaction can end gives one final answer, and frees what it holds once.
func TestOneFinalResult(t *testing.T) {
	gone := make(chan struct{})
	close(gone)
	forever := func(off context.Context, _ agent.StartAttempt) AttemptResult {
		<-off.Done()
		return AttemptResult{Outcome: agent.Canceled}
	}
	var freed atomic.Int64
	good := func(context.Context, agent.StartAttempt) AttemptResult {
		return AttemptResult{Outcome: agent.Succeeded, Response: &Response{Body: []byte("b"), Release: func() { freed.Add(1) }}}
	}
	for name, x := range map[string]struct {
		orders []agent.Action
		left   time.Duration
		gone   <-chan struct{}
		carry  func(context.Context, agent.StartAttempt) AttemptResult
		want   State
		freed  int64
	}{
		"satisfied":               {[]agent.Action{agent.StartAttempt{Transaction: "x"}}, time.Hour, nil, good, Succeeded, 1},
		"satisfied twice":         {[]agent.Action{agent.StartAttempt{Transaction: "x"}, agent.StartAttempt{Transaction: "x"}}, time.Hour, nil, good, Succeeded, 2},
		"deferred":                {[]agent.Action{agent.DeferTransaction{Transaction: "x", RetryAfter: time.Second}}, time.Hour, nil, nil, Deferred, 0},
		"deferred, then a send":   {[]agent.Action{agent.DeferTransaction{Transaction: "x"}, agent.StartAttempt{Transaction: "x"}}, time.Hour, nil, good, Deferred, 0},
		"broken off":              {[]agent.Action{agent.FailTransaction{Transaction: "x"}}, time.Hour, nil, nil, Failed, 0},
		"deferred, broken off":    {[]agent.Action{agent.DeferTransaction{Transaction: "x"}, agent.FailTransaction{Transaction: "x"}}, time.Hour, nil, nil, Deferred, 0},
		"no word of the module's": {nil, time.Millisecond, nil, nil, DeadlineExceeded, 0},
		"client left":             {[]agent.Action{agent.StartAttempt{Transaction: "x"}, agent.CancelAttempt{Transaction: "x"}}, time.Hour, gone, forever, ClientGone, 0},
	} {
		freed.Store(0)
		ended := make(chan agent.AttemptEnded, 4)
		e := startEngine(t, func(event agent.Event) []agent.Action {
			switch event := event.(type) {
			case agent.TransactionAccepted:
				return x.orders
			case agent.AttemptEnded:
				ended <- event
			}
			return nil
		})
		var given []Result
		err := Run(e, agent.TransactionAccepted{ID: "x", Timeout: x.left}, Handler{Send: x.carry, ClientGone: x.gone, Respond: func(f Result) { given = append(given, f) }})
		if err != nil || len(given) != 1 || given[0].State != x.want {
			t.Errorf("%s: %v, given %v", name, err, given)
		}
		for _, o := range x.orders {
			if _, ok := o.(agent.StartAttempt); ok {
				<-ended // each send that was ordered is reported once, carried out or not
			}
		}
		if got := freed.Load(); got != x.freed {
			t.Errorf("%s: %d answers freed, want %d", name, got, x.freed)
		}
	}
}

// When the final answer is given, all other sends have been called off already: a copy that is just about to be written
// must not go out after it.
func TestAttemptsCanceledBeforeResponse(t *testing.T) {
	e := startEngine(t, respondWith(agent.StartAttempt{Transaction: "x"}, agent.StartAttempt{Transaction: "x", Backend: 1}))
	copied := make(chan context.Context, 1)
	err := Run(e, agent.TransactionAccepted{ID: "x", Timeout: time.Hour}, Handler{
		Send: func(off context.Context, order agent.StartAttempt) AttemptResult {
			if order.Backend == 1 {
				copied <- off
				<-off.Done()
				return AttemptResult{Outcome: agent.Canceled}
			}
			copied <- <-copied // the other has begun
			return AttemptResult{Outcome: agent.Succeeded, Response: &Response{Release: func() {}}}
		},
		Respond: func(Result) {
			if off := <-copied; context.Cause(off) != ErrCanceled {
				t.Errorf("the copy goes on: %v", context.Cause(off))
			}
		}})
	if err != nil {
		t.Error(err)
	}
}

// A transaction whose id is open is not taken, and the first is not touched.
func TestDuplicateIDRejected(t *testing.T) {
	hold := make(chan struct{})
	e := startEngine(t, respondWith(agent.StartAttempt{Transaction: "x"}))
	first := make(chan Result, 1)
	began := make(chan struct{})
	go Run(e, agent.TransactionAccepted{ID: "x", Timeout: time.Hour}, Handler{Respond: func(f Result) { first <- f },
		Send: func(context.Context, agent.StartAttempt) AttemptResult {
			close(began)
			<-hold
			return AttemptResult{Outcome: agent.Succeeded, Response: &Response{Release: func() {}}}
		}})
	<-began
	if err := Run(e, agent.TransactionAccepted{ID: "x", Timeout: time.Hour}, Handler{Respond: func(Result) { t.Error("the second got an answer") }}); err == nil {
		t.Error("it was taken twice")
	}
	close(hold)
	if f := <-first; f.State != Succeeded {
		t.Errorf("the first ended %s", f.State)
	}
}

// The final answer waits for a write that is under way, and nothing is written after it.
func TestNoWriteAfterResponse(t *testing.T) {
	e := startEngine(t, respondWith(agent.StartAttempt{Transaction: "x"}, agent.StartAttempt{Transaction: "x"}))
	writing, answered, tried := make(chan bool), make(chan bool), make(chan bool, 1)
	var wrote atomic.Bool
	var sends atomic.Int64
	err := Run(e, agent.TransactionAccepted{ID: "x", Timeout: time.Minute}, Handler{Send: func(off context.Context, _ agent.StartAttempt) AttemptResult {
		if sends.Add(1) == 1 {
			<-writing // the other send is in the midst of its write
			return AttemptResult{Outcome: agent.Succeeded, Response: &Response{Release: func() {}}}
		}
		WriteGuardFrom(off).Do(func() {
			close(writing)
			<-off.Done()                      // the answer is on its way out now
			time.Sleep(10 * time.Millisecond) // for what would go wrong to show; nothing is judged by it
			wrote.Store(true)
		})
		<-answered
		tried <- WriteGuardFrom(off).Do(func() {})
		return AttemptResult{Outcome: agent.Canceled}
	}, Respond: func(Result) {
		if !wrote.Load() {
			t.Error("the answer was given in the midst of a write")
		}
		close(answered)
	}})
	if err != nil {
		t.Fatal(err)
	}
	if <-tried {
		t.Error("something was written after the answer")
	}
}
