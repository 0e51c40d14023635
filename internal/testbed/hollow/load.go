package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/internal/control/calls"
	"sagelever/internal/control/client"
	"sagelever/internal/control/config"
)

const (
	probeRoute       = "r-probe" // route that Testbed.Change updates
	routesPerService = 21        // as in the target deployments: 16,000 routes to 760 services
	firstVersion     = 1
)

func serviceName(i int) string { return fmt.Sprintf("s%05d", i) }

func tenantName(i int) string { return fmt.Sprintf("t%07d", i) }

func (b *Testbed) serviceCount() int { return 1 + b.options.Routes/routesPerService }

func newItem(kind, name string, version uint64, body any) (config.Item, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return config.Item{}, errors.Wrapf(err, "encode %s %s", kind, name)
	}
	metadata := config.Metadata{Name: name, Version: config.FormatVersion(version)}
	return config.Item{Type: kind, Metadata: metadata, Body: encoded}, nil
}

// routeBody returns a route of the configuration. Its encoding is as long as those of real deployments.
func (b *Testbed) routeBody(i int) config.RouteBody {
	route := config.RouteBody{
		Host:          fmt.Sprintf("h%06d.example", i),
		PathPrefix:    fmt.Sprintf("/p%06d/", i),
		Kind:          "harmless",
		Timeout:       "5000ms",
		LatencyTarget: "800ms",
		Priority:      2,
		Service:       serviceName(i % b.serviceCount()),
		MaxAttempts:   2,
		HomeRegions:   []string{},
	}
	if b.options.Tenants > 0 {
		route.Tenant = tenantName(i % b.options.Tenants)
	}
	return route
}

// probeItem returns a version of the probe route. The versions differ in the timeout.
func (b *Testbed) probeItem(version uint64) (config.Item, error) {
	return newItem(config.KindRoutes, probeRoute, version, config.RouteBody{
		Host:          "probe.example",
		PathPrefix:    "/probe/",
		Kind:          "harmless",
		Timeout:       fmt.Sprint(1000+version%1000, "ms"),
		LatencyTarget: "800ms",
		Service:       serviceName(0),
		MaxAttempts:   2,
		HomeRegions:   []string{},
	})
}

// configuration returns all items in a valid order for loading: services and tenants before the routes that refer to
// them.
func (b *Testbed) configuration() (items []config.Item, err error) {
	add := func(kind, name string, body any) {
		item, itemErr := newItem(kind, name, firstVersion, body)
		if itemErr != nil {
			err = itemErr
		}
		items = append(items, item)
	}
	add(config.KindLimits, "", config.LimitsBody{
		MaxHeaderBytes: 16 << 10,
		MaxBodyBytes:   64 << 20,
		HeaderTimeout:  "3000ms",
		IdleTimeout:    "15000ms",
	})
	for i := range b.serviceCount() {
		add(config.KindServices, serviceName(i), config.ServiceBody{
			HealthCheckPath:     "/health",
			MaxConnections:      140,
			WarmUp:              "3s",
			WarmUpRatePerSecond: 2.9,
		})
	}
	for i := range b.options.Tenants {
		add(config.KindTenants, tenantName(i), config.TenantBody{HomeRegions: []string{"a", "b"}})
	}
	for i := range b.options.Routes {
		add(config.KindRoutes, fmt.Sprintf("r-%06d", i), b.routeBody(i))
	}
	probe, probeErr := b.probeItem(firstVersion)
	if probeErr != nil {
		err = probeErr
	}
	return append(items, probe), err
}

// LoadResult holds the durations of loading the configuration. If loading failed, it covers the calls that succeeded.
type LoadResult struct {
	Items       int
	Calls       int
	Duration    time.Duration // of all calls
	FirstCall   time.Duration // including retries
	LastCall    time.Duration
	SlowestCall time.Duration
}

// add records a successful call.
func (r *LoadResult) add(items int, duration time.Duration) {
	if r.Calls == 0 {
		r.FirstCall = duration
	}
	r.LastCall = duration
	r.SlowestCall = max(r.SlowestCall, duration)
	r.Items += items
	r.Calls++
}

// Load loads the configuration in calls of at most Options.BatchSize items, as an operator does.
func (b *Testbed) Load(ctx context.Context) (result LoadResult, err error) {
	ctx, cancel := context.WithTimeout(ctx, b.options.LoadTimeout)
	defer cancel()
	items, err := b.configuration()
	if err != nil {
		return result, err
	}
	b.version = firstVersion
	controlClient := client.New(b.controllerAddresses())
	started := time.Now()
	for len(items) > 0 {
		count := min(b.options.BatchSize, len(items))
		callStarted := time.Now()
		if err := putItems(ctx, controlClient, items[:count]); err != nil {
			result.Duration = time.Since(started)
			return result, errors.Wrapf(err, "load stopped after %d items and %s",
				result.Items, result.Duration.Round(time.Millisecond))
		}
		result.add(count, time.Since(callStarted))
		items = items[count:]
	}
	result.Duration = time.Since(started)
	return result, nil
}

// putItems adds or replaces items in one settings.change call.
func putItems(ctx context.Context, controlClient *client.Client, items []config.Item) error {
	request := config.ChangeRequest{PutItems: config.ItemList{Items: items}, Remove: map[string][]config.ItemRef{}}
	body, err := easyjson.Marshal(&request)
	if err != nil {
		return err
	}
	return controlClient.Call(ctx, calls.SettingsChange, "", body, nil)
}
