package connpool

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sagelever/internal/agent/api"
)

const ms = time.Millisecond

var small = Config{MaxPerBackend: 2, MaxTotal: 3, BusyThreshold: 2, ResponseTimeout: 100 * ms, PingTimeout: 50 * ms,
	IdleTimeout: 1000 * ms, Backoff: 10 * ms}

// connectTo adds a backend and brings a connection to it up.
func connectTo(p *Pool, now time.Duration, id api.BackendID) ConnID {
	p.AddBackend(now, id)
	_, _, acts := p.Acquire(now, id)
	p.Opened(now, acts[0].Conn)
	return acts[0].Conn
}

func actionKinds(acts []Action) (s string) {
	for _, a := range acts {
		s += a.Kind.String() + " "
	}
	return s
}

// A request goes to the least loaded connection. Another one is opened when all are busy, up to the limit; busy ones
// carry on then.
func TestAcquire(t *testing.T) {
	p := New(small, 1)
	if a, _, _ := p.Acquire(0, 7); a != Reject {
		t.Error("a request to a backend that was not added")
	}
	p.AddBackend(0, 7)
	if a, _, acts := p.Acquire(0, 7); a != Wait || actionKinds(acts) != "dial " {
		t.Errorf("first: %v %v", a, acts)
	}
	if a, _, acts := p.Acquire(0, 7); a != Wait || acts != nil {
		t.Errorf("while it dials: %v %v", a, acts)
	}
	p.Opened(0, 1)
	for i, want := range []string{"", "", "dial ", ""} {
		if a, id, acts := p.Acquire(0, 7); a != Use || id != 1 || actionKinds(acts) != want {
			t.Errorf("request %d: %v on %d, %v", i, a, id, acts)
		}
	}
	p.Opened(0, 2)
	if a, id, acts := p.Acquire(0, 7); a != Use || id != 2 || acts != nil {
		t.Errorf("to the less loaded: %v on %d, %v", a, id, acts)
	}
}

// A backend that takes the upgrade and then says nothing is pinged, and its connection given up without an answer. One
// that answers pings and nothing else keeps its connection: its requests have time-outs of their own.
func TestPingTimeout(t *testing.T) {
	p := New(small, 1)
	id := connectTo(p, 0, 7)
	if acts := p.Tick(500 * ms); acts != nil {
		t.Errorf("an idle connection is pinged: %v", acts)
	}
	p.Acquire(500*ms, 7)
	if acts := p.Tick(599 * ms); acts != nil {
		t.Errorf("too early: %v", acts)
	}
	if acts := p.Tick(600 * ms); actionKinds(acts) != "ping " {
		t.Errorf("after its silence: %v", acts)
	}
	p.Received(620*ms, id)
	if acts := p.Tick(700 * ms); acts != nil {
		t.Errorf("it answered: %v", acts)
	}
	if acts := p.Tick(720 * ms); actionKinds(acts) != "ping " {
		t.Errorf("silent again: %v", acts)
	}
	if acts := p.Tick(769 * ms); acts != nil {
		t.Errorf("too early: %v", acts)
	}
	if acts := p.Tick(770 * ms); actionKinds(acts) != "close " || p.Stats.PingTimeouts != 1 {
		t.Errorf("without an answer: %v", acts)
	}
	if a, _, acts := p.Acquire(771*ms, 7); a != Wait || actionKinds(acts) != "dial " {
		t.Errorf("a new one: %v, %v", a, acts)
	}
}

// A draining backend gets nothing new; its connections close when they have no requests, or when they are silent.
func TestDrainBackend(t *testing.T) {
	p := New(small, 1)
	busy := connectTo(p, 0, 7)
	p.Acquire(0, 7)
	if acts := p.DrainBackend(10*ms, 7); acts != nil {
		t.Errorf("a connection with requests is closed: %v", acts)
	}
	if a, _, _ := p.Acquire(10*ms, 7); a != Reject {
		t.Error("a draining backend gets a request")
	}
	if acts := p.Release(20*ms, busy); actionKinds(acts) != "close " {
		t.Errorf("drained: %v", acts)
	}
	connectTo(p, 30*ms, 8)
	if acts := p.DrainBackend(40*ms, 8); actionKinds(acts) != "close " {
		t.Errorf("drained already: %v", acts)
	}
	connectTo(p, 50*ms, 9)
	p.Acquire(50*ms, 9)
	p.DrainBackend(60*ms, 9)
	if acts := p.Tick(209 * ms); acts != nil {
		t.Errorf("too early: %v", acts)
	}
	if acts := p.Tick(210 * ms); actionKinds(acts) != "close " {
		t.Errorf("silent: %v", acts)
	}
	p.AddBackend(300*ms, 9) // back, perhaps with another build
	if a, id, acts := p.Acquire(300*ms, 9); a != Wait || id != 0 || actionKinds(acts) != "dial " {
		t.Errorf("an old connection serves it: %v %v", a, acts)
	}
	if acts := p.DrainBackend(310*ms, 9); actionKinds(acts) != "close " {
		t.Errorf("one that dials: %v", acts)
	}
}

// Dials that fail are spaced, ever more; one that succeeds ends that. A connection that breaks is opened again at once.
func TestBackoff(t *testing.T) {
	p := New(small, 1)
	p.AddBackend(0, 7)
	now, last := time.Duration(0), time.Duration(0)
	for i := range 6 {
		_, _, acts := p.Acquire(now, 7)
		p.Failed(now, acts[0].Conn)
		waited := time.Duration(0)
		for ; ; waited += ms {
			a, _, acts := p.Acquire(now+waited, 7)
			if a == Wait {
				p.Failed(now+waited, acts[0].Conn)
				p.backends[7].dialFailures-- // it was only asked whether a dial is allowed
				break
			}
		}
		if most := small.Backoff << min(i, 4); waited > most+most/2+ms || waited < most/2-ms {
			t.Errorf("after %d failures it waits %s", i+1, waited)
		}
		now, last = now+waited+time.Second, waited
	}
	if last < 80*ms {
		t.Errorf("it still waits only %s", last)
	}
	_, _, acts := p.Acquire(now, 7)
	p.Opened(now, acts[0].Conn)
	p.Failed(now, acts[0].Conn)
	if a, _, acts := p.Acquire(now, 7); a != Wait || actionKinds(acts) != "dial " {
		t.Errorf("after a break: %v, %v", a, acts)
	}
}

// At the limit, the connection that has been idle for longest is closed, never one with a request.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	p := New(small, 1)
	first := connectTo(p, 0, 1)
	p.Acquire(0, 1)
	second := connectTo(p, 1*ms, 2)
	connectTo(p, 2*ms, 3)
	p.AddBackend(3*ms, 4)
	a, _, acts := p.Acquire(3*ms, 4)
	if a != Wait || actionKinds(acts) != "close dial " || acts[0].Conn != second {
		t.Errorf("%v, %v", a, acts)
	}
	p.Opened(4*ms, acts[1].Conn)
	for _, id := range []api.BackendID{3, 4} {
		p.Acquire(5*ms, id)
	}
	p.AddBackend(6*ms, 5)
	if a, _, acts := p.Acquire(6*ms, 5); a != Reject || acts != nil || p.Stats.LimitReached != 1 {
		t.Errorf("with every connection in use: %v, %v", a, acts)
	}
	p.Release(7*ms, first)
	if acts := p.Tick(7*ms + small.IdleTimeout); len(acts) == 0 || acts[0].Conn != first || acts[0].Kind != Close {
		t.Errorf("idle: %v", acts)
	}
}

// poolModel is a pool under random operations, and what is known of its connections from the actions that it returned.
type poolModel struct {
	pool     *Pool
	now      time.Duration
	state    map[ConnID]string // dialling, up; a connection that is gone has none
	requests map[ConnID]int
	backend  map[ConnID]api.BackendID // also of connections that are gone
	listed   map[api.BackendID]bool
}

// apply checks actions that the pool returned, and notes what becomes of the connections.
func (m *poolModel) apply(t *rapid.T, acts []Action) {
	for _, a := range acts {
		switch a.Kind {
		case Dial:
			if m.backend[a.Conn] != 0 {
				t.Fatal("a connection's id comes again")
			}
			m.state[a.Conn] = "dialling"
			m.backend[a.Conn] = a.Backend
		case Ping:
			if m.state[a.Conn] != "up" || m.requests[a.Conn] == 0 {
				t.Fatalf("a ping on a connection that is %q with %d requests", m.state[a.Conn], m.requests[a.Conn])
			}
		case Close:
			if m.state[a.Conn] == "" {
				t.Fatal("a connection that is gone is closed")
			}
			m.forget(a.Conn)
		}
	}
	if len(m.state) > small.MaxTotal {
		t.Fatalf("%d connections", len(m.state))
	}
}

// forget notes that a connection is gone.
func (m *poolModel) forget(id ConnID) {
	delete(m.state, id)
	delete(m.requests, id)
}

func drawBackend(t *rapid.T) api.BackendID {
	return api.BackendID(rapid.Uint32Range(1, 4).Draw(t, "id"))
}

// drawConn draws a connection that the pool has dialed, or the one that it would dial next.
func (m *poolModel) drawConn(t *rapid.T) ConnID {
	return ConnID(rapid.Uint64Range(1, uint64(m.pool.lastID)+1).Draw(t, "conn"))
}

func (m *poolModel) addBackend(t *rapid.T) {
	id := drawBackend(t)
	m.listed[id] = true
	m.apply(t, m.pool.AddBackend(m.now, id))
}

func (m *poolModel) drainBackend(t *rapid.T) {
	id := drawBackend(t)
	m.listed[id] = false
	m.apply(t, m.pool.DrainBackend(m.now, id))
}

func (m *poolModel) acquire(t *rapid.T) {
	id := drawBackend(t)
	a, conn, acts := m.pool.Acquire(m.now, id)
	m.apply(t, acts)
	if a != Use {
		return
	}
	if m.state[conn] != "up" || m.backend[conn] != id || !m.listed[id] {
		t.Fatalf("a request to %d on a connection to %d that is %q", id, m.backend[conn], m.state[conn])
	}
	m.requests[conn]++
}

func (m *poolModel) opened(t *rapid.T) {
	if id := m.drawConn(t); m.state[id] == "dialling" {
		m.state[id] = "up"
		m.apply(t, m.pool.Opened(m.now, id))
	}
}

func (m *poolModel) failed(t *rapid.T) {
	id := m.drawConn(t)
	was := m.state[id]
	acts := m.pool.Failed(m.now, id)
	if was != "" && len(acts) == 0 {
		m.forget(id)
	}
	m.apply(t, acts)
}

func (m *poolModel) received(t *rapid.T) {
	m.apply(t, m.pool.Received(m.now, m.drawConn(t)))
}

func (m *poolModel) release(t *rapid.T) {
	if id := m.drawConn(t); m.requests[id] > 0 {
		m.requests[id]--
		m.apply(t, m.pool.Release(m.now, id))
	}
}

func (m *poolModel) tick(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * ms
	m.apply(t, m.pool.Tick(m.now))
}

// finish drains all backends, ends all requests and checks that nothing is left.
func (m *poolModel) finish(t *rapid.T) {
	for id := range m.listed {
		m.listed[id] = false
		m.apply(t, m.pool.DrainBackend(m.now, id))
	}
	for id, n := range m.requests {
		for range n {
			m.apply(t, m.pool.Release(m.now, id))
		}
	}
	m.now += time.Hour
	m.apply(t, m.pool.Tick(m.now))
	p := m.pool
	if len(m.state)+len(p.conns)+len(p.ordered)+len(p.backends) > 0 {
		t.Fatalf("left: %v, %d, %d, %d", m.state, len(p.conns), len(p.ordered), len(p.backends))
	}
}

// Whatever happens in whatever order: limits are kept, a request goes only to a connection that is up, to an available
// backend, an action names a connection once as dialed and at most once as closed, and nothing is left in the end.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &poolModel{
			pool:     New(small, rapid.Uint64().Draw(t, "seed")),
			state:    map[ConnID]string{},
			requests: map[ConnID]int{},
			backend:  map[ConnID]api.BackendID{},
			listed:   map[api.BackendID]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){ // the names order the actions, so random draws depend on them
			"list":   m.addBackend,
			"retire": m.drainBackend,
			"want":   m.acquire,
			"opened": m.opened,
			"failed": m.failed,
			"heard":  m.received,
			"over":   m.release,
			"tick":   m.tick,
		})
		m.finish(t)
	})
}
