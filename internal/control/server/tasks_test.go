package server

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replica"
)

// Guards against a proposal that begins after its time, and after its result was reported as a failure: the process is
// suspended between the two.
func TestTaskDoesNotStartAfterItsTime(t *testing.T) {
	t.Parallel()
	const key, timeout = "zone/a1", 50 * time.Millisecond
	cluster := newStartedCluster(t)
	member := cluster.running[0]
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	ended := make(chan error, 1)
	member.mu.Lock()
	go func() {
		_, err := member.propose(ctx, map[string]quorum.UpdateFunc{key: func(current quorum.Value) quorum.Value {
			return quorum.Value{Version: current.Version + 1, Body: "late"}
		}})
		ended <- err
	}()
	time.Sleep(2 * timeout)
	member.mu.Unlock()
	if err := <-ended; !errors.Is(err, replica.ErrTooFewResponses) {
		t.Errorf("a task without time left: %v, want %v", err, replica.ErrTooFewResponses)
	}
	time.Sleep(4 * tickInterval)
	for i := range memberCount {
		if value := cluster.running[i].register(key).Value; value.Version != 0 {
			t.Errorf("member %d holds %q, which was proposed after its time", i, value.Body)
		}
	}
}
