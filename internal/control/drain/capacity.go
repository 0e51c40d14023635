package drain

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

//go:generate go tool easyjson $GOFILE

// ServiceLoad is the load that one kind of traffic puts on a service, as one proxy sees it. The loads of several
// proxies add up.
//
//easyjson:json
type ServiceLoad struct {
	Service           string  `json:"s"`
	HomeRegions       string  `json:"h,omitempty"` // where it may be served, sorted, joined by commas; empty: anywhere
	RequestsPerSecond float64 `json:"r"`
	ServiceSeconds    float64 `json:"w"` // the mean time that a backend needs for a request
}

// BackendCapacity is a backend as a capacity check counts it.
type BackendCapacity struct {
	ID         string
	Service    string
	Zone       string
	Region     string
	Slots      int     // requests that it processes at once
	Serving    bool    // it gets new work, and is not about to leave
	WarmUpRate float64 // requests per second that it bears while it is warming up; 0: it is warm
}

// CapacityShortfall is a lack of capacity of a service, in slots.
//
//easyjson:json
type CapacityShortfall struct {
	Service     string  `json:"service"`
	HomeRegions string  `json:"homes,omitempty"` // of the traffic that would lack capacity; empty: all traffic
	Required    float64 `json:"need"`            // slots that the load keeps busy
	Remaining   float64 `json:"have"`            // slots that would be left
	Current     float64 `json:"before"`          // slots that there are now
}

func (s CapacityShortfall) String() string {
	scope := ""
	if s.HomeRegions != "" {
		scope = " in " + s.HomeRegions
	}
	const format = "%s%s: %.1f slots are at work, %.1f would be left of %.1f"
	return fmt.Sprintf(format, s.Service, scope, s.Required, s.Remaining, s.Current)
}

// headroomDeviations is how many standard deviations of the number of busy slots must remain free. That number is about
// Poisson distributed, so that its standard deviation is the root of its mean. By the square-root staffing rule half a
// deviation lets about every second request find a free slot at once.
const headroomDeviations = 0.5

// isShort reports whether the remaining slots are too few.
func (s CapacityShortfall) isShort() bool {
	headroom := headroomDeviations * math.Sqrt(s.Required)
	return s.Required+headroom > s.Remaining || s.Remaining == 0
}

// CapacityShortfalls returns for which services and home regions too few slots would remain without the removed
// backends, by service and regions. By Little's law a load keeps rate times service time slots busy.
//
// Backends that are not serving do not count, so that removals that are under way add up. A service without load is
// short too if it would lose its last backend. A shortfall that none of the removed backends contributes to is not
// reported.
func CapacityShortfalls(
	loads []ServiceLoad, backends []BackendCapacity, removed func(BackendCapacity) bool,
) []CapacityShortfall {
	demand := newDemand(loads, backends)
	var shortfalls []CapacityShortfall
	for class := range demand.busySlots {
		shortfall, affected := demand.assess(class, backends, removed)
		if affected && shortfall.isShort() {
			shortfalls = append(shortfalls, shortfall)
		}
	}
	slices.SortFunc(shortfalls, func(a, b CapacityShortfall) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.HomeRegions, b.HomeRegions))
	})
	return shortfalls
}

// trafficClass is the traffic to a service that may be served in the same home regions; "" stands for any region.
type trafficClass struct{ service, homeRegions string }

// includes reports whether all traffic of another class has to be served by backends that may serve this one.
func (c trafficClass) includes(other trafficClass) bool {
	if other.service != c.service {
		return false
	}
	return c.homeRegions == "" || other.homeRegions != "" && regionsWithin(other.homeRegions, c.homeRegions)
}

// serves reports whether a backend may serve traffic of the class.
func (c trafficClass) serves(backend BackendCapacity) bool {
	if backend.Service != c.service || !backend.Serving {
		return false
	}
	return c.homeRegions == "" || regionsWithin(backend.Region, c.homeRegions)
}

// serviceTotal is the load on a service as a whole.
type serviceTotal struct {
	busySlots         float64
	requestsPerSecond float64
}

// meanServiceSeconds is 0 for a service without load.
func (t serviceTotal) meanServiceSeconds() float64 {
	if t.requestsPerSecond <= 0 {
		return 0
	}
	return t.busySlots / t.requestsPerSecond
}

// demand is the load on all services.
type demand struct {
	busySlots map[trafficClass]float64
	totals    map[string]serviceTotal // by service
}

// newDemand adds up loads. Each service that has backends gets the class of all its traffic, loaded or not.
func newDemand(loads []ServiceLoad, backends []BackendCapacity) demand {
	d := demand{busySlots: map[trafficClass]float64{}, totals: map[string]serviceTotal{}}
	for _, load := range loads {
		busySlots := load.RequestsPerSecond * load.ServiceSeconds
		d.busySlots[trafficClass{service: load.Service, homeRegions: load.HomeRegions}] += busySlots
		total := d.totals[load.Service]
		total.busySlots += busySlots
		total.requestsPerSecond += load.RequestsPerSecond
		d.totals[load.Service] = total
	}
	for _, backend := range backends {
		all := trafficClass{service: backend.Service}
		if _, ok := d.busySlots[all]; !ok {
			d.busySlots[all] = 0
		}
	}
	return d
}

// assess compares the slots that a class requires with those that remain. affected reports whether any removed backend
// serves the class.
func (d demand) assess(
	class trafficClass, backends []BackendCapacity, removed func(BackendCapacity) bool,
) (shortfall CapacityShortfall, affected bool) {
	shortfall = CapacityShortfall{Service: class.service, HomeRegions: class.homeRegions}
	for other, busySlots := range d.busySlots {
		if class.includes(other) {
			shortfall.Required += busySlots
		}
	}
	for _, backend := range backends {
		if !class.serves(backend) {
			continue
		}
		usable := d.usableSlots(backend)
		shortfall.Current += usable
		if removed(backend) {
			affected = true
		} else {
			shortfall.Remaining += usable
		}
	}
	return shortfall, affected
}

// usableSlots returns the slots of a backend, or those that its rate keeps busy while it is warming up.
func (d demand) usableSlots(backend BackendCapacity) float64 {
	usable := float64(backend.Slots)
	if backend.WarmUpRate > 0 {
		usable = math.Min(usable, backend.WarmUpRate*d.totals[backend.Service].meanServiceSeconds())
	}
	return usable
}

// regionsWithin reports whether all regions of one list, joined by commas, are in another.
func regionsWithin(subset, regions string) bool {
	for _, region := range strings.Split(subset, ",") {
		if !strings.Contains(","+regions+",", ","+region+",") {
			return false
		}
	}
	return true
}
