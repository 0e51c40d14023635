package rangesync

import "github.com/go-faster/errors"

// Request asks in what some ranges differ.
//
//easyjson:json
type Request struct {
	Session uint64       `json:"s"` // tells the asker's comparisons apart
	Number  uint64       `json:"n"` // of the request in the comparison
	Ranges  []RangeQuery `json:"r"`
}

// RangeQuery is a range and what the asker holds of it.
type RangeQuery struct {
	Range
	Summary
	WantAll bool `json:"a,omitempty"` // everything in it is wanted, without a comparison
}

// Response answers a request. Where the message is full it says nothing of the last ranges, which are asked for again.
//
//easyjson:json
type Response struct {
	Session uint64        `json:"s"`
	Number  uint64        `json:"n"`
	Ranges  []RangeResult `json:"r"` // as in the request
	// Keys are those whose entries go with the answer: the caller adds them to the message in its own form.
	Keys []string `json:"-"`
}

// RangeResult is what the answerer says of a range. Without any field the range is done: both hold the same, or all of the
// answerer's entries go with the answer.
type RangeResult struct {
	Truncated   bool     `json:"a,omitempty"` // some entries go with the answer, and the range is to be asked for again
	ResumeFrom  string   `json:"m,omitempty"` // entries before this key go with the answer, those from it on are to be asked for
	SplitKeys   []string `json:"b,omitempty"` // where the range is split: the parts lie before, between and after them
	PartCounts  []int    `json:"c,omitempty"` // of the parts
	PartDigests []Digest `json:"d,omitempty"` // of the parts
}

// Limits bound messages and say when to send entries rather than compare.
type Limits struct {
	MaxMessageBytes int // of an answer with its entries, or a request; one entry alone may be larger
	MaxRanges       int // in a request
	SplitParts      int // into which a range is split
	SendThreshold   int // a range of at most so many keys is sent rather than split
	FillThreshold   int // the same where the asker holds nothing of the range
	RecentKeys      int // so many of the latest changes go with the first split
}

// DefaultLimits are chosen by the measurements in docs/rangesync.md.
var DefaultLimits = Limits{MaxMessageBytes: 256 << 10, MaxRanges: 256, SplitParts: 16, SendThreshold: 4, FillThreshold: 4096, RecentKeys: 16}

// ErrMalformed is a message that no correct peer sends.
var ErrMalformed = errors.New("malformed comparison of ranges")

// What the fixed parts of messages take at most, in bytes of JSON.
const (
	numberBytes      = 20                                        // a number of 64 bits
	headerBytes      = len(`{"s":,"n":,"r":[]}`) + 2*numberBytes // of a request or an answer
	rangeQueryBytes  = len(`{"f":,"t":,"n":,"d":"","a":true},`) + numberBytes + digestTextBytes
	rangeResultBytes = len(`{"a":true,"m":,"b":[],"c":[],"d":[]},`)
	partBytes        = len(`,,"",`) + numberBytes + digestTextBytes
	escapedByteSize  = 6 // a byte written as \u00XX
	quotesSize       = 2
)

// size bounds the bytes that the range takes in a request.
func (a RangeQuery) size() int {
	return rangeQueryBytes + jsonStringSize(a.From) + jsonStringSize(a.To)
}

// valid tells whether a correct asker may have sent the request.
func (r *Request) valid(limits Limits) bool {
	if len(r.Ranges) == 0 || len(r.Ranges) > limits.MaxRanges {
		return false
	}
	for _, query := range r.Ranges {
		if !query.valid() {
			return false
		}
	}
	return true
}

// valid tells whether a correct answerer may have said this of a range.
func (t RangeResult) valid(r Range) bool {
	parts := len(t.PartCounts)
	if parts != len(t.PartDigests) || parts == 1 || len(t.SplitKeys) != max(parts-1, 0) {
		return false
	}
	if t.ResumeFrom != "" && (t.Truncated || parts > 0 || !r.containsSplit(t.ResumeFrom)) || t.Truncated && parts > 0 {
		return false
	}
	for _, bound := range t.SplitKeys {
		if !r.containsSplit(bound) {
			return false
		}
		r.From = bound
	}
	return true
}

// jsonStringSize bounds the bytes of a text in JSON.
func jsonStringSize(text string) int {
	size := quotesSize
	for i := range len(text) {
		size += jsonByteSize(text[i])
	}
	return size
}

// jsonByteSize bounds what a byte of a text takes. The characters U+2028 and U+2029 alone are escaped among those of several
// bytes: six for their three.
func jsonByteSize(b byte) int {
	switch {
	case b < ' ', b == '<', b == '>', b == '&', b == '"', b == '\\', b == 0x7f:
		return escapedByteSize
	case b == 0xe2:
		return escapedByteSize
	}
	return 1
}
