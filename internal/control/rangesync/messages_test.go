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
func TestSizesBoundTexts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.OneOf(keyGen, rapid.String()).Draw(t, "text")
		w := jwriter.Writer{}
		w.String(text)
		if out, _ := w.BuildBytes(); len(out) > textSize(text) {
			t.Fatalf("%q takes %d bytes, reckoned %d", text, len(out), textSize(text))
		}
		digest := Digest{rapid.Uint64().Draw(t, "high"), rapid.Uint64().Draw(t, "low")}
		number := rapid.Int().Draw(t, "count")
		asked := Asked{Range: Range{text, text}, Summary: Summary{number, digest}, All: true}
		request, _ := easyjson.Marshal(&Request{Session: 1<<64 - 1, Number: 1<<64 - 1, Ranges: []Asked{asked}})
		if most := headText + asked.size(); len(request) > most {
			t.Fatalf("a request of %d bytes, reckoned %d", len(request), most)
		}
		told := Told{Bounds: []string{text}, Counts: []int{number, number}, Digests: []Digest{digest, digest}}
		answer, _ := easyjson.Marshal(&Answer{Session: 1<<64 - 1, Number: 1<<64 - 1, Ranges: []Told{told}})
		if most := headText + toldText + 2*partText + textSize(text); len(answer) > most {
			t.Fatalf("an answer of %d bytes, reckoned %d", len(answer), most)
		}
		read := &Answer{}
		if err := easyjson.Unmarshal(answer, read); err != nil || read.Ranges[0].Digests[1] != digest || utf8.ValidString(text) && read.Ranges[0].Bounds[0] != text {
			t.Fatalf("read back as %+v: %v", read, err)
		}
	})
}

// A text between two keys lies between them, and can go into a message.
func TestSeparator(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := rapid.SliceOfNDistinct(keyGen, 2, 2, rapid.ID[string]).Draw(t, "keys")
		low, high := min(keys[0], keys[1]), max(keys[0], keys[1])
		if s := separator(low, high); s <= low || s > high || !utf8.ValidString(s) {
			t.Fatalf("%q between %q and %q", s, low, high)
		}
	})
}

// Requests that no correct asker sends are refused.
func TestMalformedRequests(t *testing.T) {
	index := NewIndex()
	a := Answerer{Index: index, Limits: DefaultLimits, Size: func(string) int { return 1 }}
	for name, request := range map[string]*Request{
		"no range":        {},
		"too many ranges": {Ranges: make([]Asked, DefaultLimits.Ranges+1)},
		"ends turned":     {Ranges: []Asked{{Range: Range{"b", "a"}}}},
		"an empty range":  {Ranges: []Asked{{Range: Range{"a", "a"}}}},
	} {
		if _, err := a.Answer(request); !errors.Is(err, ErrMalformed) {
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
func TestMalformedAnswers(t *testing.T) {
	digests := func(n int) []Digest { return make([]Digest, n) }
	counts := func(n int) []int { return make([]int, n) }
	for name, ranges := range map[string][]Told{
		"nothing":               nil,
		"more than asked":       {{}, {}},
		"one part":              {{Counts: counts(1), Digests: digests(1)}},
		"no digest":             {{Counts: counts(2), Digests: digests(1), Bounds: []string{"k"}}},
		"no bound":              {{Counts: counts(2), Digests: digests(2)}},
		"a bound without parts": {{Bounds: []string{"k"}}},
		"a bound at the end":    {{Counts: counts(2), Digests: digests(2), Bounds: []string{"z"}}},
		"a bound at the start":  {{Counts: counts(2), Digests: digests(2), Bounds: []string{"a"}}},
		"bounds turned":         {{Counts: counts(3), Digests: digests(3), Bounds: []string{"k", "j"}}},
		"a rest that goes back": {{Rest: "a"}},
		"a rest beyond":         {{Rest: "z"}},
		"again and parts":       {{Again: true, Counts: counts(2), Digests: digests(2), Bounds: []string{"k"}}},
		"again and a rest":      {{Again: true, Rest: "k"}},
		"a rest and parts":      {{Rest: "k", Counts: counts(2), Digests: digests(2), Bounds: []string{"k"}}},
	} {
		s := NewSession(1, NewIndex(), Range{"a", "z"}, DefaultLimits)
		request := s.Next()
		if err := s.Answered(&Answer{Session: 1, Number: request.Number, Ranges: ranges}); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
		if s.Done() || s.Waiting() != 0 {
			t.Errorf("%s: done %v, %d waiting", name, s.Done(), s.Waiting())
		}
		again := s.Next()
		if again == nil || again.Number == request.Number || again.Ranges[0] != request.Ranges[0] {
			t.Errorf("%s: asked again by %+v", name, again)
		}
	}
}

// An answer to another session, or to a request that is not waited for, changes nothing.
func TestAnswersNotWaitedFor(t *testing.T) {
	s := NewSession(7, NewIndex(), Range{}, DefaultLimits)
	request := s.Next()
	for _, answer := range []*Answer{{Session: 6, Number: request.Number, Ranges: []Told{{}}}, {Session: 7, Number: request.Number + 1, Ranges: []Told{{}}}} {
		if err := s.Answered(answer); err != nil || s.Done() || s.Waiting() != 1 {
			t.Errorf("%+v: %v, done %v", answer, err, s.Done())
		}
	}
	s.Lost(request.Number)
	if err := s.Answered(&Answer{Session: 7, Number: request.Number, Ranges: []Told{{}}}); err != nil || s.Done() {
		t.Errorf("an answer to a lost request: %v, done %v", err, s.Done())
	}
	request = s.Next()
	if err := s.Answered(&Answer{Session: 7, Number: request.Number, Ranges: []Told{{}}}); err != nil || !s.Done() || s.Next() != nil {
		t.Errorf("the answer: %v, done %v", err, s.Done())
	}
}
