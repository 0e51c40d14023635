// Package life is the life of one transaction, whatever front took it: it is handed to the module, its orders to send
// are carried out, and its client gets one final answer. A front says how a send is carried and how an answer is given;
// everything else about a transaction stands here, so that no front can treat the rules its own way.
package life

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"sagelever/agent"
	"sagelever/engine"
)

// Why a send is given up: the cause of its context's end.
var (
	ErrCalledOff = errors.New("called off")
	ErrTimedOut  = errors.New("timed out")
)

// Answer is what an appliance has answered, read whole.
type Answer struct {
	Kind string // of its content, "" if not said
	Body []byte
	Free func() // gives back what the body holds; called once, when the body is not needed any more
}

// Sent is how one send ended. Its answer, if any, is free to be used until it is freed.
type Sent struct {
	Outcome agent.Outcome
	Load    map[string]float64
	Answer  *Answer
}

// State is which final answer a transaction gets.
type State int

const (
	Satisfied State = iota
	Deferred        // asking again is harmless
	BrokenOff       // nothing is promised
	Overdue         // the module gave no answer before the client's time was up; broken off
	Left            // the client left first: nothing may look like an answer
)

func (s State) String() string {
	return [...]string{"satisfied", "deferred", "broken_off", "overdue", "left"}[s]
}

// Final is the one final answer.
type Final struct {
	State  State
	Wait   time.Duration // Deferred: when to return, 0 if that is not said
	Why    agent.Why     // Deferred, BrokenOff: the module's reason
	Answer *Answer       // Satisfied
}

// Front is what one front does for one transaction.
type Front struct {
	// Carry carries out an order to send. It ends soon after off does, whose cause says why. It may be called for
	// several sends at once, also after the final answer was given.
	Carry func(off context.Context, order agent.Send) Sent
	// Give gives the client the final answer. It is called exactly once, unless Run returns an error.
	Give func(Final)
	// Gone is closed when the client leaves.
	Gone <-chan struct{}
	// Slack is how late the rules let a final answer be.
	Slack time.Duration
}

// Gate stands before what is written for one send. Once its transaction has its final answer nothing passes.
type Gate struct {
	mu      sync.Mutex
	off     context.Context
	callOff context.CancelCauseFunc
}

// Pass writes by f, unless the send has been given up.
func (g *Gate) Pass(f func()) bool {
	if g == nil { // for no transaction
		f()
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.off.Err() != nil {
		return false
	}
	f()
	return true
}

// shut calls the send off and waits for a write that is under way, which that ends: none follows.
func (g *Gate) shut() {
	g.callOff(ErrCalledOff)
	g.mu.Lock()
	defer g.mu.Unlock()
}

type gateKey struct{}

// GateOf is the gate of the send that a context was made for; of a context made for none, one that its end shuts.
func GateOf(off context.Context) *Gate {
	if g, ok := off.Value(gateKey{}).(*Gate); ok {
		return g
	}
	return &Gate{off: off}
}

// ended is a send that has ended well, for whoever gives the answer.
type ended struct {
	agent.Ended
	answer *Answer
}

// Run is a transaction's life, from being taken to its one final answer. An error tells that it was not taken.
func Run(e *engine.Engine, taken agent.Taken, front Front) error {
	t, err := e.Take(taken)
	if err != nil {
		return err
	}
	defer t.Close()
	answers := make(chan ended)
	// The module answers before the client's time is up. This is for when it cannot: half of what the rule allows after.
	overdue := time.NewTimer(taken.Left + front.Slack/2)
	defer overdue.Stop()
	// Nothing more is sent once the final answer is given. The module calls off what is still out, but its word comes
	// after the answer: a second copy that has just been ordered, or whose connection is just coming up, would go out
	// in between. So all that is out is called off here before the answer is given.
	// What is being written at this moment is waited for.
	var out []*Gate
	give := func(f Final) {
		for _, gate := range out {
			gate.shut()
		}
		front.Give(f)
	}
	for {
		select {
		case <-t.Ready():
			orders := t.Orders()
			for i, order := range orders {
				switch order := order.(type) {
				case agent.Send:
					// What the module calls off, or what runs out of time, ends by this context's cause.
					off, callOff := context.WithCancelCause(context.Background())
					gate := &Gate{off: off, callOff: callOff}
					out = append(out, gate)
					off = context.WithValue(off, gateKey{}, gate)
					no := t.Begin(func() { callOff(ErrCalledOff) })
					go func() {
						defer callOff(nil)
						send(off, t, no, order, front.Carry, answers)
					}()
				case agent.Defer:
					give(Final{State: Deferred, Wait: order.Wait, Why: order.Why})
					return unsent(t, orders[i+1:])
				case agent.BreakOff:
					give(Final{State: BrokenOff, Why: order.Why})
					return unsent(t, orders[i+1:])
				}
			}
		case x := <-answers:
			give(Final{State: Satisfied, Answer: x.answer})
			x.answer.Free()
			x.Closed = true
			t.Ended(x.Ended)
			return nil
		case <-overdue.C:
			give(Final{State: Overdue})
			return nil
		case <-front.Gone:
			give(Final{State: Left})
			return nil
		}
	}
}

// unsent reports sends that were ordered behind the final answer: nothing more is sent then.
func unsent(t *engine.Transaction, orders []agent.Action) error {
	for _, order := range orders {
		if order, ok := order.(agent.Send); ok {
			t.Ended(agent.Ended{Appliance: order.Appliance, Send: t.Begin(func() {}), Outcome: agent.NotSent})
		}
	}
	return nil
}

// send carries one send out and reports how it ended: a good answer to whoever gives it, if there still is anybody.
func send(off context.Context, t *engine.Transaction, no agent.SendNo, order agent.Send,
	carry func(context.Context, agent.Send) Sent, answers chan<- ended) {
	began := time.Now()
	got := carry(off, order)
	e := agent.Ended{Appliance: order.Appliance, Send: no, Outcome: got.Outcome, After: time.Since(began), Load: got.Load}
	if got.Outcome == agent.Satisfied {
		select {
		case answers <- ended{e, got.Answer}:
			return
		case <-t.Over():
		}
	}
	if got.Answer != nil {
		got.Answer.Free()
	}
	t.Ended(e)
}

// mostLoad is beyond any figure that an appliance has reason to report.
const mostLoad = 1e10

// ReadLoad reads a load report, name=value parts set apart by commas. One with a part that cannot be read, or with a
// figure that no machine has, is no report.
func ReadLoad(text string) map[string]float64 {
	if text == "" {
		return nil
	}
	load := map[string]float64{}
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(v >= 0 && v < mostLoad) {
			return nil
		}
		load[name] = v
	}
	return load
}
