package operatorfile

import (
	"fmt"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

// The INI library does not report the positions of keys. The code in this file finds them by the same syntax rules. If
// it disagrees with the library on some input, only the position in an error message is wrong.

// position is a line and column in the file, each from 1. The zero value is an unknown position.
type position struct{ line, column int }

// keyPosition holds the positions of a key and of its value.
type keyPosition struct {
	key, value position
}

// within returns the position in the file of a line and column within the value. It returns the alternative if the
// value's position is unknown.
func (p keyPosition) within(line, column int, alternative position) position {
	switch {
	case p.value.line == 0:
		return alternative
	case line == 1:
		return position{p.value.line, p.value.column + column - 1}
	}
	return position{p.value.line + line - 1, column}
}

// section holds the positions of a section's header and of its keys.
type section struct {
	name     string
	position position
	keys     map[string]keyPosition
}

// document is the text of a file with its sections in order.
type document struct {
	fileName string
	lines    []string
	sections []section
}

func newDocument(name string, data []byte) *document {
	lines := strings.Split(string(data), "\n")
	return &document{fileName: name, lines: lines, sections: locateSections(lines)}
}

// errorAt returns an error at a position, or at the start of the file for the zero position.
func (d *document) errorAt(pos position, format string, args ...any) *ParseError {
	parseError := &ParseError{
		File:    d.fileName,
		Line:    max(pos.line, 1),
		Column:  max(pos.column, 1),
		Message: fmt.Sprintf(format, args...),
	}
	if parseError.Line <= len(d.lines) {
		parseError.Source = d.lines[parseError.Line-1]
	}
	return parseError
}

// nextSection returns the first section with a name whose index is at least from, and the index after it. If there is
// none, it returns a section without positions.
func (d *document) nextSection(name string, from int) (section, int) {
	for i := from; i < len(d.sections); i++ {
		if d.sections[i].name == name {
			return d.sections[i], i + 1
		}
	}
	return section{name: name}, from
}

// locateSyntaxError returns the position of the line that the INI library could not parse. The library's error quotes
// it.
func (d *document) locateSyntaxError(err error) position {
	message := strings.TrimSpace(err.Error())
	for i, rawLine := range d.lines {
		line := strings.TrimSpace(rawLine)
		if line == "" {
			continue
		}
		if strings.HasSuffix(message, line) || strings.Contains(message, strconv.Quote(line)) {
			return position{i + 1, 1}
		}
	}
	return position{1, 1}
}

// quotes lists the delimiters of values that can span several lines.
var quotes = []string{`"""`, "`"}

// locateSections returns the sections of a file in order, starting with the default section before the first header.
func locateSections(lines []string) []section {
	sections := []section{{name: ini.DefaultSection, keys: map[string]keyPosition{}}}
	openQuote := "" // the closing delimiter of the current multi-line value, or ""
	for i, rawLine := range lines {
		line := strings.TrimSpace(rawLine)
		start := position{i + 1, strings.Index(rawLine, line) + 1}
		switch {
		case openQuote != "":
			if strings.Contains(rawLine, openQuote) {
				openQuote = ""
			}
		case line == "", line[0] == ';', line[0] == '#':
		case line[0] == '[':
			name, _, _ := strings.Cut(line[1:], "]")
			sections = append(sections, section{strings.TrimSpace(name), start, map[string]keyPosition{}})
		default:
			openQuote = locateKey(sections[len(sections)-1].keys, line, start)
		}
	}
	return sections
}

// locateKey records the positions of the key and the value of a line that starts at the given position. It ignores
// repeated keys. It returns the closing delimiter if the value continues on the next line, and "" otherwise.
func locateKey(keys map[string]keyPosition, line string, start position) (openQuote string) {
	name, rawValue, found := strings.Cut(line, "=")
	if !found {
		return ""
	}
	value := strings.TrimLeft(rawValue, " \t")
	valueStart := position{start.line, start.column + len(line) - len(value)}
	for _, quote := range quotes {
		if rest, found := strings.CutPrefix(value, quote); found {
			valueStart.column += len(quote)
			if !strings.Contains(rest, quote) {
				openQuote = quote
			}
			break
		}
	}
	name = strings.TrimSpace(name)
	if _, repeated := keys[name]; !repeated {
		keys[name] = keyPosition{key: start, value: valueStart}
	}
	return openQuote
}
