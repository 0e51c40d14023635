package rangesync

import "github.com/go-faster/errors"

// Request asks in what some ranges differ.
//
//easyjson:json
type Request struct {
	Session uint64  `json:"s"` // tells the asker's comparisons apart
	Number  uint64  `json:"n"` // of the request in the comparison
	Ranges  []Asked `json:"r"`
}

// Asked is a range and what the asker holds of it.
type Asked struct {
	Range
	Summary
	All bool `json:"a,omitempty"` // everything in it is wanted, without a comparison
}

// Answer answers a request. Where the message is full it says nothing of the last ranges, which are asked for again.
//
//easyjson:json
type Answer struct {
	Session uint64 `json:"s"`
	Number  uint64 `json:"n"`
	Ranges  []Told `json:"r"` // as in the request
	// Keys are those whose entries go with the answer: the caller adds them to the message in its own form.
	Keys []string `json:"-"`
}

// Told is what the answerer says of a range. Without any field the range is done: both hold the same, or all of the
// answerer's entries go with the answer.
type Told struct {
	Again   bool     `json:"a,omitempty"` // some entries go with the answer, and the range is to be asked for again
	Rest    string   `json:"m,omitempty"` // entries before this key go with the answer, those from it on are to be asked for
	Bounds  []string `json:"b,omitempty"` // where the range is split: the parts lie before, between and after them
	Counts  []int    `json:"c,omitempty"` // of the parts
	Digests []Digest `json:"d,omitempty"` // of the parts
}

// Limits bound messages and say when to send entries rather than compare.
type Limits struct {
	MessageBytes int // of an answer with its entries, or a request; one entry alone may be larger
	Ranges       int // in a request
	Parts        int // into which a range is split
	SendKeys     int // a range of at most so many keys is sent rather than split
	FillKeys     int // the same where the asker holds nothing of the range
	RecentKeys   int // so many of the latest changes go with the first split
}

// DefaultLimits are chosen by the measurements in docs/rangesync.md.
var DefaultLimits = Limits{MessageBytes: 256 << 10, Ranges: 256, Parts: 16, SendKeys: 4, FillKeys: 4096, RecentKeys: 16}

// ErrMalformed is a message that no correct peer sends.
var ErrMalformed = errors.New("malformed comparison of ranges")

// What the fixed parts of messages take at most, in bytes of JSON.
const (
	numberText  = 20                                       // a number of 64 bits
	headText    = len(`{"s":,"n":,"r":[]}`) + 2*numberText // of a request or an answer
	askedText   = len(`{"f":,"t":,"n":,"d":"","a":true},`) + numberText + digestText
	toldText    = len(`{"a":true,"m":,"b":[],"c":[],"d":[]},`)
	partText    = len(`,,"",`) + numberText + digestText
	escapedText = 6 // a byte written as \u00XX
	quotesText  = 2
)

// size bounds the bytes that the range takes in a request.
func (a Asked) size() int { return askedText + textSize(a.From) + textSize(a.To) }

// valid tells whether a correct asker may have sent the request.
func (r *Request) valid(limits Limits) bool {
	if len(r.Ranges) == 0 || len(r.Ranges) > limits.Ranges {
		return false
	}
	for _, asked := range r.Ranges {
		if !asked.valid() {
			return false
		}
	}
	return true
}

// valid tells whether a correct answerer may have said this of a range.
func (t Told) valid(r Range) bool {
	parts := len(t.Counts)
	if parts != len(t.Digests) || parts == 1 || len(t.Bounds) != max(parts-1, 0) {
		return false
	}
	if t.Rest != "" && (t.Again || parts > 0 || !r.splits(t.Rest)) || t.Again && parts > 0 {
		return false
	}
	for _, bound := range t.Bounds {
		if !r.splits(bound) {
			return false
		}
		r.From = bound
	}
	return true
}

// textSize bounds the bytes of a text in JSON.
func textSize(text string) int {
	size := quotesText
	for i := range len(text) {
		size += byteSize(text[i])
	}
	return size
}

// byteSize bounds what a byte of a text takes. The characters U+2028 and U+2029 alone are escaped among those of several
// bytes: six for their three.
func byteSize(b byte) int {
	switch {
	case b < ' ', b == '<', b == '>', b == '&', b == '"', b == '\\', b == 0x7f:
		return escapedText
	case b == 0xe2:
		return escapedText
	}
	return 1
}
