package rules

import (
	"fmt"
	"strings"
	"time"

	"sagelever/match"
)

// syntheticSubject is a generated message for measuring the time that rules take.
type syntheticSubject struct {
	texts    map[string]string
	segments []string
	tables   map[string]map[string][]string
}

func (s *syntheticSubject) Text(name string) string { return s.texts[name] }
func (s *syntheticSubject) Segments() []string      { return s.segments }
func (s *syntheticSubject) Table(name string) match.Table {
	return match.Table{Of: s.tables[name], Fold: name == "header"}
}
func (s *syntheticSubject) Size() int64            { return 64 << 10 }
func (s *syntheticSubject) Hint() time.Duration    { return time.Millisecond }
func (s *syntheticSubject) Sent() match.Repeatable { return match.Pure }

// WorstCaseSubject returns the message that takes the longest time to judge by the cost model: each indexed attribute
// has the value that selects the most expensive rules, and all other attributes have their maximum size.
func (s *Set) WorstCaseSubject() match.Subject {
	costs := make([]time.Duration, len(s.rules))
	for i, r := range s.rules {
		costs[i] = r.bound
	}
	subject := newLargestSubject()
	for _, c := range s.index.columns {
		text, _ := c.mostExpensive(costs)
		if _, exact := c.byValue[text]; !exact {
			text += filler(MaxTextLength - len(text))
		}
		subject.set(c.attribute, text)
	}
	for _, table := range subject.tables {
		for i := 0; len(table) < MaxNames; i++ {
			table[fmt.Sprint("h", i)] = []string{filler(MaxTextLength)}
		}
	}
	return subject
}

// filler returns a text of the given length in bytes.
func filler(length int) string { return strings.Repeat("a", length) }

// newLargestSubject returns a message with a path of the maximum size and with empty tables.
func newLargestSubject() *syntheticSubject {
	subject := &syntheticSubject{
		texts: map[string]string{
			"method": "GET",
			"path":   "/" + filler(MaxTextLength-1),
			"peer":   "127.0.0.1",
		},
		tables: map[string]map[string][]string{},
	}
	for range MaxSegments {
		subject.segments = append(subject.segments, filler(MaxTextLength/MaxSegments-1))
	}
	for _, t := range tables {
		subject.tables[t.single] = map[string][]string{}
	}
	return subject
}

// set assigns a text to an attribute.
func (s *syntheticSubject) set(a attribute, text string) {
	switch a.source {
	case "method", "path", "peer":
		s.texts[a.source] = text
	case "segments":
		s.segments[a.segment] = text
	default:
		s.tables[a.source][a.name] = []string{text}
	}
}
