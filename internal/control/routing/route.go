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
	Idempotent       bool // a request may be sent more than once
	Timeout          time.Duration
	LatencyTarget    time.Duration
	Priority         int // requests with the lowest value are sent first
	MaxAttempts      int // at least 1
	WeightedServices []config.WeightedService
	HomeRegions      map[string]bool // regions where requests may be served; nil: any region
	HomeRegionList   string          // HomeRegions, sorted and joined by commas
	totalWeight      float64
	tenant           string
}

// newRoute converts the body of a route. Its durations are valid, as config.DecodeBody has checked them.
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
	return r.WeightedServices[0].Service // reached only by a rounding error in the total weight
}

// newSet returns a set of names, or nil if there are none.
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

// intersect returns the intersection of two sets. A nil set contains everything. The result is nil only if both sets
// are.
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
