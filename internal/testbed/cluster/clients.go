package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// clientTimeout is the deadline of an operation, including all its attempts.
	clientTimeout = 3 * time.Second
	// maxAttempts is the maximum number of attempts of an operation, including the first.
	maxAttempts = 4
	// lookupTTL is how long a client caches the proxy addresses of a lookup.
	lookupTTL     = time.Second
	lookupTimeout = time.Second
	// clientsStream selects the random number stream of the clients; each backend uses its number as its stream.
	clientsStream = 77
	// changesPerTen is how many of ten requests are changes.
	changesPerTen      = 4
	maxIdleConnections = 256
)

// requestKind is a kind of request that clients send. Each kind has a route for each service.
type requestKind struct {
	name          string
	path          string // followed by the attempt's ID
	method        string
	routeSuffix   string // of the route's name, after the service
	routeKind     string // in the route's configuration
	nonIdempotent bool
	bodyBytes     int
}

var (
	readRequest = requestKind{
		name: "look", path: "/look/", method: http.MethodGet, routeSuffix: "/look", routeKind: "harmless",
	}
	changeRequest = requestKind{
		name: "change", path: "/change/", method: http.MethodPost, routeSuffix: "/chan", routeKind: "risky",
		nonIdempotent: true, bodyBytes: 800,
	}
)

// Clients start operations at random times until they are stopped.
type Clients struct {
	cluster    *Cluster
	rng        *rand.Rand   // used only by generate
	keepAlive  *http.Client // reuses connections
	perRequest *http.Client // opens a connection for each request
	running    sync.WaitGroup
	cancel     context.CancelFunc

	mu      sync.Mutex
	lookups map[string]*lookup // by zone
}

// lookup is a cached response of the directory for a zone.
type lookup struct {
	addresses []string
	fetchedAt time.Time
}

// StartClients starts clients whose request rate uses a share, load, of the total capacity of all backends.
func (c *Cluster) StartClients(load float64) *Clients {
	ctx, cancel := context.WithCancel(context.Background())
	clients := &Clients{
		cluster: c,
		rng:     rand.New(rand.NewPCG(c.options.Seed, clientsStream)),
		lookups: map[string]*lookup{},
		cancel:  cancel,
		keepAlive: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: time.Minute},
		},
		perRequest: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	capacity := float64(c.options.Backends*slotsPerBackend) / c.options.MeanWork.Seconds()
	clients.running.Go(func() { clients.generate(ctx, load*capacity) })
	return clients
}

// generate starts operations as a Poisson process with the given rate per second until the context ends.
func (c *Clients) generate(ctx context.Context, rate float64) {
	next := time.Now()
	for ctx.Err() == nil {
		next = next.Add(time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		if ctx.Err() != nil {
			return
		}
		service := Services[c.rng.IntN(len(Services))]
		kind := changeRequest
		if c.rng.IntN(10) >= changesPerTen {
			kind = readRequest
		}
		zone := zoneNames[c.rng.IntN(len(zoneNames))]
		keepAlive := c.rng.IntN(2) == 0
		c.running.Go(func() { c.runOperation(service, kind, zone, keepAlive) })
	}
}

// Stop stops the clients and waits for the operations that they have started.
func (c *Clients) Stop() {
	c.cancel()
	c.running.Wait()
	c.keepAlive.CloseIdleConnections()
}

// runOperation executes an operation and retries it as the protocol allows within its deadline.
func (c *Clients) runOperation(service string, kind requestKind, zone string, keepAlive bool) {
	startedAt := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(clientTimeout))
	defer cancel()
	ledger := c.cluster.Ledger
	id := fmt.Sprint("op", c.cluster.operations.Add(1))
	failed := map[string]bool{}
	httpClient := c.keepAlive
	for n := range maxAttempts {
		proxy := c.pickProxy(zone, failed)
		if n > 0 || !keepAlive { // retries use a new connection
			httpClient = c.perRequest
		}
		current := attempt{id: fmt.Sprint(id, "-", n), service: service, kind: kind, proxy: proxy}
		ledger.AttemptStarted(id, current.id, service+"_"+kind.name, kind.nonIdempotent, startedAt)
		retry, retryAfter := current.send(ctx, httpClient, ledger)
		if !retry || ctx.Err() != nil {
			break
		}
		failed[proxy] = true
		pause(ctx, retryAfter)
	}
	ledger.OperationEnded(id, time.Now())
}

// pickProxy returns the address of a random proxy that the directory lists, preferring proxies that have not failed. It
// returns "" if no proxy is known.
func (c *Clients) pickProxy(zone string, failed map[string]bool) string {
	c.mu.Lock()
	found := c.lookups[zone]
	c.mu.Unlock()
	if found == nil || time.Since(found.fetchedAt) > lookupTTL {
		if addresses := c.lookUpProxies(zone); len(addresses) > 0 {
			found = &lookup{addresses: addresses, fetchedAt: time.Now()}
			c.mu.Lock()
			c.lookups[zone] = found
			c.mu.Unlock()
		}
	}
	if found == nil {
		return ""
	}
	var untried []string
	for _, address := range found.addresses {
		if !failed[address] {
			untried = append(untried, address)
		}
	}
	if len(untried) == 0 {
		untried = found.addresses
	}
	return untried[rand.IntN(len(untried))]
}

// lookUpProxies queries the directory of the zone's controller, and those of the other controllers if it fails.
func (c *Clients) lookUpProxies(zone string) []string {
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	preferred := c.cluster.controllerAddress(zone)
	for _, controller := range append([]string{preferred}, c.cluster.ControllerAddresses()...) {
		host, _, _ := net.SplitHostPort(controller)
		directory := net.JoinHostPort(host, directoryPort)
		url := "http://" + directory + "/api/lookup?name=x&zone=" + zone + "&region=" + regionByZone[zone]
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		response, err := c.keepAlive.Do(request)
		if err != nil {
			continue
		}
		found := struct {
			Addresses []string `json:"addresses"`
		}{}
		err = json.NewDecoder(response.Body).Decode(&found)
		response.Body.Close()
		if err == nil && len(found.Addresses) > 0 {
			return found.Addresses
		}
	}
	return nil
}

// SendOnce sends one POST request to the first proxy and returns the status of its response, or 0 if there was none.
func (c *Cluster) SendOnce(service, path string, timeout time.Duration) int {
	return c.SendTo(0, service, path, timeout)
}

// SendTo is like SendOnce for the proxy with the given index.
func (c *Cluster) SendTo(proxy int, service, path string, timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	url := "http://" + c.ProxyAddress(proxy) + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("once"))
	if err != nil {
		return 0
	}
	setHeaders(request, service, "once", timeout)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}
