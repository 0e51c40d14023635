package rangesync

import "unicode/utf8"

// Range is the set of keys k with From <= k < To, in byte order. An empty To means that there is no upper bound.
type Range struct {
	From string `json:"f,omitempty"`
	To   string `json:"t,omitempty"`
}

// PrefixRange returns the range of the keys that begin with a prefix. Keys and prefix must be valid UTF-8. The bounds
// of the range are valid UTF-8 too, because they are sent in messages.
func PrefixRange(prefix string) Range {
	// The upper bound is the prefix with its last rune incremented. Trailing runes without a successor are removed first.
	for head := prefix; head != ""; {
		last, size := utf8.DecodeLastRuneInString(head)
		head = head[:len(head)-size]
		if last < utf8.MaxRune {
			return Range{From: prefix, To: head + string(nextRune(last))}
		}
	}
	return Range{From: prefix}
}

// nextRune returns the next code point that can be encoded in UTF-8, which excludes the surrogates.
func nextRune(r rune) rune {
	const (
		lastBeforeSurrogates = 0xD7FF
		firstAfterSurrogates = 0xE000
	)
	if r == lastBeforeSurrogates {
		return firstAfterSurrogates
	}
	return r + 1
}

// Contains reports whether a key lies in the range.
func (r Range) Contains(key string) bool { return r.From <= key && !r.endsBefore(key) }

// endsBefore reports whether a key lies at or beyond the upper bound.
func (r Range) endsBefore(key string) bool { return r.To != "" && r.To <= key }

// valid reports whether From is less than To.
func (r Range) valid() bool { return r.To == "" || r.From < r.To }

// containsSplit reports whether a key lies strictly inside the range, so that splitting there yields two smaller
// ranges.
func (r Range) containsSplit(key string) bool { return r.From < key && !r.endsBefore(key) }

// Summary is the count of the entries in a range and their digest. Equal summaries imply equal entries, except with a
// negligible probability (see Digest).
type Summary struct {
	Count  int    `json:"n,omitempty"`
	Digest Digest `json:"d"`
}

// add returns the summary of the union of two disjoint sets.
func (s Summary) add(other Summary) Summary {
	return Summary{Count: s.Count + other.Count, Digest: s.Digest.Add(other.Digest)}
}

// sub returns the summary of a set without one of its subsets.
func (s Summary) sub(other Summary) Summary {
	return Summary{Count: s.Count - other.Count, Digest: s.Digest.Sub(other.Digest)}
}

// shortestSeparator returns the shortest valid UTF-8 string s with low < s <= high, where low < high are two keys.
func shortestSeparator(low, high string) string {
	common := 0
	for common < len(low) && low[common] == high[common] { // high > low is longer than the common prefix
		common++
	}
	end := common + 1
	for end < len(high) && !utf8.RuneStart(high[end]) {
		end++
	}
	return high[:end]
}
