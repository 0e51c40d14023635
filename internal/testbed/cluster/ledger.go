package cluster

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Ledger records events as backends and clients observe them, independently of the state of the load balancer. It is
// safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	operations map[string]*operation
	attempts   map[string]*operation // by attempt ID
	removals   map[string]*removal   // by backend ID
}

// operation is a request of a client with all its attempts.
type operation struct {
	kind                string
	nonIdempotent       bool
	startedAt           time.Time
	endedAt             time.Time
	completedRuns       int
	drops               int           // requests that a backend received and never answered, without executing them
	abortedRuns         int           // aborted by a closed connection before the client's deadline
	work                time.Duration // execution time of the last completed run
	outcome             outcome       // of the last attempt
	arrivals            []Arrival
	incompleteResponses int // attempts without a complete response before the deadline
	mismatchedResponses int // responses that belonged to another request
}

// outcome is the result of the last attempt as the client saw it.
type outcome uint8

const (
	outcomeUnknown outcome = iota
	outcomeSucceeded
	outcomeRefused // with the guarantee that the request was not executed
	outcomeFailed
)

// removal is one removal of a backend from service.
type removal struct {
	method         string
	acknowledgedAt time.Time
	lastArrival    time.Time // of a new request
	lateArrivals   int       // new requests that arrived after the bound
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		operations: map[string]*operation{},
		attempts:   map[string]*operation{},
		removals:   map[string]*removal{},
	}
}

// AttemptStarted records the start of an attempt. The first attempt of an operation creates the operation.
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

// RequestArrived records that a request arrived at its target backend. bound is how long after the removal of a backend
// new requests may arrive.
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

// RunCompleted records that a backend has executed an attempt, and the execution time.
func (l *Ledger) RunCompleted(attempt string, work time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if op := l.attempts[attempt]; op != nil {
		op.completedRuns++
		op.work = work
	}
}

// Arrival is a request that a backend has received, and what it did with it.
type Arrival struct {
	Backend string // incarnation that received it
	Target  string // incarnation that it was sent to
	Caller  string // address of the proxy's end of the connection
	Address string // of the backend's end
	At      time.Time
	Effect  string
}

// String returns the arrival as a line of a report.
func (a Arrival) String() string {
	return fmt.Sprintf("%s from %s at %s %s, meant for %s: %s",
		a.At.Format("15:04:05.000"), a.Caller, a.Address, a.Backend, a.Target, a.Effect)
}

// RecordArrival records an arrival of an attempt.
func (l *Ledger) RecordArrival(attempt string, arrival Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if op := l.attempts[attempt]; op != nil {
		op.arrivals = append(op.arrivals, arrival)
	}
}

// Arrivals returns the arrivals of the operation of an attempt.
func (l *Ledger) Arrivals(attempt string) []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	if op := l.attempts[attempt]; op != nil {
		return slices.Clone(op.arrivals)
	}
	return nil
}

// Effects returns the number of arrivals by their effect, and of those on a connection on which the same attempt had
// arrived before.
func (l *Ledger) Effects() (counts map[string]int, sameConnection int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts = map[string]int{}
	for _, op := range l.operations {
		type connection struct{ caller, address string }
		connections := map[connection]bool{}
		for _, arrival := range op.arrivals {
			counts[arrival.Effect]++
			current := connection{arrival.Caller, arrival.Address}
			if connections[current] {
				sameConnection++
			}
			connections[current] = true
		}
	}
	return counts, sameConnection
}

// Runs returns how often the operation of an attempt was executed, and how often its execution was aborted.
func (l *Ledger) Runs(attempt string) (completed, aborted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if op := l.attempts[attempt]; op != nil {
		return op.completedRuns, op.abortedRuns
	}
	return 0, 0
}

// RequestDropped records that a backend has received an attempt, and neither executes nor answers it.
func (l *Ledger) RequestDropped(attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if op := l.attempts[attempt]; op != nil {
		op.drops++
	}
}

// Drops returns how often backends have dropped the operation of an attempt.
func (l *Ledger) Drops(attempt string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if op := l.attempts[attempt]; op != nil {
		return op.drops
	}
	return 0
}

// RunAborted records that the execution of an attempt was aborted before the client's deadline.
func (l *Ledger) RunAborted(attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if op := l.attempts[attempt]; op != nil {
		op.abortedRuns++
	}
}

// AttemptEnded records the end of an attempt at the client: the status, whether the response was complete, whether it
// belonged to this attempt, and whether the attempt ended before the deadline.
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

// OperationEnded records that a client has received its response or has given up.
func (l *Ledger) OperationEnded(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.operations[id].endedAt = at
}

// RemovalAcknowledged records that a controller acknowledged the removal of a backend.
func (l *Ledger) RemovalAcknowledged(backend, method string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removals[backend] = &removal{method: method, acknowledgedAt: at}
}

// BackendReturned records that a removed backend may receive new requests again. The record of its removal is kept
// under another key.
func (l *Ledger) BackendReturned(backend string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if returned := l.removals[backend]; returned != nil {
		delete(l.removals, backend)
		l.removals[fmt.Sprint(backend, "/", at.UnixNano())] = returned
	}
}
