package wsagent

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/coder/websocket"

	"sagelever/agent"
)

// log is a topic that appliances share: what has been said, by number from 1 on. Each appliance pushes it to whoever
// subscribes, from the number after the one that they had.
type topic struct {
	mu      sync.Mutex
	said    []string
	dropped uint64 // numbers up to this one are not kept
	more    chan struct{}
}

func (x *topic) say(text string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.said = append(x.said, text)
	close(x.more)
	x.more = make(chan struct{})
}

// serving pushes the topic, first once more what the subscriber had, as one that is behind would.
func (x *topic) serving(afters chan<- uint64, cancels chan<- uint64) func(*websocket.Conn) {
	return func(ws *websocket.Conn) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		for {
			_, m, err := ws.Read(ctx)
			if err != nil {
				return
			}
			r, _, _ := ReadRun(m)
			if r.Type == "cancel" {
				cancels <- r.Send
				continue
			}
			afters <- r.After
			ws.Write(ctx, websocket.MessageBinary, Done{Type: "done", Send: r.Send, Status: 200}.Write())
			go func() {
				for n := max(r.After, 1); ctx.Err() == nil; {
					x.mu.Lock()
					n = max(n, x.dropped+1)
					var d Done
					if n <= uint64(len(x.said)) {
						d = Done{Type: "push", Send: r.Send, Seq: n, Body: []byte(x.said[n-1])}
					}
					more := x.more
					x.mu.Unlock()
					if d.Seq > 0 {
						ws.Write(ctx, websocket.MessageBinary, d.Write())
						n++
						continue
					}
					select {
					case <-more:
					case <-ctx.Done():
					}
				}
			}()
		}
	}
}

// A subscription gets one final answer and then every push once and in order, also when the appliance behind it drains or
// dies; what is missing is told as a gap; cancelling it ends it at the appliance.
func TestSubscription(t *testing.T) {
	x := &topic{more: make(chan struct{})}
	afters, cancels, third := make(chan uint64, 9), make(chan uint64, 9), make(chan uint64, 9)
	var at atomic.Uint32
	at.Store(1)
	f, _, address := front(t, UsualLimits, func(event agent.Event) []agent.Action {
		switch e := event.(type) {
		case agent.Taken:
			return []agent.Action{agent.Send{ID: e.ID, Appliance: agent.ApplianceID(at.Load())}}
		case agent.Ended:
			if e.Outcome != agent.Satisfied {
				return []agent.Action{agent.Defer{ID: e.ID}}
			}
		}
		return nil
	})
	breaks := make(chan struct{})
	f.links.List([]Listed{
		{1, box(t, websocket.AcceptOptions{}, x.serving(afters, cancels)), true},
		{2, box(t, websocket.AcceptOptions{}, func(ws *websocket.Conn) {
			go func() { <-breaks; ws.CloseNow() }()
			x.serving(afters, cancels)(ws)
		}), true},
		{3, box(t, websocket.AcceptOptions{}, x.serving(afters, third)), true}})
	ws := dial(t, address)
	want := func(kind string, seq, last uint64, body string) {
		t.Helper()
		if got := hear(t, ws); got.Type != kind || got.ID != "s" || got.Seq != seq || got.Last != last || string(got.Body) != body {
			t.Fatalf("heard %+v %q, want %s %d %d %q", got, got.Body, kind, seq, last, body)
		}
	}
	after := func(want uint64) {
		t.Helper()
		if got := <-afters; got != want {
			t.Errorf("an appliance is asked for what comes after %d, want %d", got, want)
		}
	}
	x.say("one")
	say(t, ws, Ask{Type: "subscribe", ID: "s", Path: "/look", Topic: "flags"})
	want("satisfied", 0, 0, "")
	want("push", 1, 0, "one")
	after(0)
	x.say("two")
	want("push", 2, 0, "two")
	at.Store(2)
	f.links.List([]Listed{{ID: 1}}) // it drains
	want("moved", 0, 0, "")
	after(2)
	x.say("three")
	want("push", 3, 0, "three")
	at.Store(3)
	for i := range 3 {
		x.say(fmt.Sprint("missed ", i))
		want("push", uint64(4+i), 0, fmt.Sprint("missed ", i))
	}
	x.mu.Lock()
	x.dropped = 8
	x.said = append(x.said, "lost", "lost", "nine")
	x.mu.Unlock()
	close(breaks) // it dies
	want("moved", 0, 0, "")
	after(6)
	want("gap", 7, 8, "")
	want("push", 9, 0, "nine")
	say(t, ws, Ask{Type: "cancel", ID: "s"})
	<-third // the appliance hears that nobody waits any more
}

// A client that comes back names the last number that it had.
func TestNext(t *testing.T) {
	for _, x := range []struct {
		last, seq uint64
		pass      bool
		gap       uint64
	}{{0, 1, true, 0}, {0, 9, true, 0}, {5, 5, false, 0}, {5, 3, false, 0}, {5, 6, true, 0}, {5, 9, true, 3}} {
		if pass, gap := next(x.last, x.seq); pass != x.pass || gap != x.gap {
			t.Errorf("%+v: %v, %d", x, pass, gap)
		}
	}
}
