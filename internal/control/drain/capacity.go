package drain

import (
	"fmt"
	"math"
	"sort"
	"strings"
)

// ServiceLoad is what one kind of traffic asks of a service, as one node sees it; loads of several nodes are added up.
//
//easyjson:json
type ServiceLoad struct {
	Service           string  `json:"s"`
	HomeRegions       string  `json:"h,omitempty"` // the regions in which it may be served, sorted, with commas; empty: anywhere
	RequestsPerSecond float64 `json:"r"`           // requests a second
	ServiceSeconds    float64 `json:"w"`           // seconds that an answer takes
}

// BackendCapacity is an appliance as room is reckoned with it.
type BackendCapacity struct {
	ID, Service, Zone, Region string
	Slots                     int
	Serving                   bool    // it gets new work, and is not about to go
	WarmUpRate                float64 // requests a second while it is cold; 0: it is warm
}

// CapacityShortfall is a lack of room.
//
//easyjson:json
type CapacityShortfall struct {
	Service     string  `json:"service"`
	HomeRegions string  `json:"homes,omitempty"`
	Required    float64 `json:"need"`   // slots at work
	Remaining   float64 `json:"have"`   // slots that would be left
	Current     float64 `json:"before"` // slots now
}

func (s CapacityShortfall) String() string {
	scope := ""
	if s.HomeRegions != "" {
		scope = " in " + s.HomeRegions
	}
	return fmt.Sprintf("%s%s: %.1f slots are at work, %.1f would be left of %.1f", s.Service, scope, s.Required, s.Remaining, s.Current)
}

// headroomDeviations is how many standard deviations of the work at one moment (which is about Poisson's: the root of its mean) have to
// be left over. By the square-root rule of staffing half of one lets about every second request find a free slot at once.
const headroomDeviations = 0.5

// CapacityShortfalls says for which services, and where, a removal would leave too few slots: by Little's law the load keeps rate x work
// of them busy. Spots that are given as not serving are not counted, so that removals under way add up; leaving names what
// would go besides. A service that has no load and keeps no appliance is short too, unless it had none. What was short
// before, and of which nothing goes, is not held against the removal.
func CapacityShortfalls(loads []ServiceLoad, backends []BackendCapacity, removed func(BackendCapacity) bool) []CapacityShortfall {
	type trafficClass struct{ service, homes string }
	busySlots := map[trafficClass]float64{}
	totals := map[string][2]float64{} // by service: seconds of work a second, and requests
	for _, l := range loads {
		busySlots[trafficClass{l.Service, l.HomeRegions}] += l.RequestsPerSecond * l.ServiceSeconds
		total := totals[l.Service]
		totals[l.Service] = [2]float64{total[0] + l.RequestsPerSecond*l.ServiceSeconds, total[1] + l.RequestsPerSecond}
	}
	for _, backend := range backends {
		if _, ok := busySlots[trafficClass{backend.Service, ""}]; !ok {
			busySlots[trafficClass{backend.Service, ""}] = 0
		}
	}
	var shortfalls []CapacityShortfall
	for class := range busySlots {
		shortfall := CapacityShortfall{Service: class.service, HomeRegions: class.homes}
		for other, slotsAtWork := range busySlots { // all that has to be served within these homes
			if other.service == class.service && (class.homes == "" || other.homes != "" && regionsWithin(other.homes, class.homes)) {
				shortfall.Required += slotsAtWork
			}
		}
		affected := false
		for _, backend := range backends {
			if backend.Service != class.service || !backend.Serving || class.homes != "" && !regionsWithin(backend.Region, class.homes) {
				continue
			}
			slots := float64(backend.Slots)
			if backend.WarmUpRate > 0 {
				meanServiceSeconds := 0.0
				if total := totals[class.service]; total[1] > 0 {
					meanServiceSeconds = total[0] / total[1]
				}
				slots = math.Min(slots, backend.WarmUpRate*meanServiceSeconds)
			}
			shortfall.Current += slots
			if removed(backend) {
				affected = true
			} else {
				shortfall.Remaining += slots
			}
		}
		if affected && (shortfall.Required+headroomDeviations*math.Sqrt(shortfall.Required) > shortfall.Remaining || shortfall.Remaining == 0) {
			shortfalls = append(shortfalls, shortfall)
		}
	}
	sort.Slice(shortfalls, func(i, j int) bool {
		return shortfalls[i].Service < shortfalls[j].Service || shortfalls[i].Service == shortfalls[j].Service && shortfalls[i].HomeRegions < shortfalls[j].HomeRegions
	})
	return shortfalls
}

// regionsWithin tells whether all regions of one list stand in another.
func regionsWithin(subset, regions string) bool {
	for _, region := range strings.Split(subset, ",") {
		if !strings.Contains(","+regions+",", ","+region+",") {
			return false
		}
	}
	return true
}
