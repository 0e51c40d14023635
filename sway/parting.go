package sway

import (
	"math"
	"sort"
	"time"

	"sagelever/ebb"
	"sagelever/gauge"
	"sagelever/lore"
)

// review takes up for what reasons each appliance of a service gets nothing new, as they stand.
func (s *Sway) review(x *service, now time.Time) {
	moving := 0 // requests that will go elsewhere from now on, at one moment
	for _, a := range x.apps {
		if a.Stand.Set(s.why(x, a), now) && a.Stand.State() == ebb.Leaving {
			moving += a.Stand.Out()
		}
	}
	s.ahead(x, moving, now)
}

// Ahead is an appliance to which connections are best opened before they are needed.
type Ahead struct {
	Address string
	Out     int // requests that are out there: as many connections are in use
}

// ahead makes up for what is leaving: where its requests will go next, connections are to be opened, one for each that was
// out there. Cold ones are left out, as they are fed at their own pace.
func (s *Sway) ahead(x *service, moving int, now time.Time) {
	if moving == 0 || s.table == nil {
		return
	}
	type place struct {
		a    *App
		cost float64
	}
	var places []place
	for _, a := range x.apps {
		if a.Stand.State() == ebb.Serving && x.armOf(a) == 0 && !a.cold.After(now) && !a.doubt.till.After(now) && a.Stand.Out() < s.room(a) {
			places = append(places, place{a, s.cost(a, now)})
		}
	}
	sort.Slice(places, func(i, j int) bool { return places[i].cost < places[j].cost })
	for _, p := range places[:min(moving, len(places))] {
		s.aheads = append(s.aheads, Ahead{p.a.Address, p.a.Stand.Out()})
	}
}

// Aheads hands over where connections are to be opened.
func (s *Sway) Aheads() []Ahead {
	out := s.aheads
	s.aheads = nil
	return out
}

func (s *Sway) why(x *service, a *App) (why ebb.Why) {
	if a.Phase != lore.Ready && a.Phase != lore.Silent {
		why |= ebb.Itself
	}
	if s.table != nil && s.table.Cleared[a.Zone] {
		why |= ebb.Cleared
	}
	if s.table != nil && s.table.Drained(a.Service, a.ID, a.Zone) {
		why |= ebb.Ordered
	}
	if x.retired(a) {
		why |= ebb.Retired
	}
	return why
}

// Heard notes that a sound member of the core has answered what was asked at a moment.
func (s *Sway) Heard(asked time.Time) { s.leave.Heard(asked) }

// Touch tells whether the core's word covers what is sent now; else appliances are asked themselves.
func (s *Sway) Touch(now time.Time) bool { return s.leave.Holds(now) }

// Open tells whether a request that was given to an appliance may still be written to it: it may have begun to leave while
// the connection came up, or the leave to send has run out meanwhile.
func (s *Sway) Open(a *App, now time.Time) bool {
	return a.Stand.State() == ebb.Serving && a.Stand.Covered(&s.leave, now)
}

// withheld undoes what was noted of a send that never was.
func (s *Sway) withheld(x *service, r *Request) {
	r.Sends--
	if t := x.trial; t != nil && t.own.Reached > 0 {
		t.own.Reached--
		if r.trial {
			t.own.Sent--
		}
	}
}

// Question asks an appliance itself whether it serves, as nobody else can say.
type Question struct{ ID, Address, Path string }

// askAgain is the pause before an appliance that has not said that it serves is asked again.
const askAgain = 500 * time.Millisecond

// question has an appliance asked, unless it has just been. Each request that lacks a place asks one at most.
func (s *Sway) question(a *App, now time.Time) {
	b := s.table.Services[a.Service]
	if b == nil || now.Sub(a.asked) < askAgain {
		return
	}
	a.asked = now
	s.asks = append(s.asks, Question{a.ID, a.Address, b.CheckPath})
}

// Asks hands over the questions that are to be put.
func (s *Sway) Asks() []Question {
	asks := s.asks
	s.asks = nil
	return asks
}

// Word is what came of a question.
type Word struct {
	Asked   time.Time
	Reached bool // there was an answer
	Serves  bool
	Other   bool          // another appliance has its address
	Warm    time.Duration // for how long it is cold still
}

// Answered takes an appliance's word of itself.
func (s *Sway) Answered(id string, w Word, now time.Time) {
	a := s.apps[id]
	switch {
	case a == nil:
		return
	case w.Other:
		s.forget(id, now)
		return
	case !w.Reached:
		a.doubt.ended(a, Outcome{Dialled: false}, now)
		return
	}
	if w.Warm > 0 {
		a.freeze(now.Add(w.Warm), now)
	}
	a.Stand.Asked(w.Asked, w.Serves)
	s.Serve(a.Service, now)
}

// asked counts a request of a kind of traffic.
func (x *service) asked(homes string, now time.Time) {
	if x.loads == nil {
		x.loads = map[string]*gauge.Decaying{}
	}
	d := x.loads[homes]
	if d == nil {
		d = &gauge.Decaying{}
		x.loads[homes] = d
	}
	d.Add(clock(now), usualHalf, 1)
}

// Census is what this relay has out at appliances that leave, what traffic it carries, and by which versions of the zones'
// drains it goes: for operators.
func (s *Sway) Census(now time.Time) (rows []lore.Row, loads []ebb.Load, orders map[string]uint64) {
	if s.table != nil {
		orders = s.table.Orders
	}
	note := func(a *App) {
		rows = append(rows, lore.Row{ID: a.ID, Harmless: a.Stand.Out() - a.Stand.Risky(), Risky: a.Stand.Risky()})
	}
	for _, a := range s.apps {
		if a.Stand.State() != ebb.Serving && a.Stand.Out() > 0 {
			note(a)
		}
	}
	for _, a := range s.gone {
		note(a)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].ID < rows[j].ID })
	for name, x := range s.services {
		work := x.usual.Read(clock(now), usualHalf, 0, 0)
		for homes, d := range x.loads {
			rate := d.Read(clock(now), usualHalf) * math.Ln2 / usualHalf.Seconds()
			if rate < faint {
				delete(x.loads, homes)
				continue
			}
			loads = append(loads, ebb.Load{Service: name, Homes: homes, Rate: rate, Work: work})
		}
	}
	sort.Slice(loads, func(i, j int) bool {
		return loads[i].Service < loads[j].Service || loads[i].Service == loads[j].Service && loads[i].Homes < loads[j].Homes
	})
	return rows, loads, orders
}

// faint is a rate below which traffic counts as ended: a request a minute.
const faint = 1.0 / 60
