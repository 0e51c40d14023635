// Package drain is what operators take out of service: backends, services in a zone, or whole zones that are drained,
// and zones that are evacuated. A drain stops new work and lets requests in flight finish; an evacuation stops all
// traffic to a zone.
//
// Both are kept in registers that a round of the quorum decides (package quorum). This package holds the updates of
// these registers, the check that enough capacity remains, and the progress of a drain from the reports of the proxies.
// It does no I/O; clocks are handed in.
package drain

import (
	"strings"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/quorum"
)

//go:generate go tool easyjson $GOFILE

// ListKeyPrefix begins the key of every register that lists the drains of a zone.
const ListKeyPrefix = "drain/"

// ListKey returns the key of the register that lists the drains in a zone. There is a register for each zone and not
// for each backend, so that the number of registers does not grow with the backends that were ever drained.
func ListKey(zone string) string { return ListKeyPrefix + zone }

// ZoneOfListKey is the inverse of ListKey.
func ZoneOfListKey(key string) string { return strings.TrimPrefix(key, ListKeyPrefix) }

// maxPerZone bounds the drains in a zone.
const maxPerZone = 256

// Drain is an operator's order that something in a zone gets no new work: one backend if ID is set, the backends of a
// service if Service is set, or else all backends.
//
//easyjson:json
type Drain struct {
	Service   string `json:"s,omitempty"`
	ID        string `json:"i,omitempty"`
	StartedMs int64  `json:"b"` // Unix milliseconds, by the clock of the controller that received the order
}

// zoneDrains is the body of the register of ListKey.
//
//easyjson:json
type zoneDrains struct {
	Drains []Drain `json:"d"`
}

// BeginRequest is the body of a drains.begin call.
//
//easyjson:json
type BeginRequest struct {
	Target string `json:"target"`
	Force  bool   `json:"force"` // begin even if too little capacity would remain
}

// Covers reports whether a drain of a zone covers a backend of a service in that zone.
func (d Drain) Covers(service, id string) bool {
	if d.ID != "" {
		return d.ID == id
	}
	return d.Service == "" || d.Service == service
}

// SameTarget reports whether two drains of a zone have the same target.
func (d Drain) SameTarget(other Drain) bool { return d.Service == other.Service && d.ID == other.ID }

// ReadList reads the drains from the register of a zone. A register that cannot be read has none.
func ReadList(value quorum.Value) []Drain {
	body := &zoneDrains{}
	if value.Body == "" || easyjson.Unmarshal([]byte(value.Body), body) != nil {
		return nil
	}
	return body.Drains
}

// encodeList returns the next value of a zone's register.
func encodeList(current quorum.Value, drains []Drain) quorum.Value {
	body, _ := easyjson.Marshal(&zoneDrains{Drains: drains}) // strings and integers always encode
	return quorum.Value{Version: current.Version + 1, Body: string(body), Annotation: current.Annotation}
}

// Find returns the drain with a target name, as given by Drain.TargetName, and the key of the register that lists it.
// The name suffices: the backend may be gone by now.
func Find(registers map[string]quorum.Value, name string) (key string, found Drain, ok bool) {
	for key, value := range registers {
		zone, isList := strings.CutPrefix(key, ListKeyPrefix)
		if !isList {
			continue
		}
		for _, listed := range ReadList(value) {
			if listed.TargetName(zone) == name {
				return key, listed, true
			}
		}
	}
	return "", Drain{}, false
}
