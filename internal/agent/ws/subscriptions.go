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
// most once; what is missing is told as a gap. When the backend behind it drains or dies, another one is asked, from
// the last number that the client has received, and the client is told that the subscription has moved.

const (
	// maxBuffered bounds the pushes kept until the final answer has been sent; what is beyond it becomes a gap.
	maxBuffered = 64

	// maxMoves bounds how often in a row another backend is asked until the client is told that its subscription has
	// ended; it may subscribe again when it likes.
	maxMoves = 5

	// moveDelay bounds the random delay before a first move; it doubles with each further one. All subscriptions of a
	// backend move at once.
	moveDelay = 50 * time.Millisecond

	// endedRetryMS is when a client whose subscription has ended should return.
	endedRetryMS = 1000
)

// clientSubscription is one client's subscription.
type clientSubscription struct {
	conn    *clientConn
	request ClientRequest

	mu      sync.Mutex           // guards the following
	lastSeq uint64               // the last number that the client was sent
	current *backendSubscription // whose pushes are forwarded, nil if there is none
}

// backendSubscription is the side of a subscription at one backend. What is pushed before the client has its final
// answer is buffered.
type backendSubscription struct {
	subscription *Subscription
	buffered     []BackendResponse
}

// sequenceStep reports whether a push is to be forwarded, and how many are missing before it.
func sequenceStep(last, seq uint64) (forward bool, missing uint64) {
	switch {
	case seq <= last: // the backend before has pushed it already
		return false, 0
	case last == 0: // the first one, of a client that had none
		return true, 0
	}
	return true, seq - last - 1
}

// receivePush takes what one backend pushes. What comes from another than the present one is buffered, or dropped: the
// next backend is asked for all that follows the last number sent.
func (s *clientSubscription) receivePush(from *backendSubscription, push BackendResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == from {
		s.forward(push)
	} else if len(from.buffered) < maxBuffered {
		from.buffered = append(from.buffered, push)
	}
}

// forward sends a push to the client, after a message on what is missing before it. The lock is held.
func (s *clientSubscription) forward(push BackendResponse) {
	forward, missing := sequenceStep(s.lastSeq, push.Seq)
	if !forward {
		return
	}
	if missing > 0 {
		s.send(ClientMessage{Type: typeGap, Seq: s.lastSeq + 1, Last: push.Seq - 1})
	}
	s.lastSeq = push.Seq
	s.send(ClientMessage{Type: typePush, Seq: push.Seq, ContentType: push.ContentType, Body: push.Body})
}

// send sends a message on the subscription to the client.
func (s *clientSubscription) send(message ClientMessage) {
	message.ID = s.request.ID
	message.Topic = s.request.Topic
	s.conn.enqueue(message)
}

// opening is one transaction that asks for a subscription.
type opening struct {
	subscription *clientSubscription
	accepted     api.TransactionAccepted
	after        uint64 // the last number that the client was sent
	deadline     time.Time

	mu         sync.Mutex // guards the following
	byResponse map[*transaction.Response]*backendSubscription
	chosen     *backendSubscription // whose response is the final answer, nil if there is none
}

// open asks backends for the subscription, as a transaction, and gives its final answer to respond. It returns nil if
// no backend has agreed.
func (s *clientSubscription) open(
	ctx context.Context, accepted api.TransactionAccepted, respond func(transaction.Result),
) (*Subscription, error) {
	host := s.conn.server.host
	o := &opening{
		subscription: s,
		accepted:     accepted,
		after:        s.pause(),
		deadline:     time.Now().Add(accepted.Timeout),
		byResponse:   map[*transaction.Response]*backendSubscription{},
	}
	err := transaction.Run(host.Engine(), accepted, transaction.Handler{
		Send:        o.runAttempt,
		ClientGone:  ctx.Done(),
		AnswerGrace: host.AnswerGrace(),
		Respond: func(result transaction.Result) {
			o.choose(result)
			respond(result)
		},
	})
	if err != nil || o.chosen == nil {
		return nil, err
	}
	s.resume(o.chosen)
	return o.chosen.subscription, nil
}

// pause ends the forwarding of pushes, and gives the last number that the client was sent.
func (s *clientSubscription) pause() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = nil
	return s.lastSeq
}

// resume forwards the pushes of a backend, first the buffered ones.
func (s *clientSubscription) resume(from *backendSubscription) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = from
	for _, push := range from.buffered {
		s.forward(push)
	}
	from.buffered = nil
}

// runAttempt asks one backend.
func (o *opening) runAttempt(ctx context.Context, action api.StartAttempt) transaction.AttemptResult {
	remaining := time.Until(o.deadline)
	ctx, cancel := context.WithTimeoutCause(ctx, remaining, transaction.ErrTimedOut)
	defer cancel()
	source := &backendSubscription{}
	request := o.subscription.request
	response, subscription, err := o.subscription.conn.server.backends.Subscribe(ctx, action.Backend, BackendRequest{
		ID:     string(o.accepted.ID),
		Method: request.Method,
		Path:   request.Path,
		Key:    request.Key,
		Header: request.Header,
		LeftUS: max(remaining.Microseconds(), 1),
		Topic:  request.Topic,
		After:  o.after,
	}, func(push BackendResponse) { o.subscription.receivePush(source, push) })
	result := transaction.AttemptResult{Outcome: OutcomeOf(response, err)}
	if err != nil {
		return result
	}
	result.Load = transaction.ParseLoadReport(response.Load)
	if result.Outcome != api.Succeeded {
		subscription.Close()
		return result
	}
	source.subscription = subscription
	result.Response = &transaction.Response{
		ContentType: response.ContentType,
		Body:        response.Body,
		Release:     func() { o.release(source) },
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byResponse[result.Response] = source
	return result
}

// choose notes which backend's response is the final answer.
func (o *opening) choose(result transaction.Result) {
	if result.State != transaction.Succeeded {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.chosen = o.byResponse[result.Response]
}

// release ends the subscription at a backend that is not the chosen one: a hedged attempt, or one that nobody waited
// for.
func (o *opening) release(source *backendSubscription) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.chosen != source {
		source.subscription.Close()
	}
}

// subscribe runs a subscription: its transaction, and then its pushes and moves, until the client ends it or the agent
// stops.
func (c *clientConn) subscribe(ctx context.Context, request ClientRequest, accepted api.TransactionAccepted) {
	subscription := &clientSubscription{conn: c, request: request, lastSeq: request.After}
	source, err := subscription.open(ctx, accepted, func(result transaction.Result) { c.respond(request, result) })
	if err != nil {
		c.reject(request, err.Error())
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
			subscription.end("no appliance takes it")
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-stopping:
			return
		case <-time.After(rand.N(moveDelay << moves)):
		}
		source = subscription.move(ctx, accepted)
	}
}

// move asks another backend, by a transaction of its own. It returns nil if none has agreed.
func (s *clientSubscription) move(ctx context.Context, accepted api.TransactionAccepted) *Subscription {
	accepted.ID = api.TransactionID(fmt.Sprintf("%s~%d", s.request.ID, rand.Uint64()))
	source, err := s.open(ctx, accepted, func(result transaction.Result) {
		if result.State == transaction.Succeeded {
			s.send(ClientMessage{Type: typeMoved})
		}
	})
	if err != nil { // the engine has stopped; the caller finds that the agent stops, or tries again
		return nil
	}
	return source
}

// end tells the client that the subscription has ended, and why.
func (s *clientSubscription) end(reason string) {
	s.mu.Lock()
	last := s.lastSeq
	s.mu.Unlock()
	s.send(ClientMessage{Type: typeEnded, Seq: last, Error: reason, RetryMS: endedRetryMS})
}
