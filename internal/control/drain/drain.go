package drain

import (
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/internal/control/dedup"
	"sagelever/internal/control/quorum"
)

const ListKeyPrefix = "drain/"

// ListKey is the register that holds what operators drain in a zone. Zones are few and do not change, so that registers
// do not grow with the appliances that were ever drained.
func ListKey(zone string) string { return ListKeyPrefix + zone }

// ZoneOfListKey is the zone of a register of ListKey.
func ZoneOfListKey(key string) string { return strings.TrimPrefix(key, ListKeyPrefix) }

// MaxPerZone is how many may stand in a zone at once.
const MaxPerZone = 256

// Drain is an operator's word that something in a zone gets no new work: one appliance, a service's there, or all.
//
//easyjson:json
type Drain struct {
	Service string `json:"s,omitempty"`
	ID      string `json:"i,omitempty"`
	BeganMs int64  `json:"b"` // Unix milliseconds at the agent that took the word
}

// List is the body of a zone's register.
//
//easyjson:json
type List struct {
	Drains []Drain `json:"d"`
}

// BeginRequest is a drains.begin call.
//
//easyjson:json
type BeginRequest struct {
	Target string `json:"target"`
	Force  bool   `json:"force"` // also where too little room would be left
}

// TargetName is what a drain is called in a zone: BACKEND, SERVICE@ZONE or ZONE.
func (d Drain) TargetName(zone string) string {
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

// SameTarget tells whether two drains of a zone are about the same.
func (d Drain) SameTarget(other Drain) bool { return d.Service == other.Service && d.ID == other.ID }

// ParseTarget reads the name of what is to be drained; where is the zone of an appliance by its id, empty where there is
// none. Unknown zones are refused; a service is known by whoever asks.
func ParseTarget(target string, zones map[string]string, zoneOf func(id string) string) (zone string, drain Drain, err error) {
	if service, zone, ok := strings.Cut(target, "@"); ok {
		if zones[zone] == "" || service == "" {
			return "", drain, errors.Errorf("%q: want SERVICE@ZONE, and there is no such zone", target)
		}
		return zone, Drain{Service: service}, nil
	}
	if zones[target] != "" {
		return target, drain, nil
	}
	if zone := zoneOf(target); zone != "" {
		return zone, Drain{ID: target}, nil
	}
	return "", drain, errors.Errorf("%q: neither an appliance, nor SERVICE@ZONE, nor a zone", target)
}

// ReadList reads a zone's register.
func ReadList(v quorum.Value) []Drain {
	list := &List{}
	if v.Body == "" || easyjson.Unmarshal([]byte(v.Body), list) != nil {
		return nil
	}
	return list.Drains
}

// Find finds a drain that stands by its name, and the register that holds it. An appliance may be gone by now: the name
// is all that is needed.
func Find(registers map[string]quorum.Value, name string) (key string, drain Drain, ok bool) {
	for key, v := range registers {
		zone, isDrains := strings.CutPrefix(key, ListKeyPrefix)
		if !isDrains {
			continue
		}
		for _, drain := range ReadList(v) {
			if drain.TargetName(zone) == name {
				return key, drain, true
			}
		}
	}
	return "", drain, false
}

// Add adds a drain to a zone's; one that stands already changes nothing. Those of lives that are over go with it, and
// where there are too many, none is added.
func Add(drain Drain, ended func(id string) bool, now time.Time) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		list := ReadList(current)
		if slices.ContainsFunc(list, drain.SameTarget) {
			return current
		}
		list = slices.DeleteFunc(slices.Clone(list), func(other Drain) bool { return other.ID != "" && ended(other.ID) })
		if len(list) >= MaxPerZone {
			return current
		}
		drain.BeganMs = now.UnixMilli()
		return encodeList(current, append(list, drain))
	}
}

// Orders on drains, as a zone's register remembers them.
const (
	orderBegin = "begin "
	orderEnd   = "end "
)

// AddRecorded is Add for an order that may be sent again once nothing is left that shows it: the appliance is
// gone, and its drain with it.
func AddRecorded(zone string, drain Drain, ended func(id string) bool, now time.Time, window time.Duration) quorum.UpdateFunc {
	return recordOrder(orderBegin+drain.TargetName(zone), now, window, Add(drain, ended, now))
}

// RemoveRecorded is Remove for an order that may be sent again: no drain is left that would show it.
func RemoveRecorded(zone string, drain Drain, now time.Time, window time.Duration) quorum.UpdateFunc {
	return recordOrder(orderEnd+drain.TargetName(zone), now, window, Remove(drain))
}

func recordOrder(order string, now time.Time, window time.Duration, change quorum.UpdateFunc) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		next := change(current)
		if next.Version != current.Version {
			next.Annotation = dedup.ReadAppliedOrders(current).With(order, now, window).Encode()
		}
		return next
	}
}

// AddedRecently tells whether a drain of that name was begun within the term.
func AddedRecently(registers map[string]quorum.Value, name string, now time.Time, window time.Duration) bool {
	return orderRecorded(registers, orderBegin+name, now, window)
}

// RemovedRecently tells whether a drain of that name was withdrawn within the term.
func RemovedRecently(registers map[string]quorum.Value, name string, now time.Time, window time.Duration) bool {
	return orderRecorded(registers, orderEnd+name, now, window)
}

func orderRecorded(registers map[string]quorum.Value, order string, now time.Time, window time.Duration) bool {
	for key, v := range registers {
		if strings.HasPrefix(key, ListKeyPrefix) && dedup.ReadAppliedOrders(v).Contains(order, now, window) {
			return true
		}
	}
	return false
}

// Remove withdraws a drain; one that does not stand changes nothing.
func Remove(drain Drain) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		list := ReadList(current)
		remaining := slices.DeleteFunc(slices.Clone(list), drain.SameTarget)
		if len(remaining) == len(list) {
			return current
		}
		return encodeList(current, remaining)
	}
}

func encodeList(current quorum.Value, list []Drain) quorum.Value {
	body, _ := easyjson.Marshal(&List{list}) // texts and whole numbers only: it cannot fail
	return quorum.Value{Version: current.Version + 1, Body: string(body), Annotation: current.Annotation}
}
