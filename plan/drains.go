package plan

import (
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/internal/control/quorum"
)

const drainKey = "drain/"

// DrainKey is the register that holds what operators drain in a zone. Zones are few and do not change, so that registers
// do not grow with the appliances that were ever drained.
func DrainKey(zone string) string { return drainKey + zone }

// ZoneOfDrains is the zone of a register of DrainKey.
func ZoneOfDrains(key string) string { return strings.TrimPrefix(key, drainKey) }

// MostDrains is how many may stand in a zone at once.
const MostDrains = 256

// Drain is an operator's word that something in a zone gets no new work: one appliance, a service's there, or all.
//
//easyjson:json
type Drain struct {
	Service string `json:"s,omitempty"`
	ID      string `json:"i,omitempty"`
	Began   int64  `json:"b"` // Unix milliseconds at the agent that took the word
}

// DrainList is the body of a zone's register.
//
//easyjson:json
type DrainList struct {
	Drains []Drain `json:"d"`
}

// DrainWord is a drains.begin call.
//
//easyjson:json
type DrainWord struct {
	Target string `json:"target"`
	Force  bool   `json:"force"` // also where too little room would be left
}

// Names is what a drain is called in a zone: BACKEND, SERVICE@ZONE or ZONE.
func (d Drain) Names(zone string) string {
	switch {
	case d.ID != "":
		return d.ID
	case d.Service != "":
		return d.Service + "@" + zone
	}
	return zone
}

// Covers tells whether a drain of its zone is about an appliance there.
func (d Drain) Covers(service, id string) bool {
	return d.ID == "" && (d.Service == "" || d.Service == service) || d.ID != "" && d.ID == id
}

// Same tells whether two drains of a zone are about the same.
func (d Drain) Same(other Drain) bool { return d.Service == other.Service && d.ID == other.ID }

// ReadTarget reads the name of what is to be drained; where is the zone of an appliance by its id, empty where there is
// none. Unknown zones are refused; a service is known by whoever asks.
func ReadTarget(text string, zones map[string]string, where func(id string) string) (zone string, d Drain, err error) {
	if service, zone, ok := strings.Cut(text, "@"); ok {
		if zones[zone] == "" || service == "" {
			return "", d, errors.Errorf("%q: want SERVICE@ZONE, and there is no such zone", text)
		}
		return zone, Drain{Service: service}, nil
	}
	if zones[text] != "" {
		return text, d, nil
	}
	if zone := where(text); zone != "" {
		return zone, Drain{ID: text}, nil
	}
	return "", d, errors.Errorf("%q: neither an appliance, nor SERVICE@ZONE, nor a zone", text)
}

// ReadDrains reads a zone's register.
func ReadDrains(v quorum.Value) []Drain {
	l := &DrainList{}
	if v.Body == "" || easyjson.Unmarshal([]byte(v.Body), l) != nil {
		return nil
	}
	return l.Drains
}

// FindDrain finds a drain that stands by its name, and the register that holds it. An appliance may be gone by now: the name
// is all that is needed.
func FindDrain(held map[string]quorum.Value, name string) (key string, d Drain, ok bool) {
	for key, v := range held {
		zone, is := strings.CutPrefix(key, drainKey)
		if !is {
			continue
		}
		for _, d := range ReadDrains(v) {
			if d.Names(zone) == name {
				return key, d, true
			}
		}
	}
	return "", d, false
}

// BeginDrain adds a drain to a zone's; one that stands already changes nothing. Those of lives that are over go with it, and
// where there are too many, none is added.
func BeginDrain(d Drain, over func(id string) bool, now time.Time) quorum.Change {
	return func(held quorum.Value) quorum.Value {
		list := ReadDrains(held)
		if slices.ContainsFunc(list, d.Same) {
			return held
		}
		list = slices.DeleteFunc(slices.Clone(list), func(x Drain) bool { return x.ID != "" && over(x.ID) })
		if len(list) >= MostDrains {
			return held
		}
		d.Began = now.UnixMilli()
		return drains(held, append(list, d))
	}
}

// Orders on drains, as a zone's register remembers them.
const (
	drainBegun = "begin "
	drainEnded = "end "
)

// BeginDrainNoted is BeginDrain for an order that may be sent again once nothing is left that shows it: the appliance is
// gone, and its drain with it.
func BeginDrainNoted(zone string, d Drain, over func(id string) bool, now time.Time, term time.Duration) quorum.Change {
	return noted(drainBegun+d.Names(zone), now, term, BeginDrain(d, over, now))
}

// EndDrainNoted is EndDrain for an order that may be sent again: no drain is left that would show it.
func EndDrainNoted(zone string, d Drain, now time.Time, term time.Duration) quorum.Change {
	return noted(drainEnded+d.Names(zone), now, term, EndDrain(d))
}

func noted(order string, now time.Time, term time.Duration, change quorum.Change) quorum.Change {
	return func(held quorum.Value) quorum.Value {
		next := change(held)
		if next.Version != held.Version {
			next.Note = readTaken(held).with(order, now, term).note()
		}
		return next
	}
}

// BegunLately tells whether a drain of that name was begun within the term.
func BegunLately(held map[string]quorum.Value, name string, now time.Time, term time.Duration) bool {
	return drainNoted(held, drainBegun+name, now, term)
}

// EndedLately tells whether a drain of that name was withdrawn within the term.
func EndedLately(held map[string]quorum.Value, name string, now time.Time, term time.Duration) bool {
	return drainNoted(held, drainEnded+name, now, term)
}

func drainNoted(held map[string]quorum.Value, order string, now time.Time, term time.Duration) bool {
	for key, v := range held {
		if strings.HasPrefix(key, drainKey) && readTaken(v).has(order, now, term) {
			return true
		}
	}
	return false
}

// EndDrain withdraws a drain; one that does not stand changes nothing.
func EndDrain(d Drain) quorum.Change {
	return func(held quorum.Value) quorum.Value {
		list := ReadDrains(held)
		left := slices.DeleteFunc(slices.Clone(list), d.Same)
		if len(left) == len(list) {
			return held
		}
		return drains(held, left)
	}
}

func drains(held quorum.Value, list []Drain) quorum.Value {
	b, _ := easyjson.Marshal(&DrainList{list}) // texts and whole numbers only: it cannot fail
	return quorum.Value{Version: held.Version + 1, Body: string(b), Note: held.Note}
}
