package cluster

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/go-faster/errors"

	"sagelever/internal/control/calls"
	"sagelever/internal/control/client"
)

// object is a JSON object of the controllers' API.
type object map[string]any

// Configure creates the services and their routes and waits until all proxies are ready.
func (c *Cluster) Configure(ctx context.Context) error {
	body, err := json.Marshal(object{"putItems": object{"items": c.configItems()}})
	if err != nil {
		return err
	}
	if err := c.Operator().Call(ctx, calls.SettingsChange, "", body, nil); err != nil {
		return err
	}
	for i := range c.options.Proxies {
		for !c.proxyReady(i) {
			pause(ctx, readinessPeriod)
			if ctx.Err() != nil {
				return errors.New("not every proxy became ready")
			}
		}
	}
	return nil
}

func (c *Cluster) configItems() (items []object) {
	put := func(kind, name string, body object) {
		metadata := object{"name": name, "version": "00000001"}
		items = append(items, object{"type": kind, "metadata": metadata, "body": body})
	}
	for _, service := range Services {
		put("services", service, object{
			"checkPath":    "/health",
			"maxLinks":     130,
			"warmUp":       c.options.WarmUp.String(),
			"warmingRateS": 5,
		})
		for _, kind := range []requestKind{readRequest, changeRequest} {
			put("routes", service+kind.routeSuffix, c.route(service, kind.path, kind))
		}
	}
	put("limits", "", object{"headSizeBytes": 16384, "bodySizeBytes": 1 << 20, "headWait": "3s", "quiet": "15s"})
	return items
}

// route returns the body of a route for a kind of requests.
func (c *Cluster) route(service, path string, kind requestKind) object {
	return object{
		"host":        serviceHost(service),
		"pathStart":   path,
		"kind":        kind.routeKind,
		"giveUp":      cmp.Or(c.options.RequestTimeout, clientTimeout).String(),
		"target_time": "1s",
		"service":     service,
		"tries":       3,
	}
}

// PutRoutes creates routes of a service in one change, which the controller of a zone proposes. It returns once the
// change is acknowledged.
func (c *Cluster) PutRoutes(ctx context.Context, zone, service string, paths []string) error {
	var items []object
	for _, path := range paths {
		items = append(items, object{
			"type":     "routes",
			"metadata": object{"name": service + path, "version": "00000001"},
			"body":     c.route(service, path, changeRequest),
		})
	}
	body, err := json.Marshal(object{"putItems": object{"items": items}})
	if err != nil {
		return err
	}
	return client.New([]string{c.controllerAddress(zone)}).Call(ctx, calls.SettingsChange, "", body, nil)
}

// SetBodyLimit sets the maximum size of request bodies.
func (c *Cluster) SetBodyLimit(ctx context.Context, bytes int) error {
	limits := object{
		"type":     "limits",
		"metadata": object{"version": "00000002"},
		"body":     object{"headSizeBytes": 16384, "bodySizeBytes": bytes, "headWait": "3s", "quiet": "15s"},
	}
	body, err := json.Marshal(object{"putItems": object{"items": []object{limits}}})
	if err != nil {
		return err
	}
	return c.Operator().Call(ctx, calls.SettingsChange, "", body, nil)
}

func serviceHost(service string) string { return service + ".example" }

func (c *Cluster) proxyReady(i int) bool {
	response, err := http.Get("http://" + net.JoinHostPort(c.ip(i), readinessPort) + "/api/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
