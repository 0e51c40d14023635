package cluster

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Ledger records what happened, as backends and clients saw it. It knows nothing of what the load balancer thinks. It
// is safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	operations map[string]*operation
	attempts   map[string]*operation // by the attempt's ID
	removals   map[string]*removal   // by backend
}

// operation is what a client wants done once: all its attempts together.
type operation struct {
	kind                string
	nonIdempotent       bool
	startedAt           time.Time
	endedAt             time.Time
	completedRuns       int
	abortedRuns         int           // begun, and ended by a connection that closed before the client's time was over
	work                time.Duration // of the last completed run
	outcome             outcome       // of the last attempt
	incompleteResponses int           // attempts that ended without a complete response while there was time
	mismatchedResponses int           // responses that were another request's
}

// outcome is what the last response said to the client.
type outcome uint8

const (
	outcomeUnknown outcome = iota
	outcomeSucceeded
	outcomeRefused // with the promise that the request was not executed
	outcomeFailed
)

// removal is one removal of a backend.
type removal struct {
	method         string
	acknowledgedAt time.Time
	lastArrival    time.Time // of a new request
	lateArrivals   int       // new requests later than the bound
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		operations: map[string]*operation{},
		attempts:   map[string]*operation{},
		removals:   map[string]*removal{},
	}
}

// AttemptStarted records that a client makes an attempt for an operation. The first one starts the operation.
func (l *Ledger) AttemptStarted(id, attempt, kind string, nonIdempotent bool, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	op := l.operations[id]
	if op == nil {
		op = &operation{kind: kind, nonIdempotent: nonIdempotent, startedAt: at}
		l.operations[id] = op
	}
	l.attempts[attempt] = op
}

// RequestArrived records that a backend has a request that is meant for it. bound is how long after its removal that
// may happen.
func (l *Ledger) RequestArrived(backend string, at time.Time, bound time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	removed := l.removals[backend]
	if removed == nil {
		return
	}
	removed.lastArrival = at
	if at.Sub(removed.acknowledgedAt) > bound {
		removed.lateArrivals++
	}
}

// RunCompleted records that a backend has executed an attempt, and for how long.
func (l *Ledger) RunCompleted(attempt string, work time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if op := l.attempts[attempt]; op != nil {
		op.completedRuns++
		op.work = work
	}
}

// Runs returns how often the operation of an attempt was executed, and how often its execution was broken off.
func (l *Ledger) Runs(attempt string) (completed, aborted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if op := l.attempts[attempt]; op != nil {
		return op.completedRuns, op.abortedRuns
	}
	return 0, 0
}

// RunAborted records that the execution of an attempt was broken off before its client's time was over.
func (l *Ledger) RunAborted(attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if op := l.attempts[attempt]; op != nil {
		op.abortedRuns++
	}
}

// AttemptEnded records how an attempt ended for its client: whether the response was complete, whether it was this
// attempt's, and whether there was time left for it.
func (l *Ledger) AttemptEnded(attempt string, status int, complete, matches, inTime bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	op := l.attempts[attempt]
	switch {
	case !complete:
		if inTime {
			op.incompleteResponses++
		}
		op.outcome = outcomeFailed
	case status/100 == 2 && !matches:
		op.mismatchedResponses++
	case status/100 == 2:
		op.outcome = outcomeSucceeded
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		op.outcome = outcomeRefused
	default:
		op.outcome = outcomeFailed
	}
}

// OperationEnded records that a client has given an operation up, or has its response.
func (l *Ledger) OperationEnded(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.operations[id].endedAt = at
}

// RemovalAcknowledged records that the removal of a backend, by some method, was acknowledged.
func (l *Ledger) RemovalAcknowledged(backend, method string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removals[backend] = &removal{method: method, acknowledgedAt: at}
}

// BackendReturned records that a removed backend may have new requests again. Its removal is kept under another key.
func (l *Ledger) BackendReturned(backend string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if returned := l.removals[backend]; returned != nil {
		delete(l.removals, backend)
		l.removals[fmt.Sprint(backend, "/", at.UnixNano())] = returned
	}
}
