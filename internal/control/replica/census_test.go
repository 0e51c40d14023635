package replica

import (
	"slices"
	"testing"
	"time"

	"sagelever/ebb"
	"sagelever/internal/control/quorum"
	"sagelever/lore"
	"sagelever/plan"
)

// A census is answered by every agent that holds a lease from a member, once; one that does not answer is named, a later
// census takes the place of an earlier one, and in calm times no agent is asked anything.
func TestCensusOfAgents(t *testing.T) {
	w := calm(35*time.Millisecond, 5*time.Millisecond)
	x := w.nodes[0]
	now := x.clock()
	pull := func(node string, count uint64) *Waiting {
		return x.m.Pulled(now, &Pull{From: Member{Node: node, Zone: "z0"}, Role: Edge, Wire: Wire, Come: x.m.feed.Vector(), WaitMs: 900, Front: node, Life: 7, Count: count})
	}
	for _, node := range []string{"e7", "e8"} {
		pull(node, 0)
	}
	waits := pull("e7", 0)
	if n, ready := x.m.Answer(now, waits); ready && n.Count != 0 {
		t.Fatal("asked, and nobody wants to know")
	}
	x.m.Take()
	x.m.Count(now)
	if x.m.Take().News != 0 {
		t.Error("who waits for news is not woken at once")
	}
	n, ready := x.m.Answer(now, waits)
	if !ready || n.Count == 0 {
		t.Fatalf("a waiting agent is not asked: %+v", n)
	}
	if _, ready := x.m.Answer(now, pull("e7", n.Count)); ready {
		t.Error("asked again though it has answered")
	}
	c := x.m.Counted()
	if len(c.Missing) < 2 || !slices.Contains(c.Missing, "e7") || !slices.Contains(c.Missing, "e8") {
		t.Errorf("missing: %v", c.Missing)
	}
	x.m.Worked(&Work{From: Member{Node: "e7", Zone: "z0"}, Count: n.Count, Rows: []lore.Row{{ID: "i1", Harmless: 1, Risky: 2}}, Loads: []ebb.Load{{Service: "s", Rate: 3, Work: 1}}})
	x.m.Worked(&Work{From: Member{Node: "e8", Zone: "z0"}, Count: n.Count - 1}) // to an earlier one
	c = x.m.Counted()
	reports, loads := c.Reports()
	if slices.Contains(c.Missing, "e7") || !slices.Contains(c.Missing, "e8") || len(reports) != 1 || reports[0].Out["i1"] != [2]int{1, 2} || len(loads) != 1 {
		t.Errorf("counted: %+v", c)
	}
	x.m.Count(now.Add(shared / 2))
	if !slices.Equal(x.m.Counted().Missing, c.Missing) {
		t.Error("two that ask at about one moment do not share a census")
	}
	x.m.Count(now.Add(2 * shared))
	if !slices.Contains(x.m.Counted().Missing, "e7") {
		t.Error("an answer to the census before counts for the next")
	}
	if x.m.counting(now.Add(2*shared)) <= n.Count || x.m.counting(now.Add(2*shared+asking+1)) != 0 {
		t.Error("its number does not grow, or it is asked for without end")
	}
	if got := x.m.Agents(now); !slices.Contains(got, "e7") {
		t.Errorf("agents: %v", got)
	}
	x.m.Pulled(now, &Pull{From: Member{Node: "e7", Zone: "z0"}, Role: Edge, Wire: Wire, Life: 7, Ended: true})
	if got := x.m.Agents(now); slices.Contains(got, "e7") || !slices.Contains(got, "e8") {
		t.Errorf("after one has said that it ends: %v", got)
	}
}

// Which appliances carry load, as room is reckoned: not those that leave for any reason, nor a build on trial or out of
// service; and the drains that stand, by the registers.
func TestSpotsAndOrders(t *testing.T) {
	now := time.UnixMilli(1000)
	begun := plan.Begin("v2", time.Second, now)(quorum.Value{})
	drains := plan.BeginDrain(plan.Drain{ID: "drained"}, func(string) bool { return false }, now)(quorum.Value{})
	held := map[string]quorum.Value{plan.ClearedKey("c1"): plan.Clear(true, 0)(quorum.Value{}), plan.DrainKey("a1"): drains,
		plan.Key(plan.Services, "s"): {Version: 1, Body: `{"warmUp":"3s","warmingRateS":5}`}}
	app := func(zone, build, phase string, warm int64) *lore.App {
		return &lore.App{Service: "s", Zone: zone, Build: build, Capacity: 3, Phase: phase, Warm: warm}
	}
	apps := map[string]*lore.App{"old": app("a1", "v1", lore.Ready, 0), "new": app("a1", "v2", lore.Ready, 0), "cold": app("a1", "v1", lore.Ready, 2000),
		"drained": app("a1", "v1", lore.Ready, 0), "cleared": app("c1", "v1", lore.Ready, 0), "leaving": app("a1", "v1", lore.Emptying, 0), "silent": app("a1", "v1", lore.Silent, 0)}
	zones := map[string]string{"a1": "a", "c1": "c"}
	for phase, want := range map[string][]string{"": {"cold", "new", "old"}, plan.InService: {"cold", "old"}, plan.Reverted: {"cold", "old"}, plan.Finished: {"new"}} {
		switch phase {
		case "":
		case plan.InService:
			held[plan.ReleaseKey("s")] = begun
		default:
			held[plan.ReleaseKey("s")] = plan.Decide(1, phase)(begun)
		}
		var serve []string
		for _, s := range Spots(plan.NewTable(held), apps, zones, now) {
			if s.Serves {
				serve = append(serve, s.ID)
			}
			if (s.ColdRate > 0) != (s.ID == "cold") || s.Region != zones[s.Zone] {
				t.Errorf("%+v", s)
			}
		}
		if !slices.Equal(serve, want) {
			t.Errorf("release %q: %v carry load, want %v", phase, serve, want)
		}
		delete(held, plan.ReleaseKey("s"))
	}
	orders := Orders(held)
	if len(orders) != 1 || orders[0].Target != "drained" || orders[0].Version != 1 || !orders[0].Covers(ebb.Spot{ID: "drained", Zone: "a1"}) || orders[0].Covers(ebb.Spot{ID: "drained", Zone: "c1"}) {
		t.Errorf("%+v", orders)
	}
}
