package server

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/control/config"
	"sagelever/internal/control/message"
	"sagelever/internal/control/replica"
)

// A change that is handed over gets the same result as if the operator had sent it to the coordinator.
func TestHandedOverChange(t *testing.T) {
	t.Parallel()
	cluster := newStartedCluster(t)
	first, second := cluster.running[0], cluster.running[1]
	handOver := func(body string) error {
		change, err := newConfigChange([]byte(body))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		return first.handOver(ctx, second.self, change)
	}
	if err := handOver(putItems(serviceItem("s", "00000007", "h"))); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the controller that handed the change over has its result", func() bool {
		return first.register(config.Key(config.KindServices, "s")).Value.Version == 7
	})
	for body, want := range map[string]int{
		putItems(serviceItem("s", "00000007", "other")):           http.StatusConflict,
		putItems(routeItem("r", "00000008", "/p/", "no-service")): http.StatusBadRequest,
	} {
		if err := handOver(body); statusOf(err) != want {
			t.Errorf("%s: %v, want %d", body, err, want)
		}
	}
}

// After two hand-overs without an answer the controller proposes the change itself. The coordinator may be unreachable
// or hang, or may run the previous version, which doesn't support the call.
func TestSilentCoordinator(t *testing.T) {
	t.Parallel()
	cluster := newStartedCluster(t)
	member := cluster.running[0]
	change, err := newConfigChange([]byte(putItems(serviceItem("s", "00000007", "h"))))
	if err != nil {
		t.Fatal(err)
	}
	change.mayHandOver = true
	hanging := cluster.running[1]
	for range maxFailedHandOvers - 1 {
		hanging.mu.Lock()
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		err := member.handOver(ctx, hanging.self, change)
		cancel()
		hanging.mu.Unlock()
		if !errors.Is(err, replica.ErrTooFewResponses) {
			t.Errorf("hand-over to a coordinator that hangs: %v", err)
		}
	}
	change.failedHandOvers = 0
	unreachable := message.Member{Node: "unreachable", Addr: cluster.ip(memberCount) + ":1"}
	for range maxFailedHandOvers {
		if !change.canHandOver() {
			t.Error("not handed over before the maximum of failed hand-overs")
		}
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		if err := member.handOver(ctx, unreachable, change); !errors.Is(err, replica.ErrTooFewResponses) {
			t.Errorf("hand-over to an unreachable coordinator: %v", err)
		}
		cancel()
	}
	if change.canHandOver() {
		t.Error("handed over after the maximum of failed hand-overs")
	}
	if err := member.commit(t.Context(), change); err != nil {
		t.Error(err)
	}
}
