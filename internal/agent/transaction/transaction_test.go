package transaction

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/engine"
)

// scriptedPolicy is a policy implemented by a function.
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

// startWith returns a policy that returns the actions for each accepted transaction.
func startWith(actions ...api.Action) scriptedPolicy {
	return func(event api.Event) []api.Action {
		if _, ok := event.(api.TransactionAccepted); ok {
			return actions
		}
		return nil
	}
}

// sendTogether returns a Send function for a number of attempts that all begin before the first one ends: a final answer
// before the last one begins would leave it unsent.
func sendTogether(
	attempts int, send func(context.Context, api.StartAttempt) AttemptResult,
) func(context.Context, api.StartAttempt) AttemptResult {
	var begun sync.WaitGroup
	begun.Add(attempts)
	return func(ctx context.Context, action api.StartAttempt) AttemptResult {
		begun.Done()
		begun.Wait()
		return send(ctx, action)
	}
}

// However a transaction ends, it gets one final answer, and each response is released once.
func TestOneFinalResult(t *testing.T) {
	disconnected := make(chan struct{})
	close(disconnected)
	blockUntilCanceled := func(ctx context.Context, _ api.StartAttempt) AttemptResult {
		<-ctx.Done()
		return AttemptResult{Outcome: api.Canceled}
	}
	var released atomic.Int64
	succeed := func(context.Context, api.StartAttempt) AttemptResult {
		return AttemptResult{Outcome: api.Succeeded, Response: &Response{Body: []byte("b"), Release: func() { released.Add(1) }}}
	}
	succeedTogether := sendTogether(2, succeed)
	for name, test := range map[string]struct {
		actions      []api.Action
		timeout      time.Duration
		clientGone   <-chan struct{}
		send         func(context.Context, api.StartAttempt) AttemptResult
		want         State
		wantReleased int64
	}{
		"succeeded": {[]api.Action{api.StartAttempt{Transaction: "x"}}, time.Hour, nil, succeed, Succeeded, 1},
		"succeeded twice": {[]api.Action{api.StartAttempt{Transaction: "x"}, api.StartAttempt{Transaction: "x"}},
			time.Hour, nil, succeedTogether, Succeeded, 2},
		"deferred": {[]api.Action{api.DeferTransaction{Transaction: "x", RetryAfter: time.Second}}, time.Hour,
			nil, nil, Deferred, 0},
		"deferred, then an attempt": {[]api.Action{api.DeferTransaction{Transaction: "x"},
			api.StartAttempt{Transaction: "x"}}, time.Hour, nil, succeed, Deferred, 0},
		"failed": {[]api.Action{api.FailTransaction{Transaction: "x"}}, time.Hour, nil, nil, Failed, 0},
		"deferred, then failed": {[]api.Action{api.DeferTransaction{Transaction: "x"},
			api.FailTransaction{Transaction: "x"}}, time.Hour, nil, nil, Deferred, 0},
		"no answer from the policy": {nil, time.Millisecond, nil, nil, DeadlineExceeded, 0},
		"client disconnected": {[]api.Action{api.StartAttempt{Transaction: "x"}, api.CancelAttempt{Transaction: "x"}},
			time.Hour, disconnected, blockUntilCanceled, ClientGone, 0},
	} {
		released.Store(0)
		ended := make(chan api.AttemptEnded, 4)
		e := startEngine(t, func(event api.Event) []api.Action {
			switch event := event.(type) {
			case api.TransactionAccepted:
				return test.actions
			case api.AttemptEnded:
				ended <- event
			}
			return nil
		})
		var results []Result
		err := Run(e, api.TransactionAccepted{ID: "x", Timeout: test.timeout}, Handler{Send: test.send,
			ClientGone: test.clientGone, Respond: func(result Result) { results = append(results, result) }})
		if err != nil || len(results) != 1 || results[0].State != test.want {
			t.Errorf("%s: %v, answers %v", name, err, results)
		}
		for _, action := range test.actions {
			if _, ok := action.(api.StartAttempt); ok {
				<-ended // each started attempt is reported once, whether or not it was sent
			}
		}
		if got := released.Load(); got != test.wantReleased {
			t.Errorf("%s: %d responses released, want %d", name, got, test.wantReleased)
		}
	}
}

// All other attempts are canceled before the final answer is given, so that a hedged attempt that is about to be
// written is not sent after it.
func TestAttemptsCanceledBeforeResponse(t *testing.T) {
	e := startEngine(t, startWith(api.StartAttempt{Transaction: "x"}, api.StartAttempt{Transaction: "x", Backend: 1}))
	contexts := make(chan context.Context, 1)
	err := Run(e, api.TransactionAccepted{ID: "x", Timeout: time.Hour}, Handler{
		Send: func(ctx context.Context, action api.StartAttempt) AttemptResult {
			if action.Backend == 1 {
				contexts <- ctx
				<-ctx.Done()
				return AttemptResult{Outcome: api.Canceled}
			}
			contexts <- <-contexts // the other attempt has started
			return AttemptResult{Outcome: api.Succeeded, Response: &Response{Release: func() {}}}
		},
		Respond: func(Result) {
			if ctx := <-contexts; context.Cause(ctx) != ErrCanceled {
				t.Errorf("the hedged attempt was not canceled: %v", context.Cause(ctx))
			}
		}})
	if err != nil {
		t.Error(err)
	}
}

// A transaction with the ID of an open one is rejected, and the open one continues.
func TestDuplicateIDRejected(t *testing.T) {
	finish := make(chan struct{})
	e := startEngine(t, startWith(api.StartAttempt{Transaction: "x"}))
	first := make(chan Result, 1)
	started := make(chan struct{})
	handler := Handler{
		Respond: func(result Result) { first <- result },
		Send: func(context.Context, api.StartAttempt) AttemptResult {
			close(started)
			<-finish
			return AttemptResult{Outcome: api.Succeeded, Response: &Response{Release: func() {}}}
		},
	}
	go func() {
		if err := Run(e, api.TransactionAccepted{ID: "x", Timeout: time.Hour}, handler); err != nil {
			t.Error(err)
		}
	}()
	<-started
	if err := Run(e, api.TransactionAccepted{ID: "x", Timeout: time.Hour},
		Handler{Respond: func(Result) { t.Error("the duplicate got an answer") }}); err == nil {
		t.Error("the duplicate was accepted")
	}
	close(finish)
	if result := <-first; result.State != Succeeded {
		t.Errorf("the first transaction ended %s", result.State)
	}
}

// The final answer waits for a write in progress, and nothing is written after it.
func TestNoWriteAfterResponse(t *testing.T) {
	e := startEngine(t, startWith(api.StartAttempt{Transaction: "x"}, api.StartAttempt{Transaction: "x"}))
	writing, answered, written := make(chan bool), make(chan bool), make(chan bool, 1)
	var firstWritten atomic.Bool
	var sends atomic.Int64
	err := Run(e, api.TransactionAccepted{ID: "x", Timeout: time.Minute}, Handler{Send: func(ctx context.Context,
		_ api.StartAttempt) AttemptResult {
		if sends.Add(1) == 1 {
			<-writing // the other attempt is being written
			return AttemptResult{Outcome: api.Succeeded, Response: &Response{Release: func() {}}}
		}
		WriteGuardFrom(ctx).Do(func() {
			close(writing)
			<-ctx.Done()                      // the final answer has been decided
			time.Sleep(10 * time.Millisecond) // gives a wrong answer time to appear; too short a time can only hide a failure
			firstWritten.Store(true)
		})
		<-answered
		written <- WriteGuardFrom(ctx).Do(func() {})
		return AttemptResult{Outcome: api.Canceled}
	}, Respond: func(Result) {
		if !firstWritten.Load() {
			t.Error("the answer was given during a write")
		}
		close(answered)
	}})
	if err != nil {
		t.Fatal(err)
	}
	if <-written {
		t.Error("something was written after the answer")
	}
}
