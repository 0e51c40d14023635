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

// scripted is a module that answers each event by a function.
type scripted func(event agent.Event) []agent.Action

func (s scripted) Step(_ time.Duration, event agent.Event) []agent.Action { return s(event) }

func serving(t *testing.T, step scripted) *engine.Engine {
	t.Helper()
	e := engine.New(time.Now(), step, func(agent.Action) {}, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go e.Run(ctx)
	return e
}

func ordering(actions ...agent.Action) scripted {
	return func(event agent.Event) []agent.Action {
		if _, ok := event.(agent.Taken); ok {
			return actions
		}
		return nil
	}
}

// Every way in which a transaction can end gives one final answer, and frees what it holds once.
func TestOneFinalAnswer(t *testing.T) {
	gone := make(chan struct{})
	close(gone)
	forever := func(off context.Context, _ agent.Send) Sent {
		<-off.Done()
		return Sent{Outcome: agent.CalledOff}
	}
	var freed atomic.Int64
	good := func(context.Context, agent.Send) Sent {
		return Sent{Outcome: agent.Satisfied, Answer: &Answer{Body: []byte("b"), Free: func() { freed.Add(1) }}}
	}
	for name, x := range map[string]struct {
		orders []agent.Action
		left   time.Duration
		gone   <-chan struct{}
		carry  func(context.Context, agent.Send) Sent
		want   State
		freed  int64
	}{
		"satisfied":               {[]agent.Action{agent.Send{ID: "x"}}, time.Hour, nil, good, Satisfied, 1},
		"satisfied twice":         {[]agent.Action{agent.Send{ID: "x"}, agent.Send{ID: "x"}}, time.Hour, nil, good, Satisfied, 2},
		"deferred":                {[]agent.Action{agent.Defer{ID: "x", Wait: time.Second}}, time.Hour, nil, nil, Deferred, 0},
		"deferred, then a send":   {[]agent.Action{agent.Defer{ID: "x"}, agent.Send{ID: "x"}}, time.Hour, nil, good, Deferred, 0},
		"broken off":              {[]agent.Action{agent.BreakOff{ID: "x"}}, time.Hour, nil, nil, BrokenOff, 0},
		"deferred, broken off":    {[]agent.Action{agent.Defer{ID: "x"}, agent.BreakOff{ID: "x"}}, time.Hour, nil, nil, Deferred, 0},
		"no word of the module's": {nil, time.Millisecond, nil, nil, Overdue, 0},
		"client left":             {[]agent.Action{agent.Send{ID: "x"}, agent.CallOff{ID: "x"}}, time.Hour, gone, forever, Left, 0},
	} {
		freed.Store(0)
		ended := make(chan agent.Ended, 4)
		e := serving(t, func(event agent.Event) []agent.Action {
			switch event := event.(type) {
			case agent.Taken:
				return x.orders
			case agent.Ended:
				ended <- event
			}
			return nil
		})
		var given []Final
		err := Run(e, agent.Taken{ID: "x", Left: x.left}, Front{Carry: x.carry, Gone: x.gone, Give: func(f Final) { given = append(given, f) }})
		if err != nil || len(given) != 1 || given[0].State != x.want {
			t.Errorf("%s: %v, given %v", name, err, given)
		}
		for _, o := range x.orders {
			if _, ok := o.(agent.Send); ok {
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
func TestCalledOffBeforeTheAnswer(t *testing.T) {
	e := serving(t, ordering(agent.Send{ID: "x"}, agent.Send{ID: "x", Appliance: 1}))
	copied := make(chan context.Context, 1)
	err := Run(e, agent.Taken{ID: "x", Left: time.Hour}, Front{
		Carry: func(off context.Context, order agent.Send) Sent {
			if order.Appliance == 1 {
				copied <- off
				<-off.Done()
				return Sent{Outcome: agent.CalledOff}
			}
			copied <- <-copied // the other has begun
			return Sent{Outcome: agent.Satisfied, Answer: &Answer{Free: func() {}}}
		},
		Give: func(Final) {
			if off := <-copied; context.Cause(off) != ErrCalledOff {
				t.Errorf("the copy goes on: %v", context.Cause(off))
			}
		}})
	if err != nil {
		t.Error(err)
	}
}

// A transaction whose id is open is not taken, and the first is not touched.
func TestOpenID(t *testing.T) {
	hold := make(chan struct{})
	e := serving(t, ordering(agent.Send{ID: "x"}))
	first := make(chan Final, 1)
	began := make(chan struct{})
	go Run(e, agent.Taken{ID: "x", Left: time.Hour}, Front{Give: func(f Final) { first <- f },
		Carry: func(context.Context, agent.Send) Sent {
			close(began)
			<-hold
			return Sent{Outcome: agent.Satisfied, Answer: &Answer{Free: func() {}}}
		}})
	<-began
	if err := Run(e, agent.Taken{ID: "x", Left: time.Hour}, Front{Give: func(Final) { t.Error("the second got an answer") }}); err == nil {
		t.Error("it was taken twice")
	}
	close(hold)
	if f := <-first; f.State != Satisfied {
		t.Errorf("the first ended %s", f.State)
	}
}

// The final answer waits for a write that is under way, and nothing is written after it.
func TestNoWriteAfterTheAnswer(t *testing.T) {
	e := serving(t, ordering(agent.Send{ID: "x"}, agent.Send{ID: "x"}))
	writing, answered, tried := make(chan bool), make(chan bool), make(chan bool, 1)
	var wrote atomic.Bool
	var sends atomic.Int64
	err := Run(e, agent.Taken{ID: "x", Left: time.Minute}, Front{Carry: func(off context.Context, _ agent.Send) Sent {
		if sends.Add(1) == 1 {
			<-writing // the other send is in the midst of its write
			return Sent{Outcome: agent.Satisfied, Answer: &Answer{Free: func() {}}}
		}
		GateOf(off).Pass(func() {
			close(writing)
			<-off.Done()                      // the answer is on its way out now
			time.Sleep(10 * time.Millisecond) // for what would go wrong to show; nothing is judged by it
			wrote.Store(true)
		})
		<-answered
		tried <- GateOf(off).Pass(func() {})
		return Sent{Outcome: agent.CalledOff}
	}, Give: func(Final) {
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
