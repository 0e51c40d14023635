package proxy

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/graceful"
	"sagelever/internal/proxy/retry"
)

// maxDrainNotice bounds the time for which a proxy that shuts down still accepts connections, as clients learn with a
// delay that they should use another proxy.
const maxDrainNotice = 2 * time.Second

// errShutdownDeadline is the cause with which a request's context ends at the shutdown deadline.
var errShutdownDeadline = errors.New("the time for requests in flight is over")

// shutdownSchedule divides the shutdown grace period of a proxy. Its parts follow one another, and leave the rest of the
// grace period for the release of the lease and the exit.
type shutdownSchedule struct {
	notice   time.Duration     // connections are still accepted
	requests graceful.Schedule // for requests in flight; the shutdown deadline is at the end of its first part
}

// newShutdownSchedule divides the grace period: requests that are still in flight after 53/60 of it are answered within a
// further twentieth, whatever part of it clients need to notice.
func newShutdownSchedule(grace time.Duration) shutdownSchedule {
	notice := min(grace/3, maxDrainNotice)
	return shutdownSchedule{
		notice:   notice,
		requests: graceful.Schedule{Drain: grace*53/60 - notice, Answers: grace / 20},
	}
}

// shutdownDeadline is the moment during the shutdown of a proxy at which all requests that are still in flight must be
// answered. Without it they would end with the process, and their clients would get no answer.
type shutdownDeadline struct {
	ctx  context.Context
	pass context.CancelFunc // makes the deadline pass
}

func newShutdownDeadline() *shutdownDeadline {
	ctx, cancel := context.WithCancel(context.Background())
	return &shutdownDeadline{ctx: ctx, pass: cancel}
}

// passed reports whether the deadline has passed.
func (d *shutdownDeadline) passed() bool { return d.ctx.Err() != nil }

// whenPassed calls f in its own goroutine when the deadline has passed, unless stop is called before.
func (d *shutdownDeadline) whenPassed(f func()) (stop func() bool) {
	return context.AfterFunc(d.ctx, f)
}

// cancellationEvent returns the event that ended the context of a request.
func cancellationEvent(ctx context.Context) retry.Event {
	switch {
	case errors.Is(context.Cause(ctx), errShutdownDeadline):
		return retry.ShutdownDeadline
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return retry.Timeout
	}
	return retry.ClientDisconnected
}
