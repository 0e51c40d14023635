package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/internal/control/client"
	"sagelever/internal/control/config"
)

const (
	probeRoute       = "r-probe" // the route that is changed
	routesPerService = 21        // as the users' fleet has: 16,000 routes to 760 services
	firstVersion     = 1
)

func serviceName(i int) string { return fmt.Sprintf("s%05d", i) }

func (b *Testbed) serviceCount() int { return 1 + b.options.Routes/routesPerService }

func newItem(kind, name string, version uint64, body any) (config.Item, error) {
	text, err := json.Marshal(body)
	return config.Item{Type: kind, Metadata: config.Metadata{Name: name, Version: config.FormatVersion(version)}, Body: text}, err
}

// routeBody is one of the configuration, as long as the users' are.
func (b *Testbed) routeBody(i int) config.RouteBody {
	r := config.RouteBody{Host: fmt.Sprintf("h%06d.example", i), PathPrefix: fmt.Sprintf("/p%06d/", i), Kind: "harmless", Timeout: "5000ms", LatencyTarget: "800ms",
		Priority: 2, Service: serviceName(i % b.serviceCount()), MaxAttempts: 2, HomeRegions: []string{}}
	if b.options.Tenants > 0 {
		r.Tenant = tenantName(i % b.options.Tenants)
	}
	return r
}

func tenantName(i int) string { return fmt.Sprintf("t%07d", i) }

// probeItem is the route that is changed: its time to give up says which change it was.
func (b *Testbed) probeItem(version uint64) (config.Item, error) {
	return newItem(config.KindRoutes, probeRoute, version, config.RouteBody{Host: "probe.example", PathPrefix: "/probe/", Kind: "harmless",
		Timeout: fmt.Sprint(1000+version%1000, "ms"), LatencyTarget: "800ms", Service: serviceName(0), MaxAttempts: 2, HomeRegions: []string{}})
}

// configuration lists all items in the order in which they can be loaded: services and tenants before the routes that name
// them.
func (b *Testbed) configuration() (out []config.Item, err error) {
	add := func(kind, name string, body any) {
		x, e := newItem(kind, name, firstVersion, body)
		out = append(out, x)
		if e != nil {
			err = e
		}
	}
	add(config.KindLimits, "", config.LimitsBody{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: "3000ms", IdleTimeout: "15000ms"})
	for i := range b.serviceCount() {
		add(config.KindServices, serviceName(i), config.ServiceBody{HealthCheckPath: "/health", MaxConnections: 140, WarmUp: "3s", WarmUpRatePerSecond: 2.9})
	}
	for i := range b.options.Tenants {
		add(config.KindTenants, tenantName(i), config.TenantBody{HomeRegions: []string{"a", "b"}})
	}
	for i := range b.options.Routes {
		add(config.KindRoutes, fmt.Sprintf("r-%06d", i), b.routeBody(i))
	}
	probe, e := b.probeItem(firstVersion)
	if e != nil {
		err = e
	}
	return append(out, probe), err
}

// LoadResult is how the configuration was taken.
type LoadResult struct {
	Items, Calls                     int // taken; where Err is set, fewer than were asked for
	Duration                         time.Duration
	FirstCall, LastCall, SlowestCall time.Duration // of one call, with its repetitions
}

// Load loads the configuration in calls of at most Batch items, as an operator does.
func (b *Testbed) Load(ctx context.Context) (result LoadResult, err error) {
	ctx, cancel := context.WithTimeout(ctx, b.options.LoadTimeout)
	defer cancel()
	items, err := b.configuration()
	if err != nil {
		return result, err
	}
	b.version = firstVersion
	controlClient, begun := client.New(b.controllerAddresses()), time.Now()
	for len(items) > 0 {
		n := min(b.options.BatchSize, len(items))
		asked := time.Now()
		if err := putItems(ctx, controlClient, items[:n]); err != nil {
			result.Duration = time.Since(begun)
			return result, errors.Wrapf(err, "loading stopped after %d items and %s", result.Items, result.Duration.Round(time.Millisecond))
		}
		result.LastCall = time.Since(asked)
		if result.Calls == 0 {
			result.FirstCall = result.LastCall
		}
		result.SlowestCall = max(result.SlowestCall, result.LastCall)
		result.Items += n
		result.Calls++
		items = items[n:]
	}
	result.Duration = time.Since(begun)
	return result, nil
}

// putItems is one settings.change.
func putItems(ctx context.Context, controlClient *client.Client, items []config.Item) error {
	body, err := easyjson.Marshal(&config.ChangeRequest{PutItems: config.ItemList{Items: items}, Remove: map[string][]config.ItemRef{}})
	if err != nil {
		return err
	}
	return controlClient.Call(ctx, "settings.change", "", body, nil)
}
