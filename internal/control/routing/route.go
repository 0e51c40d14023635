package routing

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sagelever/internal/control/config"
	"sagelever/internal/settings"
)

// Route is a route of the configuration.
type Route struct {
	Name             string
	Idempotent       bool // a request may be sent a second time
	Timeout          time.Duration
	LatencyTarget    time.Duration
	Priority         int // the lowest goes first
	MaxAttempts      int // at least 1
	WeightedServices []config.WeightedService
	HomeRegions      map[string]bool // where its requests may be served; nil: anywhere
	HomeRegionList   string          // HomeRegions, sorted and joined by commas
	totalWeight      float64
	tenant           string
}

// newRoute converts the body of a route. The durations were checked by config.DecodeBody.
func newRoute(name string, body *config.RouteBody) *Route {
	route := &Route{
		Name:             name,
		Idempotent:       body.Idempotent(),
		Priority:         body.Priority,
		MaxAttempts:      max(1, body.MaxAttempts),
		WeightedServices: body.WeightedServices,
		HomeRegions:      newSet(body.HomeRegions),
		tenant:           body.Tenant,
	}
	route.Timeout, _ = settings.ParseDuration(body.Timeout)
	route.LatencyTarget, _ = config.ParseOptionalDuration(body.LatencyTarget)
	if body.Service != "" {
		route.WeightedServices = []config.WeightedService{{Service: body.Service, Weight: 1}}
	}
	for _, weighted := range route.WeightedServices {
		route.totalWeight += weighted.Weight
	}
	return route
}

// PickService picks one of the route's services by weight. random is a random number in [0, 1).
func (r *Route) PickService(random float64) string {
	remaining := random * r.totalWeight
	for _, weighted := range r.WeightedServices {
		remaining -= weighted.Weight
		if remaining < 0 {
			return weighted.Service
		}
	}
	return r.WeightedServices[0].Service // the weights were added up with a rounding error
}

// newSet returns the set of some names, or nil if there are none.
func newSet(names []string) map[string]bool {
	if len(names) == 0 {
		return nil
	}
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// intersect returns what is in both sets. A nil set stands for everything; the result may be empty and not nil.
func intersect(a, b map[string]bool) map[string]bool {
	if a == nil {
		return b
	}
	if b == nil {
		return a
	}
	common := map[string]bool{}
	for member := range a {
		if b[member] {
			common[member] = true
		}
	}
	return common
}

// sortedList returns the members of a set, sorted and joined by commas.
func sortedList(set map[string]bool) string {
	return strings.Join(slices.Sorted(maps.Keys(set)), ",")
}
