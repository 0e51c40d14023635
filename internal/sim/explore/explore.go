// Package explore is an explicit-state model checker for the control group's registers and the changes of its
// configuration. It visits every state that a small instance can reach: three members and a learner, two writes to one
// register and one or more replacements of a member. Messages may be reordered, delayed, duplicated or lost; members
// may lose their disks and restart.
//
// Promises, acceptances and the choice of a round's value are implemented by package quorum; sealing and activation are
// implemented behind the Member interface. The design that is checked is in docs/model.md.
//
// The exploration is exhaustive within Bounds, which limits the rounds of each write, the disk losses and the restarts.
// Messages form a set that only grows: from its first promise on, a round represents its own messages, and any member
// that can reply to them may do so in any later state. A proposer acts in the same step as the reply that enables it to
// act. Steps in which it acts later would reach no further states, because its messages may be delayed in any case.
package explore

import (
	"fmt"
	"hash/maphash"
	"strings"
)

// Result is the outcome of an exploration.
type Result struct {
	States   int
	Complete bool // whether every state within the bounds was visited
	// Acknowledged is the number of states in which a write was chosen, by the epoch of its round. If it is 0 for an
	// epoch, the exploration proves nothing about that epoch.
	Acknowledged [maxEpochs + 1]int
	Violation    string // description of the violated invariant; empty if there is none
	Trace        []Step // the shortest path to the violation
}

func (r Result) String() string {
	if r.Violation == "" {
		return fmt.Sprintf("%d states, complete: %t, acknowledged by epoch: %v, no violation",
			r.States, r.Complete, r.Acknowledged[1:])
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%d states: %s", r.States, r.Violation)
	for i, step := range r.Trace {
		fmt.Fprintf(&out, "\n%3d. %s", i+1, step)
	}
	return out.String()
}

// Explore visits every state within the bounds until one violates an invariant. It returns an error if the bounds need
// more than maxRounds rounds.
func Explore(bounds Bounds, fault Fault, restore Restore) (Result, error) {
	s := &search{seed: maphash.MakeSeed(), seen: map[uint64]struct{}{}}
	for i := range s.models {
		m, err := newModel(bounds, fault, restore)
		if err != nil {
			return Result{}, err
		}
		s.models[i] = m
	}
	initial := s.models[0].initial()
	s.addIfNew(s.hash(s.models[0], &initial), visit{})
	return s.run([]queuedState{{state: initial, index: 0}}), nil
}
