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

// Whatever happens in whatever order: limits are kept, a request goes only to a connection that is up, to an available
// backend, an action names a connection once as dialed and at most once as closed, and nothing is left in the end.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(small, rapid.Uint64().Draw(t, "seed"))
		now := time.Duration(0)
		live := map[ConnID]string{} // dialing, up
		carries := map[ConnID]int{}
		of := map[ConnID]api.BackendID{}
		listed := map[api.BackendID]bool{}
		note := func(acts []Action) {
			for _, a := range acts {
				switch a.Kind {
				case Dial:
					if of[a.Conn] != 0 {
						t.Fatal("a connection's id comes again")
					}
					live[a.Conn], of[a.Conn] = "dialling", a.Backend
				case Ping:
					if live[a.Conn] != "up" || carries[a.Conn] == 0 {
						t.Fatalf("a ping on a connection that is %q with %d requests", live[a.Conn], carries[a.Conn])
					}
				case Close:
					if live[a.Conn] == "" {
						t.Fatal("a connection that is gone is closed")
					}
					delete(live, a.Conn)
					delete(carries, a.Conn)
				}
			}
			each := map[api.BackendID]int{}
			for id := range live {
				if listed[of[id]] {
					each[of[id]]++
				}
			}
			if len(live) > small.MaxTotal {
				t.Fatalf("%d connections", len(live))
			}
		}
		pick := func() ConnID { return ConnID(rapid.Uint64Range(1, uint64(p.lastID)+1).Draw(t, "conn")) }
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				id := api.BackendID(rapid.Uint32Range(1, 4).Draw(t, "id"))
				listed[id] = true
				note(p.AddBackend(now, id))
			},
			"retire": func(t *rapid.T) {
				id := api.BackendID(rapid.Uint32Range(1, 4).Draw(t, "id"))
				listed[id] = false
				note(p.DrainBackend(now, id))
			},
			"want": func(t *rapid.T) {
				id := api.BackendID(rapid.Uint32Range(1, 4).Draw(t, "id"))
				a, conn, acts := p.Acquire(now, id)
				note(acts)
				if a == Use {
					if live[conn] != "up" || of[conn] != id || !listed[id] {
						t.Fatalf("a request to %d on a connection to %d that is %q", id, of[conn], live[conn])
					}
					carries[conn]++
				}
			},
			"opened": func(t *rapid.T) {
				if id := pick(); live[id] == "dialling" {
					live[id] = "up"
					note(p.Opened(now, id))
				}
			},
			"failed": func(t *rapid.T) {
				id := pick()
				was := live[id]
				acts := p.Failed(now, id)
				if was != "" && len(acts) == 0 {
					delete(live, id)
					delete(carries, id)
				}
				note(acts)
			},
			"heard": func(t *rapid.T) { note(p.Received(now, pick())) },
			"over": func(t *rapid.T) {
				if id := pick(); carries[id] > 0 {
					carries[id]--
					note(p.Release(now, id))
				}
			},
			"tick": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * ms; note(p.Tick(now)) },
		})
		for id := range listed {
			listed[id] = false
			note(p.DrainBackend(now, id))
		}
		for id, n := range carries {
			for range n {
				note(p.Release(now, id))
			}
		}
		now += time.Hour
		note(p.Tick(now))
		if len(live)+len(p.conns)+len(p.ordered)+len(p.backends) > 0 {
			t.Fatalf("left: %v, %d, %d, %d", live, len(p.conns), len(p.ordered), len(p.backends))
		}
	})
}
