package protocol

import (
	"encoding/hex"
	"math"
	"strconv"
	"strings"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/settings/deployment"
)

// fieldParser reads the parts of a line one after the other. It keeps the first error, after which all parts are
// returned as empty. The name that its methods take is used in the error.
type fieldParser struct {
	reader  *Reader
	unread  string
	hasMore bool // whether another part follows, which may be empty
	err     error
}

func (r *Reader) newFieldParser(line string) *fieldParser {
	return &fieldParser{reader: r, unread: line, hasMore: true}
}

func (f *fieldParser) fail(format string, args ...any) {
	if f.err == nil {
		f.err = f.reader.errorf(format, args...)
	}
}

// end returns the first error. It is an error if the line has parts that were not read.
func (f *fieldParser) end() error {
	if f.hasMore {
		f.fail("more parts than expected: %q", f.unread)
	}
	return f.err
}

// word returns the next part, or an empty string if the part is absent.
func (f *fieldParser) word(name string) string {
	if !f.hasMore {
		f.fail("%s is missing", name)
	}
	if f.err != nil {
		return ""
	}
	const absent = "-"
	var part string
	part, f.unread, f.hasMore = strings.Cut(f.unread, " ")
	if part == "" {
		f.fail("%s is empty", name)
	}
	if part == absent {
		return ""
	}
	return part
}

// remainder returns the unread part of the line, including spaces.
func (f *fieldParser) remainder() string {
	unread := f.unread
	f.unread, f.hasMore = "", false
	return unread
}

// float reads a finite number. An absent one is 0.
func (f *fieldParser) float(name string) float64 {
	text := f.word(name)
	if text == "" {
		return 0
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		f.fail("%s is not a number: %q", name, text)
	}
	return value
}

// milliseconds reads a duration in milliseconds. An absent one is 0.
func (f *fieldParser) milliseconds(name string) time.Duration {
	return deployment.FromMilliseconds(f.float(name))
}

// integer reads an integer. An absent one is 0.
func (f *fieldParser) integer(name string) int64 {
	text := f.word(name)
	if text == "" {
		return 0
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		f.fail("%s is not an integer: %q", name, text)
	}
	return value
}

// unsigned reads a non-negative integer. An absent one is 0.
func (f *fieldParser) unsigned(name string) uint64 {
	text := f.word(name)
	if text == "" {
		return 0
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		f.fail("%s is not a non-negative integer: %q", name, text)
	}
	return value
}

// boolean reads 0 or 1.
func (f *fieldParser) boolean(name string) bool { return f.enum(name, "0", "1") == 1 }

func (f *fieldParser) backendID() api.BackendID {
	id := f.unsigned("appliance")
	if id > math.MaxUint32 {
		f.fail("appliance is out of range: %d", id)
	}
	return api.BackendID(id)
}

// enum reads one of the given words and returns its index.
func (f *fieldParser) enum(name string, words ...string) int {
	text := f.word(name)
	for i, word := range words {
		if text == word {
			return i
		}
	}
	f.fail("%s is none of %v: %q", name, words, text)
	return 0
}

func (f *fieldParser) hexBytes(name string) []byte {
	data, err := hex.DecodeString(f.word(name))
	if err != nil {
		f.fail("%s is not hexadecimal: %v", name, err)
	}
	return data
}

// keyValues reads key:value pairs that are separated by commas. It returns nil if the part is absent.
func (f *fieldParser) keyValues(name string) map[string]float64 {
	text := f.word(name)
	if text == "" {
		return nil
	}
	values := map[string]float64{}
	for _, pair := range strings.Split(text, ",") {
		key, number, ok := strings.Cut(pair, ":")
		value, err := strconv.ParseFloat(number, 64)
		if !ok || err != nil {
			f.fail("%s contains an invalid pair: %q", name, pair)
			return nil
		}
		values[key] = value
	}
	return values
}
