package plan

import (
	"slices"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/quorum"
)

// ClocksApart is by how much the times of day of two agents may differ. One that differs by more may take an order that is sent
// again for a new one; nothing else depends on it.
const ClocksApart = 10 * time.Second

// ResendTerm is for how long an order that has no version may be the same order again: for as long as it may be resent, and
// for what the clocks of the agents that take it may differ.
func ResendTerm(confirm time.Duration) time.Duration { return confirm + ClocksApart }

// mostTaken bounds the orders that a register remembers beyond the one that it holds.
const mostTaken = 16

// Taken is an order that was taken.
type Taken struct {
	Order string `json:"o"`
	At    int64  `json:"t"` // Unix milliseconds at the agent that took it
}

// takenList is the note of a register that orders without versions change: the ones taken lately, the newest last.
//
//easyjson:json
type takenList struct {
	Orders []Taken `json:"l"`
}

func readTaken(held quorum.Value) takenList {
	l := takenList{}
	if held.Note == "" || easyjson.Unmarshal([]byte(held.Note), &l) != nil {
		return takenList{}
	}
	return l
}

// has tells whether an order was taken within a term before now, by clocks that may differ both ways.
func (l takenList) has(order string, now time.Time, term time.Duration) bool {
	return slices.ContainsFunc(l.Orders, func(t Taken) bool {
		return t.Order == order && near(t, now, term)
	})
}

// with adds an order; those beyond the term and those that are too many are forgotten.
func (l takenList) with(order string, now time.Time, term time.Duration) takenList {
	kept := slices.DeleteFunc(slices.Clone(l.Orders), func(t Taken) bool {
		return t.Order == order || !near(t, now, term)
	})
	kept = append(kept, Taken{order, now.UnixMilli()})
	return takenList{kept[max(0, len(kept)-mostTaken):]}
}

func near(t Taken, now time.Time, term time.Duration) bool {
	age := now.Sub(time.UnixMilli(t.At))
	return age < term && age > -term
}

func (l takenList) note() string {
	b, _ := easyjson.Marshal(l) // texts and whole numbers only: it cannot fail
	return string(b)
}

// Once makes a change that an order without a version asks for, unless the same order was taken within the term: then it is
// the same order again, and changes nothing, whatever came after it.
func Once(order string, now time.Time, term time.Duration, change quorum.Change) quorum.Change {
	return func(held quorum.Value) quorum.Value {
		l := readTaken(held)
		if l.has(order, now, term) {
			return held
		}
		next := change(held)
		if next == held {
			return held
		}
		next.Note = l.with(order, now, term).note()
		return next
	}
}
