package cluster

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"
)

// Ledger is what happened, as appliances and clients saw it. It knows nothing of what the system thinks.
type Ledger struct {
	mu         sync.Mutex
	operations map[string]*operation
	attempts   map[string]*operation // by try id
	removals   map[string]*removal
}

// operation is what a client wants done once: all its tries together.
type operation struct {
	kind                string
	nonIdempotent       bool
	startedAt           time.Time
	completedRuns       int           // whole
	abortedRuns         int           // begun, and ended by a connection that closed before its client's time was over
	work                time.Duration // of the last whole run
	outcome             outcome
	incompleteResponses int // tries that ended without a complete answer while there was time
	mismatchedResponses int // answers that were not this one's
	refusals            int // tries that were refused with the promise that they never run
	endedAt             time.Time
}

type outcome uint8

const (
	outcomeUnknown   outcome = iota
	outcomeSucceeded         // a success
	outcomeRefused           // a promise that it has not run
	outcomeFailed
)

// removal is one removal of an appliance.
type removal struct {
	method         string
	acknowledgedAt time.Time // when it was acknowledged
	lastArrival    time.Time // the last new arrival
	lateArrivals   int       // new arrivals later than the bound
}

// NewLedger begins an empty one.
func NewLedger() *Ledger {
	return &Ledger{operations: map[string]*operation{}, attempts: map[string]*operation{}, removals: map[string]*removal{}}
}

// AttemptStarted notes a client's try for what it wants done.
func (l *Ledger) AttemptStarted(id, attempt, kind string, risky bool, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.operations[id]
	if o == nil {
		o = &operation{kind: kind, nonIdempotent: risky, startedAt: at}
		l.operations[id] = o
	}
	l.attempts[attempt] = o
}

// RequestArrived notes that an appliance has a request that is meant for it.
func (l *Ledger) RequestArrived(backend string, at time.Time, bound time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if removed := l.removals[backend]; removed != nil {
		removed.lastArrival = at
		if at.Sub(removed.acknowledgedAt) > bound {
			removed.lateArrivals++
		}
	}
}

// RunCompleted notes a whole run.
func (l *Ledger) RunCompleted(attempt string, work time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if op := l.attempts[attempt]; op != nil {
		op.completedRuns++
		op.work = work
	}
}

// RunAborted notes a run that was broken off before its client's time was over.
func (l *Ledger) RunAborted(attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if op := l.attempts[attempt]; op != nil {
		op.abortedRuns++
	}
}

// AttemptEnded notes how a try ended for its client; whole says whether the answer was complete, own whether it was this try's.
func (l *Ledger) AttemptEnded(attempt string, status int, complete, matches bool, inTime bool) {
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
	case status == 429 || status == 503:
		op.outcome = outcomeRefused
		op.refusals++
	default:
		op.outcome = outcomeFailed
	}
}

// OperationEnded notes that a client is done with what it wanted.
func (l *Ledger) OperationEnded(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.operations[id].endedAt = at
}

// RemovalAcknowledged notes that the removal of an appliance was acknowledged.
func (l *Ledger) RemovalAcknowledged(backend, method string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removals[backend] = &removal{method: method, acknowledgedAt: at}
}

// BackendReturned notes that it may have new work again: what came before is kept under another name.
func (l *Ledger) BackendReturned(backend string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if returned := l.removals[backend]; returned != nil {
		delete(l.removals, backend)
		l.removals[fmt.Sprint(backend, "/", at.UnixNano())] = returned
	}
}

// Summary are what a ledger says of a span.
type Summary struct {
	Requests, Served, Refused, Failed int
	Lost                              int // told done, and never run
	Duplicated                        int // risky, and run twice, or run though its refusal promised that it never would
	Late                              int // arrivals at one that leaves, later than the bound after its notice
	Aborted                           int // runs broken off
	Incomplete                        int // tries that ended without a complete answer
	Mismatched                        int // answers that were another's
	Removals                          int
	LastArrivalP50, LastArrivalMax    time.Duration            // from the notice to the last new arrival
	LastArrivalByMethod               map[string]time.Duration // the same by the way of leaving, at most
	Kinds                             map[string]KindSummary
}

// KindSummary is what a ledger says of one kind of request.
type KindSummary struct {
	Requests, Served, Violations int           // wrong: any of lost, doubled, cut, dropped and mixed
	WaitP99                      time.Duration // 99 of 100 waited no longer than that beyond their work
}

// Summarize sums up what was asked from a moment on, until another; zero: without an end.
func (l *Ledger) Summarize(from, to time.Time) Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	summary := Summary{Kinds: map[string]KindSummary{}, LastArrivalByMethod: map[string]time.Duration{}}
	waits := map[string][]time.Duration{}
	for _, op := range l.operations {
		if op.startedAt.Before(from) || !to.IsZero() && !op.startedAt.Before(to) {
			continue
		}
		summary.Requests++
		k, wrong := summary.Kinds[op.kind], op.abortedRuns+op.incompleteResponses+op.mismatchedResponses
		k.Requests++
		switch op.outcome {
		case outcomeSucceeded:
			summary.Served++
			k.Served++
			if op.completedRuns == 0 {
				summary.Lost++
				wrong++
			}
			waits[op.kind] = append(waits[op.kind], op.endedAt.Sub(op.startedAt)-op.work)
		case outcomeRefused:
			summary.Refused++
		default:
			summary.Failed++
		}
		if op.nonIdempotent && (op.completedRuns+op.abortedRuns > 1 || op.outcome == outcomeRefused && op.completedRuns+op.abortedRuns > 0) {
			summary.Duplicated++
			wrong++
		}
		summary.Aborted += op.abortedRuns
		summary.Incomplete += op.incompleteResponses
		summary.Mismatched += op.mismatchedResponses
		k.Violations += wrong
		summary.Kinds[op.kind] = k
	}
	for kind, w := range waits {
		k := summary.Kinds[kind]
		k.WaitP99 = quantile(w, 0.99)
		summary.Kinds[kind] = k
	}
	var stops []time.Duration
	for _, removed := range l.removals {
		if removed.acknowledgedAt.Before(from) || !to.IsZero() && !removed.acknowledgedAt.Before(to) {
			continue
		}
		summary.Removals++
		summary.Late += removed.lateArrivals
		last := max(0, removed.lastArrival.Sub(removed.acknowledgedAt))
		stops = append(stops, last)
		summary.LastArrivalByMethod[removed.method] = max(summary.LastArrivalByMethod[removed.method], last)
	}
	summary.LastArrivalP50, summary.LastArrivalMax = quantile(stops, 0.5), quantile(stops, 1)
	return summary
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

// Check is an error where anything was lost, doubled, late, cut, dropped or mixed up, or nothing was served.
func (f Summary) Check() error {
	switch {
	case f.Served == 0:
		return errors.New("nothing was served")
	case f.Lost+f.Duplicated+f.Late+f.Aborted+f.Incomplete+f.Mismatched > 0:
		return fmt.Errorf("lost=%d doubled=%d late_after_notice=%d cut=%d dropped=%d mixed=%d", f.Lost, f.Duplicated, f.Late, f.Aborted, f.Incomplete, f.Mismatched)
	}
	return nil
}

func (f Summary) String() string {
	s := fmt.Sprintf("requests=%d served=%d refused=%d failed=%d lost=%d doubled=%d late_after_notice=%d cut=%d dropped=%d mixed=%d",
		f.Requests, f.Served, f.Refused, f.Failed, f.Lost, f.Duplicated, f.Late, f.Aborted, f.Incomplete, f.Mismatched)
	if f.Removals > 0 {
		s += fmt.Sprintf(" removals=%d last_arrival_p50=%v last_arrival_max=%v", f.Removals, f.LastArrivalP50.Round(time.Millisecond), f.LastArrivalMax.Round(time.Millisecond))
	}
	for _, how := range slices.Sorted(maps.Keys(f.LastArrivalByMethod)) {
		s += fmt.Sprintf("\n  %s: last_arrival_max=%v", how, f.LastArrivalByMethod[how].Round(time.Millisecond))
	}
	return s
}

// CompareKinds are the figures of each kind of request, and by how much longer than before 99 of 100 have waited.
func (f Summary) CompareKinds(before Summary) (s string) {
	for _, name := range slices.Sorted(maps.Keys(f.Kinds)) {
		kind, previous := f.Kinds[name], before.Kinds[name]
		s += fmt.Sprintf("\n  %s: requests=%d served=%d wrong=%d waited_p99=%v added_p99=%v", name, kind.Requests, kind.Served, kind.Violations,
			kind.WaitP99.Round(time.Millisecond), (kind.WaitP99 - previous.WaitP99).Round(time.Millisecond))
	}
	return s
}
