package operator

import (
	"strconv"
	"strings"
)

// The INI library says what stands in a file, not where. locate finds the places by the same few rules; should the two
// ever read a file apart, only the place in a message is wrong.

// spot is a place: line and column from 1 on, 0 for none.
type spot struct{ line, column int }

// entry is where a key stands, and its value.
type entry struct {
	at, value spot
}

// inside is the place of a line and column of the value, or else the place given.
func (e entry) inside(line, column int, otherwise spot) spot {
	switch {
	case e.value.line == 0:
		return otherwise
	case line == 1:
		return spot{e.value.line, e.value.column + column - 1}
	}
	return spot{e.value.line + line - 1, column}
}

type section struct {
	name string
	at   spot
	keys map[string]entry
}

// locate goes over a file's lines.
func locate(lines []string) []section {
	list := []section{{name: "DEFAULT", keys: map[string]entry{}}}
	quote := "" // that ends a value of several lines
	for i, whole := range lines {
		line := strings.TrimSpace(whole)
		indent := strings.Index(whole, line)
		switch {
		case quote != "":
			if strings.Contains(whole, quote) {
				quote = ""
			}
		case line == "", line[0] == ';', line[0] == '#':
		case line[0] == '[':
			name, _, _ := strings.Cut(line[1:], "]")
			list = append(list, section{strings.TrimSpace(name), spot{i + 1, indent + 1}, map[string]entry{}})
		default:
			name, value, ok := strings.Cut(line, "=")
			if !ok {
				continue
			}
			rest := strings.TrimLeft(value, " \t")
			column := indent + len(line) - len(rest) + 1
			for _, q := range []string{`"""`, "`"} {
				if after, ok := strings.CutPrefix(rest, q); ok {
					column += len(q)
					if !strings.Contains(after, q) {
						quote = q
					}
					break
				}
			}
			keys := list[len(list)-1].keys
			if _, twice := keys[strings.TrimSpace(name)]; !twice {
				keys[strings.TrimSpace(name)] = entry{at: spot{i + 1, indent + 1}, value: spot{i + 1, column}}
			}
		}
	}
	return list
}

// section gives the next section of a name, from a number on, and the number after it.
func (t *text) section(name string, from int) (section, int) {
	for i := from; i < len(t.where); i++ {
		if t.where[i].name == name {
			return t.where[i], i + 1
		}
	}
	return section{name: name}, from
}

// broken finds the line that the INI library could not read: it quotes it.
func (t *text) broken(err error) spot {
	said := strings.TrimSpace(err.Error())
	for i, l := range t.lines {
		if l = strings.TrimSpace(l); l != "" && (strings.HasSuffix(said, l) || strings.Contains(said, strconv.Quote(l))) {
			return spot{i + 1, 1}
		}
	}
	return spot{1, 1}
}
