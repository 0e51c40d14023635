package ws

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/transaction"
)

// A subscription is a transaction with one final answer. What is pushed after it reaches the client in order and at
// most once; what is missing is told as a gap. When the appliance behind it drains or dies, it is asked of another,
// from the last number that the client has been told, and the client hears that it moved.

// clientSubscription is one client's subscription.
type clientSubscription struct {
	conn    *clientConn
	request ClientRequest
	mu      sync.Mutex
	lastSeq uint64               // the number that the client was told last
	current *backendSubscription // whose pushes go out, nil while none do
}

// backendSubscription is one appliance's side of a feed: what it pushes before the client has its final answer is kept.
type backendSubscription struct {
	subscription *Subscription
	buffered     []BackendResponse
}

// maxBuffered bounds what is kept until the final answer has gone out; what is beyond it becomes a gap.
const maxBuffered = 64

// sequenceStep is what to do with a push: nothing, pass it on, or tell a gap first.
func sequenceStep(last, seq uint64) (pass bool, gap uint64) {
	switch {
	case seq <= last:
		return false, 0 // had already, from the appliance before
	case last == 0:
		return true, 0 // the first, where the client had none
	}
	return true, seq - last - 1
}

// receivePush takes what one appliance pushes. What comes from another than the present one waits, or is let go:
// whoever comes next is asked for all after the last number told.
func (s *clientSubscription) receivePush(from *backendSubscription, response BackendResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == from {
		s.forward(response)
	} else if len(from.buffered) < maxBuffered {
		from.buffered = append(from.buffered, response)
	}
}

// forward tells a client of a push, after what is missing before it. The lock is held.
func (s *clientSubscription) forward(response BackendResponse) {
	pass, gap := sequenceStep(s.lastSeq, response.Seq)
	if !pass {
		return
	}
	if gap > 0 {
		s.conn.enqueue(ClientMessage{Type: "gap", ID: s.request.ID, Topic: s.request.Topic, Seq: s.lastSeq + 1, Last: response.Seq - 1})
	}
	s.lastSeq = response.Seq
	s.conn.enqueue(ClientMessage{Type: "push", ID: s.request.ID, Topic: s.request.Topic, Seq: response.Seq, ContentType: response.ContentType, Body: response.Body})
}

// open asks an appliance for the subscription, as a transaction, and gives its final answer.
func (s *clientSubscription) open(clientGone context.Context, accepted api.TransactionAccepted, respond func(transaction.Result)) (*Subscription, error) {
	server := s.conn.server
	s.mu.Lock()
	s.current = nil
	after := s.lastSeq
	s.mu.Unlock()
	var mu sync.Mutex
	from := map[*transaction.Response]*backendSubscription{}
	var chosen *backendSubscription
	deadline := time.Now().Add(accepted.Timeout)
	runAttempt := func(ctx context.Context, action api.StartAttempt) transaction.AttemptResult {
		remaining := time.Until(deadline)
		ctx, cancel := context.WithTimeoutCause(ctx, remaining, transaction.ErrTimedOut)
		defer cancel()
		src := &backendSubscription{}
		response, subscription, err := server.backends.Subscribe(ctx, action.Backend, BackendRequest{ID: string(accepted.ID), Method: s.request.Method, Path: s.request.Path,
			Key: s.request.Key, Header: s.request.Header, LeftUS: max(remaining.Microseconds(), 1), Topic: s.request.Topic, After: after},
			func(push BackendResponse) { s.receivePush(src, push) })
		result := transaction.AttemptResult{Outcome: OutcomeOf(response, err)}
		if err != nil {
			return result
		}
		if result.Load = transaction.ParseLoadReport(response.Load); result.Outcome != api.Succeeded {
			subscription.Close()
			return result
		}
		src.subscription = subscription
		result.Response = &transaction.Response{ContentType: response.ContentType, Body: response.Body, Release: func() {
			mu.Lock()
			defer mu.Unlock()
			if chosen != src { // a second copy, or nobody waits any more
				subscription.Close()
			}
		}}
		mu.Lock()
		from[result.Response] = src
		mu.Unlock()
		return result
	}
	err := transaction.Run(server.host.Engine(), accepted, transaction.Handler{Send: runAttempt, ClientGone: clientGone.Done(), AnswerGrace: server.host.AnswerGrace(),
		Respond: func(final transaction.Result) {
			if final.State == transaction.Succeeded {
				mu.Lock()
				chosen = from[final.Response]
				mu.Unlock()
			}
			respond(final)
		}})
	if err != nil || chosen == nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = chosen
	for _, push := range chosen.buffered {
		s.forward(push)
	}
	chosen.buffered = nil
	return chosen.subscription, nil
}

// maxMoves bounds how often in a row a subscription is asked of another appliance before its client is told that it has
// ended; the client then asks again when it likes.
const maxMoves = 5

// subscribe is a subscription's life: its transaction, and then its pushes and moves until the client ends it or the
// agent leaves.
func (c *clientConn) subscribe(ctx context.Context, request ClientRequest, accepted api.TransactionAccepted) {
	subscription := &clientSubscription{conn: c, request: request, lastSeq: request.After}
	source, err := subscription.open(ctx, accepted, func(result transaction.Result) { c.respond(request, result) })
	if err != nil {
		c.enqueue(ClientMessage{Type: "error", ID: request.ID, Error: err.Error()})
	}
	if source == nil {
		return
	}
	stopping := c.server.host.Stopping()
	for moves := 0; ; moves++ {
		if source != nil {
			moves = 0
			select {
			case <-ctx.Done():
			case <-stopping:
			case <-source.Done:
			case <-source.Draining:
			}
			source.Close()
		}
		if moves >= maxMoves {
			c.enqueue(ClientMessage{Type: "ended", ID: request.ID, Topic: request.Topic, Seq: subscription.lastSeq, Error: "no appliance takes it", RetryMS: 1000})
			return
		}
		select { // spread, as all that an appliance had move at once
		case <-ctx.Done():
			return
		case <-stopping:
			return
		case <-time.After(rand.N(50 * time.Millisecond << moves)):
		}
		again := accepted
		again.ID = api.TransactionID(fmt.Sprintf("%s~%d", request.ID, rand.Uint64())) // a transaction of its own
		source, _ = subscription.open(ctx, again, func(result transaction.Result) {
			if result.State == transaction.Succeeded {
				c.enqueue(ClientMessage{Type: "moved", ID: request.ID, Topic: request.Topic})
			}
		})
	}
}
