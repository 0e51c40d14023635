package pool

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sagelever/agent"
)

const ms = time.Millisecond

var small = Bounds{Each: 2, All: 3, Full: 2, Quiet: 100 * ms, Mute: 50 * ms, Rest: 1000 * ms, Backoff: 10 * ms}

// upTo lists an appliance and brings a link to it up.
func upTo(p *Pool, now time.Duration, id agent.ApplianceID) LinkID {
	p.List(now, id)
	_, _, acts := p.Want(now, id)
	p.Opened(now, acts[0].Link)
	return acts[0].Link
}

func kinds(acts []Act) (s string) {
	for _, a := range acts {
		s += a.Kind.String() + " "
	}
	return s
}

// A send goes to the emptiest link; another is opened when all are full, up to the bound, and full ones carry on then.
func TestWant(t *testing.T) {
	p := New(small, 1)
	if a, _, _ := p.Want(0, 7); a != Refuse {
		t.Error("a send to an appliance that is not listed")
	}
	p.List(0, 7)
	if a, _, acts := p.Want(0, 7); a != Wait || kinds(acts) != "dial " {
		t.Errorf("first: %v %v", a, acts)
	}
	if a, _, acts := p.Want(0, 7); a != Wait || acts != nil {
		t.Errorf("while it dials: %v %v", a, acts)
	}
	p.Opened(0, 1)
	for i, want := range []string{"", "", "dial ", ""} {
		if a, id, acts := p.Want(0, 7); a != Go || id != 1 || kinds(acts) != want {
			t.Errorf("send %d: %v on %d, %v", i, a, id, acts)
		}
	}
	p.Opened(0, 2)
	if a, id, acts := p.Want(0, 7); a != Go || id != 2 || acts != nil {
		t.Errorf("to the emptier: %v on %d, %v", a, id, acts)
	}
}

// An appliance that takes the upgrade and then says nothing is asked for a sign of life, and given up without one. One
// that answers pings and nothing else keeps its connection: its sends have their own time.
func TestSilence(t *testing.T) {
	p := New(small, 1)
	id := upTo(p, 0, 7)
	if acts := p.Tick(500 * ms); acts != nil {
		t.Errorf("an empty link is disturbed: %v", acts)
	}
	p.Want(500*ms, 7)
	if acts := p.Tick(599 * ms); acts != nil {
		t.Errorf("too early: %v", acts)
	}
	if acts := p.Tick(600 * ms); kinds(acts) != "ping " {
		t.Errorf("after its silence: %v", acts)
	}
	p.Heard(620*ms, id)
	if acts := p.Tick(700 * ms); acts != nil {
		t.Errorf("it gave a sign of life: %v", acts)
	}
	if acts := p.Tick(720 * ms); kinds(acts) != "ping " {
		t.Errorf("silent again: %v", acts)
	}
	if acts := p.Tick(769 * ms); acts != nil {
		t.Errorf("too early: %v", acts)
	}
	if acts := p.Tick(770 * ms); kinds(acts) != "close " || p.Counts.Mute != 1 {
		t.Errorf("mute: %v", acts)
	}
	if a, _, acts := p.Want(771*ms, 7); a != Wait || kinds(acts) != "dial " {
		t.Errorf("a new one: %v, %v", a, acts)
	}
}

// A draining appliance gets nothing new; its connections close when they are empty, or when they are silent.
func TestRetire(t *testing.T) {
	p := New(small, 1)
	busy := upTo(p, 0, 7)
	p.Want(0, 7)
	if acts := p.Retire(10*ms, 7); acts != nil {
		t.Errorf("what it carries is cut: %v", acts)
	}
	if a, _, _ := p.Want(10*ms, 7); a != Refuse {
		t.Error("a draining appliance gets a send")
	}
	if acts := p.Over(20*ms, busy); kinds(acts) != "close " {
		t.Errorf("empty: %v", acts)
	}
	upTo(p, 30*ms, 8)
	if acts := p.Retire(40*ms, 8); kinds(acts) != "close " {
		t.Errorf("empty already: %v", acts)
	}
	upTo(p, 50*ms, 9)
	p.Want(50*ms, 9)
	p.Retire(60*ms, 9)
	if acts := p.Tick(209 * ms); acts != nil {
		t.Errorf("too early: %v", acts)
	}
	if acts := p.Tick(210 * ms); kinds(acts) != "close " {
		t.Errorf("silent: %v", acts)
	}
	p.List(300*ms, 9) // back, perhaps with another build
	if a, id, acts := p.Want(300*ms, 9); a != Wait || id != 0 || kinds(acts) != "dial " {
		t.Errorf("an old connection serves it: %v %v", a, acts)
	}
	if acts := p.Retire(310*ms, 9); kinds(acts) != "close " {
		t.Errorf("one that dials: %v", acts)
	}
}

// Refused dials are spaced, ever more; one that comes up ends that. A connection that breaks is opened anew at once.
func TestBackoff(t *testing.T) {
	p := New(small, 1)
	p.List(0, 7)
	now, last := time.Duration(0), time.Duration(0)
	for i := range 6 {
		_, _, acts := p.Want(now, 7)
		p.Failed(now, acts[0].Link)
		waited := time.Duration(0)
		for ; ; waited += ms {
			a, _, acts := p.Want(now+waited, 7)
			if a == Wait {
				p.Failed(now+waited, acts[0].Link)
				p.sites[7].fails-- // only asked whether it may
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
	_, _, acts := p.Want(now, 7)
	p.Opened(now, acts[0].Link)
	p.Failed(now, acts[0].Link)
	if a, _, acts := p.Want(now, 7); a != Wait || kinds(acts) != "dial " {
		t.Errorf("after a break: %v, %v", a, acts)
	}
}

// Descriptors that are scarce are taken from the connection that has rested longest, never from one that carries a send.
func TestRoom(t *testing.T) {
	p := New(small, 1)
	first := upTo(p, 0, 1)
	p.Want(0, 1)
	second := upTo(p, 1*ms, 2)
	upTo(p, 2*ms, 3)
	p.List(3*ms, 4)
	a, _, acts := p.Want(3*ms, 4)
	if a != Wait || kinds(acts) != "close dial " || acts[0].Link != second {
		t.Errorf("%v, %v", a, acts)
	}
	p.Opened(4*ms, acts[1].Link)
	for _, id := range []agent.ApplianceID{3, 4} {
		p.Want(5*ms, id)
	}
	p.List(6*ms, 5)
	if a, _, acts := p.Want(6*ms, 5); a != Refuse || acts != nil || p.Counts.Crowded != 1 {
		t.Errorf("with every link in use: %v, %v", a, acts)
	}
	p.Over(7*ms, first)
	if acts := p.Tick(7*ms + small.Rest); len(acts) == 0 || acts[0].Link != first || acts[0].Kind != Close {
		t.Errorf("rested: %v", acts)
	}
}

// Whatever happens in whatever order: bounds are kept, a send goes only to a link that is up, to a listed appliance, an
// act names a link once as dialled and at most once as closed, and nothing is left when all is over.
func TestAnything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(small, rapid.Uint64().Draw(t, "seed"))
		now := time.Duration(0)
		live := map[LinkID]string{} // dialling, up
		carries := map[LinkID]int{}
		of := map[LinkID]agent.ApplianceID{}
		listed := map[agent.ApplianceID]bool{}
		note := func(acts []Act) {
			for _, a := range acts {
				switch a.Kind {
				case Dial:
					if of[a.Link] != 0 {
						t.Fatal("a link's id comes again")
					}
					live[a.Link], of[a.Link] = "dialling", a.Appliance
				case Ping:
					if live[a.Link] != "up" || carries[a.Link] == 0 {
						t.Fatalf("a ping on a link that is %q with %d sends", live[a.Link], carries[a.Link])
					}
				case Close:
					if live[a.Link] == "" {
						t.Fatal("a link that is gone is closed")
					}
					delete(live, a.Link)
					delete(carries, a.Link)
				}
			}
			each := map[agent.ApplianceID]int{}
			for id := range live {
				if listed[of[id]] {
					each[of[id]]++
				}
			}
			if len(live) > small.All {
				t.Fatalf("%d links", len(live))
			}
		}
		pick := func() LinkID { return LinkID(rapid.Uint64Range(1, uint64(p.last)+1).Draw(t, "link")) }
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				id := agent.ApplianceID(rapid.Uint32Range(1, 4).Draw(t, "id"))
				listed[id] = true
				note(p.List(now, id))
			},
			"retire": func(t *rapid.T) {
				id := agent.ApplianceID(rapid.Uint32Range(1, 4).Draw(t, "id"))
				listed[id] = false
				note(p.Retire(now, id))
			},
			"want": func(t *rapid.T) {
				id := agent.ApplianceID(rapid.Uint32Range(1, 4).Draw(t, "id"))
				a, link, acts := p.Want(now, id)
				note(acts)
				if a == Go {
					if live[link] != "up" || of[link] != id || !listed[id] {
						t.Fatalf("a send to %d on a link to %d that is %q", id, of[link], live[link])
					}
					carries[link]++
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
			"heard": func(t *rapid.T) { note(p.Heard(now, pick())) },
			"over": func(t *rapid.T) {
				if id := pick(); carries[id] > 0 {
					carries[id]--
					note(p.Over(now, id))
				}
			},
			"tick": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * ms; note(p.Tick(now)) },
		})
		for id := range listed {
			listed[id] = false
			note(p.Retire(now, id))
		}
		for id, n := range carries {
			for range n {
				note(p.Over(now, id))
			}
		}
		now += time.Hour
		note(p.Tick(now))
		if len(live)+len(p.byID)+len(p.order)+len(p.sites) > 0 {
			t.Fatalf("left: %v, %d, %d, %d", live, len(p.byID), len(p.order), len(p.sites))
		}
	})
}
