package balancer

import (
	"testing"
)

// A backend that refuses a connection is paused, and warms up once it accepts a connection again. A single lost
// response does not pause it.
func TestPassiveHealth(t *testing.T) {
	b := newTestBalancer("a1", nil)
	b.addBackend("i1", "a1", "v1", 0, start)
	now := start
	request := b.startRequest(idempotentPath, now)
	b.ReportOutcome(request, b.Pick(request, now), lostResponse, now)
	if b.pickFor(idempotentPath, now) == nil {
		t.Fatal("the backend is paused after one lost response")
	}
	b.Backend("i1").Drain.RequestFinished(false)
	request = b.startRequest(idempotentPath, now)
	b.ReportOutcome(request, b.Pick(request, now), connectFailed, now)
	if b.pickFor(idempotentPath, now) != nil {
		t.Error("the backend gets the next request immediately after it refused a connection")
	}
	now = now.Add(maxPause)
	request = b.startRequest(idempotentPath, now)
	b.ReportOutcome(request, b.Pick(request, now), succeeded, now)
	if !b.Backend("i1").warmingUntil.After(now) {
		t.Error("the backend does not warm up although it may have restarted")
	}
}
