package server

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/control/replica"
)

const (
	maxOperations     = 64               // orders that are under way at once
	maxOperationBytes = 2 * maxCallBytes // bytes of their calls, so that a few large ones don't fill the memory
	operationTimeout  = 5 * time.Second  // for how long an order goes on by itself: it may be resent for about so long
)

// Reasons why an order has no clear answer.
var (
	errInProgress        = errors.New("the order is under way: ask again")
	errNoQuorum          = replica.ErrNoQuorum
	errTooManyOperations = errors.New("too many orders are under way here")
)

// operationGroup are the orders under way at this agent. An order that comes again joins the one that is under way, so that the two
// don't race; one that is not over when its caller's time is goes on, and is answered when it comes again.
type operationGroup struct {
	mu    sync.Mutex
	byKey map[string]*operation
	bytes int // of the calls under way
}

type operation struct {
	done    chan struct{}
	size    int
	version uint64
	err     error
}

// operationFunc is what an order has to have done: it tells the version of the register that stands with it, where that is wanted.
type operationFunc = func(ctx context.Context) (version uint64, err error)

// join waits for an order to end, and begins it unless it is under way. It returns errInProgress when ctx ends first. do is
// called once for all who join, with a time of its own. size is how many bytes the order holds while it is under way.
func (f *operationGroup) join(ctx context.Context, key string, size int, run operationFunc) (version uint64, err error) {
	running, err := f.joinOrStart(key, size, run)
	if err != nil {
		return 0, err
	}
	select {
	case <-running.done:
		return running.version, running.err
	case <-ctx.Done():
		return 0, errInProgress
	}
}

func (f *operationGroup) joinOrStart(key string, size int, run operationFunc) (*operation, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if running := f.byKey[key]; running != nil {
		return running, nil
	}
	if len(f.byKey) >= maxOperations || f.bytes+size > maxOperationBytes {
		return nil, errTooManyOperations
	}
	if f.byKey == nil {
		f.byKey = map[string]*operation{}
	}
	running := &operation{done: make(chan struct{}), size: size}
	f.byKey[key] = running
	f.bytes += size
	go f.execute(running, key, run)
	return running, nil
}

func (f *operationGroup) execute(running *operation, key string, run operationFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	running.version, running.err = run(ctx)
	f.mu.Lock()
	delete(f.byKey, key)
	f.bytes -= running.size
	f.mu.Unlock()
	close(running.done)
}

// retryWithoutQuorum does something again while too few members answer, until ctx ends. Each try has the time that a caller gives, so
// that what it reads first is not old when it decides.
func retryWithoutQuorum(ctx context.Context, timeout time.Duration, run func(ctx context.Context) error) error {
	for {
		attemptCtx, cancel := context.WithTimeout(ctx, timeout)
		err := run(attemptCtx)
		cancel()
		if !errors.Is(err, replica.ErrTooFewResponses) || ctx.Err() != nil {
			return err
		}
	}
}
