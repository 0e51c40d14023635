package cluster

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// Summary is what a ledger says of a span of time.
type Summary struct {
	Requests, Served, Refused, Failed int
	Lost                              int // reported as done, and never executed
	Duplicated                        int // non-idempotent, and executed twice, or executed in spite of a refusal
	Late                              int // arrivals at a removed backend, later than the bound after its removal
	Aborted                           int // runs that were broken off
	Incomplete                        int // attempts that ended without a complete response
	Mismatched                        int // responses that were another request's
	Removals                          int
	LastArrivalP50, LastArrivalMax    time.Duration            // from the removal to the last new request
	LastArrivalByMethod               map[string]time.Duration // the maximum, by the method of removal
	Kinds                             map[string]KindSummary
}

// KindSummary is what a ledger says of one kind of request.
type KindSummary struct {
	Requests, Served int
	Violations       int           // lost, duplicated, aborted, incomplete and mismatched together
	WaitP99          time.Duration // the 99th percentile of the latency beyond the work itself
}

// Summarize sums up the operations and removals that began within a span of time; to is excluded, and zero means
// without an end.
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

// duplicated reports whether a non-idempotent operation ran more often than it may.
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

// quantile returns the value below which a share q of the values lies; it sorts them.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

// Check returns an error where a guarantee was violated or nothing was served.
func (s Summary) Check() error {
	if s.Served == 0 {
		return errors.New("nothing was served")
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

// String returns the figures over all kinds of requests.
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

// CompareKinds returns the figures of each kind of request, and by how much the 99th percentile of the wait has grown
// over a summary of before.
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
