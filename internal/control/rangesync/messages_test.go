package rangesync

import (
	"testing"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"
	"github.com/mailru/easyjson/jwriter"
	"pgregory.net/rapid"
)

// The reckoned sizes bound what is written.
func TestSizeBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.OneOf(keyGen, rapid.String()).Draw(t, "text")
		w := jwriter.Writer{}
		w.String(text)
		if out, _ := w.BuildBytes(); len(out) > jsonStringSize(text) {
			t.Fatalf("%q takes %d bytes, reckoned %d", text, len(out), jsonStringSize(text))
		}
		digest := Digest{rapid.Uint64().Draw(t, "high"), rapid.Uint64().Draw(t, "low")}
		number := rapid.Int().Draw(t, "count")
		asked := RangeQuery{Range: Range{text, text}, Summary: Summary{number, digest}, WantAll: true}
		request, _ := easyjson.Marshal(&Request{Session: 1<<64 - 1, Number: 1<<64 - 1, Ranges: []RangeQuery{asked}})
		if most := headerBytes + asked.size(); len(request) > most {
			t.Fatalf("a request of %d bytes, reckoned %d", len(request), most)
		}
		told := RangeResult{SplitKeys: []string{text}, PartCounts: []int{number, number}, PartDigests: []Digest{digest, digest}}
		answer, _ := easyjson.Marshal(&Response{Session: 1<<64 - 1, Number: 1<<64 - 1, Ranges: []RangeResult{told}})
		if most := headerBytes + rangeResultBytes + 2*partBytes + jsonStringSize(text); len(answer) > most {
			t.Fatalf("an answer of %d bytes, reckoned %d", len(answer), most)
		}
		read := &Response{}
		if err := easyjson.Unmarshal(answer, read); err != nil || read.Ranges[0].PartDigests[1] != digest || utf8.ValidString(text) && read.Ranges[0].SplitKeys[0] != text {
			t.Fatalf("read back as %+v: %v", read, err)
		}
	})
}

// A text between two keys lies between them, and can go into a message.
func TestSeparator(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := rapid.SliceOfNDistinct(keyGen, 2, 2, rapid.ID[string]).Draw(t, "keys")
		low, high := min(keys[0], keys[1]), max(keys[0], keys[1])
		if s := shortestSeparator(low, high); s <= low || s > high || !utf8.ValidString(s) {
			t.Fatalf("%q between %q and %q", s, low, high)
		}
	})
}

// Requests that no correct asker sends are refused.
func TestMalformedRequests(t *testing.T) {
	index := NewIndex()
	a := Responder{Index: index, Limits: DefaultLimits, EntrySize: func(string) int { return 1 }}
	for name, request := range map[string]*Request{
		"no range":        {},
		"too many ranges": {Ranges: make([]RangeQuery, DefaultLimits.MaxRanges+1)},
		"ends turned":     {Ranges: []RangeQuery{{Range: Range{"b", "a"}}}},
		"an empty range":  {Ranges: []RangeQuery{{Range: Range{"a", "a"}}}},
	} {
		if _, err := a.Respond(request); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for _, text := range []string{`{"r":[{"d":"short"}]}`, `{"r":[{"d":"!!!!!!!!!!!!!!!!!!!!!!"}]}`, `{"r":[{"d":7}]}`} {
		if err := easyjson.Unmarshal([]byte(text), &Request{}); err == nil {
			t.Errorf("%s is read", text)
		}
	}
}

// Answers that no correct answerer sends are refused, and what was asked is asked again.
func TestMalformedResponses(t *testing.T) {
	digests := func(n int) []Digest { return make([]Digest, n) }
	counts := func(n int) []int { return make([]int, n) }
	for name, ranges := range map[string][]RangeResult{
		"nothing":               nil,
		"more than asked":       {{}, {}},
		"one part":              {{PartCounts: counts(1), PartDigests: digests(1)}},
		"no digest":             {{PartCounts: counts(2), PartDigests: digests(1), SplitKeys: []string{"k"}}},
		"no bound":              {{PartCounts: counts(2), PartDigests: digests(2)}},
		"a bound without parts": {{SplitKeys: []string{"k"}}},
		"a bound at the end":    {{PartCounts: counts(2), PartDigests: digests(2), SplitKeys: []string{"z"}}},
		"a bound at the start":  {{PartCounts: counts(2), PartDigests: digests(2), SplitKeys: []string{"a"}}},
		"bounds turned":         {{PartCounts: counts(3), PartDigests: digests(3), SplitKeys: []string{"k", "j"}}},
		"a rest that goes back": {{ResumeFrom: "a"}},
		"a rest beyond":         {{ResumeFrom: "z"}},
		"again and parts":       {{Truncated: true, PartCounts: counts(2), PartDigests: digests(2), SplitKeys: []string{"k"}}},
		"again and a rest":      {{Truncated: true, ResumeFrom: "k"}},
		"a rest and parts":      {{ResumeFrom: "k", PartCounts: counts(2), PartDigests: digests(2), SplitKeys: []string{"k"}}},
	} {
		s := NewSession(1, NewIndex(), Range{"a", "z"}, DefaultLimits)
		request := s.NextRequest()
		if err := s.HandleResponse(&Response{Session: 1, Number: request.Number, Ranges: ranges}); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
		if s.Done() || s.InFlight() != 0 {
			t.Errorf("%s: done %v, %d waiting", name, s.Done(), s.InFlight())
		}
		again := s.NextRequest()
		if again == nil || again.Number == request.Number || again.Ranges[0] != request.Ranges[0] {
			t.Errorf("%s: asked again by %+v", name, again)
		}
	}
}

// An answer to another session, or to a request that is not waited for, changes nothing.
func TestUnexpectedResponsesAreIgnored(t *testing.T) {
	s := NewSession(7, NewIndex(), Range{}, DefaultLimits)
	request := s.NextRequest()
	for _, answer := range []*Response{{Session: 6, Number: request.Number, Ranges: []RangeResult{{}}}, {Session: 7, Number: request.Number + 1, Ranges: []RangeResult{{}}}} {
		if err := s.HandleResponse(answer); err != nil || s.Done() || s.InFlight() != 1 {
			t.Errorf("%+v: %v, done %v", answer, err, s.Done())
		}
	}
	s.Abandon(request.Number)
	if err := s.HandleResponse(&Response{Session: 7, Number: request.Number, Ranges: []RangeResult{{}}}); err != nil || s.Done() {
		t.Errorf("an answer to a lost request: %v, done %v", err, s.Done())
	}
	request = s.NextRequest()
	if err := s.HandleResponse(&Response{Session: 7, Number: request.Number, Ranges: []RangeResult{{}}}); err != nil || !s.Done() || s.NextRequest() != nil {
		t.Errorf("the answer: %v, done %v", err, s.Done())
	}
}
