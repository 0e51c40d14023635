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

// Fault is a fault that a backend or the cluster injects, so that tests can check that the ledger detects it.
type Fault string

// The faults. Those of a backend affect a share of faultProbability of its requests.
const (
	FaultSkipRun      Fault = "forgets" // a backend responds without executing the request
	FaultRunTwice     Fault = "doubles" // a backend executes a request twice
	FaultAbortRun     Fault = "breaks"  // a backend closes the connection during an execution, as if a proxy had closed it
	FaultStrayRequest Fault = "strays"  // a request is sent to each backend that shuts down

	faultProbability = 0.05 // one request in twenty
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
	slotsPerBackend   = 3  // requests that a backend executes concurrently
	queuePerBackend   = 12 // requests that wait for a slot of a backend
	backendIdleTime   = 10 * time.Second
	warmUpSlowdown    = 2 // factor of the execution time while the backend warms up
	controllerTimeout = time.Second
	drainAckTimeout   = 5 * time.Second // for a controller to acknowledge that a backend drains
)

// Backend is one incarnation of a backend that speaks the protocol.
type Backend struct {
	ID, Service, Zone, Build string
	Address                  string

	cluster       *Cluster
	meanWork      time.Duration
	slots         chan struct{}
	queue         chan struct{} // requests that wait or are executed
	server        *http.Server
	controlClient *http.Client
	runStarted    chan struct{} // receives a value when an execution begins, unless the buffer is full
	cancel        context.CancelFunc

	mu           sync.Mutex
	rng          *rand.Rand
	draining     bool
	warmingUntil time.Time
	silentUntil  time.Time             // until then it drops all requests that it receives
	faultyUntil  time.Time             // until then a share of its requests have faults
	frozenUntil  time.Time             // until then it processes no requests
	renewals     int                   // number of incarnations after the first
	overlapUntil time.Time             // until then the previous incarnation executes requests, too
	taken        map[net.Conn]struct{} // connections that were taken from net/http
	heartbeats   int64
	controller   string        // address of the controller that responded last
	fixedWork    time.Duration // execution time of each request; 0: drawn at random
}

// StartBackend starts an incarnation of a backend, which serves requests and sends heartbeats.
func (c *Cluster) StartBackend(service, zone, build string, warmUp time.Duration) (*Backend, error) {
	return c.StartBackendAt(fmt.Sprint(c.subnet, backendHost, ":0"), service, zone, build, warmUp)
}

// StartBackendAt starts an incarnation of a backend at an address, which an earlier backend may have used.
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
		taken:         map[net.Conn]struct{}{},
		controller:    c.controllerAddress(zone),
		controlClient: &http.Client{Timeout: controllerTimeout},
	}
	if warmUp > 0 {
		backend.warmingUntil = time.Now().Add(warmUp)
	}
	listener = newLinkLimitListener(listener, c.options.MaxLinks)
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

// serve accepts requests until the backend shuts down or is killed.
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

// ServeHTTP responds to health checks and executes requests.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	wasFrozen := b.waitUntilThawed()
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
	if wasFrozen || b.faulty() {
		if body, err := io.ReadAll(r.Body); err == nil {
			b.takeOver(w, r, body)
		}
		return
	}
	if !b.accepts(r.Header.Get(headerTargetBackend)) {
		b.recordArrival(r, "misdirected")
		decline(w, r, http.StatusMisdirectedRequest)
		return
	}
	b.cluster.Ledger.RequestArrived(b.ID, time.Now(), b.cluster.options.ArrivalBound)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if b.silent() {
		b.cluster.Ledger.RequestDropped(r.Header.Get(headerAttemptID))
		<-r.Context().Done()
		return
	}
	select {
	case b.queue <- struct{}{}:
		defer func() { <-b.queue }()
	default:
		b.recordArrival(r, "refused, full")
		decline(w, r, http.StatusServiceUnavailable)
		return
	}
	timeLeft, _ := strconv.Atoi(r.Header.Get(headerTimeLeft))
	expired := time.NewTimer(time.Duration(timeLeft) * time.Millisecond)
	defer expired.Stop()
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-expired.C:
		b.recordArrival(r, "refused, expired in the queue")
		decline(w, r, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	b.run(w, r, body, warmUpLeft > 0, expired)
}

func (b *Backend) serveHealthCheck(w http.ResponseWriter, draining bool, warmUpLeft time.Duration) {
	header := w.Header()
	header.Set(headerBackendID, b.incarnation())
	header.Set(headerWarmUpLeft, strconv.FormatInt(max(0, warmUpLeft.Milliseconds()), 10))
	if draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// decline responds with a status and the header that guarantees that the request was not and will not be executed.
func decline(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set(headerAttemptID, r.Header.Get(headerAttemptID))
	w.Header().Set(headerNotExecuted, "1")
	w.WriteHeader(status)
}

// run executes a request that holds a slot and sends the response. expired fires at the client's deadline.
func (b *Backend) run(w http.ResponseWriter, r *http.Request, body []byte, warmingUp bool, expired *time.Timer) {
	ledger := b.cluster.Ledger
	attempt := r.Header.Get(headerAttemptID)
	b.recordArrival(r, "executed")
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
		w.Header().Set(headerAttemptID, attempt)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		ledger.RunAborted(attempt)
		return
	}
	ledger.RunCompleted(attempt, work)
	b.writeResponse(w, attempt, body)
}

// drawWork returns how long an execution takes: half to one and a half times the mean, unless it is fixed.
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

// drawFault returns the cluster's fault if it affects this execution, and "" otherwise.
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
	_, _ = io.WriteString(w, responseBody(attempt, len(body))) // fails if the client has disconnected
}

// responseBody returns the body of the response to an attempt. Clients compare it to detect responses to other
// requests.
func responseBody(attempt string, requestBytes int) string {
	return fmt.Sprintf("%s of %d bytes", attempt, requestBytes)
}

// ErrNotAcknowledged is returned if no controller acknowledged the drain of a backend within drainAckTimeout.
var ErrNotAcknowledged = errors.New("no controller acknowledged that it drains")

// Shutdown stops the backend gracefully: it announces that it drains, continues to serve for the drain time after a
// controller has acknowledged that, deregisters and stops. method is the method of removal in the ledger.
func (b *Backend) Shutdown(method string) error {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	deadline := time.Now().Add(drainAckTimeout)
	for !b.sendHeartbeat() {
		if time.Now().After(deadline) {
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
	_ = b.server.Shutdown(ctx) // waits for requests in flight; Kill aborts those that remain after the timeout
	b.Kill()
	return nil
}

// Kill stops the backend immediately, without a drain or deregistration.
func (b *Backend) Kill() {
	b.cancel()
	_ = b.server.Close() // errors of closing the listener have no effect here
	b.closeTaken()
	b.cluster.mu.Lock()
	delete(b.cluster.backends, b.ID)
	b.cluster.mu.Unlock()
}

// SetWork sets the execution time of all requests that start after the call.
func (b *Backend) SetWork(work time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fixedWork = work
}

// RunStarted returns a channel that receives a value when an execution begins.
func (b *Backend) RunStarted() <-chan struct{} { return b.runStarted }

// SetSilent makes the backend drop all requests that it receives within a duration: it reads them and answers nothing
// on their connections until the proxy closes these. Health checks are answered.
func (b *Backend) SetSilent(duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silentUntil = time.Now().Add(duration)
}

func (b *Backend) silent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.silentUntil)
}

// SetWarmUp makes the backend warm up for a duration, as after a restart.
func (b *Backend) SetWarmUp(duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.warmingUntil = time.Now().Add(duration)
}
