package rules

import (
	"fmt"
	"strings"
	"time"

	"sagelever/match"
)

// syntheticSubject is a message made up for timing: as large as the limits allow, but for what a set's literals ask for.
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

// WorstCaseSubject makes the message that needs most of the set's time by the cost model: each attribute that rules are found by
// has the text that finds the dearest of them, all else is as large as it may be.
func (s *Set) WorstCaseSubject() match.Subject {
	fill := func(n int) string { return strings.Repeat("a", n) }
	subject := &syntheticSubject{texts: map[string]string{"method": "GET", "path": "/" + fill(MostText-1), "peer": "127.0.0.1"},
		tables: map[string]map[string][]string{}}
	for range MostSegments {
		subject.segments = append(subject.segments, fill(MostText/MostSegments-1))
	}
	cost := make([]time.Duration, len(s.rules))
	for i, r := range s.rules {
		cost[i] = r.bound
	}
	for _, t := range tables {
		subject.tables[t.single] = map[string][]string{}
	}
	for _, column := range s.index.columns {
		text, _ := column.mostExpensive(cost)
		if _, longer := column.byValue[text]; !longer {
			text += fill(MostText - len(text))
		}
		switch column.attribute.source {
		case "method", "path", "peer":
			subject.texts[column.attribute.source] = text
		case "segments":
			subject.segments[column.attribute.segment] = text
		default:
			subject.tables[column.attribute.source][column.attribute.name] = []string{text}
		}
	}
	for _, t := range subject.tables {
		for i := 0; len(t) < MostNames; i++ {
			t[fmt.Sprint("h", i)] = []string{fill(MostText)}
		}
	}
	return subject
}
