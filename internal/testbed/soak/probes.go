package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"sagelever/internal/control/config"
	"sagelever/internal/testbed/cluster"
)

const (
	probePause      = 5 * time.Millisecond
	proberCount     = 3
	probeTimeout    = 2 * time.Second
	probeTimeLeftMs = "1500" // deadline that a probe sends to the proxy
	readPeriod      = 700 * time.Millisecond
	readTimeout     = time.Second
)

// probeLoop probes routes of the operators at random proxies until the context ends. Every other probe is for a route
// of the order that was acknowledged last.
func (r *run) probeLoop(ctx context.Context, rng *rand.Rand) {
	for number := 0; ctx.Err() == nil; number++ {
		routes := r.routes.names()
		if latest := r.routes.latestNames(); number%2 == 0 && len(latest) > 0 {
			routes = latest
		}
		if len(routes) > 0 {
			proxy := rng.IntN(r.plan.Proxies)
			if sent := r.probe(ctx, proxy, routes[rng.IntN(len(routes))], number); ctx.Err() == nil {
				r.checkAndCount(sent)
			}
		}
		wait(ctx, probePause)
	}
}

// probe sends a request for a route to a proxy and records the outcome.
func (r *run) probe(ctx context.Context, proxy int, route string, number int) *probe {
	sent := &probe{
		proxy:            cluster.ProxyName(proxy),
		route:            route,
		want:             r.routes.state(route),
		undisturbedSince: r.injector.undisturbedSince(cluster.ProxyName(proxy)),
		sentAt:           time.Now(),
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	id := fmt.Sprint("p", number, "-", proxy, "-", sent.sentAt.UnixNano())
	url := "http://" + r.cluster.ProxyAddress(proxy) + "/" + route + "/" + id
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return sent
	}
	request.Host = ordersHost
	request.Header.Set(headerAttemptID, id)
	request.Header.Set(headerTimeLeft, probeTimeLeftMs)
	response, err := r.perRequest.Do(request)
	if err == nil {
		sent.status = response.StatusCode
		sent.service = serviceOf(response.Header.Get(headerSeal))
		_ = response.Body.Close() // the header identifies the backend; the body is not needed
	}
	after := r.routes.state(route)
	sent.stateChanged = after.version != sent.want.version || after.uncertain
	return sent
}

// serviceOf returns the service of the backend whose seal header a response has.
func serviceOf(seal string) string {
	for _, service := range cluster.Services {
		if strings.HasPrefix(seal, "seal-i-"+service+"-") {
			return service
		}
	}
	return ""
}

func (r *run) checkAndCount(sent *probe) {
	r.counts.probe(sent.status)
	if text := checkProbe(sent); text != "" {
		r.findings.add(finding{at: sent.sentAt, node: sent.proxy, text: "route " + sent.route + ": " + text})
	}
}

// readLoop reads the configuration from random controllers until the context ends. A read must return all orders that
// were acknowledged before it, or newer ones.
func (r *run) readLoop(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		zones := cluster.ZoneNames()
		r.checkRead(ctx, rng.IntN(len(zones)))
		wait(ctx, readPeriod)
	}
}

// checkRead reads the configuration from a controller and checks it. It reports whether the controller responded.
func (r *run) checkRead(ctx context.Context, controller int) (responded bool) {
	before := map[string]routeState{}
	for _, route := range r.routes.names() {
		before[route] = r.routes.state(route)
	}
	readAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	url := "http://" + r.cluster.ControllerAddresses()[controller] + "/api/rpc?call=settings.read"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return false
	}
	status, body := r.do(request)
	if status != http.StatusOK {
		return false
	}
	list := config.ItemList{}
	if err := json.Unmarshal(body, &list); err != nil {
		r.findings.add(finding{at: readAt, text: "a read can't be decoded: " + err.Error()})
		return true
	}
	versions := map[string]string{}
	for _, item := range list.Items {
		if item.Type == config.KindRoutes {
			versions[item.Metadata.Name] = item.Metadata.Version
		}
	}
	for route, want := range before {
		found, present := versions[route]
		wanted := config.FormatVersion(want.version)
		switch {
		case want.ackedAt.IsZero(), want.uncertain && !present: // a newer order may have removed it
		case want.service != "" && !present && !r.changedSince(route, want),
			present && found < wanted:
			r.findings.add(finding{at: readAt, node: cluster.ControllerName(cluster.ZoneNames()[controller]),
				text: fmt.Sprintf("a read has version %q of %s; %s was acknowledged before", found, route, wanted)})
		}
	}
	return true
}

// changedSince reports whether a newer order for a route was sent since the state before was read.
func (r *run) changedSince(route string, before routeState) bool {
	after := r.routes.state(route)
	return after.uncertain || after.version != before.version
}
