// Package match is the interface between a protocol and the operator's rules: what rules may ask of a message, and what
// they say of it. The rules themselves, with their language, are in package match/rules, which a program without rules
// does not link.
package match

import (
	"strings"
	"time"
)

// Repeatable is how safe it is to run again what a client has sent. A higher value is safer.
type Repeatable int

// Kinds of messages.
const (
	Effectful Repeatable = iota // must never run twice
	Receipted                   // carries an idempotency key, by which a repeat is recognized
	Pure                        // may run again
)

// RepeatableBy is how repeatable a workload is by the name of its effect in the settings; an unknown effect is
// effectful.
func RepeatableBy(effect string) Repeatable {
	switch effect {
	case "pure":
		return Pure
	case "receipted":
		return Receipted
	}
	return Effectful
}

var repeatableNames = [...]string{"effectful", "receipted", "pure"}

func (r Repeatable) String() string { return repeatableNames[r] }

// SentAs is how repeatable a message is by its protocol alone: a GET without a body is pure, what carries an
// idempotency key (marked) is receipted, all else is effectful. A message is no more repeatable than the workload that
// its path names, whose effect is "" if it names none.
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

// Subject is what rules may ask of one message, whichever protocol brought it. It does not change while it is judged.
type Subject interface {
	Text(name string) string // method, path or peer
	Segments() []string      // of the path, as written
	Table(name string) Table // header, query or cookie
	Size() int64             // bytes of the body
	Hint() time.Duration     // the client's own estimate of the work, 0 if it gave none
	Sent() Repeatable        // by the protocol alone
}

// Table is a part of a message with names, and all values of each.
type Table struct {
	Of   map[string][]string
	Fold bool // names are the same in upper and lower case
}

// Values returns the values of a name, without copying them.
func (t Table) Values(name string) []string {
	values, ok := t.Of[name]
	if ok || !t.Fold {
		return values
	}
	for other, values := range t.Of {
		if len(other) == len(name) && strings.EqualFold(other, name) {
			return values
		}
	}
	return nil
}

// All returns the whole table. Where upper and lower case are the same, its names are in lower case and their values
// joined.
func (t Table) All() map[string][]string {
	if !t.Fold {
		return t.Of
	}
	folded := make(map[string][]string, len(t.Of))
	for name, values := range t.Of {
		name = strings.ToLower(name)
		folded[name] = append(folded[name], values...)
	}
	return folded
}

// Deployment is what rules have to fit: the workloads, by name, with their effects (pure, receipted, effectful), and
// the customers.
type Deployment struct {
	Effects   map[string]string
	Customers []string
}

// Judge judges messages. It may be called by several goroutines at once, and answers within a bounded time.
type Judge interface {
	Judge(Subject) Judgement
}

// Judgement is what rules say of one message. What no rule has decided is left to the protocol.
type Judgement struct {
	Rule     string // the rule that matched, "" if none did
	Workload string
	Key      string
	Customer string
	Cost     time.Duration // 0 if not decided
	Refused  error         // why the message is to be rejected, nil if it is not
	Trouble  error         // the first error of a rule that was tried, whether or not it mattered
}
