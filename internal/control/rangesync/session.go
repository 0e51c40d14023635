package rangesync

// Session is the asker's side of one comparison. Requests come out, answers go in, in any order, late or more than once;
// a request without an answer is given up by Lost, and its ranges are asked for again. The caller takes up the entries of
// an answer, and brings its index up to date with them, before it hands in the answer.
type Session struct {
	id      uint64
	number  uint64
	index   *Index
	limits  Limits
	open    []pending            // the ranges that are to be asked for; the last ones go first, which keeps the list short
	waiting map[uint64][]pending // by the numbers of the requests
}

// pending is a range that may differ.
type pending struct {
	Range
	splits int // how often it was split off, or asked for again
	told   int // how many entries the answerer had in it
}

// mostSplits is how often a range is split before all of it is asked for: new keys in it, told by others all the while,
// could go on splitting it without end. So many splits into two are enough for 2^32 keys.
const mostSplits = 32

// NewSession begins a comparison of a range; the number of the session tells it apart from the asker's earlier ones with
// the same answerer.
func NewSession(id uint64, index *Index, r Range, limits Limits) *Session {
	return &Session{id: id, index: index, limits: limits, open: []pending{{Range: r}}, waiting: map[uint64][]pending{}}
}

// Done tells whether the asker has been sent all.
func (s *Session) Done() bool { return len(s.open) == 0 && len(s.waiting) == 0 }

// Waiting is how many requests are without an answer.
func (s *Session) Waiting() int { return len(s.waiting) }

// Next is a request to send, nil where none is left to be sent now. It may be called again before the answer is there, for
// several requests on the way at once.
func (s *Session) Next() *Request {
	if len(s.open) == 0 {
		return nil
	}
	s.number++
	request := &Request{Session: s.id, Number: s.number}
	room, fill := s.limits.MessageBytes-headText, s.limits.FillKeys
	for len(s.open) > 0 && len(request.Ranges) < s.limits.Ranges {
		p := s.open[len(s.open)-1]
		asked := Asked{Range: p.Range, Summary: s.index.Summary(p.Range), All: p.splits >= mostSplits}
		if room -= asked.size(); room < 0 && len(request.Ranges) > 0 {
			break
		}
		if asked.Count == 0 { // its entries fill the answer: more of these would go unanswered
			fill -= p.told
		}
		s.open = s.open[:len(s.open)-1]
		s.waiting[s.number] = append(s.waiting[s.number], p)
		request.Ranges = append(request.Ranges, asked)
		if fill <= 0 {
			break
		}
	}
	return request
}

// Lost gives up a request: its answer is not waited for any more.
func (s *Session) Lost(number uint64) {
	s.open = append(s.open, s.waiting[number]...)
	delete(s.waiting, number)
}

// Answered takes an answer. One that is not waited for changes nothing. One that is malformed is an error; its request is
// lost.
func (s *Session) Answered(answer *Answer) error {
	asked, waited := s.waiting[answer.Number]
	if answer.Session != s.id || !waited {
		return nil
	}
	if !answer.fits(asked) {
		s.Lost(answer.Number)
		return ErrMalformed
	}
	delete(s.waiting, answer.Number)
	s.open = append(s.open, asked[len(answer.Ranges):]...)
	for i, told := range answer.Ranges {
		s.take(asked[i], told, len(asked) <= fewRanges)
	}
	return nil
}

// fits tells whether an answer may be one to what was asked.
func (a *Answer) fits(asked []pending) bool {
	if len(a.Ranges) == 0 || len(a.Ranges) > len(asked) {
		return false
	}
	for i, told := range a.Ranges {
		if !told.valid(asked[i].Range) {
			return false
		}
	}
	return true
}

// take keeps of a range what still may differ.
func (s *Session) take(p pending, told Told, few bool) {
	switch {
	case told.Again:
		p.splits++
		s.open = append(s.open, p)
		return
	case told.Rest != "":
		p.From = told.Rest
		s.open = append(s.open, p)
		return
	}
	part := pending{Range: p.Range, splits: p.splits + 1}
	for i, count := range told.Counts {
		part.To, part.told = p.To, count
		if i < len(told.Bounds) {
			part.To = told.Bounds[i]
		}
		if count > 0 && !s.holds(part.Range, Summary{count, told.Digests[i]}, few) {
			s.open = append(s.open, part)
		}
		part.From = part.To
	}
}

// fewRanges bounds the work of looking back: each range in an answer to so many is sought among the latest changes.
const fewRanges = 4

// holds tells whether the asker holds all that the answerer says of a range: it says the same now, or where it looks back
// said the same before its latest changes. What it holds never goes back.
func (s *Session) holds(r Range, theirs Summary, lookBack bool) bool {
	if !lookBack {
		return s.index.Summary(r) == theirs
	}
	_, known := s.index.since(r, theirs)
	return known
}
