package rangesync

// Upper bounds of the fixed parts of messages, in bytes of JSON.
const (
	numberBytes      = 20                                        // a 64-bit number
	headerBytes      = len(`{"s":,"n":,"r":[]}`) + 2*numberBytes // of a request or response
	rangeQueryBytes  = len(`{"f":,"t":,"n":,"d":"","a":true},`) + numberBytes + digestTextBytes
	rangeResultBytes = len(`{"a":true,"m":,"b":[],"c":[],"d":[]},`)
	partBytes        = len(`,,"",`) + numberBytes + digestTextBytes
	escapedByteSize  = len(`\u0000`)
	quotesSize       = len(`""`)
)

// size returns an upper bound of the size of the query in a request, in bytes.
func (q RangeQuery) size() int {
	return rangeQueryBytes + jsonStringSize(q.From) + jsonStringSize(q.To)
}

// jsonStringSize returns an upper bound of the size of a string in JSON, in bytes.
func jsonStringSize(text string) int {
	size := quotesSize
	for i := range len(text) {
		size += jsonByteSize(text[i])
	}
	return size
}

// firstByteOfSeparators is the first byte in UTF-8 of U+2028 and U+2029, the only multi-byte characters that the JSON
// encoder escapes.
const firstByteOfSeparators = 0xe2

// jsonByteSize returns an upper bound of the size that one byte of a string takes in JSON, in bytes.
func jsonByteSize(b byte) int {
	switch {
	case b < ' ', b == '<', b == '>', b == '&', b == '"', b == '\\', b == 0x7f, b == firstByteOfSeparators:
		return escapedByteSize
	}
	return 1
}
