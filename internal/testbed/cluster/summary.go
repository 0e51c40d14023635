package cluster

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// Summary counts the operations and removals of a ledger within a time range.
type Summary struct {
	Requests, Served, Refused, Failed int
	Lost                              int // reported as successful but never executed
	Duplicated                        int // non-idempotent, and executed more than once or despite a refusal
	Late                              int // requests that arrived at a removed backend after the bound
	Aborted                           int // executions that were aborted
	Incomplete                        int // attempts without a complete response
	Mismatched                        int // responses that belonged to another request
	Removals                          int
	LastArrivalP50, LastArrivalMax    time.Duration            // from the removal to the last new request
	LastArrivalByMethod               map[string]time.Duration // maximum by method of removal
	Kinds                             map[string]KindSummary
}

// KindSummary counts the operations of one kind of request.
type KindSummary struct {
	Requests, Served int
	Violations       int           // lost, duplicated, aborted, incomplete and mismatched together
	WaitP99          time.Duration // 99th percentile of the latency minus the execution time
}

// Summarize returns a summary of the operations and removals that began at or after from and before to. A zero to means
// no upper limit.
func (l *Ledger) Summarize(from, to time.Time) Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	within := func(moment time.Time) bool {
		return !moment.Before(from) && (to.IsZero() || moment.Before(to))
	}
	summary := Summary{Kinds: map[string]KindSummary{}, LastArrivalByMethod: map[string]time.Duration{}}
	waits := map[string][]time.Duration{}
	for _, op := range l.operations {
		if !within(op.startedAt) {
			continue
		}
		summary.addOperation(op)
		if op.outcome == outcomeSucceeded {
			waits[op.kind] = append(waits[op.kind], op.endedAt.Sub(op.startedAt)-op.work)
		}
	}
	for name, values := range waits {
		kind := summary.Kinds[name]
		kind.WaitP99 = quantile(values, 0.99)
		summary.Kinds[name] = kind
	}
	var lastArrivals []time.Duration
	for _, removed := range l.removals {
		if within(removed.acknowledgedAt) {
			lastArrivals = append(lastArrivals, summary.addRemoval(removed))
		}
	}
	summary.LastArrivalP50 = quantile(lastArrivals, 0.5)
	summary.LastArrivalMax = quantile(lastArrivals, 1)
	return summary
}

func (s *Summary) addOperation(op *operation) {
	kind := s.Kinds[op.kind]
	violations := op.abortedRuns + op.incompleteResponses + op.mismatchedResponses
	s.Requests++
	kind.Requests++
	switch op.outcome {
	case outcomeSucceeded:
		s.Served++
		kind.Served++
		if op.completedRuns == 0 {
			s.Lost++
			violations++
		}
	case outcomeRefused:
		s.Refused++
	default:
		s.Failed++
	}
	if op.duplicated() {
		s.Duplicated++
		violations++
	}
	s.Aborted += op.abortedRuns
	s.Incomplete += op.incompleteResponses
	s.Mismatched += op.mismatchedResponses
	kind.Violations += violations
	s.Kinds[op.kind] = kind
}

// duplicated reports whether a non-idempotent operation was executed more than once, or despite a refusal.
func (o *operation) duplicated() bool {
	if !o.nonIdempotent {
		return false
	}
	runs := o.completedRuns + o.abortedRuns
	return runs > 1 || o.outcome == outcomeRefused && runs > 0
}

// addRemoval counts a removal, and returns how long after it the last new request arrived.
func (s *Summary) addRemoval(removed *removal) (lastArrival time.Duration) {
	s.Removals++
	s.Late += removed.lateArrivals
	lastArrival = max(0, removed.lastArrival.Sub(removed.acknowledgedAt))
	s.LastArrivalByMethod[removed.method] = max(s.LastArrivalByMethod[removed.method], lastArrival)
	return lastArrival
}

// quantile returns the q-quantile of values. It sorts values in place.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

// Check returns an error if a guarantee was violated or no request was served.
func (s Summary) Check() error {
	if s.Served == 0 {
		return errors.New("no request was served")
	}
	if s.Lost+s.Duplicated+s.Late+s.Aborted+s.Incomplete+s.Mismatched > 0 {
		return errors.New(s.violations())
	}
	return nil
}

func (s Summary) violations() string {
	return fmt.Sprintf("lost=%d doubled=%d late_after_notice=%d cut=%d dropped=%d mixed=%d",
		s.Lost, s.Duplicated, s.Late, s.Aborted, s.Incomplete, s.Mismatched)
}

// String returns the figures of all kinds of requests together.
func (s Summary) String() string {
	text := fmt.Sprintf("requests=%d served=%d refused=%d failed=%d %s",
		s.Requests, s.Served, s.Refused, s.Failed, s.violations())
	if s.Removals > 0 {
		text += fmt.Sprintf(" removals=%d last_arrival_p50=%v last_arrival_max=%v",
			s.Removals, s.LastArrivalP50.Round(time.Millisecond), s.LastArrivalMax.Round(time.Millisecond))
	}
	for _, method := range slices.Sorted(maps.Keys(s.LastArrivalByMethod)) {
		lastArrival := s.LastArrivalByMethod[method].Round(time.Millisecond)
		text += fmt.Sprintf("\n  %s: last_arrival_max=%v", method, lastArrival)
	}
	return text
}

// CompareKinds returns the figures of each kind of request, with the increase of the 99th percentile of the wait since
// an earlier summary.
func (s Summary) CompareKinds(before Summary) (text string) {
	for _, name := range slices.Sorted(maps.Keys(s.Kinds)) {
		kind := s.Kinds[name]
		added := kind.WaitP99 - before.Kinds[name].WaitP99
		text += fmt.Sprintf("\n  %s: requests=%d served=%d wrong=%d waited_p99=%v added_p99=%v",
			name, kind.Requests, kind.Served, kind.Violations,
			kind.WaitP99.Round(time.Millisecond), added.Round(time.Millisecond))
	}
	return text
}
