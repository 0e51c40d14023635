package server

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/control/config"
	"sagelever/internal/control/replica"
)

// A valid change that takes longer than its caller waits continues, and the caller gets the result by repeating it.
func TestOperationOutlivesCaller(t *testing.T) {
	t.Parallel()
	cluster := newStartedCluster(t)
	body := putItems(serviceItem("s", "00000007", "h"))
	for i := 1; i < memberCount; i++ {
		cluster.running[i].mu.Lock() // the member hangs
	}
	status, text := cluster.call(0, "settings.change", body)
	for i := 1; i < memberCount; i++ {
		cluster.running[i].mu.Unlock()
	}
	if status != http.StatusServiceUnavailable || !strings.Contains(text, "in progress") {
		t.Fatalf("two members of three hang: %d %s", status, text)
	}
	key := config.Key(config.KindServices, "s")
	waitUntil(t, "the change is chosen", func() bool { return cluster.running[0].register(key).Chosen })
	cluster.wantStatus(0, http.StatusOK, "settings.change", body)
	cluster.wantStatus(1, http.StatusOK, "settings.change", body)
}

// An operation that is requested many times concurrently runs once. If there are too many concurrent operations, or if
// their requests are too large, further ones are rejected with 503.
func TestOperationGroup(t *testing.T) {
	t.Parallel()
	const version = 7
	group := &operationGroup{}
	unblock := make(chan struct{})
	runs := 0
	var joined []*operation
	for range 20 { // all have joined before the operation can end
		op, err := group.joinOrStart("the same", 0, func(context.Context) (uint64, error) {
			runs++
			<-unblock
			return version, nil
		})
		if err != nil {
			t.Fatal(err)
		}
		joined = append(joined, op)
	}
	var others sync.WaitGroup
	for i := range maxOperations - 1 {
		others.Go(func() {
			_, _ = group.join(t.Context(), fmt.Sprint(i), 0, func(context.Context) (uint64, error) {
				<-unblock
				return 0, nil
			})
		})
	}
	waitUntil(t, "the group is full", func() bool { return group.size() == maxOperations })
	unexpected := func(context.Context) (uint64, error) {
		t.Error("a rejected operation runs")
		return 0, nil
	}
	_, err := group.join(t.Context(), "one more", 0, unexpected)
	if !errors.Is(err, errTooManyOperations) || statusOf(err) != http.StatusServiceUnavailable {
		t.Errorf("one operation too many: %v", err)
	}
	close(unblock)
	others.Wait()
	_, err = group.join(t.Context(), "too large beside another", maxOperationBytes+1, unexpected)
	if !errors.Is(err, errTooManyOperations) || group.bytes != 0 {
		t.Errorf("too many bytes: %v, %d bytes are left", err, group.bytes)
	}
	for _, op := range joined {
		if <-op.done; op.version != version || op.err != nil {
			t.Errorf("version %d, error %v", op.version, op.err)
		}
	}
	if runs != 1 {
		t.Errorf("ran %d times", runs)
	}
	if left := group.size(); left > 0 {
		t.Errorf("%d operations are left", left)
	}
}

// An operation is retried while too few members respond. Any other result, or the end of its context, ends it.
func TestRetryTooFewResponses(t *testing.T) {
	t.Parallel()
	attempts := 0
	policy := retryPolicy{
		attemptTimeout: time.Minute,
		minAttemptTime: func() time.Duration { return 0 },
		random:         func() float64 { return 0 },
	}
	err := policy.run(t.Context(), func(context.Context) error {
		attempts++
		if attempts < 4 {
			return replica.ErrTooFewResponses
		}
		return &config.ConflictError{}
	})
	if attempts != 4 || statusOf(err) != http.StatusConflict {
		t.Errorf("%d attempts, %v", attempts, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	err = policy.run(ctx, func(context.Context) error {
		cancel()
		return replica.ErrTooFewResponses
	})
	if !errors.Is(err, replica.ErrTooFewResponses) || statusOf(err) != http.StatusServiceUnavailable {
		t.Errorf("after the end of the context: %v", err)
	}
}

// No attempt starts if the time left is less than the minimum duration of an attempt.
func TestNoAttemptWithoutTime(t *testing.T) {
	t.Parallel()
	const minAttemptTime, timeout = 40 * time.Millisecond, 300 * time.Millisecond
	policy := retryPolicy{
		attemptTimeout: time.Minute,
		minAttemptTime: func() time.Duration { return minAttemptTime },
		random:         func() float64 { return 0 },
	}
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	attempts := 0
	err := policy.run(ctx, func(context.Context) error {
		attempts++
		if left := time.Until(deadline); left < minAttemptTime {
			t.Errorf("attempt %d starts %s before the deadline", attempts, left)
		}
		return replica.ErrTooFewResponses
	})
	if !errors.Is(err, replica.ErrTooFewResponses) || attempts > 4 {
		t.Errorf("%d attempts, %v", attempts, err)
	}
}
