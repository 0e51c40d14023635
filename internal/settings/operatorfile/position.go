package operatorfile

import (
	"strconv"
	"strings"
)

// The INI library says what stands in a file, not where. locate finds the places by the same few rules; should the two
// ever read a file apart, only the place in a message is wrong.

// position is a place: line and column from 1 on, 0 for none.
type position struct{ line, column int }

// keyPosition is where a key stands, and its value.
type keyPosition struct {
	key, value position
}

// within is the place of a line and column of the value, or else the place given.
func (e keyPosition) within(line, column int, otherwise position) position {
	switch {
	case e.value.line == 0:
		return otherwise
	case line == 1:
		return position{e.value.line, e.value.column + column - 1}
	}
	return position{e.value.line + line - 1, column}
}

type section struct {
	name     string
	position position
	keys     map[string]keyPosition
}

// locateSections goes over a file's lines.
func locateSections(lines []string) []section {
	sections := []section{{name: "DEFAULT", keys: map[string]keyPosition{}}}
	openQuote := "" // that ends a value of several lines
	for i, rawLine := range lines {
		line := strings.TrimSpace(rawLine)
		indent := strings.Index(rawLine, line)
		switch {
		case openQuote != "":
			if strings.Contains(rawLine, openQuote) {
				openQuote = ""
			}
		case line == "", line[0] == ';', line[0] == '#':
		case line[0] == '[':
			name, _, _ := strings.Cut(line[1:], "]")
			sections = append(sections, section{strings.TrimSpace(name), position{i + 1, indent + 1}, map[string]keyPosition{}})
		default:
			name, value, ok := strings.Cut(line, "=")
			if !ok {
				continue
			}
			rest := strings.TrimLeft(value, " \t")
			column := indent + len(line) - len(rest) + 1
			for _, quote := range []string{`"""`, "`"} {
				if after, ok := strings.CutPrefix(rest, quote); ok {
					column += len(quote)
					if !strings.Contains(after, quote) {
						openQuote = quote
					}
					break
				}
			}
			keys := sections[len(sections)-1].keys
			if _, twice := keys[strings.TrimSpace(name)]; !twice {
				keys[strings.TrimSpace(name)] = keyPosition{key: position{i + 1, indent + 1}, value: position{i + 1, column}}
			}
		}
	}
	return sections
}

// nextSection gives the next section of a name, from a number on, and the number after it.
func (d *document) nextSection(name string, from int) (section, int) {
	for i := from; i < len(d.sections); i++ {
		if d.sections[i].name == name {
			return d.sections[i], i + 1
		}
	}
	return section{name: name}, from
}

// locateSyntaxError finds the line that the INI library could not read: it quotes it.
func (d *document) locateSyntaxError(err error) position {
	message := strings.TrimSpace(err.Error())
	for i, line := range d.lines {
		if line = strings.TrimSpace(line); line != "" && (strings.HasSuffix(message, line) || strings.Contains(message, strconv.Quote(line))) {
			return position{i + 1, 1}
		}
	}
	return position{1, 1}
}
