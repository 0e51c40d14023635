package connpool

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sagelever/internal/agent/api"
)

const ms = time.Millisecond

// testConfig has small limits and short timeouts.
var testConfig = Config{MaxPerBackend: 2, MaxTotal: 3, BusyThreshold: 2, ResponseTimeout: 100 * ms, PingTimeout: 50 * ms,
	IdleTimeout: 1000 * ms, Backoff: 10 * ms}

// connectTo adds a backend and establishes a connection to it.
func connectTo(pool *Pool, now time.Duration, id api.BackendID) ConnID {
	pool.AddBackend(now, id)
	_, _, actions := pool.Acquire(now, id)
	pool.Opened(now, actions[0].Conn)
	return actions[0].Conn
}

func actionKinds(actions []Action) (text string) {
	for _, action := range actions {
		text += action.Kind.String() + " "
	}
	return text
}

// A request goes to the least loaded connection. If all are busy, another one is opened up to the limit; at the limit,
// busy connections take further requests.
func TestAcquire(t *testing.T) {
	pool := New(testConfig, 1)
	if decision, _, _ := pool.Acquire(0, 7); decision != Reject {
		t.Error("a request to an unknown backend was not rejected")
	}
	pool.AddBackend(0, 7)
	if decision, _, actions := pool.Acquire(0, 7); decision != Wait || actionKinds(actions) != "dial " {
		t.Errorf("first request: %v %v", decision, actions)
	}
	if decision, _, actions := pool.Acquire(0, 7); decision != Wait || actions != nil {
		t.Errorf("while dialing: %v %v", decision, actions)
	}
	pool.Opened(0, 1)
	for i, want := range []string{"", "", "dial ", ""} {
		if decision, id, actions := pool.Acquire(0, 7); decision != Use || id != 1 || actionKinds(actions) != want {
			t.Errorf("request %d: %v on %d, %v", i, decision, id, actions)
		}
	}
	pool.Opened(0, 2)
	if decision, id, actions := pool.Acquire(0, 7); decision != Use || id != 2 || actions != nil {
		t.Errorf("with a less loaded connection: %v on %d, %v", decision, id, actions)
	}
}

// A backend that accepts the connection and then stays silent is pinged, and its connection is closed if there is no
// pong. A backend that answers only pings keeps its connection, as its requests have their own timeouts.
func TestPingTimeout(t *testing.T) {
	pool := New(testConfig, 1)
	id := connectTo(pool, 0, 7)
	if actions := pool.Tick(500 * ms); actions != nil {
		t.Errorf("an idle connection was pinged: %v", actions)
	}
	pool.Acquire(500*ms, 7)
	if actions := pool.Tick(599 * ms); actions != nil {
		t.Errorf("too early: %v", actions)
	}
	if actions := pool.Tick(600 * ms); actionKinds(actions) != "ping " {
		t.Errorf("after the response timeout: %v", actions)
	}
	pool.Received(620*ms, id)
	if actions := pool.Tick(700 * ms); actions != nil {
		t.Errorf("after a pong: %v", actions)
	}
	if actions := pool.Tick(720 * ms); actionKinds(actions) != "ping " {
		t.Errorf("after another response timeout: %v", actions)
	}
	if actions := pool.Tick(769 * ms); actions != nil {
		t.Errorf("too early: %v", actions)
	}
	if actions := pool.Tick(770 * ms); actionKinds(actions) != "close " || pool.Stats.PingTimeouts != 1 {
		t.Errorf("after the ping timeout: %v", actions)
	}
	if decision, _, actions := pool.Acquire(771*ms, 7); decision != Wait || actionKinds(actions) != "dial " {
		t.Errorf("next request: %v, %v", decision, actions)
	}
}

// A draining backend gets no new requests. Its connections are closed when they have no open requests, or are silent
// for too long.
func TestDrainBackend(t *testing.T) {
	pool := New(testConfig, 1)
	busy := connectTo(pool, 0, 7)
	pool.Acquire(0, 7)
	if actions := pool.DrainBackend(10*ms, 7); actions != nil {
		t.Errorf("a connection with an open request was closed: %v", actions)
	}
	if decision, _, _ := pool.Acquire(10*ms, 7); decision != Reject {
		t.Error("a draining backend got a request")
	}
	if actions := pool.Release(20*ms, busy); actionKinds(actions) != "close " {
		t.Errorf("after the last request: %v", actions)
	}
	connectTo(pool, 30*ms, 8)
	if actions := pool.DrainBackend(40*ms, 8); actionKinds(actions) != "close " {
		t.Errorf("drained while idle: %v", actions)
	}
	connectTo(pool, 50*ms, 9)
	pool.Acquire(50*ms, 9)
	pool.DrainBackend(60*ms, 9)
	if actions := pool.Tick(209 * ms); actions != nil {
		t.Errorf("too early: %v", actions)
	}
	if actions := pool.Tick(210 * ms); actionKinds(actions) != "close " {
		t.Errorf("after the timeouts: %v", actions)
	}
	pool.AddBackend(300*ms, 9) // listed again, possibly with another build
	if decision, id, actions := pool.Acquire(300*ms, 9); decision != Wait || id != 0 || actionKinds(actions) != "dial " {
		t.Errorf("a backend that was added again did not get a new connection: %v %v", decision, actions)
	}
	if actions := pool.DrainBackend(310*ms, 9); actionKinds(actions) != "close " {
		t.Errorf("drained while dialing: %v", actions)
	}
}

// The delay between failed dials grows, and a successful dial resets it. A lost connection is redialed immediately.
func TestBackoff(t *testing.T) {
	pool := New(testConfig, 1)
	pool.AddBackend(0, 7)
	now, lastDelay := time.Duration(0), time.Duration(0)
	for i := range 6 {
		_, _, actions := pool.Acquire(now, 7)
		pool.Failed(now, actions[0].Conn)
		delay := time.Duration(0)
		for ; ; delay += ms {
			decision, _, actions := pool.Acquire(now+delay, 7)
			if decision == Wait {
				pool.Failed(now+delay, actions[0].Conn)
				pool.backends[7].dialFailures-- // this dial only probed the delay and must not extend it
				break
			}
		}
		if base := testConfig.Backoff << min(i, 4); delay > base+base/2+ms || delay < base/2-ms {
			t.Errorf("after %d failures the delay is %s", i+1, delay)
		}
		now, lastDelay = now+delay+time.Second, delay
	}
	if lastDelay < 80*ms {
		t.Errorf("the longest delay is only %s", lastDelay)
	}
	_, _, actions := pool.Acquire(now, 7)
	pool.Opened(now, actions[0].Conn)
	pool.Failed(now, actions[0].Conn)
	if decision, _, actions := pool.Acquire(now, 7); decision != Wait || actionKinds(actions) != "dial " {
		t.Errorf("after a lost connection: %v, %v", decision, actions)
	}
}

// At the total limit, the connection that has been idle for longest is closed, never one with an open request.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	pool := New(testConfig, 1)
	first := connectTo(pool, 0, 1)
	pool.Acquire(0, 1)
	second := connectTo(pool, 1*ms, 2)
	connectTo(pool, 2*ms, 3)
	pool.AddBackend(3*ms, 4)
	decision, _, actions := pool.Acquire(3*ms, 4)
	if decision != Wait || actionKinds(actions) != "close dial " || actions[0].Conn != second {
		t.Errorf("%v, %v", decision, actions)
	}
	pool.Opened(4*ms, actions[1].Conn)
	for _, id := range []api.BackendID{3, 4} {
		pool.Acquire(5*ms, id)
	}
	pool.AddBackend(6*ms, 5)
	if decision, _, actions := pool.Acquire(6*ms, 5); decision != Reject || actions != nil || pool.Stats.LimitReached != 1 {
		t.Errorf("with every connection in use: %v, %v", decision, actions)
	}
	pool.Release(7*ms, first)
	if actions := pool.Tick(7*ms + testConfig.IdleTimeout); len(actions) == 0 ||
		actions[0].Conn != first || actions[0].Kind != Close {
		t.Errorf("after the idle timeout: %v", actions)
	}
}

// poolModel runs random operations on a pool and tracks its connections by the actions that it returns.
type poolModel struct {
	pool     *Pool
	now      time.Duration
	state    map[ConnID]string // "dialling" or "up"; closed connections have no entry
	requests map[ConnID]int
	backend  map[ConnID]api.BackendID // also of closed connections
	listed   map[api.BackendID]bool
}

// apply checks the actions that the pool returned and applies them to the model.
func (m *poolModel) apply(t *rapid.T, actions []Action) {
	for _, action := range actions {
		switch action.Kind {
		case Dial:
			if m.backend[action.Conn] != 0 {
				t.Fatal("a connection ID was reused")
			}
			m.state[action.Conn] = "dialling"
			m.backend[action.Conn] = action.Backend
		case Ping:
			if m.state[action.Conn] != "up" || m.requests[action.Conn] == 0 {
				t.Fatalf("ping on a connection in state %q with %d requests", m.state[action.Conn], m.requests[action.Conn])
			}
		case Close:
			if m.state[action.Conn] == "" {
				t.Fatal("close of a connection that is already closed")
			}
			m.removeConn(action.Conn)
		}
	}
	if len(m.state) > testConfig.MaxTotal {
		t.Fatalf("%d connections", len(m.state))
	}
}

// removeConn removes a closed connection from the model.
func (m *poolModel) removeConn(id ConnID) {
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
	decision, conn, actions := m.pool.Acquire(m.now, id)
	m.apply(t, actions)
	if decision != Use {
		return
	}
	if m.state[conn] != "up" || m.backend[conn] != id || !m.listed[id] {
		t.Fatalf("request to backend %d on a connection to backend %d in state %q", id, m.backend[conn], m.state[conn])
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
	before := m.state[id]
	actions := m.pool.Failed(m.now, id)
	if before != "" && len(actions) == 0 {
		m.removeConn(id)
	}
	m.apply(t, actions)
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

// finish drains all backends, ends all requests and checks that the pool is empty.
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
		t.Fatalf("the pool is not empty: %v, %d, %d, %d", m.state, len(p.conns), len(p.ordered), len(p.backends))
	}
}

// Under random operations, the limits hold, requests go only to established connections to available backends, each
// connection is dialed once and closed at most once, and the pool is empty in the end.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &poolModel{
			pool:     New(testConfig, rapid.Uint64().Draw(t, "seed")),
			state:    map[ConnID]string{},
			requests: map[ConnID]int{},
			backend:  map[ConnID]api.BackendID{},
			listed:   map[api.BackendID]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){ // rapid sorts the operations by name, so the names determine the random draws
			"list":   model.addBackend,
			"retire": model.drainBackend,
			"want":   model.acquire,
			"opened": model.opened,
			"failed": model.failed,
			"heard":  model.received,
			"over":   model.release,
			"tick":   model.tick,
		})
		model.finish(t)
	})
}
