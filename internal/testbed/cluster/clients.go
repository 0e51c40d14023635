package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// clientTimeout is how long a client waits for what it wants, all its tries together.
const clientTimeout = 3 * time.Second

// Clients ask at random moments, as many a second as the load says, until they are stopped.
type Clients struct {
	cluster    *Cluster
	rng        *rand.Rand
	keepAlive  *http.Client // connections that are kept for long
	perRequest *http.Client // one for each request
	mu         sync.Mutex
	lookups    map[string]*lookup // by zone
	inFlight   sync.WaitGroup
	cancel     context.CancelFunc
}

type lookup struct {
	addresses []string
	fetchedAt time.Time
}

// StartClients begins to ask, at a share of the room that the appliances together have.
func (c *Cluster) StartClients(load float64) *Clients {
	clients := &Clients{cluster: c, rng: rand.New(rand.NewPCG(c.options.Seed, 77)), lookups: map[string]*lookup{},
		keepAlive:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute}},
		perRequest: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	ctx, cancel := context.WithCancel(context.Background())
	clients.cancel = cancel
	rate := load * float64(c.options.Backends*slotsPerBackend) / c.options.MeanWork.Seconds()
	go func() {
		for next := time.Now(); ctx.Err() == nil; {
			next = next.Add(time.Duration(clients.rng.ExpFloat64() / rate * float64(time.Second)))
			time.Sleep(time.Until(next))
			if ctx.Err() != nil {
				return
			}
			service, kind := Services[clients.rng.IntN(len(Services))], clients.rng.IntN(10)
			zone, keepAlive := zoneNames[clients.rng.IntN(len(zoneNames))], clients.rng.IntN(2) == 0
			clients.inFlight.Add(1)
			go func() {
				defer clients.inFlight.Done()
				clients.runOperation(service, kind >= 6, zone, keepAlive)
			}()
		}
	}()
	return clients
}

// SendOnce sends one request and gives its status; 0 where there was no answer.
func (c *Cluster) SendOnce(service, path string, timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+net.JoinHostPort(c.ip(0), listenerPort)+path, strings.NewReader("once"))
	if err != nil {
		return 0
	}
	request.Host = service + ".example"
	request.Header.Set("X-Sagelever-Try-Id", "once")
	request.Header.Set("X-Sagelever-Time-Left-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// Stop ends the asking, and waits for what was asked.
func (c *Clients) Stop() {
	c.cancel()
	c.inFlight.Wait()
	c.keepAlive.CloseIdleConnections()
}

// pickProxy draws an agent's address from what the directory says, but for those that have failed this client.
func (c *Clients) pickProxy(zone string, failed map[string]bool) string {
	c.mu.Lock()
	found := c.lookups[zone]
	c.mu.Unlock()
	if found == nil || time.Since(found.fetchedAt) > time.Second {
		if got := c.lookUpProxies(zone); len(got) > 0 {
			found = &lookup{got, time.Now()}
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

func (c *Clients) lookUpProxies(zone string) []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, controller := range append([]string{c.cluster.controllerAddress(zone)}, c.cluster.ControllerAddresses()...) {
		host, _, _ := net.SplitHostPort(controller)
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+net.JoinHostPort(host, directoryPort)+"/api/lookup?name=x&zone="+zone+"&region="+regionByZone[zone], nil)
		resp, err := c.keepAlive.Do(req)
		if err != nil {
			continue
		}
		found := struct {
			Addresses []string `json:"addresses"`
		}{}
		err = json.NewDecoder(resp.Body).Decode(&found)
		resp.Body.Close()
		if err == nil && len(found.Addresses) > 0 {
			return found.Addresses
		}
	}
	return nil
}

// runOperation wants something done: it tries, and again as the protocol has it, within its deadline.
func (c *Clients) runOperation(service string, nonIdempotent bool, zone string, keepAlive bool) {
	id, path, method := fmt.Sprint("op", c.cluster.operations.Add(1)), "/look/", http.MethodGet
	kind := service + "_look"
	if nonIdempotent {
		path, method, kind = "/change/", http.MethodPost, service+"_change"
	}
	startedAt := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(clientTimeout))
	defer cancel()
	failed := map[string]bool{}
	client := c.keepAlive
	for attemptNumber := range 4 {
		proxy := c.pickProxy(zone, failed)
		if attemptNumber > 0 || !keepAlive { // another try goes on a new connection
			client = c.perRequest
		}
		attempt := fmt.Sprint(id, "-", attemptNumber)
		c.cluster.Ledger.AttemptStarted(id, attempt, kind, nonIdempotent, startedAt)
		retry, pause := c.attempt(ctx, client, proxy, service, method, path, attempt, nonIdempotent)
		if !retry || ctx.Err() != nil {
			break
		}
		failed[proxy] = true
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	c.cluster.Ledger.OperationEnded(id, time.Now())
}

// attempt makes one; it tells whether another may follow, and when.
func (c *Clients) attempt(ctx context.Context, client *http.Client, proxy, service, method, path, attempt string, nonIdempotent bool) (retry bool, pause time.Duration) {
	deadline, _ := ctx.Deadline()
	body := ""
	if nonIdempotent {
		body = strings.Repeat("b", 800)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+proxy+path+attempt, strings.NewReader(body))
	if err != nil {
		return false, 0
	}
	req.GetBody = nil // the client's own library must not ask twice
	req.Host = service + ".example"
	req.Header.Set("X-Sagelever-Try-Id", attempt)
	req.Header.Set("X-Sagelever-Time-Left-Ms", strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	resp, err := client.Do(req)
	inTime := time.Until(deadline) > 100*time.Millisecond
	if err != nil {
		if op, ok := errors.Into[*net.OpError](err); ok && op.Op == "dial" { // it never got there
			c.cluster.Ledger.AttemptEnded(attempt, http.StatusServiceUnavailable, true, true, inTime)
			return true, 20 * time.Millisecond
		}
		c.cluster.Ledger.AttemptEnded(attempt, 0, false, false, inTime)
		return !nonIdempotent, 20 * time.Millisecond
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	matches := string(data) == fmt.Sprintf("%s of %d bytes", attempt, len(body)) && resp.Header.Get("X-Sagelever-Server-Seal") != ""
	c.cluster.Ledger.AttemptEnded(attempt, resp.StatusCode, err == nil, matches, inTime)
	if resp.StatusCode/100 == 2 && err == nil {
		return false, 0
	}
	promised := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		pause = time.Duration(s * float64(time.Second))
	}
	return !nonIdempotent || promised, max(pause, 20*time.Millisecond)
}
