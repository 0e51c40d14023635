package transaction

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/engine"
)

// scriptedPolicy is a policy that answers each event by a function.
type scriptedPolicy func(event api.Event) []api.Action

func (s scriptedPolicy) Step(_ time.Duration, event api.Event) []api.Action { return s(event) }

func startEngine(t *testing.T, step scriptedPolicy) *engine.Engine {
	t.Helper()
	e := engine.New(time.Now(), step, func(api.Action) {}, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go e.Run(ctx)
	return e
}

func respondWith(actions ...api.Action) scriptedPolicy {
	return func(event api.Event) []api.Action {
		if _, ok := event.(api.TransactionAccepted); ok {
			return actions
		}
		return nil
	}
}

// Every way in which a transaction can end gives one final answer, and releases each response once.
func TestOneFinalResult(t *testing.T) {
	gone := make(chan struct{})
	close(gone)
	forever := func(off context.Context, _ api.StartAttempt) AttemptResult {
		<-off.Done()
		return AttemptResult{Outcome: api.Canceled}
	}
	var freed atomic.Int64
	good := func(context.Context, api.StartAttempt) AttemptResult {
		return AttemptResult{Outcome: api.Succeeded, Response: &Response{Body: []byte("b"), Release: func() { freed.Add(1) }}}
	}
	for name, x := range map[string]struct {
		orders []api.Action
		left   time.Duration
		gone   <-chan struct{}
		carry  func(context.Context, api.StartAttempt) AttemptResult
		want   State
		freed  int64
	}{
		"satisfied": {[]api.Action{api.StartAttempt{Transaction: "x"}}, time.Hour, nil, good, Succeeded, 1},
		"satisfied twice": {[]api.Action{api.StartAttempt{Transaction: "x"}, api.StartAttempt{Transaction: "x"}},
			time.Hour, nil, good, Succeeded, 2},
		"deferred": {[]api.Action{api.DeferTransaction{Transaction: "x", RetryAfter: time.Second}}, time.Hour,
			nil, nil, Deferred, 0},
		"deferred, then a send": {[]api.Action{api.DeferTransaction{Transaction: "x"}, api.StartAttempt{Transaction: "x"}},
			time.Hour, nil, good, Deferred, 0},
		"broken off": {[]api.Action{api.FailTransaction{Transaction: "x"}}, time.Hour, nil, nil, Failed, 0},
		"deferred, broken off": {[]api.Action{api.DeferTransaction{Transaction: "x"},
			api.FailTransaction{Transaction: "x"}}, time.Hour, nil, nil, Deferred, 0},
		"no answer of the policy's": {nil, time.Millisecond, nil, nil, DeadlineExceeded, 0},
		"client left": {[]api.Action{api.StartAttempt{Transaction: "x"}, api.CancelAttempt{Transaction: "x"}},
			time.Hour, gone, forever, ClientGone, 0},
	} {
		freed.Store(0)
		ended := make(chan api.AttemptEnded, 4)
		e := startEngine(t, func(event api.Event) []api.Action {
			switch event := event.(type) {
			case api.TransactionAccepted:
				return x.orders
			case api.AttemptEnded:
				ended <- event
			}
			return nil
		})
		var given []Result
		err := Run(e, api.TransactionAccepted{ID: "x", Timeout: x.left}, Handler{Send: x.carry, ClientGone: x.gone,
			Respond: func(f Result) { given = append(given, f) }})
		if err != nil || len(given) != 1 || given[0].State != x.want {
			t.Errorf("%s: %v, answers %v", name, err, given)
		}
		for _, o := range x.orders {
			if _, ok := o.(api.StartAttempt); ok {
				<-ended // each attempt that was ordered is reported once, carried out or not
			}
		}
		if got := freed.Load(); got != x.freed {
			t.Errorf("%s: %d responses released, want %d", name, got, x.freed)
		}
	}
}

// When the final answer is given, all other attempts have been canceled already: a hedge that is just about to be
// written must not go out after it.
func TestAttemptsCanceledBeforeResponse(t *testing.T) {
	e := startEngine(t, respondWith(api.StartAttempt{Transaction: "x"}, api.StartAttempt{Transaction: "x", Backend: 1}))
	copied := make(chan context.Context, 1)
	err := Run(e, api.TransactionAccepted{ID: "x", Timeout: time.Hour}, Handler{
		Send: func(off context.Context, order api.StartAttempt) AttemptResult {
			if order.Backend == 1 {
				copied <- off
				<-off.Done()
				return AttemptResult{Outcome: api.Canceled}
			}
			copied <- <-copied // the other one has begun
			return AttemptResult{Outcome: api.Succeeded, Response: &Response{Release: func() {}}}
		},
		Respond: func(Result) {
			if off := <-copied; context.Cause(off) != ErrCanceled {
				t.Errorf("the hedge goes on: %v", context.Cause(off))
			}
		}})
	if err != nil {
		t.Error(err)
	}
}

// A transaction whose id is open is not accepted, and the first one goes on.
func TestDuplicateIDRejected(t *testing.T) {
	hold := make(chan struct{})
	e := startEngine(t, respondWith(api.StartAttempt{Transaction: "x"}))
	first := make(chan Result, 1)
	began := make(chan struct{})
	handler := Handler{
		Respond: func(f Result) { first <- f },
		Send: func(context.Context, api.StartAttempt) AttemptResult {
			close(began)
			<-hold
			return AttemptResult{Outcome: api.Succeeded, Response: &Response{Release: func() {}}}
		},
	}
	go func() {
		if err := Run(e, api.TransactionAccepted{ID: "x", Timeout: time.Hour}, handler); err != nil {
			t.Error(err)
		}
	}()
	<-began
	if err := Run(e, api.TransactionAccepted{ID: "x", Timeout: time.Hour},
		Handler{Respond: func(Result) { t.Error("the second one got an answer") }}); err == nil {
		t.Error("it was accepted twice")
	}
	close(hold)
	if f := <-first; f.State != Succeeded {
		t.Errorf("the first one ended %s", f.State)
	}
}

// The final answer waits for a write that is under way, and nothing is written after it.
func TestNoWriteAfterResponse(t *testing.T) {
	e := startEngine(t, respondWith(api.StartAttempt{Transaction: "x"}, api.StartAttempt{Transaction: "x"}))
	writing, answered, tried := make(chan bool), make(chan bool), make(chan bool, 1)
	var wrote atomic.Bool
	var sends atomic.Int64
	err := Run(e, api.TransactionAccepted{ID: "x", Timeout: time.Minute}, Handler{Send: func(off context.Context,
		_ api.StartAttempt) AttemptResult {
		if sends.Add(1) == 1 {
			<-writing // the other attempt is in the midst of its write
			return AttemptResult{Outcome: api.Succeeded, Response: &Response{Release: func() {}}}
		}
		WriteGuardFrom(off).Do(func() {
			close(writing)
			<-off.Done()                      // the answer is on its way out now
			time.Sleep(10 * time.Millisecond) // so that an error would show; it only ever hides a failure
			wrote.Store(true)
		})
		<-answered
		tried <- WriteGuardFrom(off).Do(func() {})
		return AttemptResult{Outcome: api.Canceled}
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
