package rangesync

// Bounds on the length of a session. Keys that are added all the while could otherwise keep it splitting a range
// forever.
const (
	// extraSplits is how many times more a range is split than the responder's count at the first split requires. After
	// that, all of its entries are requested.
	extraSplits = 2
	// maxRepeats is how often a range is requested again before the first split: more often than the history of the
	// responder can fill messages.
	maxRepeats = 64
	// maxLookBackRanges is the number of ranges in a request up to which results are compared with earlier summaries of
	// the initiator too, which walks the history for each part.
	maxLookBackRanges = 4
)

// Session is the initiator's side of one reconciliation. The caller sends the requests of NextRequest and passes in the
// responses, in any order, late or repeated; a request whose response does not come is given up with Abandon and its
// ranges are requested again. The caller must store the entries of a response and update its index before it calls
// HandleResponse. A Session is not safe for concurrent use.
type Session struct {
	id         uint64
	lastNumber uint64 // of the requests
	index      *Index
	limits     Limits
	maxSteps   int  // pendingRange.steps from which all entries are requested
	hasSplit   bool // the first split has been received
	// pending is a stack of the ranges that are to be requested. Going depth first keeps it short.
	pending  []pendingRange
	inFlight map[uint64][]pendingRange // ranges by the number of their request
}

// pendingRange is a range in which the sides may differ.
type pendingRange struct {
	Range
	steps       int // how often it was split off or repeated
	remoteCount int // the responder's count when the range was split off
}

// NewSession begins a reconciliation of a range. The id must differ from those of earlier sessions with the responder.
func NewSession(id uint64, index *Index, r Range, limits Limits) *Session {
	return &Session{
		id:       id,
		index:    index,
		limits:   limits,
		maxSteps: maxRepeats,
		pending:  []pendingRange{{Range: r}},
		inFlight: map[uint64][]pendingRange{},
	}
}

// Done reports whether the reconciliation is complete.
func (s *Session) Done() bool { return len(s.pending) == 0 && len(s.inFlight) == 0 }

// InFlight returns the number of requests without a response.
func (s *Session) InFlight() int { return len(s.inFlight) }

// NextRequest returns the next request to send; nil if there is none before the next response. It may be called
// repeatedly to have several requests in flight.
func (s *Session) NextRequest() *Request {
	if len(s.pending) == 0 {
		return nil
	}
	s.lastNumber++
	request := &Request{Session: s.id, Number: s.lastNumber}
	remaining := s.limits.MaxMessageBytes - headerBytes
	// Entries for ranges without any fill the response: further ranges would only go unanswered.
	fillBudget := s.limits.FillThreshold
	for len(s.pending) > 0 && len(request.Ranges) < s.limits.MaxRanges {
		next := s.pending[len(s.pending)-1]
		query := RangeQuery{Range: next.Range, Summary: s.index.Summary(next.Range), WantAll: next.steps >= s.maxSteps}
		remaining -= query.size()
		if remaining < 0 && len(request.Ranges) > 0 {
			break
		}
		if query.Count == 0 {
			fillBudget -= next.remoteCount
		}
		s.pending = s.pending[:len(s.pending)-1]
		s.inFlight[s.lastNumber] = append(s.inFlight[s.lastNumber], next)
		request.Ranges = append(request.Ranges, query)
		if fillBudget <= 0 {
			break
		}
	}
	return request
}

// Abandon gives up a request: its ranges will be requested again, and its response is ignored.
func (s *Session) Abandon(number uint64) {
	s.pending = append(s.pending, s.inFlight[number]...)
	delete(s.inFlight, number)
}

// HandleResponse handles a response. One to a request that is not in flight is ignored. For a malformed one it returns
// ErrMalformed and abandons the request.
func (s *Session) HandleResponse(response *Response) error {
	queried, expected := s.inFlight[response.Number]
	if response.Session != s.id || !expected {
		return nil
	}
	if !response.matches(queried) {
		s.Abandon(response.Number)
		return ErrMalformed
	}
	delete(s.inFlight, response.Number)
	s.pending = append(s.pending, queried[len(response.Ranges):]...)
	lookBack := len(queried) <= maxLookBackRanges
	for i, result := range response.Ranges {
		s.applyResult(queried[i], result, lookBack)
	}
	return nil
}

// matches reports whether a correct responder may have replied so to a request for the given ranges.
func (r *Response) matches(queried []pendingRange) bool {
	if len(r.Ranges) == 0 || len(r.Ranges) > len(queried) {
		return false
	}
	for i, result := range r.Ranges {
		if !result.valid(queried[i].Range) {
			return false
		}
	}
	return true
}

// applyResult adds to the pending ranges what may still differ after the result for a range.
func (s *Session) applyResult(queried pendingRange, result RangeResult, lookBack bool) {
	switch {
	case result.Truncated:
		queried.steps++
		s.pending = append(s.pending, queried)
	case result.ResumeFrom != "":
		queried.From = result.ResumeFrom
		s.pending = append(s.pending, queried)
	case len(result.PartCounts) > 0:
		s.applySplit(queried, result, lookBack)
	}
}

// applySplit adds the parts of a range that may still differ.
func (s *Session) applySplit(queried pendingRange, result RangeResult, lookBack bool) {
	if !s.hasSplit {
		s.hasSplit = true
		s.maxSteps = queried.steps + s.limits.splitLevels(result.PartCounts) + extraSplits
	}
	part := pendingRange{Range: queried.Range, steps: queried.steps + 1}
	for i, count := range result.PartCounts {
		part.To = queried.To
		if i < len(result.SplitKeys) {
			part.To = result.SplitKeys[i]
		}
		part.remoteCount = count
		remote := Summary{Count: count, Digest: result.PartDigests[i]}
		if count > 0 && !s.covers(part.Range, remote, lookBack) {
			s.pending = append(s.pending, part)
		}
		part.From = part.To
	}
}

// covers reports whether the initiator has everything that the responder has in a range: its summary is the same or, if
// lookBack is set, was the same before its latest changes. Entries never revert, so that the latter suffices.
func (s *Session) covers(r Range, remote Summary, lookBack bool) bool {
	if !lookBack {
		return s.index.Summary(r) == remote
	}
	_, known := s.index.keysChangedSince(r, remote)
	return known
}

// splitLevels returns how often a range must be split, including the parts with the given counts, until each part has a
// single entry.
func (l Limits) splitLevels(counts []int) (levels int) {
	entries := 0
	for _, count := range counts {
		entries += count
	}
	for ; entries > 1; levels++ {
		entries = (entries + l.SplitParts - 1) / l.SplitParts
	}
	return levels
}
