package replica

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sagelever/ebb"
	"sagelever/internal/control/quorum"
	"sagelever/lore"
	"sagelever/plan"
)

// Spots are the appliances as room is reckoned with them: what is leaving for any reason, a build on trial and one that is
// out of service carry nothing.
func Spots(t *plan.Table, apps map[string]*lore.App, zones map[string]string, now time.Time) (out []ebb.Spot) {
	for _, id := range slices.Sorted(maps.Keys(apps)) {
		a := apps[id]
		s := ebb.Spot{ID: id, Service: a.Service, Zone: a.Zone, Region: zones[a.Zone], Slots: a.Capacity,
			Serves: a.Phase == lore.Ready && !t.Cleared[a.Zone] && !t.Drained(a.Service, id, a.Zone)}
		if r := t.Releases[a.Service]; r != nil && (a.Build == r.Target) != (r.Phase == plan.Finished) {
			s.Serves = false
		}
		if b := t.Services[a.Service]; b != nil && a.Warm > now.UnixMilli() {
			s.ColdRate = b.WarmRate
		}
		out = append(out, s)
	}
	return out
}

// Orders are the drains that stand, by the registers as chosen.
func Orders(held map[string]quorum.Value) (out []ebb.Order) {
	for _, key := range slices.Sorted(maps.Keys(held)) {
		zone, ok := strings.CutPrefix(key, plan.DrainKey(""))
		if !ok {
			continue
		}
		for _, d := range plan.ReadDrains(held[key]) {
			out = append(out, Order(zone, d, held[key].Version))
		}
	}
	return out
}

// Order is a drain in a zone, of a version of its register.
func Order(zone string, d plan.Drain, version uint64) ebb.Order {
	return ebb.Order{Target: d.Names(zone), Zone: zone, Version: version, Began: time.UnixMilli(d.Began),
		Covers: func(s ebb.Spot) bool { return s.Zone == zone && d.Covers(s.Service, s.ID) }}
}
