package drain

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sagelever/internal/control/quorum"
)

// ActiveDrain is a drain in force, with the version of the register that lists it.
type ActiveDrain struct {
	Target    string // the result of Drain.TargetName
	Zone      string
	Version   uint64 // of the zone's register; a proxy with this version or a later one applies the drain
	StartedAt time.Time
	Covers    func(BackendCapacity) bool
}

// NewActiveDrain returns a drain that is listed in a version of its zone's register.
func NewActiveDrain(zone string, listed Drain, version uint64) ActiveDrain {
	return ActiveDrain{
		Target:    listed.TargetName(zone),
		Zone:      zone,
		Version:   version,
		StartedAt: time.UnixMilli(listed.StartedMs),
		Covers: func(backend BackendCapacity) bool {
			return backend.Zone == zone && listed.Covers(backend.Service, backend.ID)
		},
	}
}

// ActiveDrains returns the drains in force, given the chosen values of the registers by key. They are sorted by zone.
func ActiveDrains(registers map[string]quorum.Value) []ActiveDrain {
	var active []ActiveDrain
	for _, key := range slices.Sorted(maps.Keys(registers)) {
		zone, isList := strings.CutPrefix(key, ListKeyPrefix)
		if !isList {
			continue
		}
		value := registers[key]
		for _, listed := range ReadList(value) {
			active = append(active, NewActiveDrain(zone, listed, value.Version))
		}
	}
	return active
}
