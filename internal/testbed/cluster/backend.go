package cluster

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/replication"
)

// Fault is what an appliance or the rig does wrong on purpose, so that the ledger is seen to find it.
type Fault string

const (
	FaultSkipRun      Fault = "forgets" // answers, now and then, without having run
	FaultRunTwice     Fault = "doubles" // runs a request twice, now and then
	FaultAbortRun     Fault = "breaks"  // closes the connection of a run, now and then, and calls it the node's doing
	FaultStrayRequest Fault = "strays"  // one node goes on sending to what leaves
)

// Backend is a stand-in appliance, by the protocol's pages.
type Backend struct {
	ID, Service, Zone, Build string
	Address                  string
	cluster                  *Cluster
	meanWork                 time.Duration // the mean of a run
	slots                    chan struct{}
	queue                    chan struct{}
	server                   *http.Server
	controlClient            *http.Client

	mu           sync.Mutex
	rng          *rand.Rand
	draining     bool
	warmingUntil time.Time
	heartbeats   int64
	controller   string
	fixedWork    time.Duration // of every run from now on; 0: as drawn
	runStarted   chan struct{} // told when a run begins
	cancel       context.CancelFunc
}

const slotsPerBackend, queuePerBackend = 3, 12 // of an appliance, as the operators' have

// StartBackend begins a new life of an appliance: it serves, and pulses.
func (c *Cluster) StartBackend(service, zone, build string, warmUp time.Duration) (*Backend, error) {
	listener, err := net.Listen("tcp4", c.ip(200)+":0")
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.backendsStarted++
	id := fmt.Sprintf("i-%s-%d", service, c.backendsStarted)
	seed := uint64(c.backendsStarted)
	c.mu.Unlock()
	backend := &Backend{ID: id, Service: service, Zone: zone, Build: build, Address: listener.Addr().String(), cluster: c, meanWork: c.options.MeanWork,
		slots: make(chan struct{}, slotsPerBackend), queue: make(chan struct{}, slotsPerBackend+queuePerBackend), rng: rand.New(rand.NewPCG(c.options.Seed, seed)), runStarted: make(chan struct{}, 1),
		controller: c.controllerAddress(zone), controlClient: &http.Client{Timeout: time.Second}}
	if warmUp > 0 {
		backend.warmingUntil = time.Now().Add(warmUp)
	}
	backend.server = &http.Server{Handler: backend, IdleTimeout: 10 * time.Second}
	go backend.server.Serve(listener)
	ctx, cancel := context.WithCancel(context.Background())
	backend.cancel = cancel
	c.mu.Lock()
	c.backends[id] = backend
	c.mu.Unlock()
	go backend.heartbeatLoop(ctx)
	return backend, nil
}

func (b *Backend) random() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rng.Float64()
}

// ServeHTTP answers health questions and runs requests.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	leaving := b.draining
	warmUpLeft := time.Until(b.warmingUntil)
	b.mu.Unlock()
	header := w.Header()
	if leaving {
		header.Set("Connection", "close")
	}
	if r.URL.Path == "/health" {
		header.Set("X-Sagelever-Server-Id", b.ID)
		header.Set("X-Sagelever-Warm-Up-Ms", strconv.FormatInt(max(0, warmUpLeft.Milliseconds()), 10))
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if intended := r.Header.Get("X-Sagelever-Meant-Server"); intended != b.ID {
		header.Set("X-Sagelever-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ledger, attempt := b.cluster.Ledger, r.Header.Get("X-Sagelever-Try-Id")
	ledger.RequestArrived(b.ID, time.Now(), b.cluster.options.ArrivalBound)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case b.queue <- struct{}{}:
		defer func() { <-b.queue }()
	default:
		header.Set("X-Sagelever-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	timeLeft, _ := strconv.Atoi(r.Header.Get("X-Sagelever-Time-Left-Ms"))
	expired := time.NewTimer(time.Duration(timeLeft) * time.Millisecond)
	defer expired.Stop()
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-expired.C:
		header.Set("X-Sagelever-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	work := time.Duration((0.5 + b.random()) * float64(b.meanWork))
	if warmUpLeft > 0 {
		work *= 2
	}
	b.mu.Lock()
	if b.fixedWork > 0 {
		work = b.fixedWork
	}
	b.mu.Unlock()
	select {
	case b.runStarted <- struct{}{}:
	default:
	}
	fault := b.cluster.options.Fault
	if fault != "" && b.random() < 0.05 {
		switch fault {
		case FaultSkipRun:
			b.writeResponse(w, attempt, body)
			return
		case FaultRunTwice:
			ledger.RunCompleted(attempt, work)
		case FaultAbortRun:
			ledger.RunAborted(attempt)
			panic(http.ErrAbortHandler)
		}
	}
	finished := time.NewTimer(work)
	defer finished.Stop()
	select {
	case <-finished.C:
	case <-expired.C: // its time is over: it counts as run
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

func (b *Backend) writeResponse(w http.ResponseWriter, attempt string, body []byte) {
	w.Header().Set("X-Sagelever-Try-Id", attempt)
	w.Header().Set("X-Sagelever-Server-Seal", "seal-"+b.ID)
	fmt.Fprintf(w, "%s of %d bytes", attempt, len(body))
}

// callController makes a call of the system's own, to the contact and then to the others; it tells whether one acknowledged it.
func (b *Backend) callController(query string, body []byte) bool {
	b.mu.Lock()
	preferred := b.controller
	b.mu.Unlock()
	for _, address := range append([]string{preferred}, b.cluster.ControllerAddresses()...) {
		resp, err := b.controlClient.Post("http://"+address+"/api/rpc?call="+query+"&of="+b.ID, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode/100 == 2 {
			b.mu.Lock()
			b.controller = address
			b.mu.Unlock()
			return true
		}
	}
	return false
}

// sendHeartbeat says how it stands.
func (b *Backend) sendHeartbeat() bool {
	b.mu.Lock()
	b.heartbeats++
	heartbeat := replication.Heartbeat{Service: b.Service, Address: b.Address, Zone: b.Zone, Version: b.Build, Capacity: slotsPerBackend, Phase: replication.PhaseReady,
		WarmUpLeft: fmt.Sprint(max(0, time.Until(b.warmingUntil).Milliseconds()), "ms"), CallCount: b.heartbeats}
	if b.draining {
		heartbeat.Phase = replication.PhaseDraining
	}
	b.mu.Unlock()
	body, _ := easyjson.Marshal(&heartbeat)
	return b.callController("servers.pulse", body)
}

func (b *Backend) heartbeatLoop(ctx context.Context) {
	ticker := time.NewTicker(b.cluster.options.HeartbeatInterval)
	defer ticker.Stop()
	for {
		b.sendHeartbeat()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Shutdown has it end in order: it says so, serves on for a while after the acknowledgement, signs off and stops.
func (b *Backend) Shutdown(method string) error {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	giveUpAt := time.Now().Add(5 * time.Second)
	for !b.sendHeartbeat() {
		if time.Now().After(giveUpAt) {
			return fmt.Errorf("%s: nobody acknowledged that it leaves", b.ID)
		}
	}
	b.cluster.Ledger.RemovalAcknowledged(b.ID, method, time.Now())
	time.Sleep(b.cluster.options.DrainTime + b.cluster.options.DrainTime/10)
	b.cancel()
	b.callController("servers.sign_off", nil)
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	b.server.Shutdown(ctx) // what runs there comes to its end
	b.Kill()
	return nil
}

// Kill ends it at once, without a word.
func (b *Backend) Kill() {
	b.cancel()
	b.server.Close()
	b.cluster.mu.Lock()
	delete(b.cluster.backends, b.ID)
	b.cluster.mu.Unlock()
}

// SetWork has all its runs take so long from now on.
func (b *Backend) SetWork(work time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fixedWork = work
}

// RunStarted tells when a run begins.
func (b *Backend) RunStarted() <-chan struct{} { return b.runStarted }

// SetWarmUp has it be cold for a while: it has restarted, or was idle.
func (b *Backend) SetWarmUp(duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.warmingUntil = time.Now().Add(duration)
}
