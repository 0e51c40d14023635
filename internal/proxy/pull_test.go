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

// pullResponse returns a response of a controller with quorum, in the current protocol version.
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

// routeItem returns the configuration item of a route for a path prefix.
func routeItem(key string, version uint64, pathPrefix string) replication.Item {
	body := fmt.Sprintf(`{"host":"h","pathStart":%q,"kind":"harmless","giveUp":"3s","service":"s"}`, pathPrefix)
	return configItem(key, version, body)
}

// A response that is read too late changes neither the configuration nor the update time.
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
		t.Error("the route of a stale response was applied")
	}
	pull.addr = "in time"
	if err := s.apply(pull, pull.sentAt.Add(maxAge)); err != nil {
		t.Fatal(err)
	}
	if s.proxy.routingTable.Load().FindRoute("h", "/late/1") == nil {
		t.Error("the same response, read in time, was not applied")
	}
}

// The update time is the time of the request, not the time at which the response is read. The response to an earlier
// request does not move it back.
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
		{100 * time.Millisecond, 700 * time.Millisecond, 500 * time.Millisecond}, // arrives out of order
	} {
		pull := answeredPull{
			addr:     "controller",
			request:  &message.PullRequest{},
			response: pullResponse(replication.Vector{}),
			sentAt:   now.Add(test.sent),
		}
		if err := s.apply(pull, now.Add(test.read)); err != nil || !lastUpdate().Equal(now.Add(test.want)) {
			t.Errorf("sent at %v, read at %v: update time %v, want %v; %v",
				test.sent, test.read, lastUpdate().Sub(now), test.want, err)
		}
	}
}

// Responses of an earlier incarnation of a controller, and responses that arrive out of order, revert neither an item
// nor the progress. A response to a request whose progress the proxy no longer has does not advance the progress.
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
	full := pullResponse(replication.Vector{"incarnation2": 5})
	full.Complete = true
	apply(nil, full)

	key := config.Key(config.KindRoutes, "new")
	known := replication.Vector{"incarnation2": 5}
	apply(known, pullResponse(replication.Vector{"incarnation2": 8}, routeItem(key, 9, "/nine/")))
	apply(known, pullResponse(replication.Vector{"incarnation1": 3, "incarnation2": 6}, routeItem(key, 8, "/eight/")))
	if progressOf("incarnation2") != 8 || progressOf("incarnation1") != 3 {
		t.Errorf("the progress is %d and %d, want 8 and 3", progressOf("incarnation2"), progressOf("incarnation1"))
	}
	table := s.proxy.routingTable.Load()
	if table.FindRoute("h", "/nine/1") == nil || table.FindRoute("h", "/eight/1") != nil {
		t.Error("the route was reverted to an older version")
	}

	discarded := replication.Vector{"incarnation2": 8, "incarnation0": 4}
	apply(discarded, pullResponse(replication.Vector{"incarnation0": 7, "incarnation2": 20}))
	if progressOf("incarnation0") != 0 || progressOf("incarnation2") != 8 {
		t.Errorf("the progress is %d and %d, want 0 and 8", progressOf("incarnation0"), progressOf("incarnation2"))
	}
}

// A survey with a lower number than the previous one must be answered, because the controller may have restarted after
// its clock was set back.
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
			t.Errorf("survey %d was not answered: the last answered survey is %d", number, s.lastSurvey)
		}
		s.mu.Unlock()
	}
}

// After the lease is released, pulls must not renew it.
func TestNoPullAfterLeaseRelease(t *testing.T) {
	s := newTestSubscription(t)
	addr := s.source()
	s.releaseLease(context.Background())
	if _, err := s.pull(context.Background(), addr, 0); !errors.Is(err, errLeaseReleased) {
		t.Errorf("pulled after the release: %v", err)
	}
}

// The progress of a part of a response is only a cursor for the next part. It must not be sent to another controller,
// which may hold the items of the missing parts under a different origin. The last part adds the progress of all parts.
func TestPartialProgressIsNotSentToOtherControllers(t *testing.T) {
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
		t.Errorf("a pull after the last part claims %v", got)
	}
}
