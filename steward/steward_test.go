package steward

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"sagelever/boot"
	"sagelever/internal/control/membership"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replica"
	"sagelever/lore"
	"sagelever/plan"
)

// house is a core of three members, each with an address of its own on loopback.
type house struct {
	t       *testing.T
	folder  string
	net     string // the first three bytes of its addresses
	control string
	live    map[int]*live
	dead    bool         // the first contacts that are told are down
	ahead   atomic.Int64 // nanoseconds by which the members' clocks stand ahead of the real one
}

type live struct {
	*Steward
	stop  context.CancelFunc
	ended chan struct{}
}

const (
	members = 3
	// The ports are the same in every house, and below those that the system gives out by itself (32768 and more on
	// Linux, 49152 elsewhere), so that no connection under way has one.
	peerPort, controlPort = 21300, 21302
)

// houses counts the houses of this process: each has a /24 of 127.0.0.0/8 of its own, so that those that run beside one
// another share no address. The process's number keeps two runs of these tests apart.
var houses atomic.Uint32

func newHouse(t *testing.T) *house {
	h := &house{t: t, folder: t.TempDir(), live: map[int]*live{}, control: fmt.Sprint(controlPort)}
	h.net = fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%250, houses.Add(1))
	t.Cleanup(func() {
		for i := range members + 1 {
			h.kill(i)
		}
	})
	return h
}

func (h *house) ip(i int) string { return fmt.Sprint(h.net, 2+i) }

func (h *house) disk(i int) string { return filepath.Join(h.folder, fmt.Sprint(i)) }

func (h *house) start(i int, fresh bool) *Steward {
	h.t.Helper()
	zones := map[string]string{"a1": "a", "b1": "b", "c1": "c"}
	zone := []string{"a1", "b1", "c1", "c1"}[i] // the fourth may take the third's place
	contacts := []string{h.ip(0) + ":" + h.control, h.ip(1) + ":" + h.control, h.ip(2) + ":" + h.control}
	if h.dead {
		contacts = []string{h.net + "9:" + h.control}
	}
	now := func() time.Time { return time.Now().Add(time.Duration(h.ahead.Load())) }
	s, err := New(Options{Now: now, PerZone: 1, Log: zap.NewNop(), Settings: &boot.Settings{Node: fmt.Sprint("n", i), IP: h.ip(i), Zone: zone, Region: zones[zone], Zones: zones,
		SparePorts: []int{peerPort, peerPort + 1}, Listens: map[string]string{"control": h.ip(i) + ":" + h.control},
		FirstContacts: contacts, FreshStart: fresh, DataFolder: h.disk(i), Withstand: boot.Withstand{HostsLost: 1, Zones: 1, Regions: 1},
		Bounds: boot.Bounds{Pulse: 400 * time.Millisecond, LongestValid: 5 * time.Second}}})
	if err != nil {
		h.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &live{s, stop, make(chan struct{})}
	h.live[i] = l
	go func() {
		defer close(l.ended)
		if err := s.Run(ctx); err != nil && ctx.Err() == nil {
			h.t.Error(err)
		}
	}()
	return s
}

// kill ends a member; what it has synced stays on its disk.
func (h *house) kill(i int) {
	if l := h.live[i]; l != nil {
		l.stop()
		<-l.ended
		delete(h.live, i)
	}
}

func (h *house) startAll() {
	for i := range members {
		h.start(i, true)
	}
	for i := range members {
		h.ready(i)
	}
}

func (h *house) ready(i int) {
	h.t.Helper()
	until(h.t, fmt.Sprint("member ", i, " hears the others"), func() bool {
		s := h.live[i].Steward
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.m.Sound(s.now())
	})
}

func until(t *testing.T, what string, so func() bool) {
	t.Helper()
	tick, end := time.NewTicker(2*time.Millisecond), time.After(15*time.Second)
	defer tick.Stop()
	for !so() {
		select {
		case <-tick.C:
		case <-end:
			t.Fatalf("never: %s", what)
		}
	}
}

func (h *house) call(i int, query, body string) (int, string) {
	resp, err := http.Post("http://"+h.ip(i)+":"+h.control+"/api/rpc?call="+query, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

// must makes a call until it is answered 200, as operators do.
func (h *house) must(i int, query, body string) (text string) {
	h.t.Helper()
	until(h.t, query, func() bool {
		var status int
		status, text = h.call(i, query, body)
		if status >= 400 && status < 500 {
			h.t.Fatalf("%s: %d %s", query, status, text)
		}
		return status == 200
	})
	return text
}

func call(version, host string) string {
	return fmt.Sprintf(`{"putItems":{"items":[{"type":"services","metadata":{"name":"s","version":"%s"},"body":{"checkPath":"/h","warmUp":"3s","warmingRateS":2.9}},
{"type":"routes","metadata":{"name":"r","version":"%s"},"body":{"host":"%s","pathStart":"/x/","kind":"harmless","giveUp":"5000ms","service":"s"}}]}}`, version, version, host)
}

// A change that was acknowledged is read at every member, after all are killed, and after one of them lost its disk; a
// member that lost it counts only once it has caught up.
func TestLasting(t *testing.T) {
	t.Parallel()
	h := newHouse(t)
	h.startAll()
	h.must(0, "settings.change", call("00000007", "seven.example"))
	h.must(1, "settings.change", call("00000008", "eight.example"))
	h.must(2, "settings.change", call("00000006", "six.example"))
	for i := range members {
		if text := h.must(i, "settings.read", ""); !strings.Contains(text, "eight.example") || strings.Contains(text, "seven") || !strings.Contains(text, `"00000008"`) {
			t.Errorf("member %d: %s", i, text)
		}
	}
	for i := range members {
		h.kill(i)
	}
	if err := os.RemoveAll(h.disk(0)); err != nil {
		t.Fatal(err)
	}
	wiped := h.start(0, false)
	if status, _ := h.call(0, "settings.read", ""); status == 200 {
		t.Error("a member that lost its disk answers alone")
	}
	h.start(1, false)
	if _, err := wiped.answer(context.Background(), replica.PreparePath, &replica.Ask{Keys: []string{"k"}}); err == nil {
		t.Error("it promises before it has caught up")
	}
	h.start(2, false)
	for i := range members {
		if text := h.must(i, "settings.read", ""); !strings.Contains(text, "eight.example") {
			t.Errorf("member %d after the loss: %s", i, text)
		}
	}
	h.kill(1)
	if text := h.must(0, "settings.read", ""); !strings.Contains(text, "eight.example") {
		t.Errorf("the member that caught up: %s", text)
	}
}

// actsByDisk tells whether a member's disk holds the set of all members, and says that it acts in its epoch.
func (h *house) actsByDisk(i int) bool {
	identity, e := replica.Identity{}, quorum.Entry{}
	disk := h.live[i].disk
	if json.Unmarshal([]byte(disk.Load(identityKey)[""]), &identity) != nil || json.Unmarshal([]byte(disk.Load(entryKey)[membership.Key]), &e) != nil {
		return false
	}
	set, err := membership.Read(e.Value)
	return err == nil && e.Chosen && identity.Acting && identity.Active == set.Epoch && len(set.Members) == members
}

// A later start whose first contacts are all down: members know one another from the set on their disks, also where all
// start. (Before, each member noted those that had called it; now the set of members is a register like others.)
func TestContactsDown(t *testing.T) {
	t.Parallel()
	h := newHouse(t)
	h.startAll()
	h.must(0, "settings.change", call("00000007", "a.example"))
	until(t, "all act as members", func() bool { return h.actsByDisk(0) && h.actsByDisk(1) && h.actsByDisk(2) })
	h.dead = true
	for i := range members {
		until(t, "the members are on its disk", func() bool { return h.actsByDisk(i) })
		h.kill(i)
	}
	for i := range members {
		h.start(i, false)
	}
	for i := range members {
		h.ready(i)
		h.must(i, "settings.read", "")
	}
}

// A disk that refuses writes gives no acknowledgement, and the member goes on: those that write still acknowledge.
func TestDiskRefuses(t *testing.T) {
	t.Parallel()
	h := newHouse(t)
	h.startAll()
	for i := 0; i < 2; i++ {
		h.live[i].disk.Close()
	}
	if status, _ := h.call(2, "settings.change", call("00000007", "a.example")); status != 503 {
		t.Errorf("two disks of three refuse: %d", status)
	}
	if h.live[0].Steward == nil {
		t.Error("gone")
	}
	if status, _ := h.call(0, "servers.pulse&of=i1", pulse(1, "ready")); status != 200 {
		t.Errorf("a pulse there: %d", status)
	}
}

func pulse(count int, phase string) string {
	return fmt.Sprintf(`{"service":"s","address":"10.0.0.9:8080","zone":"a1","version":"v1","capacity":3,"phase":"%s","warmLeft":"0ms","callCount":%d}`, phase, count)
}

func (s *Steward) phase(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m.Phase(id)
}

// No acknowledgement of emptying before another member holds it; a late pulse changes nothing; a life that has left stays
// so; one that falls silent is told so.
func TestAppliances(t *testing.T) {
	t.Parallel()
	h := newHouse(t)
	h.startAll()
	h.must(0, "servers.pulse&of=i1", pulse(1, "ready"))
	h.must(0, "servers.pulse&of=i1", pulse(5, "emptying"))
	elsewhere := 0
	for i := 1; i < members; i++ {
		if h.live[i].phase("i1") == lore.Emptying {
			elsewhere++
		}
	}
	if elsewhere == 0 {
		t.Error("acknowledged, and no other member holds it")
	}
	h.must(1, "servers.pulse&of=i1", pulse(4, "ready"))
	if p := h.live[1].phase("i1"); p != lore.Emptying {
		t.Errorf("a late pulse has made it %s", p)
	}
	h.must(2, "servers.sign_off&of=i1", "")
	h.must(2, "servers.pulse&of=i1", pulse(6, "ready"))
	until(t, "all know that it left", func() bool {
		for i := range members {
			if h.live[i].phase("i1") != lore.Left {
				return false
			}
		}
		return true
	})
	h.must(0, "servers.pulse&of=i2", pulse(1, "ready"))
	until(t, "its silence is told", func() bool { return h.live[2].phase("i2") == lore.Silent })
}

// A member that hears no other takes no word: whoever calls goes to another.
func TestAlone(t *testing.T) {
	t.Parallel()
	h := newHouse(t)
	h.start(0, true)
	for _, c := range [][2]string{{"settings.change", call("00000007", "a.example")}, {"settings.read", ""}, {"servers.pulse&of=i1", pulse(1, "ready")}, {"clear_out.begin&of=a1", ""}} {
		status := 0
		until(t, "it answers", func() bool { status, _ = h.call(0, c[0], c[1]); return status != 0 })
		if status != 503 {
			t.Errorf("%s: %d", c[0], status)
		}
	}
}

// Two operators clear out one zone, at two members, one after the other: the first to take it back does not take the
// other's order with it.
func TestClearedTwice(t *testing.T) {
	t.Parallel()
	h := newHouse(t)
	h.startAll()
	register := func(key string) quorum.Value {
		s := h.live[2].Steward
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.m.Held(key).Value
	}
	settled := func(what string, words int) { // the order has had its answer, and the member that is asked knows: each word is a version
		t.Helper()
		until(t, what, func() bool {
			version := register(plan.ClearedKey("a1")).Version
			return version == uint64(words) && plan.ReadHeard(register(plan.HeardKey("a1"))) == version
		})
	}
	cleared := func() bool {
		values := map[string]quorum.Value{plan.ClearedKey("a1"): register(plan.ClearedKey("a1"))}
		return plan.NewTable(values).Cleared["a1"]
	}
	for i, x := range []struct {
		call string
		want bool
	}{{"clear_out.begin", true}, {"clear_out.begin", true}, {"clear_out.finish", true}, {"clear_out.finish", false}} {
		h.must(i%members, x.call+"&of=a1", "")
		settled(x.call, i+1)
		if cleared() != x.want {
			t.Errorf("word %d, %s: cleared %v", i+1, x.call, cleared())
		}
	}
}

// Bad input gets a clear 4xx, and nothing has changed.
func TestBadInput(t *testing.T) {
	t.Parallel()
	h := newHouse(t)
	h.startAll()
	h.must(0, "settings.change", call("00000007", "a.example"))
	before := h.must(0, "settings.read", "")
	deep := strings.Repeat(`{"a":`, 5000)
	for _, c := range [][2]string{
		{"settings.change", call("00000009", "a.example")[:80]}, {"settings.change", deep}, {"settings.change", `[1e999]`}, {"settings.change", ""},
		{"settings.change", strings.Replace(call("00000009", "b.example"), `"service":"s"`, `"service":"none"`, 1)},
		{"servers.pulse", pulse(1, "ready")}, {"servers.pulse&of=i1", pulse(1, "odd")}, {"servers.pulse&of=i1", deep}, {"servers.pulse&of=i1", `{"capacity":99999999999999999999}`},
		{"servers.pulse&of=" + strings.Repeat("i", 300), pulse(1, "ready")}, {"servers.sign_off", ""},
		{"releases.begin", `{"service":"s"}`}, {"releases.begin", `{"service":"s","target":"v2","over":"never"}`}, {"releases.begin", deep}, {"releases.read", ""}, {"releases.read&of=s", ""},
		{"clear_out.begin", ""}, {"clear_out.begin&of=nowhere", ""}, {"clear_out.finish&of=nowhere", ""}, {"no.such.call", ""},
		{"drains.begin", ""}, {"drains.begin", "{}"}, {"drains.begin", deep}, {"drains.begin", `{"target":"` + strings.Repeat("i", 300) + `"}`}, {"drains.begin", `{"target":"i9"}`},
		{"drains.begin", `{"target":"s@nowhere"}`}, {"drains.begin", `{"target":"s@a1"}`}, {"drains.begin", `{"target":7}`}, {"drains.end", ""}, {"drains.end&of=a1", ""}, {"drains.read&of=a1", ""},
	} {
		if status, text := h.call(0, c[0], c[1]); status < 400 || status > 499 || text == "" {
			t.Errorf("%s %.40s: %d %s", c[0], c[1], status, text)
		}
	}
	if after := h.must(0, "settings.read", ""); after != before {
		t.Errorf("changed: %s", after)
	}
}

// A decision stands once it is made, through other votes and a restart of its recorder.
func TestReleaseEndsOnce(t *testing.T) {
	t.Parallel()
	h := newHouse(t)
	h.startAll()
	h.must(0, "releases.begin", `{"service":"s","target":"v2","over":"9s"}`)
	h.must(1, "releases.begin", `{"service":"s","target":"v2","over":"9s"}`)
	vote := func(i int, agent, word string) {
		s := h.live[i].Steward
		s.step(func(now time.Time) {
			s.m.Tally(now, []lore.Item{(&lore.Tally{Agent: agent, Number: 1, Vote: word}).Item("s", 1)})
		})
	}
	vote(0, "r1", plan.VoteBack)
	until(t, "it is reverted", func() bool { return strings.Contains(h.must(1, "releases.read&of=s", ""), plan.Reverted) })
	vote(1, "r2", plan.VoteOn)
	vote(1, "r3", plan.VoteOn)
	h.kill(0)
	h.start(0, false)
	h.ready(0)
	for i := range members {
		if text := h.must(i, "releases.read&of=s", ""); !strings.Contains(text, plan.Reverted) {
			t.Errorf("member %d: %s", i, text)
		}
	}
}
