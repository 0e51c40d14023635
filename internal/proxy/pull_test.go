package proxy

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/control/config"
	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
)

// newTestSubscription returns the subscription of a running proxy.
func newTestSubscription(t *testing.T) *subscription {
	t.Helper()
	return startProxy(t).subscription
}

// pullResponse is a response of a controller with quorum, in the current protocol version.
func pullResponse(progress replication.Vector, items ...replication.Item) *message.PullResponse {
	return &message.PullResponse{
		Source:          "controller@2",
		ProtocolVersion: message.ProtocolVersion,
		HasQuorum:       true,
		Proxies:         3,
		ZoneProxies:     1,
		Progress:        progress,
		Items:           items,
	}
}

// routeItem is the configuration item of a route for a path prefix.
func routeItem(key string, version uint64, pathPrefix string) replication.Item {
	body := fmt.Sprintf(`{"host":"h","pathStart":%q,"kind":"harmless","giveUp":"3s","service":"s"}`, pathPrefix)
	return configItem(key, version, body)
}

// A response that lay unread for too long is not applied: neither its items nor its time.
func TestStaleResponseIsNotApplied(t *testing.T) {
	s := newTestSubscription(t)
	item := routeItem(config.Key(config.KindRoutes, "late"), 3, "/late/")
	pull := answeredPull{
		addr:     "frozen",
		request:  &message.PullRequest{WaitMs: 880},
		response: pullResponse(replication.Vector{"a": 9}, item),
		sentAt:   time.Now(),
	}
	maxAge := 880*time.Millisecond + responseTimeout
	s.mu.Lock()
	lastUpdate, sourceAddr := s.lastUpdate, s.sourceAddr
	s.mu.Unlock()
	if err := s.apply(pull, pull.sentAt.Add(maxAge+1)); !errors.Is(err, errStaleResponse) {
		t.Fatalf("a stale response was applied: %v", err)
	}
	s.mu.Lock()
	if s.sourceAddr == "frozen" || s.lastUpdate.Before(lastUpdate) || s.progress["a"] != 0 {
		t.Errorf("a stale response changed the source to %s (from %s), or the progress to %v",
			s.sourceAddr, sourceAddr, s.progress)
	}
	s.mu.Unlock()
	if s.proxy.routingTable.Load().FindRoute("h", "/late/1") != nil {
		t.Error("the route of a stale response is in force")
	}
	pull.addr = "in time"
	if err := s.apply(pull, pull.sentAt.Add(maxAge)); err != nil {
		t.Fatal(err)
	}
	if s.proxy.routingTable.Load().FindRoute("h", "/late/1") == nil {
		t.Error("the same response in time was not applied")
	}
}

// The state is as old as the request, not as the moment at which the response is read, and the response to an earlier
// request does not make it older again.
func TestUpdateTimeIsRequestTime(t *testing.T) {
	s := newTestSubscription(t)
	now := time.Now().Add(time.Minute) // later than all pulls of the running proxy
	lastUpdate := func() time.Time {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.lastUpdate
	}
	for _, test := range []struct{ sent, read, want time.Duration }{
		{0, time.Second, 0},
		{500 * time.Millisecond, 600 * time.Millisecond, 500 * time.Millisecond},
		{100 * time.Millisecond, 700 * time.Millisecond, 500 * time.Millisecond}, // overtaken by the one before
	} {
		pull := answeredPull{
			addr:     "controller",
			request:  &message.PullRequest{},
			response: pullResponse(replication.Vector{}),
			sentAt:   now.Add(test.sent),
		}
		if err := s.apply(pull, now.Add(test.read)); err != nil || !lastUpdate().Equal(now.Add(test.want)) {
			t.Errorf("sent at %v, read at %v: as of %v, %v", test.sent, test.read, lastUpdate().Sub(now), err)
		}
	}
}

// Responses of an earlier incarnation of a controller, and those that were overtaken, revert nothing, neither an item
// nor the progress. A response to a request whose progress has been given up since does not advance the progress.
func TestResponsesOfEarlierIncarnation(t *testing.T) {
	s := newTestSubscription(t)
	now := time.Now().Add(time.Minute)
	apply := func(requested replication.Vector, response *message.PullResponse) {
		t.Helper()
		request := &message.PullRequest{Progress: requested}
		pull := answeredPull{addr: "controller", request: request, response: response, sentAt: now}
		if err := s.apply(pull, now); err != nil {
			t.Fatal(err)
		}
	}
	progressOf := func(origin string) uint64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.progress[origin]
	}
	full := pullResponse(replication.Vector{"life2": 5})
	full.Complete = true
	apply(nil, full)

	key := config.Key(config.KindRoutes, "new")
	known := replication.Vector{"life2": 5}
	apply(known, pullResponse(replication.Vector{"life2": 8}, routeItem(key, 9, "/nine/")))
	apply(known, pullResponse(replication.Vector{"life1": 3, "life2": 6}, routeItem(key, 8, "/eight/")))
	if progressOf("life2") != 8 || progressOf("life1") != 3 {
		t.Errorf("the progress is %d and %d, want 8 and 3", progressOf("life2"), progressOf("life1"))
	}
	table := s.proxy.routingTable.Load()
	if table.FindRoute("h", "/nine/1") == nil || table.FindRoute("h", "/eight/1") != nil {
		t.Error("the route went back to an older version")
	}

	givenUp := replication.Vector{"life2": 8, "life0": 4}
	apply(givenUp, pullResponse(replication.Vector{"life0": 7, "life2": 20}))
	if progressOf("life0") != 0 || progressOf("life2") != 8 {
		t.Errorf("the progress is %d and %d, want 0 and 8", progressOf("life0"), progressOf("life2"))
	}
}

// A survey with a lower number than the last is answered too: the controller may have restarted with its clock set
// back.
func TestSurveyAfterClockWentBack(t *testing.T) {
	s := newTestSubscription(t)
	for _, number := range []uint64{900, 700} {
		response := pullResponse(replication.Vector{})
		response.SurveyID = number
		sentAt := time.Now().Add(time.Minute)
		pull := answeredPull{addr: "controller", request: &message.PullRequest{}, response: response, sentAt: sentAt}
		if err := s.apply(pull, sentAt); err != nil {
			t.Fatal(err)
		}
		s.mu.Lock()
		if s.lastSurvey != number {
			t.Errorf("survey %d: the last that was answered is %d", number, s.lastSurvey)
		}
		s.mu.Unlock()
	}
}

// Once the lease is released no pull renews it.
func TestNoPullAfterLeaseRelease(t *testing.T) {
	s := newTestSubscription(t)
	addr := s.source()
	s.releaseLease(context.Background())
	if _, err := s.pull(context.Background(), addr, 0); !errors.Is(err, errLeaseReleased) {
		t.Errorf("pulled after the release: %v", err)
	}
}

// The progress of a part of a response only says where the next part begins: it proves nothing to another controller,
// which may hold what was left out under another origin. With the last part the progress of all counts.
func TestPartOfAResponseProvesNothingToOthers(t *testing.T) {
	s := newTestSubscription(t)
	deliver := func(addr string, truncated bool, progress replication.Vector) {
		t.Helper()
		request, continued := s.newPullRequest(addr, 0)
		response := pullResponse(progress)
		response.Truncated = truncated
		pull := answeredPull{addr: addr, request: request, response: response, sentAt: time.Now(), transfer: continued}
		if err := s.apply(pull, time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	progressFor := func(addr string) replication.Vector {
		request, _ := s.newPullRequest(addr, 0)
		return request.Progress
	}
	deliver("first", false, replication.Vector{"a": 3})
	deliver("first", true, replication.Vector{"a": 5, "b": 7})
	if got := progressFor("second"); got["a"] != 3 || got["b"] != 0 {
		t.Errorf("a pull from another controller claims %v", got)
	}
	if got := progressFor("first"); got["a"] != 5 || got["b"] != 7 {
		t.Errorf("the next part begins at %v", got)
	}
	deliver("first", true, replication.Vector{"a": 8})
	deliver("first", false, replication.Vector{"c": 1})
	if got := progressFor("second"); got["a"] != 8 || got["b"] != 7 || got["c"] != 1 {
		t.Errorf("after the last part a pull claims %v", got)
	}
}
