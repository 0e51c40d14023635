package drain

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

//go:generate go tool easyjson $GOFILE

// ServiceLoad is the load that one class of traffic puts on a service, as measured by one proxy. The loads of several
// proxies are added.
//
//easyjson:json
type ServiceLoad struct {
	Service           string  `json:"s"`
	HomeRegions       string  `json:"h,omitempty"` // where it may be served: sorted, comma-separated; empty: any region
	RequestsPerSecond float64 `json:"r"`
	ServiceSeconds    float64 `json:"w"` // mean time that a backend takes for a request
}

// BackendCapacity is the capacity of a backend in a capacity check.
type BackendCapacity struct {
	ID         string
	Service    string
	Zone       string
	Region     string
	Slots      int     // requests that it processes concurrently
	Serving    bool    // it gets new requests and is not leaving service
	WarmUpRate float64 // requests per second that it can serve while warming up; 0: it is warm
}

// CapacityShortfall is a lack of capacity of a service, in slots.
//
//easyjson:json
type CapacityShortfall struct {
	Service     string  `json:"service"`
	HomeRegions string  `json:"homes,omitempty"` // of the affected traffic; empty: all traffic
	Required    float64 `json:"need"`            // slots that the load occupies
	Remaining   float64 `json:"have"`            // slots that would remain
	Current     float64 `json:"before"`          // slots that exist now
}

func (s CapacityShortfall) String() string {
	scope := ""
	if s.HomeRegions != "" {
		scope = " in " + s.HomeRegions
	}
	const format = "%s%s: %.1f slots are at work, %.1f would be left of %.1f"
	return fmt.Sprintf(format, s.Service, scope, s.Required, s.Remaining, s.Current)
}

// headroomDeviations is the number of slots that must remain free, in standard deviations of the number of busy slots.
// The latter is approximately Poisson distributed, so its standard deviation is the square root of its mean. By the
// square-root staffing rule, about half of the requests find a free slot immediately with a headroom of half a
// deviation.
const headroomDeviations = 0.5

// isShort reports whether the remaining slots are too few for the load with its headroom.
func (s CapacityShortfall) isShort() bool {
	headroom := headroomDeviations * math.Sqrt(s.Required)
	return s.Required+headroom > s.Remaining || s.Remaining == 0
}

// CapacityShortfalls returns the services and home regions for which too few slots would remain without the removed
// backends, sorted by service and regions. By Little's law, the number of slots that a load occupies is its request
// rate times the service time.
//
// Backends that are not serving do not count, so that removals in progress add up. A service without load also has a
// shortfall if it would lose its last backend. A shortfall to which none of the removed backends contributes is not
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

// trafficClass is the traffic to a service with the same home regions; no home regions stand for any region.
type trafficClass struct{ service, homeRegions string }

// includes reports whether all backends that may serve another class may also serve this one, so that the other class's
// load counts towards this one's.
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

// serviceTotal is the load of all traffic to a service.
type serviceTotal struct {
	busySlots         float64
	requestsPerSecond float64
}

// meanServiceSeconds returns the mean time that a backend takes for a request, or 0 for a service without load.
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

// newDemand adds up loads. Each service with backends gets a class for all its traffic, even if it has no load.
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

// assess compares the slots that a class requires with those that would remain. affected reports whether any removed
// backend serves the class.
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

// usableSlots returns the slots of a backend. While the backend is warming up, only the slots that its warm-up rate
// occupies are usable.
func (d demand) usableSlots(backend BackendCapacity) float64 {
	usable := float64(backend.Slots)
	if backend.WarmUpRate > 0 {
		usable = math.Min(usable, backend.WarmUpRate*d.totals[backend.Service].meanServiceSeconds())
	}
	return usable
}

// regionsWithin reports whether all regions of one comma-separated list are in another.
func regionsWithin(subset, regions string) bool {
	for _, region := range strings.Split(subset, ",") {
		if !strings.Contains(","+regions+",", ","+region+",") {
			return false
		}
	}
	return true
}
