// Package transaction runs one transaction of any protocol: it passes the transaction to the policy, runs the attempts
// that the policy starts, and gives the client exactly one final answer. A protocol implements a Handler to send
// attempts and to respond; all other rules are enforced here, alike for all protocols.
package transaction

import (
	"context"
	"errors"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/engine"
)

// Causes with which an attempt's context is canceled.
var (
	ErrCanceled = errors.New("attempt canceled")
	ErrTimedOut = errors.New("attempt timed out")
)

// Response is the complete response of a backend.
type Response struct {
	ContentType string // "" if the backend sent none
	Body        []byte
	Release     func() // releases the resources of the body; called once, when the body is no longer needed
}

// AttemptResult is the result of one attempt. Its owner must release the response.
type AttemptResult struct {
	Outcome  api.Outcome
	Load     map[string]float64 // the backend's load report, nil if there is none
	Response *Response          // nil if there is none
}

// State is the kind of final answer that a transaction gets.
type State int

// The final answers.
const (
	Succeeded        State = iota
	Deferred               // the client may safely repeat the transaction
	Failed                 // the transaction may or may not have run
	DeadlineExceeded       // the policy gave no answer before the deadline; the transaction may or may not have run
	ClientGone             // the client disconnected first, and must not be sent anything that looks like an answer
)

var stateNames = [...]string{"satisfied", "deferred", "broken_off", "overdue", "left"}

// String returns the name of a state in the log; docs/oncall.md documents the names.
func (s State) String() string { return stateNames[s] }

// Result is the final answer of a transaction.
type Result struct {
	State      State
	RetryAfter time.Duration // Deferred: when the client should retry, 0 if unspecified
	Reason     api.Reason    // Deferred, Failed: the policy's reason
	Response   *Response     // Succeeded
}

// Handler implements one protocol for one transaction.
type Handler struct {
	// Send runs an attempt. It must return soon after ctx is canceled; the cause of ctx is ErrCanceled or ErrTimedOut.
	// It may be called concurrently for several attempts, and also after the final answer.
	Send func(ctx context.Context, action api.StartAttempt) AttemptResult
	// Respond sends the final answer to the client. It is called exactly once, unless Run returns an error.
	Respond func(Result)
	// ClientGone is closed when the client disconnects.
	ClientGone <-chan struct{}
	// AnswerGrace is how long after its deadline a transaction may still be answered.
	AnswerGrace time.Duration
}

// succeededAttempt is a successful attempt, passed from its goroutine to Run.
type succeededAttempt struct {
	api.AttemptEnded
	response *Response
}

// runner runs one transaction. Only the goroutine of Run may access its fields, except for handler, transaction and
// successes.
type runner struct {
	transaction *engine.Transaction
	handler     Handler
	guards      []*WriteGuard // of all attempts started so far
	successes   chan succeededAttempt
}

// Run runs a transaction from its acceptance to its final answer. It returns an error, and does not respond, if the
// engine rejects the transaction.
func Run(e *engine.Engine, accepted api.TransactionAccepted, handler Handler) error {
	t, err := e.Begin(accepted)
	if err != nil {
		return err
	}
	defer t.Close()
	r := &runner{transaction: t, handler: handler, successes: make(chan succeededAttempt)}
	// Normally the policy answers before the client's deadline. This timer, at half of the grace period after the
	// deadline, ends the transaction if it does not.
	overdue := time.NewTimer(accepted.Timeout + handler.AnswerGrace/2)
	defer overdue.Stop()
	for {
		select {
		case <-t.Ready():
			if r.execute(t.Actions()) {
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

// execute performs the policy's actions, and reports whether one of them was the final answer.
func (r *runner) execute(actions []api.Action) (answered bool) {
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

// respond gives the final answer, after which no request may be sent. The policy cancels open attempts only after it
// has been notified of the answer, and an attempt that was just started or is still connecting could be sent in
// between. So respond first cancels all attempts and waits for writes in progress.
func (r *runner) respond(result Result) {
	for _, guard := range r.guards {
		guard.close()
	}
	r.handler.Respond(result)
}

// startAttempt runs an attempt in its own goroutine. The attempt's context is canceled by the policy's CancelAttempt
// and by the final answer.
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

// runAttempt runs an attempt and reports its end to the engine. A successful attempt is passed to Run instead, unless
// the transaction has already been closed.
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

// reportUnsent reports the attempts among the actions after the final answer as not sent.
func (r *runner) reportUnsent(actions []api.Action) {
	for _, action := range actions {
		if start, ok := action.(api.StartAttempt); ok {
			number := r.transaction.BeginAttempt(func() {})
			r.transaction.EndAttempt(api.AttemptEnded{Backend: start.Backend, Attempt: number, Outcome: api.NotSent})
		}
	}
}
