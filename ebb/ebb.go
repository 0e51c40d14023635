// Package ebb is how an appliance leaves: no node sends it anything new from one moment on, what is out there comes back,
// and then it is free. It holds the state of each appliance as one node has it, the leave to send that ends by itself where
// nothing is heard, the room that a removal must leave, and what an operator is told of a removal under way. It is pure: the
// time is handed in.
//
//	state    input                                   next      effect
//	serving  a reason begins                         leaving   nothing new from now on; what waits is placed anew
//	serving  a reason begins, nothing is out there   left      the same
//	leaving  another reason begins or ends           leaving   the moment from which nothing new may go stays
//	leaving  the last answer comes back              left      free
//	leaving  its last reason ends                    serving   new work; cold where it may have restarted meanwhile
//	left     its last reason ends                    serving   the same
//	any      its life ends: signed off, lost, 421    gone      nothing more, ever; what is out is waited for
//	serving  the leave to send runs out              serving   nothing new until the core or it itself has said a word
//
// docs/leaving.md has the arithmetic of the times.
package ebb

import (
	"strings"
	"time"
)

// State of an appliance at one node.
type State uint8

const (
	Serving State = iota
	Leaving       // nothing new goes there; something is out there
	Left          // nothing new goes there, and nothing is out there
	Gone          // its life is over
)

func (s State) String() string { return [...]string{"serving", "leaving", "left", "gone"}[s] }

// Why is a set of reasons for which an appliance gets nothing new.
type Why uint8

const (
	Itself  Why = 1 << iota // its pulse says that it is emptying
	Cleared                 // its zone is cleared out
	Ordered                 // an operator drains it, its service there, or its zone
	Retired                 // its build was sent back, or is no longer the one in force
)

func (w Why) String() string {
	var out []string
	for i, name := range []string{"emptying", "zone cleared out", "drained", "build out of service"} {
		if w&(1<<i) != 0 {
			out = append(out, name)
		}
	}
	return strings.Join(out, ", ")
}

// Stand is an appliance as one node holds it. Its zero value serves.
type Stand struct {
	why    Why
	gone   bool
	since  time.Time // from which nothing new may go; zero while it serves
	out    [2]int    // requests of this node that are out there: harmless, risky
	word   time.Time // when it last said itself that it was not leaving
	closes int       // answers in a row with which it closed the connection
	closer bool      // it does so though it serves
}

// State is where it stands.
func (s *Stand) State() State {
	switch {
	case s.gone:
		return Gone
	case s.why == 0:
		return Serving
	case s.Out() > 0:
		return Leaving
	}
	return Left
}

// Why is for what it gets nothing new.
func (s *Stand) Why() Why { return s.why }

// Since is the moment from which nothing new may go there; zero while it serves.
func (s *Stand) Since() time.Time { return s.since }

// Out is how many requests of this node are out there.
func (s *Stand) Out() int { return s.out[0] + s.out[1] }

// Risky is how many of them must run at most once.
func (s *Stand) Risky() int { return s.out[1] }

// Set takes up the reasons as they stand; it tells whether it begins to leave, or serves again.
func (s *Stand) Set(why Why, now time.Time) (changed bool) {
	if s.gone {
		return false
	}
	was := s.why
	s.why = why
	switch {
	case was == 0 && why != 0:
		s.since = now
	case was != 0 && why == 0:
		s.since = time.Time{}
	default:
		return false
	}
	return true
}

// End ends its life: whatever is heard later, it gets nothing more.
func (s *Stand) End(now time.Time) {
	if !s.gone && s.why == 0 {
		s.since = now
	}
	s.gone = true
}

// Sent notes that a request goes there.
func (s *Stand) Sent(risky bool) { s.out[kind(risky)]++ }

// Back notes that a request has come to its end there, however it ended. Nothing but this ends what is out.
func (s *Stand) Back(risky bool) { s.out[kind(risky)]-- }

func kind(risky bool) int {
	if risky {
		return 1
	}
	return 0
}
