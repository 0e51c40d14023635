package balancer

import (
	"testing"
)

// Queued requests get backends in order of arrival where their priority is the same; one that was dequeued gets none.
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
	gone := b.startRequest(idempotentPath, start)
	second := b.startRequest(idempotentPath, start.Add(1))
	for _, request := range []*Request{second, gone, first} {
		b.Enqueue(request)
	}
	if !b.Dequeue(gone) {
		t.Fatal("a queued request counts as granted")
	}
	b.ReportOutcome(inFlight[0], b.Backend("i1"), succeeded, start)
	if len(first.Granted) != 1 || len(second.Granted) != 0 || len(gone.Granted) != 0 {
		t.Error("the backend was granted to another request than the first")
	}
	if b.Dequeue(first) {
		t.Error("a granted request was dequeued")
	}
}
