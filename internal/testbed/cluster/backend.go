package cluster

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/control/calls"
)

// Fault is what a backend or the cluster does wrong on purpose, so that the ledger is seen to find it.
type Fault string

// The faults. Those of a backend affect one request in twenty.
const (
	FaultSkipRun      Fault = "forgets" // a backend answers without having run the request
	FaultRunTwice     Fault = "doubles" // a backend runs a request twice
	FaultAbortRun     Fault = "breaks"  // a backend closes the connection of a run, as if a proxy had done so
	FaultStrayRequest Fault = "strays"  // a request is sent to each backend that shuts down

	faultProbability = 0.05
)

// The headers of the protocol between proxies and backends.
const (
	headerAttemptID     = "X-Sagelever-Try-Id"
	headerTimeLeft      = "X-Sagelever-Time-Left-Ms"
	headerTargetBackend = "X-Sagelever-Meant-Server"
	headerNotExecuted   = "X-Sagelever-Not-Run"
	headerBackendID     = "X-Sagelever-Server-Id"
	headerWarmUpLeft    = "X-Sagelever-Warm-Up-Ms"
	headerBackendSeal   = "X-Sagelever-Server-Seal"
)

const (
	slotsPerBackend   = 3  // requests that a backend works on at once
	queuePerBackend   = 12 // requests that wait there
	backendIdleTime   = 10 * time.Second
	warmUpSlowdown    = 2 // of a run while the backend warms up
	controllerTimeout = time.Second
)

// Backend is one incarnation of a backend that speaks the protocol.
type Backend struct {
	ID, Service, Zone, Build string
	Address                  string

	cluster       *Cluster
	meanWork      time.Duration
	slots         chan struct{}
	queue         chan struct{} // of requests that wait or run
	server        *http.Server
	controlClient *http.Client
	runStarted    chan struct{} // gets a value when a run begins, unless it holds one
	cancel        context.CancelFunc

	mu           sync.Mutex
	rng          *rand.Rand
	draining     bool
	warmingUntil time.Time
	heartbeats   int64
	controller   string        // the address that answered last
	fixedWork    time.Duration // of every run from now on; 0: as drawn
}

// StartBackend starts an incarnation of a backend: it serves, and sends heartbeats.
func (c *Cluster) StartBackend(service, zone, build string, warmUp time.Duration) (*Backend, error) {
	return c.StartBackendAt(fmt.Sprint(c.subnet, backendHost, ":0"), service, zone, build, warmUp)
}

// StartBackendAt starts an incarnation of a backend at an address, where another one may have been before.
func (c *Cluster) StartBackendAt(address, service, zone, build string, warmUp time.Duration) (*Backend, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.backendsStarted++
	number := c.backendsStarted
	c.mu.Unlock()
	backend := &Backend{
		ID:            fmt.Sprintf("i-%s-%d", service, number),
		Service:       service,
		Zone:          zone,
		Build:         build,
		Address:       listener.Addr().String(),
		cluster:       c,
		meanWork:      c.options.MeanWork,
		slots:         make(chan struct{}, slotsPerBackend),
		queue:         make(chan struct{}, slotsPerBackend+queuePerBackend),
		rng:           rand.New(rand.NewPCG(c.options.Seed, uint64(number))),
		runStarted:    make(chan struct{}, 1),
		controller:    c.controllerAddress(zone),
		controlClient: &http.Client{Timeout: controllerTimeout},
	}
	if warmUp > 0 {
		backend.warmingUntil = time.Now().Add(warmUp)
	}
	backend.server = &http.Server{Handler: backend, IdleTimeout: backendIdleTime}
	ctx, cancel := context.WithCancel(context.Background())
	backend.cancel = cancel
	c.mu.Lock()
	c.backends[backend.ID] = backend
	c.mu.Unlock()
	c.background.Go(func() { backend.serve(listener) })
	c.background.Go(func() { backend.heartbeatLoop(ctx) })
	return backend, nil
}

// serve serves until the backend shuts down or is killed.
func (b *Backend) serve(listener net.Listener) {
	if err := b.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		b.cluster.failures <- errors.Wrap(err, b.ID)
	}
}

// random returns a uniform number in [0, 1).
func (b *Backend) random() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rng.Float64()
}

func (b *Backend) isDraining() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.draining
}

// ServeHTTP answers health checks and runs requests.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	draining := b.draining
	warmUpLeft := time.Until(b.warmingUntil)
	b.mu.Unlock()
	if draining {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/health" {
		b.serveHealthCheck(w, draining, warmUpLeft)
		return
	}
	if r.Header.Get(headerTargetBackend) != b.ID {
		decline(w, http.StatusMisdirectedRequest)
		return
	}
	b.cluster.Ledger.RequestArrived(b.ID, time.Now(), b.cluster.options.ArrivalBound)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case b.queue <- struct{}{}:
		defer func() { <-b.queue }()
	default:
		decline(w, http.StatusServiceUnavailable)
		return
	}
	timeLeft, _ := strconv.Atoi(r.Header.Get(headerTimeLeft))
	expired := time.NewTimer(time.Duration(timeLeft) * time.Millisecond)
	defer expired.Stop()
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-expired.C:
		decline(w, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	b.run(w, r, body, warmUpLeft > 0, expired)
}

func (b *Backend) serveHealthCheck(w http.ResponseWriter, draining bool, warmUpLeft time.Duration) {
	header := w.Header()
	header.Set(headerBackendID, b.ID)
	header.Set(headerWarmUpLeft, strconv.FormatInt(max(0, warmUpLeft.Milliseconds()), 10))
	if draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// decline answers with a status and the promise that the request was not and will not be executed.
func decline(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotExecuted, "1")
	w.WriteHeader(status)
}

// run executes a request that has a slot, and answers it. expired fires when the client's time is over.
func (b *Backend) run(w http.ResponseWriter, r *http.Request, body []byte, warmingUp bool, expired *time.Timer) {
	ledger := b.cluster.Ledger
	attempt := r.Header.Get(headerAttemptID)
	work := b.drawWork(warmingUp)
	select {
	case b.runStarted <- struct{}{}:
	default:
	}
	switch b.drawFault() {
	case FaultSkipRun:
		b.writeResponse(w, attempt, body)
		return
	case FaultRunTwice:
		ledger.RunCompleted(attempt, work)
	case FaultAbortRun:
		ledger.RunAborted(attempt)
		panic(http.ErrAbortHandler)
	}
	finished := time.NewTimer(work)
	defer finished.Stop()
	select {
	case <-finished.C:
	case <-expired.C: // the request counts as executed
		ledger.RunCompleted(attempt, work)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		ledger.RunAborted(attempt)
		return
	}
	ledger.RunCompleted(attempt, work)
	b.writeResponse(w, attempt, body)
}

// drawWork returns how long a run takes.
func (b *Backend) drawWork(warmingUp bool) time.Duration {
	work := time.Duration((0.5 + b.random()) * float64(b.meanWork))
	if warmingUp {
		work *= warmUpSlowdown
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fixedWork > 0 {
		return b.fixedWork
	}
	return work
}

// drawFault returns the cluster's fault if it affects this run, and "" otherwise.
func (b *Backend) drawFault() Fault {
	fault := b.cluster.options.Fault
	if fault != "" && b.random() < faultProbability {
		return fault
	}
	return ""
}

func (b *Backend) writeResponse(w http.ResponseWriter, attempt string, body []byte) {
	w.Header().Set(headerAttemptID, attempt)
	w.Header().Set(headerBackendSeal, "seal-"+b.ID)
	_, _ = io.WriteString(w, responseBody(attempt, len(body))) // the caller may be gone
}

// responseBody returns the body of the response to an attempt, from which the client sees that it is its own.
func responseBody(attempt string, requestBytes int) string {
	return fmt.Sprintf("%s of %d bytes", attempt, requestBytes)
}

// ErrNotAcknowledged is the error of a backend whose drain no controller has acknowledged in time.
var ErrNotAcknowledged = errors.New("no controller acknowledged that it drains")

// Shutdown ends the backend gracefully: it announces that it drains, goes on serving for a while after a controller has
// acknowledged that, signs off and stops. method names the way of removal in the ledger.
func (b *Backend) Shutdown(method string) error {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	giveUpAt := time.Now().Add(5 * time.Second)
	for !b.sendHeartbeat() {
		if time.Now().After(giveUpAt) {
			return errors.Wrap(ErrNotAcknowledged, b.ID)
		}
	}
	options := b.cluster.options
	b.cluster.Ledger.RemovalAcknowledged(b.ID, method, time.Now())
	time.Sleep(options.DrainTime + options.DrainTime/10)
	b.cancel()
	b.callController(calls.SignOff, nil)
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	_ = b.server.Shutdown(ctx) // runs in flight come to their end; Kill cuts off what is left after the timeout
	b.Kill()
	return nil
}

// Kill ends the backend at once, without announcing it.
func (b *Backend) Kill() {
	b.cancel()
	_ = b.server.Close() // it reports errors of the listener, which nobody needs any more
	b.cluster.mu.Lock()
	delete(b.cluster.backends, b.ID)
	b.cluster.mu.Unlock()
}

// SetWork has all runs that begin from now on take the same time.
func (b *Backend) SetWork(work time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fixedWork = work
}

// RunStarted returns a channel that gets a value when a run begins.
func (b *Backend) RunStarted() <-chan struct{} { return b.runStarted }

// SetWarmUp has the backend warm up for a while, as after a restart.
func (b *Backend) SetWarmUp(duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.warmingUntil = time.Now().Add(duration)
}
