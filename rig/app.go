package rig

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

	"sagelever/lore"
)

// Fault is what an appliance or the rig does wrong on purpose, so that the ledger is seen to find it.
type Fault string

const (
	Forgets Fault = "forgets" // answers, now and then, without having run
	Doubles Fault = "doubles" // runs a request twice, now and then
	Breaks  Fault = "breaks"  // closes the connection of a run, now and then, and calls it the node's doing
	Strays  Fault = "strays"  // one node goes on sending to what leaves
)

// App is a stand-in appliance, by the protocol's pages.
type App struct {
	ID, Service, Zone, Build string
	Address                  string
	house                    *House
	work                     time.Duration // the mean of a run
	slots                    chan struct{}
	queue                    chan struct{}
	server                   *http.Server
	calls                    *http.Client

	mu      sync.Mutex
	rng     *rand.Rand
	leaving bool
	cold    time.Time
	count   int64
	contact string
	slow    time.Duration // of every run from now on; 0: as drawn
	began   chan struct{} // told when a run begins
	stop    context.CancelFunc
}

const slots, queued = 3, 12 // of an appliance, as the operators' have

// StartApp begins a new life of an appliance: it serves, and pulses.
func (h *House) StartApp(service, zone, build string, cold time.Duration) (*App, error) {
	l, err := net.Listen("tcp4", h.ip(200)+":0")
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	h.lives++
	id := fmt.Sprintf("i-%s-%d", service, h.lives)
	seed := uint64(h.lives)
	h.mu.Unlock()
	a := &App{ID: id, Service: service, Zone: zone, Build: build, Address: l.Addr().String(), house: h, work: h.o.Work,
		slots: make(chan struct{}, slots), queue: make(chan struct{}, slots+queued), rng: rand.New(rand.NewPCG(h.o.Seed, seed)), began: make(chan struct{}, 1),
		contact: h.control(zone), calls: &http.Client{Timeout: time.Second}}
	if cold > 0 {
		a.cold = time.Now().Add(cold)
	}
	a.server = &http.Server{Handler: a, IdleTimeout: 10 * time.Second}
	go a.server.Serve(l)
	ctx, stop := context.WithCancel(context.Background())
	a.stop = stop
	h.mu.Lock()
	h.apps[id] = a
	h.mu.Unlock()
	go a.pulses(ctx)
	return a, nil
}

func (a *App) draw() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rng.Float64()
}

// ServeHTTP answers health questions and runs requests.
func (a *App) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	leaving := a.leaving
	warm := time.Until(a.cold)
	a.mu.Unlock()
	h := w.Header()
	if leaving {
		h.Set("Connection", "close")
	}
	if r.URL.Path == "/health" {
		h.Set("X-Sagelever-Server-Id", a.ID)
		h.Set("X-Sagelever-Warm-Up-Ms", strconv.FormatInt(max(0, warm.Milliseconds()), 10))
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if meant := r.Header.Get("X-Sagelever-Meant-Server"); meant != a.ID {
		h.Set("X-Sagelever-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ledger, try := a.house.Ledger, r.Header.Get("X-Sagelever-Try-Id")
	ledger.Arrived(a.ID, time.Now(), a.house.o.Bound)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case a.queue <- struct{}{}:
		defer func() { <-a.queue }()
	default:
		h.Set("X-Sagelever-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	left, _ := strconv.Atoi(r.Header.Get("X-Sagelever-Time-Left-Ms"))
	over := time.NewTimer(time.Duration(left) * time.Millisecond)
	defer over.Stop()
	select {
	case a.slots <- struct{}{}:
		defer func() { <-a.slots }()
	case <-over.C:
		h.Set("X-Sagelever-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	work := time.Duration((0.5 + a.draw()) * float64(a.work))
	if warm > 0 {
		work *= 2
	}
	a.mu.Lock()
	if a.slow > 0 {
		work = a.slow
	}
	a.mu.Unlock()
	select {
	case a.began <- struct{}{}:
	default:
	}
	fault := a.house.o.Fault
	if fault != "" && a.draw() < 0.05 {
		switch fault {
		case Forgets:
			a.answer(w, try, body)
			return
		case Doubles:
			ledger.Ran(try, work)
		case Breaks:
			ledger.Cut(try)
			panic(http.ErrAbortHandler)
		}
	}
	done := time.NewTimer(work)
	defer done.Stop()
	select {
	case <-done.C:
	case <-over.C: // its time is over: it counts as run
		ledger.Ran(try, work)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		ledger.Cut(try)
		return
	}
	ledger.Ran(try, work)
	a.answer(w, try, body)
}

func (a *App) answer(w http.ResponseWriter, try string, body []byte) {
	w.Header().Set("X-Sagelever-Try-Id", try)
	w.Header().Set("X-Sagelever-Server-Seal", "seal-"+a.ID)
	fmt.Fprintf(w, "%s of %d bytes", try, len(body))
}

// call makes a call of the system's own, to the contact and then to the others; it tells whether one acknowledged it.
func (a *App) call(query string, body []byte) bool {
	a.mu.Lock()
	contact := a.contact
	a.mu.Unlock()
	for _, at := range append([]string{contact}, a.house.Contacts()...) {
		resp, err := a.calls.Post("http://"+at+"/api/rpc?call="+query+"&of="+a.ID, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode/100 == 2 {
			a.mu.Lock()
			a.contact = at
			a.mu.Unlock()
			return true
		}
	}
	return false
}

// pulse says how it stands.
func (a *App) pulse() bool {
	a.mu.Lock()
	a.count++
	p := lore.Pulse{Service: a.Service, Address: a.Address, Zone: a.Zone, Version: a.Build, Capacity: slots, Phase: lore.Ready,
		WarmLeft: fmt.Sprint(max(0, time.Until(a.cold).Milliseconds()), "ms"), CallCount: a.count}
	if a.leaving {
		p.Phase = lore.Emptying
	}
	a.mu.Unlock()
	b, _ := easyjson.Marshal(&p)
	return a.call("servers.pulse", b)
}

func (a *App) pulses(ctx context.Context) {
	t := time.NewTicker(a.house.o.Pulse)
	defer t.Stop()
	for {
		a.pulse()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Leave has it end in order: it says so, serves on for a while after the acknowledgement, signs off and stops.
func (a *App) Leave(how string) error {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	end := time.Now().Add(5 * time.Second)
	for !a.pulse() {
		if time.Now().After(end) {
			return fmt.Errorf("%s: nobody acknowledged that it leaves", a.ID)
		}
	}
	a.house.Ledger.Notice(a.ID, how, time.Now())
	time.Sleep(a.house.o.Empty + a.house.o.Empty/10)
	a.stop()
	a.call("servers.sign_off", nil)
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	a.server.Shutdown(ctx) // what runs there comes to its end
	a.Kill()
	return nil
}

// Kill ends it at once, without a word.
func (a *App) Kill() {
	a.stop()
	a.server.Close()
	a.house.mu.Lock()
	delete(a.house.apps, a.ID)
	a.house.mu.Unlock()
}

// Slow has all its runs take so long from now on.
func (a *App) Slow(work time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slow = work
}

// Began tells when a run begins.
func (a *App) Began() <-chan struct{} { return a.began }

// Cool has it be cold for a while: it has restarted, or was idle.
func (a *App) Cool(for_ time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cold = time.Now().Add(for_)
}
