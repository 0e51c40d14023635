package rangesync

import "github.com/go-faster/errors"

//go:generate go tool easyjson $GOFILE

// Request asks the responder for the differences in some ranges.
//
//easyjson:json
type Request struct {
	// Session distinguishes the sessions of one initiator.
	Session uint64 `json:"s"`
	// Number distinguishes the requests of one session.
	Number uint64       `json:"n"`
	Ranges []RangeQuery `json:"r"`
}

// RangeQuery is a range with its summary on the initiator.
type RangeQuery struct {
	Range
	Summary
	// WantAll requests all entries of the range without a comparison.
	WantAll bool `json:"a,omitempty"`
}

// Response is the reply to the request with the same Session and Number. If the message is full, the response covers
// only the first ranges of the request; the initiator requests the others again.
//
//easyjson:json
type Response struct {
	Session uint64 `json:"s"`
	Number  uint64 `json:"n"`
	// Ranges are in the order of the ranges of the request.
	Ranges []RangeResult `json:"r"`
	// Keys are the keys of the entries to send with the response. The caller adds the entries to the message in its own
	// encoding.
	Keys []string `json:"-"`
}

// RangeResult is the reply for one range. Its zero value completes the range: both sides have the same entries, or all
// entries of the responder that the initiator may lack are sent with the response.
type RangeResult struct {
	// Truncated is set if only some of the changed entries are sent; the range must be requested again.
	Truncated bool `json:"a,omitempty"`
	// ResumeFrom is set if only the entries before this key are sent; the range from this key on must be requested.
	ResumeFrom string `json:"m,omitempty"`
	// SplitKeys are the keys at which the range is split: n keys yield n+1 parts.
	SplitKeys   []string `json:"b,omitempty"`
	PartCounts  []int    `json:"c,omitempty"`
	PartDigests []Digest `json:"d,omitempty"`
}

// Limits bound the size of messages and determine when entries are sent without comparing further.
type Limits struct {
	// MaxMessageBytes bounds the size of a request, and that of a response with its entries. A larger entry is sent in a
	// response of its own.
	MaxMessageBytes int
	// MaxRanges bounds the number of ranges in a request.
	MaxRanges int
	// SplitParts is the number of parts into which a range is split.
	SplitParts int
	// SendThreshold is the largest count of a range whose entries are all sent instead of splitting it.
	SendThreshold int
	// FillThreshold is the same for ranges in which the initiator has no entries.
	FillThreshold int
	// RecentKeys is how many of the latest changes are sent with the first split of a session.
	RecentKeys int
}

// DefaultLimits are the limits of the control group. docs/rangesync.md compares their cost with that of other limits.
var DefaultLimits = Limits{
	MaxMessageBytes: 256 << 10,
	MaxRanges:       256,
	SplitParts:      16,
	SendThreshold:   4,
	FillThreshold:   4096,
	RecentKeys:      16,
}

// ErrMalformed is returned for a message that a correct peer never sends.
var ErrMalformed = errors.New("malformed range synchronization message")

// valid reports whether a correct initiator may have sent the request.
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

// valid reports whether a correct responder may have sent the result for a range.
func (res RangeResult) valid(r Range) bool {
	parts := len(res.PartCounts)
	if parts != len(res.PartDigests) || parts == 1 || len(res.SplitKeys) != max(parts-1, 0) {
		return false
	}
	if res.Truncated && parts > 0 {
		return false
	}
	if res.ResumeFrom != "" && (res.Truncated || parts > 0 || !r.containsSplit(res.ResumeFrom)) {
		return false
	}
	for _, key := range res.SplitKeys {
		if !r.containsSplit(key) {
			return false
		}
		r.From = key
	}
	return true
}
