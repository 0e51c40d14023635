package rangesync

import (
	"math"
	"testing"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"
	"github.com/mailru/easyjson/jwriter"
	"pgregory.net/rapid"
)

// The computed sizes are upper bounds of the encoded messages.
func TestSizeBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.OneOf(keyGen, rapid.String()).Draw(t, "text")
		w := jwriter.Writer{}
		w.String(text)
		if encoded, _ := w.BuildBytes(); len(encoded) > jsonStringSize(text) {
			t.Fatalf("%q takes %d bytes, upper bound is %d", text, len(encoded), jsonStringSize(text))
		}
		digest := Digest{rapid.Uint64().Draw(t, "high"), rapid.Uint64().Draw(t, "low")}
		count := rapid.Int().Draw(t, "count")
		query := RangeQuery{Range: Range{text, text}, Summary: Summary{count, digest}, WantAll: true}
		request := &Request{Session: math.MaxUint64, Number: math.MaxUint64, Ranges: []RangeQuery{query}}
		limit := headerBytes + query.size()
		if size := transmit(request, &Request{}); size > limit {
			t.Fatalf("request takes %d bytes, upper bound is %d", size, limit)
		}
		result := RangeResult{
			SplitKeys:   []string{text},
			PartCounts:  []int{count, count},
			PartDigests: []Digest{digest, digest},
		}
		response := &Response{Session: math.MaxUint64, Number: math.MaxUint64, Ranges: []RangeResult{result}}
		received := &Response{}
		limit = headerBytes + rangeResultBytes + 2*partBytes + jsonStringSize(text)
		if size := transmit(response, received); size > limit {
			t.Fatalf("response takes %d bytes, upper bound is %d", size, limit)
		}
		decoded := received.Ranges[0]
		if decoded.PartDigests[1] != digest || utf8.ValidString(text) && decoded.SplitKeys[0] != text {
			t.Fatalf("decoded as %+v", received)
		}
	})
}

// The separator of two keys is greater than the first, at most the second, and valid UTF-8.
func TestShortestSeparator(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := rapid.SliceOfNDistinct(keyGen, 2, 2, rapid.ID[string]).Draw(t, "keys")
		low, high := min(keys[0], keys[1]), max(keys[0], keys[1])
		separator := shortestSeparator(low, high)
		if separator <= low || separator > high || !utf8.ValidString(separator) {
			t.Fatalf("%q between %q and %q", separator, low, high)
		}
	})
}

// Requests that a correct initiator never sends are rejected.
func TestMalformedRequests(t *testing.T) {
	responder := Responder{Index: NewIndex(), Limits: DefaultLimits, EntrySize: func(string) int { return 1 }}
	for name, request := range map[string]*Request{
		"no range":        {},
		"too many ranges": {Ranges: make([]RangeQuery, DefaultLimits.MaxRanges+1)},
		"reversed bounds": {Ranges: []RangeQuery{{Range: Range{"b", "a"}}}},
		"empty range":     {Ranges: []RangeQuery{{Range: Range{"a", "a"}}}},
	} {
		if _, err := responder.Respond(request); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestMalformedDigests(t *testing.T) {
	for _, text := range []string{
		`{"r":[{"d":"short"}]}`,
		`{"r":[{"d":"!!!!!!!!!!!!!!!!!!!!!!"}]}`,
		`{"r":[{"d":7}]}`,
	} {
		if err := easyjson.Unmarshal([]byte(text), &Request{}); err == nil {
			t.Errorf("%s was decoded without an error", text)
		}
	}
}

// Responses that a correct responder never sends are rejected, and their ranges are requested again.
func TestMalformedResponses(t *testing.T) {
	split := func(parts int, keys ...string) RangeResult {
		return RangeResult{PartCounts: make([]int, parts), PartDigests: make([]Digest, parts), SplitKeys: keys}
	}
	missingDigest := split(2, "k")
	missingDigest.PartDigests = missingDigest.PartDigests[:1]
	truncatedSplit := split(2, "k")
	truncatedSplit.Truncated = true
	resumedSplit := split(2, "k")
	resumedSplit.ResumeFrom = "k"
	for name, ranges := range map[string][]RangeResult{
		"no range":                {},
		"more ranges than asked":  {{}, {}},
		"one part":                {split(1)},
		"missing digest":          {missingDigest},
		"missing split key":       {split(2)},
		"split key without parts": {{SplitKeys: []string{"k"}}},
		"split at the end":        {split(2, "z")},
		"split at the start":      {split(2, "a")},
		"split keys out of order": {split(3, "k", "j")},
		"resume at the start":     {{ResumeFrom: "a"}},
		"resume at the end":       {{ResumeFrom: "z"}},
		"truncated split":         {truncatedSplit},
		"truncated and resume":    {{Truncated: true, ResumeFrom: "k"}},
		"split and resume":        {resumedSplit},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewSession(1, NewIndex(), Range{"a", "z"}, DefaultLimits)
			request := s.NextRequest()
			err := s.HandleResponse(&Response{Session: 1, Number: request.Number, Ranges: ranges})
			if !errors.Is(err, ErrMalformed) {
				t.Errorf("got error %v", err)
			}
			if s.Done() || s.InFlight() != 0 {
				t.Errorf("done %v, %d in flight", s.Done(), s.InFlight())
			}
			again := s.NextRequest()
			if again == nil || again.Number == request.Number || again.Ranges[0] != request.Ranges[0] {
				t.Errorf("next request is %+v", again)
			}
		})
	}
}

// A response to another session, or to a request that is not in flight, is ignored.
func TestUnexpectedResponsesAreIgnored(t *testing.T) {
	const session = 7
	s := NewSession(session, NewIndex(), Range{}, DefaultLimits)
	completing := func(session, number uint64) *Response {
		return &Response{Session: session, Number: number, Ranges: []RangeResult{{}}}
	}
	request := s.NextRequest()
	for _, response := range []*Response{completing(session-1, request.Number), completing(session, request.Number+1)} {
		if err := s.HandleResponse(response); err != nil || s.Done() || s.InFlight() != 1 {
			t.Errorf("%+v: %v, done %v", response, err, s.Done())
		}
	}
	s.Abandon(request.Number)
	if err := s.HandleResponse(completing(session, request.Number)); err != nil || s.Done() {
		t.Errorf("response to an abandoned request: %v, done %v", err, s.Done())
	}
	request = s.NextRequest()
	err := s.HandleResponse(completing(session, request.Number))
	if err != nil || !s.Done() || s.NextRequest() != nil {
		t.Errorf("expected response: %v, done %v", err, s.Done())
	}
}
