package routing

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/config"
	"sagelever/internal/control/drain"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/release"
	"sagelever/internal/settings"
)

// Table is the configuration as a relay uses it: immutable, swapped whole.
type Table struct {
	routes        map[string]map[string]*Route
	prefixLengths map[string][]int // of each host's prefixes, the longest first
	Services      map[string]*Service
	Evacuated     map[string]bool             // zones to which nothing may be sent
	Drains        map[string][]drain.Drain    // what operators drain, by zone
	DrainVersions map[string]uint64           // the versions of these registers, by zone, where there is one
	Releases      map[string]*release.Release // by service
	Limits        RequestLimits
	ItemCount     int
}

// Route is a route, read.
type Route struct {
	Name                   string
	Idempotent             bool
	Timeout, LatencyTarget time.Duration
	Priority, MaxAttempts  int
	WeightedServices       []config.WeightedService
	HomeRegions            map[string]bool // nil: anywhere
	HomeRegionList         string          // the same: sorted, with commas
	totalWeight            float64
	tenant                 string
}

// PickService picks the service by a number drawn from [0, 1).
func (w *Route) PickService(random float64) string {
	remaining := random * w.totalWeight
	for _, share := range w.WeightedServices {
		if remaining -= share.Weight; remaining < 0 {
			return share.Service
		}
	}
	return w.WeightedServices[0].Service
}

// Service is a service, read.
type Service struct {
	HealthCheckPath string
	MaxConnections  int
	WarmUp          time.Duration
	WarmUpRate      float64 // requests a second that a cold appliance bears
}

// RequestLimits is what a client may send.
type RequestLimits struct {
	MaxHeaderBytes, MaxBodyBytes int64
	HeaderTimeout, IdleTimeout   time.Duration
}

// NewTable reads the registers into a table. What can't be read is passed over: it was checked when it was taken.
func NewTable(values map[string]quorum.Value) *Table {
	table := &Table{routes: map[string]map[string]*Route{}, prefixLengths: map[string][]int{}, Services: map[string]*Service{},
		Evacuated: map[string]bool{}, Drains: map[string][]drain.Drain{}, DrainVersions: map[string]uint64{}, Releases: map[string]*release.Release{}}
	tenantRegions := map[string]map[string]bool{}
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys) // where two routes stood in one place, all agents would serve the same
	for _, key := range keys {
		value := values[key]
		if value.Deleted {
			continue
		}
		if zone, ok := strings.CutPrefix(key, drain.EvacuationKeyPrefix); ok {
			table.Evacuated[zone] = drain.ReadEvacuation(value.Body).Orders > 0
			continue
		}
		if zone, ok := strings.CutPrefix(key, drain.ListKeyPrefix); ok {
			table.DrainVersions[zone] = value.Version
			if drainList := drain.ReadList(value); len(drainList) > 0 {
				table.Drains[zone] = drainList
			}
			continue
		}
		if service, ok := strings.CutPrefix(key, release.RegisterKeyPrefix); ok {
			serviceRelease := &release.Release{}
			if easyjson.Unmarshal([]byte(value.Body), serviceRelease) == nil {
				table.Releases[service] = serviceRelease
			}
			continue
		}
		kind, name, ok := config.SplitKey(key)
		if !ok {
			continue
		}
		table.ItemCount++
		decoded, err := config.ReadBody(kind, name, value.Body)
		if err != nil {
			continue
		}
		switch body := decoded.(type) {
		case *config.ServiceBody:
			warmUp, _ := settings.ParseDuration(config.SpanOrZero(body.WarmUp))
			table.Services[name] = &Service{body.HealthCheckPath, body.MaxConnections, warmUp, body.WarmUpRatePerSecond}
		case *config.LimitsBody:
			table.Limits = RequestLimits{MaxHeaderBytes: body.MaxHeaderBytes, MaxBodyBytes: body.MaxBodyBytes}
			table.Limits.HeaderTimeout, _ = settings.ParseDuration(body.HeaderTimeout)
			table.Limits.IdleTimeout, _ = settings.ParseDuration(body.IdleTimeout)
		case *config.TenantBody:
			tenantRegions[name] = newSet(body.HomeRegions)
		case *config.RouteBody:
			table.addRoute(name, body)
		}
	}
	for host, routes := range table.routes {
		seenLengths := map[int]bool{}
		for prefix, route := range routes {
			if regions := tenantRegions[route.tenant]; route.tenant != "" && regions != nil { // where route and tenant have homes, both bind
				route.HomeRegions = intersect(route.HomeRegions, regions)
			}
			route.HomeRegionList = strings.Join(slices.Sorted(maps.Keys(route.HomeRegions)), ",")
			if !seenLengths[len(prefix)] {
				seenLengths[len(prefix)] = true
				table.prefixLengths[host] = append(table.prefixLengths[host], len(prefix))
			}
		}
		sort.Sort(sort.Reverse(sort.IntSlice(table.prefixLengths[host])))
	}
	return table
}

// IsDrained tells whether an operator drains an appliance.
func (t *Table) IsDrained(service, id, zone string) bool {
	for _, active := range t.Drains[zone] {
		if active.Covers(service, id) {
			return true
		}
	}
	return false
}

func (t *Table) addRoute(name string, body *config.RouteBody) {
	host := strings.ToLower(body.Host)
	if t.routes[host] == nil {
		t.routes[host] = map[string]*Route{}
	}
	if t.routes[host][body.PathPrefix] != nil {
		return
	}
	route := &Route{Name: name, Idempotent: body.Kind == "harmless", Priority: body.Priority, MaxAttempts: max(1, body.MaxAttempts), WeightedServices: body.WeightedServices,
		HomeRegions: newSet(body.HomeRegions), tenant: body.Tenant}
	route.Timeout, _ = settings.ParseDuration(body.Timeout)
	route.LatencyTarget, _ = settings.ParseDuration(config.SpanOrZero(body.LatencyTarget))
	if body.Service != "" {
		route.WeightedServices = []config.WeightedService{{Service: body.Service, Weight: 1}}
	}
	for _, share := range route.WeightedServices {
		route.totalWeight += share.Weight
	}
	t.routes[host][body.PathPrefix] = route
}

// FindRoute is the route of a request: of the host's, the one with the longest prefix that begins the path; nil for none.
// It costs one look-up for each length that the host's prefixes have, however many routes there are.
func (t *Table) FindRoute(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && strings.IndexByte(host, ']') < i {
		host = host[:i]
	}
	host = strings.ToLower(host)
	routes := t.routes[host]
	for _, length := range t.prefixLengths[host] {
		if length <= len(path) {
			if route := routes[path[:length]]; route != nil {
				return route
			}
		}
	}
	return nil
}

func newSet(names []string) map[string]bool {
	if len(names) == 0 {
		return nil
	}
	members := make(map[string]bool, len(names))
	for _, name := range names {
		members[name] = true
	}
	return members
}

func intersect(a, b map[string]bool) map[string]bool {
	if a == nil || b == nil {
		if a == nil {
			return b
		}
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
