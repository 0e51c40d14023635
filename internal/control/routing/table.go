// Package routing provides the configuration as an immutable table, in which a proxy looks up the route of a request
// and what operators drain or evacuate. A controller uses the same table to determine the capacity of the backends. The
// package does no I/O.
package routing

import (
	"sort"
	"strings"
	"time"

	"sagelever/internal/control/config"
	"sagelever/internal/control/drain"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/release"
	"sagelever/internal/settings"
)

// Table is the configuration in the form that a proxy uses. It is immutable and safe for concurrent use; a proxy
// replaces it when the configuration changes.
type Table struct {
	routes        map[string]map[string]*Route // by lower-case host and path prefix
	prefixLengths map[string][]int             // by host, in descending order
	Services      map[string]*Service          // by name
	Evacuated     map[string]bool              // zones to which no request may be sent
	Drains        map[string][]drain.Drain     // the active drains by zone
	DrainVersions map[string]uint64            // the version of the register of drains, by zone
	Releases      map[string]*release.Release  // by service
	Limits        RequestLimits
	ItemCount     int // items of the configuration, including those that cannot be decoded
}

// Service is a service of the configuration.
type Service struct {
	HealthCheckPath string
	MaxConnections  int
	WarmUp          time.Duration
	WarmUpRate      float64 // requests per second that a backend can serve while warming up
}

// RequestLimits are the limits on client requests.
type RequestLimits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// NewTable builds the table from the registers, given by key. Registers that cannot be decoded are omitted; none is
// expected, because changes are validated before they are committed.
func NewTable(registers map[string]quorum.Value) *Table {
	builder := &tableBuilder{
		table: &Table{
			routes:        map[string]map[string]*Route{},
			prefixLengths: map[string][]int{},
			Services:      map[string]*Service{},
			Evacuated:     map[string]bool{},
			Drains:        map[string][]drain.Drain{},
			DrainVersions: map[string]uint64{},
			Releases:      map[string]*release.Release{},
		},
		tenantRegions: map[string]map[string]bool{},
	}
	keys := make([]string, 0, len(registers))
	for key := range registers {
		keys = append(keys, key)
	}
	sort.Strings(keys) // so that all proxies use the same route if two have the same host and path prefix
	for _, key := range keys {
		if value := registers[key]; !value.Deleted {
			builder.addRegister(key, value)
		}
	}
	builder.applyTenantRegions()
	builder.collectPrefixLengths()
	return builder.table
}

// IsDrained reports whether a drain covers a backend of a service in a zone.
func (t *Table) IsDrained(service, id, zone string) bool {
	for _, active := range t.Drains[zone] {
		if active.Covers(service, id) {
			return true
		}
	}
	return false
}

// FindRoute returns the route of a request, or nil if there is none. Among the routes of the host, the one with the
// longest matching path prefix is used. The cost is one lookup for each distinct prefix length of the host, regardless
// of the number of routes.
func (t *Table) FindRoute(host, path string) *Route {
	host = strings.ToLower(withoutPort(host))
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

// withoutPort returns a host without its port. A colon inside the brackets of an IPv6 address does not separate a port.
func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && strings.IndexByte(host, ']') < i {
		return host[:i]
	}
	return host
}

// tableBuilder builds a table from registers.
type tableBuilder struct {
	table         *Table
	tenantRegions map[string]map[string]bool // by tenant; nil: any region
}

// addRegister adds a register that is not deleted.
func (b *tableBuilder) addRegister(key string, value quorum.Value) {
	if zone, ok := strings.CutPrefix(key, drain.EvacuationKeyPrefix); ok {
		b.table.Evacuated[zone] = drain.ReadEvacuation(value.Body).InForce()
		return
	}
	if zone, ok := strings.CutPrefix(key, drain.ListKeyPrefix); ok {
		b.table.DrainVersions[zone] = value.Version
		if drains := drain.ReadList(value); len(drains) > 0 {
			b.table.Drains[zone] = drains
		}
		return
	}
	if service, ok := strings.CutPrefix(key, release.RegisterKeyPrefix); ok {
		if serviceRelease, ok := release.Read(value); ok {
			b.table.Releases[service] = serviceRelease
		}
		return
	}
	if kind, name, ok := config.SplitKey(key); ok {
		b.table.ItemCount++
		b.addItem(kind, name, value.Body)
	}
}

func (b *tableBuilder) addItem(kind, name, text string) {
	decoded, err := config.DecodeBody(kind, text)
	if err != nil {
		return
	}
	switch body := decoded.(type) {
	case *config.ServiceBody:
		b.table.Services[name] = newService(body)
	case *config.LimitsBody:
		b.table.Limits = newRequestLimits(body)
	case *config.TenantBody:
		b.tenantRegions[name] = newSet(body.HomeRegions)
	case *config.RouteBody:
		b.addRoute(name, body)
	}
}

// addRoute adds a route unless there is already one with its host and path prefix.
func (b *tableBuilder) addRoute(name string, body *config.RouteBody) {
	host := strings.ToLower(body.Host)
	routes := b.table.routes[host]
	if routes == nil {
		routes = map[string]*Route{}
		b.table.routes[host] = routes
	}
	if routes[body.PathPrefix] == nil {
		routes[body.PathPrefix] = newRoute(name, body)
	}
}

// applyTenantRegions restricts routes to the home regions of their tenants. All tenants must have been added. If a
// route and its tenant both have home regions, both restrictions apply.
func (b *tableBuilder) applyTenantRegions() {
	for _, routes := range b.table.routes {
		for _, route := range routes {
			if regions := b.tenantRegions[route.tenant]; route.tenant != "" && regions != nil {
				route.HomeRegions = intersect(route.HomeRegions, regions)
			}
			route.HomeRegionList = sortedList(route.HomeRegions)
		}
	}
}

func (b *tableBuilder) collectPrefixLengths() {
	for host, routes := range b.table.routes {
		seen := map[int]bool{}
		var lengths []int
		for prefix := range routes {
			if !seen[len(prefix)] {
				seen[len(prefix)] = true
				lengths = append(lengths, len(prefix))
			}
		}
		sort.Sort(sort.Reverse(sort.IntSlice(lengths)))
		b.table.prefixLengths[host] = lengths
	}
}

// newService converts the body of a service. Its durations are valid, as config.DecodeBody has checked them.
func newService(body *config.ServiceBody) *Service {
	warmUp, _ := config.ParseOptionalDuration(body.WarmUp)
	return &Service{
		HealthCheckPath: body.HealthCheckPath,
		MaxConnections:  body.MaxConnections,
		WarmUp:          warmUp,
		WarmUpRate:      body.WarmUpRatePerSecond,
	}
}

// newRequestLimits converts the body of the limits. Its durations are valid, as config.DecodeBody has checked them.
func newRequestLimits(body *config.LimitsBody) RequestLimits {
	headerTimeout, _ := settings.ParseDuration(body.HeaderTimeout)
	idleTimeout, _ := settings.ParseDuration(body.IdleTimeout)
	return RequestLimits{
		MaxHeaderBytes: body.MaxHeaderBytes,
		MaxBodyBytes:   body.MaxBodyBytes,
		HeaderTimeout:  headerTimeout,
		IdleTimeout:    idleTimeout,
	}
}
