// Package match defines the interface between a protocol and the operator's matching rules: the attributes of a message
// that rules can read, and the result that they return. The rules and their language are in package match/rules, so
// that a program without rules does not link them.
package match

import (
	"strings"
	"time"
)

// Repeatable is how safe it is to execute a message more than once. A higher value is safer.
type Repeatable int

// Kinds of messages.
const (
	Effectful Repeatable = iota // must never be executed twice
	Receipted                   // carries an idempotency key that identifies duplicates
	Pure                        // may be executed any number of times
)

// RepeatableBy returns the Repeatable value for a workload's effect as the settings name it. An unknown effect is
// Effectful.
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

// String returns the name of the effect in the settings.
func (r Repeatable) String() string { return repeatableNames[r] }

// SentAs returns how repeatable a message is by its protocol alone: a GET without a body is Pure, a message with an
// idempotency key is Receipted, and any other message is Effectful. The result never exceeds the Repeatable value of
// the workload that the path names, given by its effect; effect is "" if the path names no workload.
func SentAs(method string, hasBody, hasIdempotencyKey bool, effect string) Repeatable {
	sent := Effectful
	switch {
	case method == "GET" && !hasBody:
		sent = Pure
	case hasIdempotencyKey:
		sent = Receipted
	}
	if effect != "" {
		sent = min(sent, RepeatableBy(effect))
	}
	return sent
}

// Subject gives rules read access to one message, independent of its protocol. It must not change while it is judged.
type Subject interface {
	Text(name string) string // the method, path or peer
	Segments() []string      // segments of the path, not decoded
	Table(name string) Table // header, query or cookie
	Size() int64             // size of the body in bytes
	Hint() time.Duration     // the client's estimate of the processing time, or 0 if it sent none
	Sent() Repeatable        // how repeatable the message is by its protocol alone, as SentAs returns it
}

// Table holds the named values of one part of a message, such as its headers. A name may have several values.
type Table struct {
	Of   map[string][]string
	Fold bool // names are case-insensitive
}

// Values returns the values of a name. It does not copy them.
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

// All returns all names and values. If names are case-insensitive, it converts them to lower case and merges the values
// of names that differ in case only.
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

// Deployment lists the workloads and customers that rules may refer to.
type Deployment struct {
	Effects   map[string]string // the effect (pure, receipted or effectful) of each workload, by the workload's name
	Customers []string
}

// Judge applies rules to messages. It is safe for concurrent use and returns within a bounded time.
type Judge interface {
	Judge(Subject) Judgement
}

// Judgement is the result of applying rules to one message. A field with the zero value is not decided by a rule and
// is left to the protocol.
type Judgement struct {
	Rule     string // name of the rule that matched, or "" if none did
	Workload string
	Key      string
	Customer string
	Cost     time.Duration
	Refused  error // the reason to reject the message, or nil to accept it
	Trouble  error // the first error of any evaluated rule, even if it did not affect the result
}
