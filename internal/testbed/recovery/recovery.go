// Package recovery measures how long proxies lack an acknowledged change after the controller that has acknowledged it
// was killed.
package recovery

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/testbed/cluster"
)

const (
	service        = "flags"
	setupTimeout   = 30 * time.Second
	changeTimeout  = 4 * time.Second
	knownTimeout   = 20 * time.Second // after which a measurement fails
	requestTimeout = time.Second
	pollPeriod     = 5 * time.Millisecond
	sampledRoutes  = 8 // of a change
)

// Measurement is the result for one change.
type Measurement struct {
	Routes       int
	Acknowledged time.Duration // from the request to the acknowledgement
	Known        time.Duration // from the kill until all proxies serve all sampled routes
}

// Measure starts a cluster, changes the given number of routes through one controller, kills that controller when it
// acknowledges the change, and waits until all proxies serve the routes.
func Measure(ctx context.Context, options cluster.Options, routes int) (Measurement, error) {
	result := Measurement{Routes: routes}
	running, err := cluster.Start(options)
	if err != nil {
		running.Close()
		return result, err
	}
	defer running.Close()
	setup, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	zone := cluster.ZoneNames()[0]
	if _, err := running.StartBackend(service, zone, "1", 0); err != nil {
		return result, err
	}
	if err := running.Configure(setup); err != nil {
		return result, err
	}
	paths := routePaths(routes)
	if status := running.SendTo(0, service, paths[0], requestTimeout); status == http.StatusOK {
		return result, errors.Errorf("%s is served before it exists", paths[0])
	}
	change, cancelChange := context.WithTimeout(ctx, changeTimeout)
	defer cancelChange()
	startedAt := time.Now()
	if err := running.PutRoutes(change, zone, service, paths); err != nil {
		return result, err
	}
	result.Acknowledged = time.Since(startedAt)
	killedAt := time.Now()
	running.KillNode(cluster.ControllerName(zone))
	if err := awaitKnown(ctx, running, options.Proxies, sample(paths)); err != nil {
		return result, err
	}
	result.Known = time.Since(killedAt)
	return result, nil
}

// routePaths returns the paths of the routes of a change.
func routePaths(routes int) (paths []string) {
	for i := range routes {
		paths = append(paths, fmt.Sprintf("/recovery/%d/", i))
	}
	return paths
}

// sample returns up to sampledRoutes of the paths, spread over all of them.
func sample(paths []string) (sampled []string) {
	count := min(len(paths), sampledRoutes)
	for i := range count {
		sampled = append(sampled, paths[i*len(paths)/count])
	}
	return sampled
}

// awaitKnown waits until each proxy serves each path.
func awaitKnown(ctx context.Context, running *cluster.Cluster, proxies int, paths []string) error {
	ctx, cancel := context.WithTimeout(ctx, knownTimeout)
	defer cancel()
	var waiting sync.WaitGroup
	lacking := make(chan string, proxies)
	for proxy := range proxies {
		waiting.Go(func() {
			for _, path := range paths {
				if !awaitServed(ctx, running, proxy, path) {
					lacking <- fmt.Sprintf("proxy %d lacks %s", proxy, path)
					return
				}
			}
		})
	}
	waiting.Wait()
	close(lacking)
	if first, ok := <-lacking; ok {
		return errors.New(first)
	}
	return nil
}

// awaitServed reports whether a proxy serves a path before ctx ends.
func awaitServed(ctx context.Context, running *cluster.Cluster, proxy int, path string) bool {
	for ctx.Err() == nil {
		if running.SendTo(proxy, service, path, requestTimeout) == http.StatusOK {
			return true
		}
		time.Sleep(pollPeriod)
	}
	return false
}
