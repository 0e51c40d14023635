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
	// clientTimeout is how long a client waits for an operation, all its attempts together.
	clientTimeout = 3 * time.Second
	// maxAttempts is how often a client tries an operation.
	maxAttempts = 4
	// lookupTTL is for how long a client uses the addresses of proxies that it has looked up.
	lookupTTL     = time.Second
	lookupTimeout = time.Second
	// clientsStream selects the clients' stream of random numbers; backends use their numbers.
	clientsStream = 77
	// changesOfTen is how many of ten requests are changes.
	changesOfTen       = 4
	maxIdleConnections = 256
)

// requestKind is a kind of request that clients send; each has a route.
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

// Clients begin operations at random moments until they are stopped.
type Clients struct {
	cluster    *Cluster
	rng        *rand.Rand   // of the generator alone
	keepAlive  *http.Client // whose connections are kept
	perRequest *http.Client // with a connection for each request
	running    sync.WaitGroup
	cancel     context.CancelFunc

	mu      sync.Mutex
	lookups map[string]*lookup // by zone
}

// lookup is what the directory said of a zone.
type lookup struct {
	addresses []string
	fetchedAt time.Time
}

// StartClients starts clients, which ask for a share of the capacity that all backends have together.
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

// generate begins operations as a Poisson process, with a rate a second, until the context ends.
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
		if c.rng.IntN(10) >= changesOfTen {
			kind = readRequest
		}
		zone := zoneNames[c.rng.IntN(len(zoneNames))]
		keepAlive := c.rng.IntN(2) == 0
		c.running.Go(func() { c.runOperation(service, kind, zone, keepAlive) })
	}
}

// Stop ends the clients, and waits for the operations that they have begun.
func (c *Clients) Stop() {
	c.cancel()
	c.running.Wait()
	c.keepAlive.CloseIdleConnections()
}

// runOperation begins an operation and retries it as the protocol allows, within its deadline.
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
		if n > 0 || !keepAlive { // a retry goes on a new connection
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

// pickProxy draws the address of a proxy from what the directory says, other than those that have failed; "" where none
// is known.
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

// lookUpProxies asks the directory of the zone's controller, and then the others.
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

// SendOnce sends one POST request and returns the status of its response; 0 where there was none.
func (c *Cluster) SendOnce(service, path string, timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	url := "http://" + net.JoinHostPort(c.ip(0), listenerPort) + path
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
