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

// fieldParser reads the parts of one line, one after the other. It keeps the first error, after which every part is
// empty. The name given to its methods is part of that error.
type fieldParser struct {
	reader *Reader
	rest   string
	more   bool // a part is left, which may be empty
	err    error
}

func (r *Reader) newFieldParser(line string) *fieldParser {
	return &fieldParser{reader: r, rest: line, more: true}
}

func (f *fieldParser) fail(format string, args ...any) {
	if f.err == nil {
		f.err = f.reader.errorf(format, args...)
	}
}

// end returns the first error; a part that is left is one.
func (f *fieldParser) end() error {
	if f.more {
		f.fail("more parts than expected: %q", f.rest)
	}
	return f.err
}

// word returns the next part; an absent one is empty.
func (f *fieldParser) word(name string) string {
	if !f.more {
		f.fail("%s is missing", name)
	}
	if f.err != nil {
		return ""
	}
	const absent = "-"
	var part string
	part, f.rest, f.more = strings.Cut(f.rest, " ")
	if part == "" {
		f.fail("%s is empty", name)
	}
	if part == absent {
		return ""
	}
	return part
}

// remainder returns all that is left of the line, blanks included.
func (f *fieldParser) remainder() string {
	rest := f.rest
	f.rest, f.more = "", false
	return rest
}

// float reads a finite number; an absent one is 0.
func (f *fieldParser) float(name string) float64 {
	text := f.word(name)
	if text == "" {
		return 0
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		f.fail("%s is no number: %q", name, text)
	}
	return value
}

// milliseconds reads a time; an absent one is 0.
func (f *fieldParser) milliseconds(name string) time.Duration {
	return deployment.FromMilliseconds(f.float(name))
}

// integer reads a whole number; an absent one is 0.
func (f *fieldParser) integer(name string) int64 {
	text := f.word(name)
	if text == "" {
		return 0
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		f.fail("%s is no whole number: %q", name, text)
	}
	return value
}

// unsigned reads a whole number from 0 on; an absent one is 0.
func (f *fieldParser) unsigned(name string) uint64 {
	text := f.word(name)
	if text == "" {
		return 0
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		f.fail("%s is no whole number from 0: %q", name, text)
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

// enum reads one of some words and gives its index.
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
		f.fail("%s is no hex: %v", name, err)
	}
	return data
}

// keyValues reads key:value pairs that are separated by commas; absent ones are nil.
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
			f.fail("%s holds a bad pair: %q", name, pair)
			return nil
		}
		values[key] = value
	}
	return values
}
