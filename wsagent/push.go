package wsagent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"sagelever/agent"
	"sagelever/life"
)

// A subscription is a transaction with one final answer. What is pushed after it reaches the client in order and at most
// once; what is missing is told as a gap. When the appliance behind it drains or dies, it is asked of another, from the
// last number that the client has been told, and the client hears that it moved.

// feed is one client's subscription.
type feed struct {
	client *client
	ask    Ask
	mu     sync.Mutex
	last   uint64  // the number that the client was told last
	now    *source // whose pushes go out, nil while none do
}

// source is one appliance's side of a feed: what it pushes before the client has its final answer is kept.
type source struct {
	sub   *Subscription
	early []Done
}

// mostEarly bounds what is kept until the final answer has gone out; what is beyond it becomes a gap.
const mostEarly = 64

// next is what to do with a push: nothing, pass it on, or tell a gap first.
func next(last, seq uint64) (pass bool, gap uint64) {
	switch {
	case seq <= last:
		return false, 0 // had already, from the appliance before
	case last == 0:
		return true, 0 // the first, where the client had none
	}
	return true, seq - last - 1
}

// push takes what one appliance pushes. What comes from another than the present one waits, or is let go: whoever comes
// next is asked for all after the last number told.
func (f *feed) push(from *source, d Done) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now == from {
		f.pass(d)
	} else if len(from.early) < mostEarly {
		from.early = append(from.early, d)
	}
}

// pass tells a client of a push, after what is missing before it. The lock is held.
func (f *feed) pass(d Done) {
	pass, gap := next(f.last, d.Seq)
	if !pass {
		return
	}
	if gap > 0 {
		f.client.tell(Tell{Type: "gap", ID: f.ask.ID, Topic: f.ask.Topic, Seq: f.last + 1, Last: d.Seq - 1})
	}
	f.last = d.Seq
	f.client.tell(Tell{Type: "push", ID: f.ask.ID, Topic: f.ask.Topic, Seq: d.Seq, Kind: d.Kind, Body: d.Body})
}

// open asks an appliance for the subscription, as a transaction, and gives its final answer.
func (f *feed) open(gone context.Context, taken agent.Taken, give func(life.Final)) (*Subscription, error) {
	front := f.client.front
	f.mu.Lock()
	f.now = nil
	after := f.last
	f.mu.Unlock()
	var mu sync.Mutex
	from := map[*life.Answer]*source{}
	var chosen *source
	until := time.Now().Add(taken.Left)
	carry := func(off context.Context, order agent.Send) life.Sent {
		left := time.Until(until)
		off, cancel := context.WithTimeoutCause(off, left, life.ErrTimedOut)
		defer cancel()
		src := &source{}
		done, sub, err := front.links.Subscribe(off, order.Appliance, Run{ID: string(taken.ID), Method: f.ask.Method, Path: f.ask.Path,
			Key: f.ask.Key, Header: f.ask.Header, LeftUS: max(left.Microseconds(), 1), Topic: f.ask.Topic, After: after},
			func(d Done) { f.push(src, d) })
		sent := life.Sent{Outcome: Outcome(done, err)}
		if err != nil {
			return sent
		}
		if sent.Load = life.ReadLoad(done.Load); sent.Outcome != agent.Satisfied {
			sub.Close()
			return sent
		}
		src.sub = sub
		sent.Answer = &life.Answer{Kind: done.Kind, Body: done.Body, Free: func() {
			mu.Lock()
			defer mu.Unlock()
			if chosen != src { // a second copy, or nobody waits any more
				sub.Close()
			}
		}}
		mu.Lock()
		from[sent.Answer] = src
		mu.Unlock()
		return sent
	}
	err := life.Run(front.host.Engine(), taken, life.Front{Carry: carry, Gone: gone.Done(), Slack: front.host.Slack(),
		Give: func(x life.Final) {
			if x.State == life.Satisfied {
				mu.Lock()
				chosen = from[x.Answer]
				mu.Unlock()
			}
			give(x)
		}})
	if err != nil || chosen == nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = chosen
	for _, d := range chosen.early {
		f.pass(d)
	}
	chosen.early = nil
	return chosen.sub, nil
}

// mostMoves bounds how often in a row a subscription is asked of another appliance before its client is told that it has
// ended; the client then asks again when it likes.
const mostMoves = 5

// subscribe is a subscription's life: its transaction, and then its pushes and moves until the client ends it or the
// agent leaves.
func (c *client) subscribe(gone context.Context, a Ask, taken agent.Taken) {
	f := &feed{client: c, ask: a, last: a.After}
	sub, err := f.open(gone, taken, func(x life.Final) { c.give(a, x) })
	if err != nil {
		c.tell(Tell{Type: "error", ID: a.ID, Why: err.Error()})
	}
	if sub == nil {
		return
	}
	leaving := c.front.host.Leaving()
	for moves := 0; ; moves++ {
		if sub != nil {
			moves = 0
			select {
			case <-gone.Done():
			case <-leaving:
			case <-sub.Over:
			case <-sub.Moves:
			}
			sub.Close()
		}
		if moves >= mostMoves {
			c.tell(Tell{Type: "ended", ID: a.ID, Topic: a.Topic, Seq: f.last, Why: "no appliance takes it", RetryMS: 1000})
			return
		}
		select { // spread, as all that an appliance had move at once
		case <-gone.Done():
			return
		case <-leaving:
			return
		case <-time.After(rand.N(50 * time.Millisecond << moves)):
		}
		again := taken
		again.ID = agent.TransactionID(fmt.Sprintf("%s~%d", a.ID, rand.Uint64())) // a transaction of its own
		sub, _ = f.open(gone, again, func(x life.Final) {
			if x.State == life.Satisfied {
				c.tell(Tell{Type: "moved", ID: a.ID, Topic: a.Topic})
			}
		})
	}
}
