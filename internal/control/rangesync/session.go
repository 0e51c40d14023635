package rangesync

// Bounds on the length of a session. Without them, a session would keep splitting a range as long as keys are added to
// it.
const (
	// extraSplits is the number of splits of a range beyond those that the responder's count at the first split requires.
	// After that, all entries of the range are requested.
	extraSplits = 2
	// maxRepeats is the number of repeated requests for a range before the first split. It exceeds the number of messages
	// that the history of the responder can fill.
	maxRepeats = 64
	// maxLookBackRanges is the maximum number of ranges in a request for which results are also compared with earlier
	// summaries of the initiator. The comparison walks the history for each part.
	maxLookBackRanges = 4
)

// Session is the initiator's side of one reconciliation. The caller sends the requests returned by NextRequest and
// passes the responses to HandleResponse; these may come late, repeatedly and in any order. If a request gets no
// response, the caller calls Abandon, so that its ranges are requested again. The caller must store the entries of a
// response and update its index before it calls HandleResponse. A Session is not safe for concurrent use.
type Session struct {
	id         uint64
	lastNumber uint64 // Number of the latest request
	index      *Index
	limits     Limits
	maxSteps   int  // value of pendingRange.steps from which all entries are requested
	hasSplit   bool // the first split has been received
	// pending is a stack of the ranges to request. Requesting them depth first keeps it short.
	pending  []pendingRange
	inFlight map[uint64][]pendingRange // the ranges of each request without a response, by the number of the request
}

// pendingRange is a range in which the sides may differ.
type pendingRange struct {
	Range
	steps       int // number of splits and repeats that led to this range
	remoteCount int // the responder's count at the split that produced this range
}

// NewSession begins a reconciliation of a range. The ID must differ from those of earlier sessions with the responder.
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

// NextRequest returns the next request to send, or nil if there is none until the next response. It may be called
// repeatedly to have several requests in flight.
func (s *Session) NextRequest() *Request {
	if len(s.pending) == 0 {
		return nil
	}
	s.lastNumber++
	request := &Request{Session: s.id, Number: s.lastNumber}
	remaining := s.limits.MaxMessageBytes - headerBytes
	// If the initiator has no entries in a range, the responder sends all of its own. Once these fill the response,
	// further ranges of the request would not be answered.
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

// Abandon stops waiting for the response to a request: its ranges will be requested again, and its response is ignored.
func (s *Session) Abandon(number uint64) {
	s.pending = append(s.pending, s.inFlight[number]...)
	delete(s.inFlight, number)
}

// HandleResponse handles a response. It ignores a response to a request that is not in flight. If the response is
// malformed, it abandons the request and returns ErrMalformed.
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

// matches reports whether a correct responder may have sent the response to a request for the given ranges.
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

// applyResult handles the result for a range. It adds to the pending ranges those parts of it that may still differ.
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

// applySplit adds the parts of a split range that may still differ to the pending ranges.
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

// covers reports whether the initiator has all entries that the responder has in a range: its summary equals the remote
// one or, if lookBack is set, did so before its latest changes. An earlier summary suffices because entries never
// revert.
func (s *Session) covers(r Range, remote Summary, lookBack bool) bool {
	if !lookBack {
		return s.index.Summary(r) == remote
	}
	_, known := s.index.keysChangedSince(r, remote)
	return known
}

// splitLevels returns how often the parts with the given counts must be split until each part has a single entry,
// including the split that produced these parts.
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
