package rangesync

import "unicode/utf8"

// Range is the keys k with From <= k < To, in the order of their bytes. An empty To means that there is no upper end.
type Range struct {
	From string `json:"f,omitempty"`
	To   string `json:"t,omitempty"`
}

// PrefixRange is the range of the keys that begin with a prefix, of keys that are valid UTF-8. Its ends are valid UTF-8 too, as
// they go into messages.
func PrefixRange(prefix string) Range {
	for head := prefix; head != ""; {
		last, size := utf8.DecodeLastRuneInString(head)
		head = head[:len(head)-size]
		if last < utf8.MaxRune {
			return Range{From: prefix, To: head + string(nextRune(last))}
		}
	}
	return Range{From: prefix}
}

// nextRune is the next code point that UTF-8 can carry.
func nextRune(r rune) rune {
	const lastBeforeSurrogates, firstAfterSurrogates = 0xD7FF, 0xE000
	if r == lastBeforeSurrogates {
		return firstAfterSurrogates
	}
	return r + 1
}

// Contains tells whether a key lies in the range.
func (r Range) Contains(key string) bool { return r.From <= key && !r.endsBefore(key) }

// endsBefore tells whether a key lies at the upper end or beyond.
func (r Range) endsBefore(key string) bool { return r.To != "" && r.To <= key }

// valid tells whether the ends are in order.
func (r Range) valid() bool { return r.To == "" || r.From < r.To }

// containsSplit tells whether a bound lies truly inside the range, so that both sides of it are smaller ranges.
func (r Range) containsSplit(bound string) bool { return r.From < bound && !r.endsBefore(bound) }

// Summary is what is said of the entries in a range: two that are equal stand for equal entries.
type Summary struct {
	Count  int    `json:"n,omitempty"`
	Digest Digest `json:"d"`
}

func (s Summary) add(other Summary) Summary {
	return Summary{s.Count + other.Count, s.Digest.Add(other.Digest)}
}

func (s Summary) sub(other Summary) Summary {
	return Summary{s.Count - other.Count, s.Digest.Sub(other.Digest)}
}

// shortestSeparator is a short text between two neighbouring keys: low < separator <= high.
func shortestSeparator(low, high string) string {
	cut := 0
	for cut < len(low) && low[cut] == high[cut] { // low < high: high does not end before they differ
		cut++
	}
	cut++
	for cut < len(high) && !utf8.RuneStart(high[cut]) {
		cut++
	}
	return high[:cut]
}
