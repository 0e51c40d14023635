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

// testTopic is a topic that is shared by backends. Its messages are numbered from 1.
type testTopic struct {
	mu        sync.Mutex
	messages  []string
	dropped   uint64        // messages up to this number are no longer available
	published chan struct{} // closed and replaced by publish
}

func (topic *testTopic) publish(text string) {
	topic.mu.Lock()
	defer topic.mu.Unlock()
	topic.messages = append(topic.messages, text)
	close(topic.published)
	topic.published = make(chan struct{})
}

// serve returns a backend that pushes the topic to subscribers. It first repeats the last message that the subscriber
// has received, as a backend that lags behind does.
func (topic *testTopic) serve(afters chan<- uint64, cancels chan<- uint64) func(*websocket.Conn) {
	return func(ws *websocket.Conn) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		for {
			_, message, err := ws.Read(ctx)
			if err != nil {
				return
			}
			request, _, _ := ParseBackendRequest(message)
			if request.Type == "cancel" {
				cancels <- request.Number
				continue
			}
			afters <- request.After
			writeMessage(ws, BackendResponse{Type: "done", Number: request.Number, Status: 200}.Encode())
			go func() {
				for next := max(request.After, 1); ctx.Err() == nil; {
					topic.mu.Lock()
					next = max(next, topic.dropped+1)
					var push BackendResponse
					if next <= uint64(len(topic.messages)) {
						push = BackendResponse{Type: "push", Number: request.Number, Seq: next, Body: []byte(topic.messages[next-1])}
					}
					published := topic.published
					topic.mu.Unlock()
					if push.Seq > 0 {
						writeMessage(ws, push.Encode())
						next++
						continue
					}
					select {
					case <-published:
					case <-ctx.Done():
					}
				}
			}()
		}
	}
}

// attemptOn returns a policy that sends each transaction to the backend with the given ID, and defers it if the attempt
// fails.
func attemptOn(backend *atomic.Uint32) scriptedPolicy {
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

// A subscription gets one final answer and then each push once and in order, even if its backend drains or its
// connection is lost. Missing pushes are reported as a gap. Canceling the subscription cancels it at the backend.
func TestSubscription(t *testing.T) {
	topic := &testTopic{published: make(chan struct{})}
	afters, cancels, lastCancels := make(chan uint64, 9), make(chan uint64, 9), make(chan uint64, 9)
	var target atomic.Uint32
	target.Store(1)
	server, _, address := startServer(t, DefaultLimits, attemptOn(&target))
	breaks := make(chan struct{})
	server.backends.Update([]BackendEndpoint{
		{1, startBackend(t, websocket.AcceptOptions{}, topic.serve(afters, cancels)), true},
		{2, startBackend(t, websocket.AcceptOptions{}, func(ws *websocket.Conn) {
			go func() { <-breaks; closeNow(ws) }()
			topic.serve(afters, cancels)(ws)
		}), true},
		{3, startBackend(t, websocket.AcceptOptions{}, topic.serve(afters, lastCancels)), true}})
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
			t.Errorf("subscribed after number %d, want %d", got, want)
		}
	}
	topic.publish("one")
	sendRequest(t, ws, ClientRequest{Type: "subscribe", ID: "s", Path: "/look", Topic: "flags"})
	want("satisfied", 0, 0, "")
	want("push", 1, 0, "one")
	after(0)
	topic.publish("two")
	want("push", 2, 0, "two")
	target.Store(2)
	server.backends.Update([]BackendEndpoint{{ID: 1}}) // backend 1 drains
	want("moved", 0, 0, "")
	after(2)
	topic.publish("three")
	want("push", 3, 0, "three")
	target.Store(3)
	for i := range 3 {
		topic.publish(fmt.Sprint("missed ", i))
		want("push", uint64(4+i), 0, fmt.Sprint("missed ", i))
	}
	topic.mu.Lock()
	topic.dropped = 8
	topic.messages = append(topic.messages, "lost", "lost", "nine")
	topic.mu.Unlock()
	close(breaks) // closes the connection of backend 2
	want("moved", 0, 0, "")
	after(6)
	want("gap", 7, 8, "")
	want("push", 9, 0, "nine")
	sendRequest(t, ws, ClientRequest{Type: "cancel", ID: "s"})
	<-lastCancels // backend 3 receives the cancel
}

// sequenceStep drops repeated pushes and counts missing ones, except before the first push.
func TestSequenceStep(t *testing.T) {
	for _, test := range []struct {
		last, seq uint64
		forward   bool
		missing   uint64
	}{{0, 1, true, 0}, {0, 9, true, 0}, {5, 5, false, 0}, {5, 3, false, 0}, {5, 6, true, 0}, {5, 9, true, 3}} {
		if forward, missing := sequenceStep(test.last, test.seq); forward != test.forward || missing != test.missing {
			t.Errorf("%+v: %v, %d", test, forward, missing)
		}
	}
}
