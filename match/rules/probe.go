package rules

import (
	"fmt"
	"strings"
	"time"

	"sagelever/match"
)

// probe is a message made up for timing: as large as the limits allow, but for what a set's literals ask for.
type probe struct {
	texts    map[string]string
	segments []string
	tables   map[string]map[string][]string
}

func (p *probe) Text(name string) string { return p.texts[name] }
func (p *probe) Segments() []string      { return p.segments }
func (p *probe) Table(name string) match.Table {
	return match.Table{Of: p.tables[name], Fold: name == "header"}
}
func (p *probe) Size() int64            { return 64 << 10 }
func (p *probe) Hint() time.Duration    { return time.Millisecond }
func (p *probe) Sent() match.Repeatable { return match.Pure }

// Dearest makes the message that needs most of the set's time by the cost model: each attribute that rules are found by
// has the text that finds the dearest of them, all else is as large as it may be.
func (s *Set) Dearest() match.Subject {
	fill := func(n int) string { return strings.Repeat("a", n) }
	p := &probe{texts: map[string]string{"method": "GET", "path": "/" + fill(MostText-1), "peer": "127.0.0.1"},
		tables: map[string]map[string][]string{}}
	for range MostSegments {
		p.segments = append(p.segments, fill(MostText/MostSegments-1))
	}
	cost := make([]time.Duration, len(s.rules))
	for i, r := range s.rules {
		cost[i] = r.bound
	}
	for _, t := range tables {
		p.tables[t.single] = map[string][]string{}
	}
	for _, c := range s.index.columns {
		text, _ := c.dearest(cost)
		if _, longer := c.equal[text]; !longer {
			text += fill(MostText - len(text))
		}
		switch c.on.of {
		case "method", "path", "peer":
			p.texts[c.on.of] = text
		case "segments":
			p.segments[c.on.at] = text
		default:
			p.tables[c.on.of][c.on.name] = []string{text}
		}
	}
	for _, t := range p.tables {
		for i := 0; len(t) < MostNames; i++ {
			t[fmt.Sprint("h", i)] = []string{fill(MostText)}
		}
	}
	return p
}
