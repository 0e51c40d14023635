package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/helm"
	"sagelever/plan"
)

const (
	probeRoute       = "r-probe" // the route that is changed
	routesPerService = 21        // as the users' fleet has: 16,000 routes to 760 services
	firstVersion     = 1
)

func serviceName(i int) string { return fmt.Sprintf("s%05d", i) }

func (b *Bed) services() int { return 1 + b.o.Routes/routesPerService }

func item(kind, name string, version uint64, body any) (plan.Item, error) {
	text, err := json.Marshal(body)
	return plan.Item{Type: kind, Metadata: plan.Meta{Name: name, Version: plan.FormatVersion(version)}, Body: text}, err
}

// route is one of the configuration, as long as the users' are.
func (b *Bed) route(i int) plan.Route {
	r := plan.Route{Host: fmt.Sprintf("h%06d.example", i), PathStart: fmt.Sprintf("/p%06d/", i), Kind: "harmless", GiveUp: "5000ms", TargetTime: "800ms",
		Rank: 2, Service: serviceName(i % b.services()), Tries: 2, HomeRegions: []string{}}
	if b.o.Tenants > 0 {
		r.Tenant = tenantName(i % b.o.Tenants)
	}
	return r
}

func tenantName(i int) string { return fmt.Sprintf("t%07d", i) }

// probe is the route that is changed: its time to give up says which change it was.
func (b *Bed) probe(version uint64) (plan.Item, error) {
	return item(plan.Routes, probeRoute, version, plan.Route{Host: "probe.example", PathStart: "/probe/", Kind: "harmless",
		GiveUp: fmt.Sprint(1000+version%1000, "ms"), TargetTime: "800ms", Service: serviceName(0), Tries: 2, HomeRegions: []string{}})
}

// configuration lists all items in the order in which they can be loaded: services and tenants before the routes that name
// them.
func (b *Bed) configuration() (out []plan.Item, err error) {
	add := func(kind, name string, body any) {
		x, e := item(kind, name, firstVersion, body)
		out = append(out, x)
		if e != nil {
			err = e
		}
	}
	add(plan.LimitsOf, "", plan.Limits{HeadSizeBytes: 16 << 10, BodySizeBytes: 64 << 20, HeadWait: "3000ms", Quiet: "15000ms"})
	for i := range b.services() {
		add(plan.Services, serviceName(i), plan.Service{CheckPath: "/health", MaxLinks: 140, WarmUp: "3s", WarmingRateS: 2.9})
	}
	for i := range b.o.Tenants {
		add(plan.Tenants, tenantName(i), plan.Tenant{HomeRegions: []string{"a", "b"}})
	}
	for i := range b.o.Routes {
		add(plan.Routes, fmt.Sprintf("r-%06d", i), b.route(i))
	}
	probe, e := b.probe(firstVersion)
	if e != nil {
		err = e
	}
	return append(out, probe), err
}

// Loaded is how the configuration was taken.
type Loaded struct {
	Items, Calls         int // taken; where Err is set, fewer than were asked for
	Took                 time.Duration
	First, Last, Slowest time.Duration // of one call, with its repetitions
}

// Load loads the configuration in calls of at most Batch items, as an operator does.
func (b *Bed) Load(ctx context.Context) (l Loaded, err error) {
	ctx, cancel := context.WithTimeout(ctx, b.o.LoadLimit)
	defer cancel()
	items, err := b.configuration()
	if err != nil {
		return l, err
	}
	b.version = firstVersion
	client, begun := helm.New(b.contacts()), time.Now()
	for len(items) > 0 {
		n := min(b.o.Batch, len(items))
		asked := time.Now()
		if err := change(ctx, client, items[:n]); err != nil {
			l.Took = time.Since(begun)
			return l, errors.Wrapf(err, "loading stopped after %d items and %s", l.Items, l.Took.Round(time.Millisecond))
		}
		l.Last = time.Since(asked)
		if l.Calls == 0 {
			l.First = l.Last
		}
		l.Slowest = max(l.Slowest, l.Last)
		l.Items += n
		l.Calls++
		items = items[n:]
	}
	l.Took = time.Since(begun)
	return l, nil
}

// change is one settings.change.
func change(ctx context.Context, client *helm.Client, items []plan.Item) error {
	body, err := easyjson.Marshal(&plan.Call{PutItems: plan.Items{Items: items}, Remove: map[string][]plan.Ref{}})
	if err != nil {
		return err
	}
	return client.Call(ctx, "settings.change", "", body, nil)
}
