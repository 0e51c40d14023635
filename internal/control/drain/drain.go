// Package drain implements drains and evacuations, by which operators take backends out of service. A drain stops new
// requests to a backend, to the backends of a service in a zone, or to all backends in a zone, and lets requests in
// flight finish. An evacuation stops all traffic to a zone.
//
// Both are stored in replicated registers (package quorum). This package provides the updates of these registers, the
// check that enough capacity remains, and the progress of a drain according to the reports of the proxies. It does no
// I/O; callers pass the current time.
package drain

import (
	"strings"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/quorum"
)

//go:generate go tool easyjson $GOFILE

// ListKeyPrefix is the prefix of the keys of registers that list the drains in a zone.
const ListKeyPrefix = "drain/"

// ListKey returns the key of the register that lists the drains in a zone. There is one register for each zone and not
// for each backend, so that the number of registers does not grow with the number of backends that were ever drained.
func ListKey(zone string) string { return ListKeyPrefix + zone }

// ZoneOfListKey returns the zone of a key that ListKey returned.
func ZoneOfListKey(key string) string { return strings.TrimPrefix(key, ListKeyPrefix) }

// maxPerZone bounds the number of drains in a zone.
const maxPerZone = 256

// Drain is an operator's order to send no new requests to backends in a zone: to one backend if ID is set, to the
// backends of a service if Service is set, otherwise to all backends.
//
//easyjson:json
type Drain struct {
	Service   string `json:"s,omitempty"`
	ID        string `json:"i,omitempty"`
	StartedMs int64  `json:"b"` // Unix milliseconds, by the clock of the controller that received the order
}

// zoneDrains is the body of a register that lists the drains in a zone.
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
	Force  bool   `json:"force"` // drain even if too little capacity would remain
}

// Covers reports whether the drain applies to a backend of a service in the drain's zone.
func (d Drain) Covers(service, id string) bool {
	if d.ID != "" {
		return d.ID == id
	}
	return d.Service == "" || d.Service == service
}

// SameTarget reports whether two drains in one zone have the same target.
func (d Drain) SameTarget(other Drain) bool { return d.Service == other.Service && d.ID == other.ID }

// ReadList decodes the drains in the register of a zone. It returns none if the register cannot be decoded.
func ReadList(value quorum.Value) []Drain {
	body := &zoneDrains{}
	if value.Body == "" || easyjson.Unmarshal([]byte(value.Body), body) != nil {
		return nil
	}
	return body.Drains
}

// encodeList returns the next value of a zone's register, which lists the given drains.
func encodeList(current quorum.Value, drains []Drain) quorum.Value {
	body, _ := easyjson.Marshal(&zoneDrains{Drains: drains}) // encoding strings and integers cannot fail
	return quorum.Value{Version: current.Version + 1, Body: string(body), Annotation: current.Annotation}
}

// Find returns the drain with a target name, as returned by Drain.TargetName, and the key of the register that lists
// it. The backend need not exist any more.
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
