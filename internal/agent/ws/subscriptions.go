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

// A subscription starts as a transaction with one final answer. Later pushes reach the client in order and at most
// once; missing ones are reported by a gap message. If the backend drains or the connection to it is lost, the
// subscription continues at another backend, after the last sequence number that the client was sent, and the client
// gets a moved message.

const (
	// maxBuffered limits the pushes buffered until the final answer has been sent. Further ones are reported as a gap.
	maxBuffered = 64

	// maxMoves limits the consecutive failed attempts to move a subscription to another backend. After that the client
	// gets an ended message, and may subscribe again.
	maxMoves = 5

	// moveDelay is the maximum of the random delay before the first attempt to move; it doubles with each further
	// attempt. The delay spreads the load, as all subscriptions of a backend move at the same time.
	moveDelay = 50 * time.Millisecond

	// endedRetryMS is the delay in ms after which a client should subscribe again after an ended message.
	endedRetryMS = 1000
)

// clientSubscription is one client's subscription.
type clientSubscription struct {
	conn    *clientConn
	request ClientRequest

	mu      sync.Mutex           // guards the following
	lastSeq uint64               // sequence number of the last push sent to the client
	current *backendSubscription // pushes of which are forwarded, nil if there is none
}

// backendSubscription is the part of a subscription at one backend. Pushes are buffered until the client has its final
// answer.
type backendSubscription struct {
	subscription *Subscription
	buffered     []BackendResponse
}

// sequenceStep reports whether the push with number seq must be forwarded after last, and how many are missing between
// them.
func sequenceStep(last, seq uint64) (forward bool, missing uint64) {
	switch {
	case seq <= last: // already forwarded from an earlier backend
		return false, 0
	case last == 0: // the first push to a client that subscribed without a sequence number
		return true, 0
	}
	return true, seq - last - 1
}

// receivePush handles a push of one backend. Pushes from any other than the current backend are buffered, or dropped if
// the buffer is full.
func (s *clientSubscription) receivePush(from *backendSubscription, push BackendResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == from {
		s.forward(push)
	} else if len(from.buffered) < maxBuffered {
		from.buffered = append(from.buffered, push)
	}
}

// forward sends a push to the client, preceded by a gap message if pushes are missing. The caller must hold mu.
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

// send sends a message about the subscription to the client.
func (s *clientSubscription) send(message ClientMessage) {
	message.ID = s.request.ID
	message.Topic = s.request.Topic
	s.conn.enqueue(message)
}

// subscribeTransaction is a transaction that subscribes at a backend.
type subscribeTransaction struct {
	subscription *clientSubscription
	accepted     api.TransactionAccepted
	after        uint64 // sequence number of the last push sent to the client
	deadline     time.Time

	mu         sync.Mutex // guards the following
	byResponse map[*transaction.Response]*backendSubscription
	chosen     *backendSubscription // its response is the final answer; nil if there is none
}

// open subscribes at a backend by a transaction, and passes the final answer to respond. It returns nil if no backend
// accepted the subscription.
func (s *clientSubscription) open(
	ctx context.Context, accepted api.TransactionAccepted, respond func(transaction.Result),
) (*Subscription, error) {
	host := s.conn.server.host
	o := &subscribeTransaction{
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

// pause stops forwarding pushes and returns the sequence number of the last one sent to the client.
func (s *clientSubscription) pause() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = nil
	return s.lastSeq
}

// resume forwards the pushes of a backend, starting with the buffered ones.
func (s *clientSubscription) resume(from *backendSubscription) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = from
	for _, push := range from.buffered {
		s.forward(push)
	}
	from.buffered = nil
}

// runAttempt subscribes at one backend.
func (o *subscribeTransaction) runAttempt(ctx context.Context, action api.StartAttempt) transaction.AttemptResult {
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

// choose records which backend's response is the final answer.
func (o *subscribeTransaction) choose(result transaction.Result) {
	if result.State != transaction.Succeeded {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.chosen = o.byResponse[result.Response]
}

// release ends the subscription at a backend that was not chosen, such as that of a hedged or late attempt.
func (o *subscribeTransaction) release(source *backendSubscription) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.chosen != source {
		source.subscription.Close()
	}
}

// subscribe runs a subscription from its transaction on, and moves it between backends, until the client ends it, the
// agent stops, or maxMoves is reached.
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

// move subscribes at another backend by a separate transaction. It returns nil if no backend accepted the subscription.
func (s *clientSubscription) move(ctx context.Context, accepted api.TransactionAccepted) *Subscription {
	accepted.ID = api.TransactionID(fmt.Sprintf("%s~%d", s.request.ID, rand.Uint64()))
	source, err := s.open(ctx, accepted, func(result transaction.Result) {
		if result.State == transaction.Succeeded {
			s.send(ClientMessage{Type: typeMoved})
		}
	})
	if err != nil { // the engine has stopped: the caller returns when the agent stops, and retries otherwise
		return nil
	}
	return source
}

// end notifies the client that the subscription has ended, with the reason.
func (s *clientSubscription) end(reason string) {
	s.mu.Lock()
	last := s.lastSeq
	s.mu.Unlock()
	s.send(ClientMessage{Type: typeEnded, Seq: last, Error: reason, RetryMS: endedRetryMS})
}
