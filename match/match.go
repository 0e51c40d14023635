// Package match is how fronts and the operator's rules speak with each other: what may be asked of a message, and what
// is said of it. Rules themselves, with the language that they are written in, stand in package match/rules; a program
// that has none does not carry them.
package match

import (
	"strings"
	"time"
)

// Repeatable tells how harmless it is to run again what a client has sent.
type Repeatable int

const (
	Effectful Repeatable = iota // must never run twice
	Receipted                   // carries a mark by which a repeat is known
	Pure                        // may run again
)

// RepeatableBy reads a workload's effect as the terms name it; what they do not name is effectful.
func RepeatableBy(effect string) Repeatable {
	return map[string]Repeatable{"pure": Pure, "receipted": Receipted}[effect]
}

func (r Repeatable) String() string { return [...]string{"effectful", "receipted", "pure"}[r] }

// SentAs is how repeatable a message is by the protocols' own words: a GET without a body is pure, what carries a mark
// against repeats receipted, all else effectful; and it is no more repeatable than the workload that its path names, whose
// effect is "" if it names none.
func SentAs(method string, body, marked bool, effect string) Repeatable {
	sent := Effectful
	switch {
	case method == "GET" && !body:
		sent = Pure
	case marked:
		sent = Receipted
	}
	if effect != "" {
		sent = min(sent, RepeatableBy(effect))
	}
	return sent
}

// Subject is what rules may ask of one message, whatever brought it: an HTTP request, a WebSocket message, a row. It
// does not change while it is judged.
type Subject interface {
	Text(name string) string // method, path or peer
	Segments() []string      // of the path, as written
	Table(name string) Table // header, query or cookie
	Size() int64             // bytes of the body
	Hint() time.Duration     // the client's own estimate of the work, 0 if it gave none
	Sent() Repeatable        // by the protocol's own words
}

// Table is what has names, with all values of each.
type Table struct {
	Of   map[string][]string
	Fold bool // the protocol does not tell upper from lower case in its names
}

// Values looks a name up, without a copy and whatever its case.
func (t Table) Values(name string) []string {
	v, ok := t.Of[name]
	if ok || !t.Fold {
		return v
	}
	for k, v := range t.Of {
		if len(k) == len(name) && strings.EqualFold(k, name) {
			return v
		}
	}
	return nil
}

// All is the table to walk over: names whose case says nothing are in lower case, and put together.
func (t Table) All() map[string][]string {
	if !t.Fold {
		return t.Of
	}
	low := make(map[string][]string, len(t.Of))
	for k, v := range t.Of {
		k = strings.ToLower(k)
		low[k] = append(low[k], v...)
	}
	return low
}

// Deployment is what a set has to fit: the workloads, by name, with their effects (pure, receipted, effectful), and the
// customers that are known.
type Deployment struct {
	Effects   map[string]string
	Customers []string
}

// Judge says what a message is. It may be asked by many at once, and answers within a bounded time.
type Judge interface {
	Judge(Subject) Judgement
}

// Judgement is what a set says of one message. A matter that no rule decided is left as the protocol has it.
type Judgement struct {
	Rule     string // the rule that matched, "" if none did
	Workload string
	Key      string
	Customer string
	Cost     time.Duration // 0 if not decided
	Refused  error         // not to be taken, and why
	Trouble  error         // the first error of a rule that was tried, whether or not it mattered
}
