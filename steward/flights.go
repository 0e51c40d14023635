package steward

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/control/replica"
)

const (
	mostFlights = 64              // orders that are under way at once
	mostFlying  = 2 * longestCall // bytes of their calls, so that a few large ones don't fill the memory
	flightTerm  = 5 * time.Second // for how long an order goes on by itself: it may be resent for about so long
)

// Reasons why an order has no clear answer.
var (
	errUnderWay  = errors.New("the order is under way: ask again")
	errCutOff    = replica.ErrUnsound
	errManyUnder = errors.New("too many orders are under way here")
)

// flights are the orders under way at this agent. An order that comes again joins the one that is under way, so that the two
// don't race; one that is not over when its caller's time is goes on, and is answered when it comes again.
type flights struct {
	mu    sync.Mutex
	byKey map[string]*flight
	bytes int // of the calls under way
}

type flight struct {
	ended   chan struct{}
	size    int
	version uint64
	err     error
}

// task is what an order has to have done: it tells the version of the register that stands with it, where that is wanted.
type task = func(ctx context.Context) (version uint64, err error)

// join waits for an order to end, and begins it unless it is under way. It returns errUnderWay when ctx ends first. do is
// called once for all who join, with a time of its own. size is how many bytes the order holds while it is under way.
func (f *flights) join(ctx context.Context, key string, size int, do task) (version uint64, err error) {
	x, err := f.find(key, size, do)
	if err != nil {
		return 0, err
	}
	select {
	case <-x.ended:
		return x.version, x.err
	case <-ctx.Done():
		return 0, errUnderWay
	}
}

func (f *flights) find(key string, size int, do task) (*flight, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x := f.byKey[key]; x != nil {
		return x, nil
	}
	if len(f.byKey) >= mostFlights || f.bytes+size > mostFlying {
		return nil, errManyUnder
	}
	if f.byKey == nil {
		f.byKey = map[string]*flight{}
	}
	x := &flight{ended: make(chan struct{}), size: size}
	f.byKey[key] = x
	f.bytes += size
	go f.fly(x, key, do)
	return x, nil
}

func (f *flights) fly(x *flight, key string, do task) {
	ctx, cancel := context.WithTimeout(context.Background(), flightTerm)
	defer cancel()
	x.version, x.err = do(ctx)
	f.mu.Lock()
	delete(f.byKey, key)
	f.bytes -= x.size
	f.mu.Unlock()
	close(x.ended)
}

// insist does something again while too few members answer, until ctx ends. Each try has the time that a caller gives, so
// that what it reads first is not old when it decides.
func insist(ctx context.Context, term time.Duration, do func(ctx context.Context) error) error {
	for {
		try, cancel := context.WithTimeout(ctx, term)
		err := do(try)
		cancel()
		if !errors.Is(err, replica.ErrFew) || ctx.Err() != nil {
			return err
		}
	}
}
