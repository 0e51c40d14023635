package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/control/calls"
	"sagelever/internal/control/client"
	"sagelever/internal/control/config"
	"sagelever/internal/testbed/cluster"
)

const (
	operators         = 2
	routesPerOperator = 8
	sharedRoute       = "shared" // both operators change it
	orderPause        = 250 * time.Millisecond
	orderTimeout      = 8 * time.Second
	bigOrderRoutes    = 4000 // beyond what one response between controllers carries
	bigOrderTimeout   = 30 * time.Second
	ordersHost        = "orders.example"

	// settleTime is how long after the last trouble of the controllers an order has to be acknowledged in time.
	settleTime = 5 * time.Second
)

// book is what operators know of the routes that they change.
type book struct {
	mu     sync.Mutex
	routes map[string]routeState
	sent   map[string]uint64 // by route: the newest version that was sent
	// removedBetween tells of routes whether an order that was sent since their last acknowledged one removes them.
	removedBetween map[string]bool
	latest         []string // the routes of the order that was acknowledged last
	acked          atomic.Int64
	orders         atomic.Int64
}

func newBook() *book {
	return &book{routes: map[string]routeState{}, sent: map[string]uint64{}, removedBetween: map[string]bool{}}
}

// state returns what is known of a route.
func (b *book) state(route string) routeState {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.routes[route]
	state.uncertain = b.sent[route] > state.version
	return state
}

// names returns all routes.
func (b *book) names() (names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.routes {
		names = append(names, name)
	}
	return names
}

// latestNames returns the routes of the order that was acknowledged last.
func (b *book) latestNames() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latest
}

// sending notes that a version of some routes is about to be sent.
func (b *book) sending(order *order) {
	b.orders.Add(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	for route := range order.services {
		b.sent[route] = max(b.sent[route], order.version)
		if order.services[route] == "" {
			b.removedBetween[route] = true // also if it is never acknowledged, it may have been in force
		}
		if _, known := b.routes[route]; !known {
			b.routes[route] = routeState{}
		}
	}
}

// acknowledge notes the acknowledgement of an order. Of several orders for a route the highest version counts.
func (b *book) acknowledge(order *order, at time.Time) {
	b.acked.Add(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.latest = slices.Collect(maps.Keys(order.services))
	for route, service := range order.services {
		before := b.routes[route]
		if order.version <= before.version {
			continue
		}
		state := routeState{version: order.version, service: service, ackedAt: at, presentAt: at}
		if before.service != "" && b.sent[route] == order.version && !b.removedBetween[route] {
			state.presentAt = before.presentAt
		}
		b.removedBetween[route] = false
		b.routes[route] = state
	}
}

// order is a change of some routes.
type order struct {
	version  uint64
	services map[string]string // by route; "" removes it
}

// body returns the call of an order.
func (o *order) body() ([]byte, error) {
	type metadata struct {
		Name    string `json:"name"`
		Version string `json:"version"`
	}
	type item struct {
		Type     string         `json:"type"`
		Metadata metadata       `json:"metadata"`
		Body     map[string]any `json:"body"`
	}
	version := config.FormatVersion(o.version)
	items, removed := []item{}, []metadata{}
	for route, service := range o.services {
		if service == "" {
			removed = append(removed, metadata{route, version})
			continue
		}
		items = append(items, item{"routes", metadata{route, version}, map[string]any{
			"host": ordersHost, "pathStart": "/" + route + "/", "kind": "harmless",
			"giveUp": "2s", "target_time": "1s", "service": service, "tries": 2,
		}})
	}
	return json.Marshal(map[string]any{
		"putItems": map[string]any{"items": items},
		"remove":   map[string]any{"routes": removed},
	})
}

// operator sends orders until it is stopped.
type operator struct {
	number   int
	run      *run
	client   *client.Client
	rng      *rand.Rand
	versions *atomic.Uint64
}

func (o *operator) loop(ctx context.Context) {
	for ctx.Err() == nil {
		o.send(ctx, o.draw(), orderTimeout)
		wait(ctx, orderPause)
	}
}

// draw returns the next order: of one to three routes of this operator, at times together with the shared one.
func (o *operator) draw() *order {
	next := &order{version: o.versions.Add(1), services: map[string]string{}}
	for range 1 + o.rng.IntN(3) {
		service := cluster.Services[o.rng.IntN(len(cluster.Services))]
		if o.rng.IntN(8) == 0 {
			service = ""
		}
		next.services[fmt.Sprintf("op%d-%d", o.number, o.rng.IntN(routesPerOperator))] = service
	}
	if o.rng.IntN(3) == 0 {
		next.services[sharedRoute] = cluster.Services[o.rng.IntN(len(cluster.Services))]
	}
	return next
}

// send sends an order until it has a clear answer, for a time at most. A valid order must not be refused, and must be
// acknowledged in time while the controllers are calm.
func (o *operator) send(ctx context.Context, order *order, timeout time.Duration) {
	book := o.run.book
	body, err := order.body()
	if err != nil {
		o.run.findings.add(finding{text: "the soak itself: " + err.Error()})
		return
	}
	book.sending(order)
	sentAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = o.client.Call(callCtx, calls.SettingsChange, "", body, nil)
	switch rejected, isRejected := errors.Into[*client.RejectedError](err); {
	case err == nil:
		book.acknowledge(order, time.Now())
		o.run.fleet.acknowledged(ctx)
	case isRejected:
		o.run.findings.add(finding{text: fmt.Sprintf("valid order %d was refused: %d %s",
			order.version, rejected.Status, rejected.Message)})
	case ctx.Err() == nil && sentAt.Sub(o.run.fleet.calmFor("")) > settleTime:
		o.run.findings.add(finding{text: fmt.Sprintf("order %d was not acknowledged within %v of calm: %v",
			order.version, timeout, err)})
	}
}

// sendBig puts thousands of routes in one call and removes them again.
func (o *operator) sendBig(ctx context.Context) {
	for _, service := range []string{cluster.Services[0], ""} {
		big := &order{version: o.versions.Add(1), services: map[string]string{}}
		for i := range bigOrderRoutes {
			big.services[fmt.Sprint("big-", i)] = service
		}
		o.send(ctx, big, bigOrderTimeout)
		wait(ctx, time.Second)
	}
}
