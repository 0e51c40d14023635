package ws

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/coder/websocket"

	"sagelever/internal/agent/api"
)

// testTopic is a topic that backends share: the texts published, by number from 1 on. Each backend pushes it to its
// subscribers, from the number after the one that they had.
type testTopic struct {
	mu      sync.Mutex
	said    []string
	dropped uint64 // numbers up to this one are not kept
	more    chan struct{}
}

func (x *testTopic) publish(text string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.said = append(x.said, text)
	close(x.more)
	x.more = make(chan struct{})
}

// serve pushes the topic, first once more what the subscriber had, as a backend that is behind would.
func (x *testTopic) serve(afters chan<- uint64, cancels chan<- uint64) func(*websocket.Conn) {
	return func(ws *websocket.Conn) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		for {
			_, m, err := ws.Read(ctx)
			if err != nil {
				return
			}
			r, _, _ := ParseBackendRequest(m)
			if r.Type == "cancel" {
				cancels <- r.Send
				continue
			}
			afters <- r.After
			writeMessage(ws, BackendResponse{Type: "done", Send: r.Send, Status: 200}.Encode())
			go func() {
				for n := max(r.After, 1); ctx.Err() == nil; {
					x.mu.Lock()
					n = max(n, x.dropped+1)
					var d BackendResponse
					if n <= uint64(len(x.said)) {
						d = BackendResponse{Type: "push", Send: r.Send, Seq: n, Body: []byte(x.said[n-1])}
					}
					more := x.more
					x.mu.Unlock()
					if d.Seq > 0 {
						writeMessage(ws, d.Encode())
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

// attemptAt is a policy that has each transaction tried at the backend that the variable names, and defers it if that
// does not succeed.
func attemptAt(backend *atomic.Uint32) scriptedPolicy {
	return func(event api.Event) []api.Action {
		switch e := event.(type) {
		case api.TransactionAccepted:
			return []api.Action{api.StartAttempt{Transaction: e.ID, Backend: api.BackendID(backend.Load())}}
		case api.AttemptEnded:
			if e.Outcome != api.Succeeded {
				return []api.Action{api.DeferTransaction{Transaction: e.Transaction}}
			}
		}
		return nil
	}
}

// A subscription gets one final answer and then every push once and in order, also when the backend behind it drains or
// dies. What is missing is told as a gap; canceling it ends it at the backend.
func TestSubscription(t *testing.T) {
	x := &testTopic{more: make(chan struct{})}
	afters, cancels, third := make(chan uint64, 9), make(chan uint64, 9), make(chan uint64, 9)
	var at atomic.Uint32
	at.Store(1)
	f, _, address := startServer(t, DefaultLimits, attemptAt(&at))
	breaks := make(chan struct{})
	f.backends.Update([]BackendEndpoint{
		{1, startBackend(t, websocket.AcceptOptions{}, x.serve(afters, cancels)), true},
		{2, startBackend(t, websocket.AcceptOptions{}, func(ws *websocket.Conn) {
			go func() { <-breaks; closeNow(ws) }()
			x.serve(afters, cancels)(ws)
		}), true},
		{3, startBackend(t, websocket.AcceptOptions{}, x.serve(afters, third)), true}})
	ws := dialClient(t, address)
	want := func(kind string, seq, last uint64, body string) {
		t.Helper()
		if got := receive(t, ws); got.Type != kind || got.ID != "s" || got.Seq != seq || got.Last != last ||
			string(got.Body) != body {
			t.Fatalf("received %+v %q, want %s %d %d %q", got, got.Body, kind, seq, last, body)
		}
	}
	after := func(want uint64) {
		t.Helper()
		if got := <-afters; got != want {
			t.Errorf("a backend is asked for what follows %d, want %d", got, want)
		}
	}
	x.publish("one")
	sendRequest(t, ws, ClientRequest{Type: "subscribe", ID: "s", Path: "/look", Topic: "flags"})
	want("satisfied", 0, 0, "")
	want("push", 1, 0, "one")
	after(0)
	x.publish("two")
	want("push", 2, 0, "two")
	at.Store(2)
	f.backends.Update([]BackendEndpoint{{ID: 1}}) // it drains
	want("moved", 0, 0, "")
	after(2)
	x.publish("three")
	want("push", 3, 0, "three")
	at.Store(3)
	for i := range 3 {
		x.publish(fmt.Sprint("missed ", i))
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
	sendRequest(t, ws, ClientRequest{Type: "cancel", ID: "s"})
	<-third // the backend is told that nobody waits any more
}

// A client that returns names the last number that it had.
func TestSequenceStep(t *testing.T) {
	for _, x := range []struct {
		last, seq uint64
		pass      bool
		gap       uint64
	}{{0, 1, true, 0}, {0, 9, true, 0}, {5, 5, false, 0}, {5, 3, false, 0}, {5, 6, true, 0}, {5, 9, true, 3}} {
		if pass, gap := sequenceStep(x.last, x.seq); pass != x.pass || gap != x.gap {
			t.Errorf("%+v: %v, %d", x, pass, gap)
		}
	}
}
