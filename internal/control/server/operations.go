package server

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/backoff"
	"sagelever/internal/control/calls"
	"sagelever/internal/control/dedup"
	"sagelever/internal/control/replica"
)

const (
	// maxOperations bounds the number of operations in progress.
	maxOperations = 64

	// maxOperationBytes bounds the total size of the requests of operations in progress, so that a few large requests
	// don't exhaust the memory.
	maxOperationBytes = 2 * maxConfigBytes

	// operationTimeout bounds an operation. It is longer than a caller waits for one response, and about as long as
	// callers repeat their request.
	operationTimeout = 5 * time.Second
)

// operationFunc executes an operation. It returns the resulting version of the changed register, or 0 if no caller
// needs the version.
type operationFunc func(ctx context.Context) (version uint64, err error)

// operationGroup runs operations. An operation with a key runs once, however often it is requested while it is in
// progress, so that repetitions of an order don't compete with one another. An operation continues after its callers have
// given up; they get its result by requesting it again before it ends. The zero value is ready to use.
type operationGroup struct {
	mu       sync.Mutex
	byKey    map[string]*operation
	bytes    int    // of the requests of all operations in progress
	separate uint64 // number of operations that were started by runSeparately
}

// operation is an operation in progress. version and err may be read once done is closed.
type operation struct {
	done    chan struct{}
	size    int // of the request, in bytes
	version uint64
	err     error
}

// operationKey identifies an operation by its call and its arguments.
func operationKey(call calls.Name, arguments ...string) string {
	return string(call) + " " + strings.Join(arguments, "\x00")
}

// run is like join, for an operation without a version.
func (g *operationGroup) run(ctx context.Context, key string, size int, do func(ctx context.Context) error) error {
	_, err := g.join(ctx, key, size, func(ctx context.Context) (uint64, error) { return 0, do(ctx) })
	return err
}

// runSeparately runs an operation that no other request joins, and returns its result like join. An order without a version
// must not join an earlier one like it, which may have been decided before the order arrived.
func (g *operationGroup) runSeparately(ctx context.Context, size int, do operationFunc) (version uint64, err error) {
	g.mu.Lock()
	g.separate++
	key := strconv.FormatUint(g.separate, 10)
	g.mu.Unlock()
	return g.join(ctx, key, size, do)
}

// join waits for the operation with a key and returns its result. If the operation is not in progress, join starts it
// by calling do. size is the size of the request in bytes, which the operation keeps in memory. join returns
// errInProgress if ctx ends first, and errTooManyOperations if the operation can't be started.
func (g *operationGroup) join(ctx context.Context, key string, size int, do operationFunc) (version uint64, err error) {
	current, err := g.joinOrStart(key, size, do)
	if err != nil {
		return 0, err
	}
	select {
	case <-current.done:
		return current.version, current.err
	case <-ctx.Done():
		return 0, errInProgress
	}
}

// joinOrStart returns the operation with a key. It starts the operation if it is not in progress.
func (g *operationGroup) joinOrStart(key string, size int, do operationFunc) (*operation, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if current := g.byKey[key]; current != nil {
		return current, nil
	}
	if len(g.byKey) >= maxOperations || g.bytes+size > maxOperationBytes {
		return nil, errTooManyOperations
	}
	if g.byKey == nil {
		g.byKey = map[string]*operation{}
	}
	started := &operation{done: make(chan struct{}), size: size}
	g.byKey[key] = started
	g.bytes += size
	go g.execute(started, key, do)
	return started, nil
}

// execute runs an operation with a timeout that is independent of the callers.
func (g *operationGroup) execute(current *operation, key string, do operationFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	current.version, current.err = do(ctx)
	g.remove(current, key)
	close(current.done)
}

func (g *operationGroup) remove(ended *operation, key string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.byKey, key)
	g.bytes -= ended.size
}

// size returns the number of operations in progress.
func (g *operationGroup) size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.byKey)
}

// resendWindow returns how long after an order without a version the same order counts as a repetition.
func (s *Server) resendWindow() time.Duration {
	return dedup.ResendWindow(s.settings.RuleLimits.ConfirmTimeout)
}

// retryBackoff determines the pause between two attempts of an operation.
var retryBackoff = backoff.Policy{Initial: 100 * time.Millisecond, Max: 400 * time.Millisecond}

// retryPolicy determines how an operation is retried while too few members respond.
type retryPolicy struct {
	// attemptTimeout bounds an attempt, so that the values that it reads are not outdated when it proposes.
	attemptTimeout time.Duration
	// minAttemptTime returns the minimum duration of an attempt. No attempt starts if less time is left.
	minAttemptTime func() time.Duration
	random         func() float64
}

// newRetryPolicy returns the retry policy for this controller's operations.
func (s *Server) newRetryPolicy(attemptTimeout time.Duration) retryPolicy {
	return retryPolicy{attemptTimeout: attemptTimeout, minAttemptTime: s.roundTime, random: rand.Float64}
}

// roundTime returns the last measured duration of a round.
func (s *Server) roundTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.RoundTime()
}

// run calls do, and retries it after a pause while too few members respond, or the configuration changes during the attempt,
// and enough time is left for another one.
func (p retryPolicy) run(ctx context.Context, do func(ctx context.Context) error) error {
	for attempts := 1; ; attempts++ {
		err := attempt(ctx, p.attemptTimeout, do)
		if !errors.Is(err, replica.ErrTooFewResponses) && !errors.Is(err, errConfigurationChanged) {
			return err
		}
		pause := retryBackoff.Delay(attempts, p.random())
		deadline, ok := ctx.Deadline()
		if ok && time.Until(deadline) < pause+p.minAttemptTime() {
			return err
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return err
		}
	}
}

// attempt calls do with a timeout.
func attempt(ctx context.Context, timeout time.Duration, do func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return do(ctx)
}
