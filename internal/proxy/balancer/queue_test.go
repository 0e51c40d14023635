package balancer

import (
	"testing"
)

// Queued requests of the same priority get backends in order of arrival, and a dequeued request gets none.
func TestQueueOrder(t *testing.T) {
	b := newTestBalancer("a1", nil)
	b.addBackend("i1", "a1", "v1", 0, start)
	var inFlight []*Request
	for {
		request := b.startRequest(idempotentPath, start)
		if b.Pick(request, start) == nil {
			break
		}
		inFlight = append(inFlight, request)
	}
	first := b.startRequest(idempotentPath, start)
	dequeued := b.startRequest(idempotentPath, start)
	second := b.startRequest(idempotentPath, start.Add(1))
	for _, request := range []*Request{second, dequeued, first} {
		b.Enqueue(request)
	}
	if !b.Dequeue(dequeued) {
		t.Fatal("a queued request can't be dequeued")
	}
	b.ReportOutcome(inFlight[0], b.Backend("i1"), succeeded, start)
	if len(first.Granted) != 1 || len(second.Granted) != 0 || len(dequeued.Granted) != 0 {
		t.Error("the backend was not granted to the first request alone")
	}
	if b.Dequeue(first) {
		t.Error("a granted request was dequeued")
	}
}
