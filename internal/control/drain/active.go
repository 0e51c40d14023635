package drain

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sagelever/internal/control/quorum"
)

// ActiveDrains are the drains that stand, by the registers as chosen.
func ActiveDrains(registers map[string]quorum.Value) (orders []ActiveDrain) {
	for _, key := range slices.Sorted(maps.Keys(registers)) {
		zone, ok := strings.CutPrefix(key, ListKey(""))
		if !ok {
			continue
		}
		for _, zoneDrain := range ReadList(registers[key]) {
			orders = append(orders, NewActiveDrain(zone, zoneDrain, registers[key].Version))
		}
	}
	return orders
}

// NewActiveDrain is a drain in a zone, of a version of its register.
func NewActiveDrain(zone string, zoneDrain Drain, version uint64) ActiveDrain {
	return ActiveDrain{Target: zoneDrain.TargetName(zone), Zone: zone, Version: version, StartedAt: time.UnixMilli(zoneDrain.BeganMs),
		Covers: func(capacity BackendCapacity) bool {
			return capacity.Zone == zone && zoneDrain.Covers(capacity.Service, capacity.ID)
		}}
}
