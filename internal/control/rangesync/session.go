package rangesync

// Session is the asker's side of one comparison. Requests come out, answers go in, in any order, late or more than once;
// a request without an answer is given up by Lost, and its ranges are asked for again. The caller takes up the entries of
// an answer, and brings its index up to date with them, before it hands in the answer.
type Session struct {
	id         uint64
	lastNumber uint64
	index      *Index
	limits     Limits
	maxSteps   int                       // after so many steps all of a range is asked for
	hasSplit   bool                      // the first split has come
	pending    []pendingRange            // the ranges that are to be asked for; the last ones go first, which keeps the list short
	inFlight   map[uint64][]pendingRange // by the numbers of the requests
}

// pendingRange is a range that may differ.
type pendingRange struct {
	Range
	steps       int // how often it was split off, or asked for again
	remoteCount int // how many entries the answerer had in it
}

// New keys in a range, told by others all the while, could go on splitting it without end. So it is split as often as the
// answerer's keys at the first split take, and extraSplits times more; then all of it is asked for. Before the first split
// it is asked for again maxRepeats times at most: more than the history fills messages with.
const (
	extraSplits = 2
	maxRepeats  = 64
)

// NewSession begins a comparison of a range; the number of the session tells it apart from the asker's earlier ones with
// the same answerer.
func NewSession(id uint64, index *Index, r Range, limits Limits) *Session {
	return &Session{id: id, index: index, limits: limits, maxSteps: maxRepeats, pending: []pendingRange{{Range: r}}, inFlight: map[uint64][]pendingRange{}}
}

// Done tells whether the asker has been sent all.
func (s *Session) Done() bool { return len(s.pending) == 0 && len(s.inFlight) == 0 }

// InFlight is how many requests are without an answer.
func (s *Session) InFlight() int { return len(s.inFlight) }

// NextRequest is a request to send, nil where none is left to be sent now. It may be called again before the answer is there, for
// several requests on the way at once.
func (s *Session) NextRequest() *Request {
	if len(s.pending) == 0 {
		return nil
	}
	s.lastNumber++
	request := &Request{Session: s.id, Number: s.lastNumber}
	remaining, fillBudget := s.limits.MaxMessageBytes-headerBytes, s.limits.FillThreshold
	for len(s.pending) > 0 && len(request.Ranges) < s.limits.MaxRanges {
		p := s.pending[len(s.pending)-1]
		query := RangeQuery{Range: p.Range, Summary: s.index.Summary(p.Range), WantAll: p.steps >= s.maxSteps}
		if remaining -= query.size(); remaining < 0 && len(request.Ranges) > 0 {
			break
		}
		if query.Count == 0 { // its entries fill the answer: more of these would go unanswered
			fillBudget -= p.remoteCount
		}
		s.pending = s.pending[:len(s.pending)-1]
		s.inFlight[s.lastNumber] = append(s.inFlight[s.lastNumber], p)
		request.Ranges = append(request.Ranges, query)
		if fillBudget <= 0 {
			break
		}
	}
	return request
}

// Abandon gives up a request: its answer is not waited for any more.
func (s *Session) Abandon(number uint64) {
	s.pending = append(s.pending, s.inFlight[number]...)
	delete(s.inFlight, number)
}

// HandleResponse takes an answer. One that is not waited for changes nothing. One that is malformed is an error; its request is
// lost.
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
	for i, result := range response.Ranges {
		s.applyResult(queried[i], result, len(queried) <= maxLookBackRanges)
	}
	return nil
}

// matches tells whether an answer may be one to what was asked.
func (a *Response) matches(queried []pendingRange) bool {
	if len(a.Ranges) == 0 || len(a.Ranges) > len(queried) {
		return false
	}
	for i, told := range a.Ranges {
		if !told.valid(queried[i].Range) {
			return false
		}
	}
	return true
}

// applyResult keeps of a range what still may differ.
func (s *Session) applyResult(p pendingRange, result RangeResult, lookBack bool) {
	switch {
	case result.Truncated:
		p.steps++
		s.pending = append(s.pending, p)
		return
	case result.ResumeFrom != "":
		p.From = result.ResumeFrom
		s.pending = append(s.pending, p)
		return
	}
	if !s.hasSplit && len(result.PartCounts) > 0 {
		s.hasSplit = true
		s.maxSteps = p.steps + s.limits.splitLevels(result.PartCounts) + extraSplits
	}
	part := pendingRange{Range: p.Range, steps: p.steps + 1}
	for i, count := range result.PartCounts {
		part.To, part.remoteCount = p.To, count
		if i < len(result.SplitKeys) {
			part.To = result.SplitKeys[i]
		}
		if count > 0 && !s.covers(part.Range, Summary{count, result.PartDigests[i]}, lookBack) {
			s.pending = append(s.pending, part)
		}
		part.From = part.To
	}
}

// splitLevels is how often a range with so many entries in its parts is split until single ones are left.
func (l Limits) splitLevels(counts []int) (n int) {
	entries := 0
	for _, count := range counts {
		entries += count
	}
	for ; entries > 1; n++ {
		entries = (entries + l.SplitParts - 1) / l.SplitParts
	}
	return n
}

// maxLookBackRanges bounds the work of looking back: each range in an answer to so many is sought among the latest changes.
const maxLookBackRanges = 4

// covers tells whether the asker holds all that the answerer says of a range: it says the same now, or where it looks back
// said the same before its latest changes. What it holds never goes back.
func (s *Session) covers(r Range, remote Summary, lookBack bool) bool {
	if !lookBack {
		return s.index.Summary(r) == remote
	}
	_, known := s.index.keysChangedSince(r, remote)
	return known
}
