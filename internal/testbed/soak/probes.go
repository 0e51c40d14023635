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
	probePause   = 5 * time.Millisecond
	probers      = 3
	probeTimeout = 2 * time.Second
	readPeriod   = 700 * time.Millisecond
	readTimeout  = time.Second
)

// probeLoop asks proxies directly for the operators' routes, every other time for one of the order that was acknowledged
// last, until the context ends.
func (r *run) probeLoop(ctx context.Context, rng *rand.Rand) {
	for number := 0; ctx.Err() == nil; number++ {
		routes := r.book.names()
		if latest := r.book.latestNames(); number%2 == 0 && len(latest) > 0 {
			routes = latest
		}
		if len(routes) > 0 {
			proxy := rng.IntN(r.plan.Proxies)
			if sent := r.probe(ctx, proxy, routes[rng.IntN(len(routes))], number); ctx.Err() == nil {
				r.judgeAndCount(sent)
			}
		}
		wait(ctx, probePause)
	}
}

// probe asks a proxy for a route.
func (r *run) probe(ctx context.Context, proxy int, route string, number int) *probe {
	sent := &probe{
		proxy:     cluster.ProxyName(proxy),
		route:     route,
		want:      r.book.state(route),
		calmSince: r.fleet.calmFor(cluster.ProxyName(proxy)),
		sentAt:    time.Now(),
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
	request.Header.Set(headerTimeLeft, "1500")
	response, err := r.perRequest.Do(request)
	if err == nil {
		sent.status = response.StatusCode
		sent.service = serviceOf(response.Header.Get(headerSeal))
		_ = response.Body.Close() // the seal tells all
	}
	after := r.book.state(route)
	sent.heldAnother = after.version != sent.want.version || after.uncertain
	return sent
}

// serviceOf returns the service of the backend that has sealed a response.
func serviceOf(seal string) string {
	for _, service := range cluster.Services {
		if strings.HasPrefix(seal, "seal-i-"+service+"-") {
			return service
		}
	}
	return ""
}

func (r *run) judgeAndCount(sent *probe) {
	r.counts.probe(sent.status)
	if text := judgeProbe(sent); text != "" {
		r.findings.add(finding{at: sent.sentAt, node: sent.proxy, text: "route " + sent.route + ": " + text})
	}
}

// readLoop reads the configuration at one controller after the other, until the context ends. What a read tells is at
// least as new as what was acknowledged before it.
func (r *run) readLoop(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		zones := cluster.ZoneNames()
		r.checkRead(ctx, rng.IntN(len(zones)))
		wait(ctx, readPeriod)
	}
}

// checkRead reads the configuration at a controller, and reports whether it has answered.
func (r *run) checkRead(ctx context.Context, controller int) (answered bool) {
	before := map[string]routeState{}
	for _, route := range r.book.names() {
		before[route] = r.book.state(route)
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

// changedSince reports whether a newer order for a route was sent since its state was taken.
func (r *run) changedSince(route string, before routeState) bool {
	after := r.book.state(route)
	return after.uncertain || after.version != before.version
}
