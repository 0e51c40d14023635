package rules

import (
	"fmt"
	"strings"
	"time"

	"sagelever/match"
)

// syntheticSubject is a message made for timing.
type syntheticSubject struct {
	texts    map[string]string
	segments []string
	tables   map[string]map[string][]string
}

func (p *syntheticSubject) Text(name string) string { return p.texts[name] }
func (p *syntheticSubject) Segments() []string      { return p.segments }
func (p *syntheticSubject) Table(name string) match.Table {
	return match.Table{Of: p.tables[name], Fold: name == "header"}
}
func (p *syntheticSubject) Size() int64            { return 64 << 10 }
func (p *syntheticSubject) Hint() time.Duration    { return time.Millisecond }
func (p *syntheticSubject) Sent() match.Repeatable { return match.Pure }

// WorstCaseSubject makes the message that takes most of the set's time by the cost model: each attribute by which rules
// are found has the text that finds the most expensive of them, and everything else is as large as it may be.
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

func filler(length int) string { return strings.Repeat("a", length) }

// newLargestSubject makes a message with the largest path, and with empty tables.
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

// set returns an attribute a text.
func (p *syntheticSubject) set(a attribute, text string) {
	switch a.source {
	case "method", "path", "peer":
		p.texts[a.source] = text
	case "segments":
		p.segments[a.segment] = text
	default:
		p.tables[a.source][a.name] = []string{text}
	}
}
