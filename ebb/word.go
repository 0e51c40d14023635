package ebb

import "time"

// Covered tells whether a request may go to the appliance now, as far as the leave goes: by the core's word, or by its own.
// One that has closed its connection behind two answers running may be leaving before the core has said so: then its own
// word counts alone.
func (s *Stand) Covered(l *Leave, now time.Time) bool {
	if s.closes >= mayLeave && !s.closer {
		return false
	}
	return l.Holds(now) || now.Before(s.word.Add(l.Span()))
}

// mayLeave is how many answers in a row with `Connection: close` say that an appliance may be leaving: all answers of one
// that leaves have it, and now and then another's.
const mayLeave = 2

// Answered takes an answer of the appliance to what was sent at a moment: one that leaves the connection open comes from an
// appliance that was not leaving then.
func (s *Stand) Answered(sent time.Time, closes bool) {
	if closes {
		s.closes++
		return
	}
	s.closes = 0
	s.say(sent)
}

// Asked takes the appliance's own word, asked for at a moment: that it serves, or not.
func (s *Stand) Asked(at time.Time, serves bool) {
	if !serves {
		return
	}
	s.closer = s.closer || s.closes >= mayLeave
	s.closes = 0
	s.say(at)
}

func (s *Stand) say(at time.Time) {
	if at.After(s.word) {
		s.word = at
	}
}
