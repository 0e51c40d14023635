// Package transaction runs one transaction, whichever protocol brought it: the transaction is handed to the policy, its
// attempts are carried out, and its client gets one final answer. A Handler says how an attempt is sent and how an
// answer is given; everything else is here, so that no protocol can treat the rules in its own way.
package transaction

import (
	"context"
	"errors"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/engine"
)

// Causes of the end of an attempt's context.
var (
	ErrCanceled = errors.New("attempt canceled")
	ErrTimedOut = errors.New("attempt timed out")
)

// Response is what a backend has answered, read whole.
type Response struct {
	ContentType string // "" if the backend did not say
	Body        []byte
	Release     func() // gives back what the body holds; called once, when the body is not needed any more
}

// AttemptResult is how one attempt ended. Whoever takes it releases its response.
type AttemptResult struct {
	Outcome  api.Outcome
	Load     map[string]float64 // the backend's load report, nil if none came
	Response *Response          // nil if none came
}

// State is which final answer a transaction gets.
type State int

// The final answers.
const (
	Succeeded        State = iota
	Deferred               // the client may safely repeat the transaction
	Failed                 // nothing is promised
	DeadlineExceeded       // the policy gave no answer before the client's time was up; nothing is promised
	ClientGone             // the client left first, and must not be sent anything that looks like an answer
)

var stateNames = [...]string{"satisfied", "deferred", "broken_off", "overdue", "left"}

// String is the name of a state in the log, which docs/oncall.md describes.
func (s State) String() string { return stateNames[s] }

// Result is the one final answer.
type Result struct {
	State      State
	RetryAfter time.Duration // Deferred: when the client should return, 0 if that is not said
	Reason     api.Reason    // Deferred, Failed: the policy's reason
	Response   *Response     // Succeeded
}

// Handler is what one protocol does for one transaction.
type Handler struct {
	// Send carries out an attempt. It returns soon after ctx ends, whose cause says why. It may be called for several
	// attempts at once, also after the final answer was given.
	Send func(ctx context.Context, action api.StartAttempt) AttemptResult
	// Respond gives the client the final answer. It is called exactly once, unless Run returns an error.
	Respond func(Result)
	// ClientGone is closed when the client leaves.
	ClientGone <-chan struct{}
	// AnswerGrace is how late the rules let a final answer be.
	AnswerGrace time.Duration
}

// succeededAttempt is an attempt that has succeeded, for whoever gives the answer.
type succeededAttempt struct {
	api.AttemptEnded
	response *Response
}

// runner runs one transaction. Its fields belong to the goroutine of Run, except for successes.
type runner struct {
	transaction *engine.Transaction
	handler     Handler
	guards      []*WriteGuard // of all attempts so far
	successes   chan succeededAttempt
}

// Run runs a transaction from its acceptance to its one final answer. An error says that the engine did not take it.
func Run(e *engine.Engine, accepted api.TransactionAccepted, handler Handler) error {
	t, err := e.Begin(accepted)
	if err != nil {
		return err
	}
	defer t.Close()
	r := &runner{transaction: t, handler: handler, successes: make(chan succeededAttempt)}
	// The policy answers before the client's time is up. This is for when it cannot: half of the grace after.
	overdue := time.NewTimer(accepted.Timeout + handler.AnswerGrace/2)
	defer overdue.Stop()
	for {
		select {
		case <-t.Ready():
			if r.carryOut(t.Actions()) {
				return nil
			}
		case success := <-r.successes:
			r.respond(Result{State: Succeeded, Response: success.response})
			success.response.Release()
			success.TransactionDone = true
			t.EndAttempt(success.AttemptEnded)
			return nil
		case <-overdue.C:
			r.respond(Result{State: DeadlineExceeded})
			return nil
		case <-handler.ClientGone:
			r.respond(Result{State: ClientGone})
			return nil
		}
	}
}

// carryOut carries out the policy's actions, and reports whether one of them was the final answer.
func (r *runner) carryOut(actions []api.Action) (answered bool) {
	for i, action := range actions {
		switch a := action.(type) {
		case api.StartAttempt:
			r.startAttempt(a)
			continue
		case api.DeferTransaction:
			r.respond(Result{State: Deferred, RetryAfter: a.RetryAfter, Reason: a.Reason})
		case api.FailTransaction:
			r.respond(Result{State: Failed, Reason: a.Reason})
		default:
			continue
		}
		r.reportUnsent(actions[i+1:])
		return true
	}
	return false
}

// respond returns the final answer. Nothing may be sent after that. The policy cancels what is in flight, but only once
// it has heard of the answer, and an attempt that has just been ordered, or whose connection is just coming up, would
// be sent in between. So all attempts are canceled here first, and what is being written at this moment is waited for.
func (r *runner) respond(result Result) {
	for _, guard := range r.guards {
		guard.close()
	}
	r.handler.Respond(result)
}

// startAttempt sends an attempt by a goroutine of its own, which ends soon after its context does. The policy's order
// to cancel ends that context, and so does the final answer.
func (r *runner) startAttempt(action api.StartAttempt) {
	ctx, cancel := context.WithCancelCause(context.Background())
	guard := &WriteGuard{ctx: ctx, cancel: cancel}
	r.guards = append(r.guards, guard)
	ctx = context.WithValue(ctx, writeGuardKey{}, guard)
	number := r.transaction.BeginAttempt(func() { cancel(ErrCanceled) })
	go func() {
		defer cancel(nil)
		r.runAttempt(ctx, number, action)
	}()
}

// runAttempt sends an attempt and reports how it ended. A success goes to Run, if that still waits for one.
func (r *runner) runAttempt(ctx context.Context, number api.AttemptNumber, action api.StartAttempt) {
	startedAt := time.Now()
	result := r.handler.Send(ctx, action)
	ended := api.AttemptEnded{
		Backend: action.Backend,
		Attempt: number,
		Outcome: result.Outcome,
		Elapsed: time.Since(startedAt),
		Load:    result.Load,
	}
	if result.Outcome == api.Succeeded {
		select {
		case r.successes <- succeededAttempt{ended, result.Response}:
			return
		case <-r.transaction.Done():
		}
	}
	if result.Response != nil {
		result.Response.Release()
	}
	r.transaction.EndAttempt(ended)
}

// reportUnsent ends the attempts that were ordered behind the final answer: nothing is sent then.
func (r *runner) reportUnsent(actions []api.Action) {
	for _, action := range actions {
		if start, ok := action.(api.StartAttempt); ok {
			number := r.transaction.BeginAttempt(func() {})
			r.transaction.EndAttempt(api.AttemptEnded{Backend: start.Backend, Attempt: number, Outcome: api.NotSent})
		}
	}
}
