package balancer

import (
	"testing"
)

// A backend that refuses a connection pauses and, once it accepts one again, warms up; a single lost response changes
// nothing.
func TestPassiveHealth(t *testing.T) {
	b := newTestBalancer("a1", nil)
	b.addBackend("i1", "a1", "v1", 0, start)
	now := start
	request := b.startRequest(idempotentPath, now)
	b.ReportOutcome(request, b.Pick(request, now), lostResponse, now)
	if b.pickFor(idempotentPath, now) == nil {
		t.Fatal("it pauses after one lost response")
	}
	b.Backend("i1").Drain.RequestFinished(false)
	request = b.startRequest(idempotentPath, now)
	b.ReportOutcome(request, b.Pick(request, now), connectFailed, now)
	if b.pickFor(idempotentPath, now) != nil {
		t.Error("it gets the next request at once though it refused a connection")
	}
	now = now.Add(maxPause)
	request = b.startRequest(idempotentPath, now)
	b.ReportOutcome(request, b.Pick(request, now), succeeded, now)
	if !b.Backend("i1").warmingUntil.After(now) {
		t.Error("it does not warm up though it may have restarted")
	}
}
