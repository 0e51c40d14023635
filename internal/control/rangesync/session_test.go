package rangesync

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// maxSessionRequests is the number of requests after which the tests consider a session endless.
const maxSessionRequests = 1000

// A session ends although keys are continually added to the range that it requests next. It misses none of the entries
// that were present when it began.
func TestTerminatesWhileKeysAreAdded(t *testing.T) {
	limits := Limits{MaxMessageBytes: 4000, MaxRanges: 4, SplitParts: 2, SendThreshold: 1, FillThreshold: 1}
	l := &link{limits: limits, initiator: newMember(), responder: newMember()}
	for i := range 40 {
		l.responder.learn(fmt.Sprint("k", i), register{version: 1})
		l.initiator.learn(fmt.Sprint("k", i, "x"), register{version: 1})
	}
	unchanged := maps.Clone(l.responder.registers)
	s := NewSession(1, l.initiator.index, Range{}, limits)
	for number := 0; !s.Done(); number++ {
		if number > maxSessionRequests {
			t.Fatalf("the session does not end: %d ranges pending", len(s.pending))
		}
		if err := l.deliver(s, l.respond(s.NextRequest())); err != nil {
			t.Fatal(err)
		}
		if len(s.pending) == 0 {
			continue
		}
		next := s.pending[len(s.pending)-1].Range
		for i := range 3 { // both sides add keys to the range that is requested next
			l.responder.learn(next.From+fmt.Sprint("\x01", number, i), register{version: 1})
			l.initiator.learn(next.From+fmt.Sprint("\x01", number, i, "x"), register{version: 1})
		}
	}
	t.Logf("%d requests, %d entries sent", l.requests, l.entries)
	if key, found := findMissingKey(l.initiator, unchanged, Range{}); found {
		t.Fatalf("%q was missed", key)
	}
}

// After a session, the initiator has all entries of the responder in the range, whatever the two sides had before. No
// message exceeds the limit.
func TestInitiatorReceivesEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := drawKeys(t, 1500)
		l := &link{limits: limitsGen.Draw(t, "limits")}
		l.initiator, l.responder = drawReplicas(t, keys)
		r := rangeGen.Draw(t, "range")
		l.reconcile(1, r)
		if key, found := findMissingKey(l.initiator, l.responder.registers, r); found {
			t.Fatalf("%q was not received", key)
		}
		if largest := max(l.largestResponse, l.largestRequest); largest > l.limits.MaxMessageBytes {
			t.Fatalf("a message of %d bytes, the limit is %d", largest, l.limits.MaxMessageBytes)
		}
	})
}

// concurrentRun is a session during which both sides change and messages are delayed, repeated, reordered and lost.
type concurrentRun struct {
	*link
	session   *Session
	keys      []string
	unchanged map[string]register // entries of the responder that have not changed since the session began
	requests  []*Request
	replies   []responseWithEntries
}

// An entry that does not change on the responder during a session is never missed, although both sides change other
// entries and messages are delayed, repeated, reordered and lost. The session ends once the changes have ended.
func TestNothingMissedDuringConcurrentChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := drawKeys(t, 300)
		l := &link{limits: limitsGen.Draw(t, "limits")}
		l.initiator, l.responder = drawReplicas(t, keys)
		r := rangeGen.Draw(t, "range")
		run := &concurrentRun{
			link:      l,
			session:   NewSession(1, l.initiator.index, r, l.limits),
			keys:      keys,
			unchanged: maps.Clone(l.responder.registers),
		}
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			if run.session.Done() {
				break
			}
			run.step(t)
		}
		run.finish(t)
		if key, found := findMissingKey(l.initiator, run.unchanged, r); found {
			t.Fatalf("%q did not change during the session and was missed", key)
		}
	})
}

// step takes one random step. A request or reply may be used in several steps.
func (run *concurrentRun) step(t *rapid.T) {
	drawIndex := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "which") }
	switch rapid.IntRange(0, 6).Draw(t, "step") {
	case 0, 1:
		run.request()
	case 2:
		if len(run.requests) > 0 {
			run.replies = append(run.replies, run.respond(run.requests[drawIndex(len(run.requests))]))
		}
	case 3:
		if len(run.replies) > 0 {
			if err := run.deliver(run.session, run.replies[drawIndex(len(run.replies))]); err != nil {
				t.Fatal(err)
			}
		}
	case 4:
		if len(run.requests) > 0 {
			run.session.Abandon(run.requests[drawIndex(len(run.requests))].Number)
		}
	case 5:
		key := rapid.SampledFrom(run.keys).Draw(t, "key")
		before := run.responder.registers[key]
		changeRegister(t, run.responder, key)
		if run.responder.registers[key] != before {
			delete(run.unchanged, key)
		}
	case 6:
		changeRegister(t, run.initiator, rapid.SampledFrom(run.keys).Draw(t, "key"))
	}
}

func (run *concurrentRun) request() {
	if request := run.session.NextRequest(); request != nil {
		run.requests = append(run.requests, request)
	}
}

// finish completes the session without further changes.
func (run *concurrentRun) finish(t *rapid.T) {
	for rounds := 0; !run.session.Done(); rounds++ {
		if rounds > maxSessionRequests {
			t.Fatal("the session does not end")
		}
		run.request()
		for _, request := range run.requests {
			if err := run.deliver(run.session, run.respond(request)); err != nil {
				t.Fatal(err)
			}
		}
		run.requests = nil
		for number := range run.session.inFlight {
			run.session.Abandon(number)
		}
	}
}
