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
	operatorCount     = 2
	routesPerOperator = 8
	sharedRoute       = "shared" // changed by both operators
	orderPause        = 250 * time.Millisecond
	orderTimeout      = 8 * time.Second
	bigOrderRoutes    = 4000 // more than one response between controllers carries
	bigOrderTimeout   = 30 * time.Second
	bigRoutePrefix    = "big-"
	ordersHost        = "orders.example"
	maxRoutesPerOrder = 3 // of the operator's own routes
	removeOneIn       = 8 // changed routes: one in so many is removed
	sharedOneIn       = 3 // orders: one in so many changes the shared route

	// settleTime is how long after the last trouble of the controllers orders must be acknowledged in time.
	settleTime = 5 * time.Second
)

// routeTracker tracks the states of the routes that operators change. It is safe for concurrent use.
type routeTracker struct {
	mu     sync.Mutex
	routes map[string]routeState
	sent   map[string]uint64 // by route: the newest version that was sent
	// removalSent reports, by route, whether an order was sent since the last acknowledged one that removes the route.
	removalSent map[string]bool
	latest      []string // routes of the order that was acknowledged last
	ackedOrders atomic.Int64
	sentOrders  atomic.Int64
}

func newRouteTracker() *routeTracker {
	return &routeTracker{routes: map[string]routeState{}, sent: map[string]uint64{}, removalSent: map[string]bool{}}
}

// state returns the state of a route.
func (b *routeTracker) state(route string) routeState {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.routes[route]
	state.uncertain = b.sent[route] > state.version
	return state
}

// names returns the names of all routes.
func (b *routeTracker) names() (names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.routes {
		names = append(names, name)
	}
	return names
}

// latestNames returns the names of the routes of the order that was acknowledged last.
func (b *routeTracker) latestNames() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latest
}

// recordSent must be called before an order is sent.
func (b *routeTracker) recordSent(order *order) {
	b.sentOrders.Add(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	for route := range order.services {
		b.sent[route] = max(b.sent[route], order.version)
		if order.services[route] == "" {
			b.removalSent[route] = true // the order may take effect even if it is never acknowledged
		}
		if _, known := b.routes[route]; !known {
			b.routes[route] = routeState{}
		}
	}
}

// recordAck records the acknowledgement of an order. Among several orders for a route, the highest version is in
// effect.
func (b *routeTracker) recordAck(order *order, at time.Time) {
	b.ackedOrders.Add(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.latest = slices.Collect(maps.Keys(order.services))
	for route, service := range order.services {
		previous := b.routes[route]
		if order.version <= previous.version {
			continue
		}
		state := routeState{version: order.version, service: service, ackedAt: at, presentAt: at}
		if previous.service != "" && b.sent[route] == order.version && !b.removalSent[route] {
			state.presentAt = previous.presentAt
		}
		b.removalSent[route] = false
		b.routes[route] = state
	}
}

// order is a change of one or more routes.
type order struct {
	version  uint64
	services map[string]string // by route; "" removes the route
}

// body returns the encoded request body of the settings.change call of an order.
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

// operator sends orders until its context ends.
type operator struct {
	number   int
	run      *run
	client   *client.Client
	rng      *rand.Rand
	versions *atomic.Uint64
}

func (o *operator) loop(ctx context.Context) {
	for ctx.Err() == nil {
		o.send(ctx, o.nextOrder(), orderTimeout)
		wait(ctx, orderPause)
	}
}

// nextOrder draws the next order, for one to three routes of this operator and sometimes also the shared route.
func (o *operator) nextOrder() *order {
	next := &order{version: o.versions.Add(1), services: map[string]string{}}
	for range 1 + o.rng.IntN(maxRoutesPerOrder) {
		service := cluster.Services[o.rng.IntN(len(cluster.Services))]
		if o.rng.IntN(removeOneIn) == 0 {
			service = ""
		}
		next.services[fmt.Sprintf("op%d-%d", o.number, o.rng.IntN(routesPerOperator))] = service
	}
	if o.rng.IntN(sharedOneIn) == 0 {
		next.services[sharedRoute] = cluster.Services[o.rng.IntN(len(cluster.Services))]
	}
	return next
}

// send sends an order until it is acknowledged or refused or the timeout has passed. It is a finding if the order,
// which is valid, is refused, or is not acknowledged within the timeout while the controllers are undisturbed.
func (o *operator) send(ctx context.Context, order *order, timeout time.Duration) {
	routes := o.run.routes
	body, err := order.body()
	if err != nil {
		o.run.findings.add(finding{text: "the soak itself: " + err.Error()})
		return
	}
	routes.recordSent(order)
	sentAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = o.client.Call(callCtx, calls.SettingsChange, "", body, nil)
	switch rejected, isRejected := errors.Into[*client.RejectedError](err); {
	case err == nil:
		routes.recordAck(order, time.Now())
		o.run.injector.orderAcknowledged(ctx)
	case isRejected:
		o.run.findings.add(finding{text: fmt.Sprintf("valid order %d was refused: %d %s",
			order.version, rejected.Status, rejected.Message)})
	case ctx.Err() == nil && sentAt.Sub(o.run.injector.undisturbedSince("")) > settleTime:
		o.run.findings.add(finding{text: fmt.Sprintf("order %d was not acknowledged within %v of calm: %v",
			order.version, timeout, err)})
	}
}

// sendBig adds bigOrderRoutes routes in one call and removes them in another.
func (o *operator) sendBig(ctx context.Context) {
	for _, service := range []string{cluster.Services[0], ""} {
		big := &order{version: o.versions.Add(1), services: map[string]string{}}
		for i := range bigOrderRoutes {
			big.services[fmt.Sprint(bigRoutePrefix, i)] = service
		}
		o.send(ctx, big, bigOrderTimeout)
		wait(ctx, time.Second)
	}
}
