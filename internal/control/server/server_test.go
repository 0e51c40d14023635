package server

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

	"sagelever/internal/control/drain"
	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/release"
	"sagelever/internal/control/replica"
	"sagelever/internal/control/replication"
	"sagelever/internal/control/routing"
	"sagelever/internal/settings"
)

// testCluster is a core of three members, each with an address of its own on loopback.
type testCluster struct {
	t            *testing.T
	dir          string
	subnet       string // the first three bytes of its addresses
	controlPort  string
	running      map[int]*testMember
	contactsDown bool         // the first contacts that are told are down
	clockOffset  atomic.Int64 // nanoseconds by which the members' clocks stand ahead of the real one
}

type testMember struct {
	*Server
	cancel context.CancelFunc
	done   chan struct{}
}

const (
	memberCount = 3
	// The ports are the same in every house, and below those that the system gives out by itself (32768 and more on
	// Linux, 49152 elsewhere), so that no connection under way has one.
	peerPort, controlPort = 21300, 21302
)

// clusterCount counts the houses of this process: each has a /24 of 127.0.0.0/8 of its own, so that those that run beside one
// another share no address. The process's number keeps two runs of these tests apart.
var clusterCount atomic.Uint32

func newTestCluster(t *testing.T) *testCluster {
	cluster := &testCluster{t: t, dir: t.TempDir(), running: map[int]*testMember{}, controlPort: fmt.Sprint(controlPort)}
	cluster.subnet = fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%250, clusterCount.Add(1))
	t.Cleanup(func() {
		for i := range memberCount + 1 {
			cluster.stop(i)
		}
	})
	return cluster
}

func (c *testCluster) ip(i int) string { return fmt.Sprint(c.subnet, 2+i) }

func (c *testCluster) storeDir(i int) string { return filepath.Join(c.dir, fmt.Sprint(i)) }

func (c *testCluster) start(i int, fresh bool) *Server {
	c.t.Helper()
	zones := map[string]string{"a1": "a", "b1": "b", "c1": "c"}
	zone := []string{"a1", "b1", "c1", "c1"}[i] // the fourth may take the third's place
	contacts := []string{c.ip(0) + ":" + c.controlPort, c.ip(1) + ":" + c.controlPort, c.ip(2) + ":" + c.controlPort}
	if c.contactsDown {
		contacts = []string{c.subnet + "9:" + c.controlPort}
	}
	now := func() time.Time { return time.Now().Add(time.Duration(c.clockOffset.Load())) }
	s, err := New(Options{Now: now, MembersPerZone: 1, Log: zap.NewNop(), Settings: &settings.Settings{Node: fmt.Sprint("n", i), IP: c.ip(i), Zone: zone, Region: zones[zone], Zones: zones,
		PeerPortRange: []int{peerPort, peerPort + 1}, ListenAddresses: map[string]string{"control": c.ip(i) + ":" + c.controlPort},
		SeedAddresses: contacts, FreshStart: fresh, DataDir: c.storeDir(i), FaultTolerance: settings.FaultTolerance{Hosts: 1, Zones: 1, Regions: 1},
		RuleLimits: settings.RuleLimits{HeartbeatInterval: 400 * time.Millisecond, MaxTTL: 5 * time.Second}}})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	member := &testMember{s, stop, make(chan struct{})}
	c.running[i] = member
	go func() {
		defer close(member.done)
		if err := s.Run(ctx); err != nil && ctx.Err() == nil {
			c.t.Error(err)
		}
	}()
	return s
}

// stop ends a member; what it has synced stays on its disk.
func (c *testCluster) stop(i int) {
	if member := c.running[i]; member != nil {
		member.cancel()
		<-member.done
		delete(c.running, i)
	}
}

func (c *testCluster) startAll() {
	for i := range memberCount {
		c.start(i, true)
	}
	for i := range memberCount {
		c.awaitReady(i)
	}
}

func (c *testCluster) awaitReady(i int) {
	c.t.Helper()
	waitUntil(c.t, fmt.Sprint("member ", i, " hears the others"), func() bool {
		s := c.running[i].Server
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.replica.HasQuorum(s.now())
	})
}

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	tick, deadline := time.NewTicker(2*time.Millisecond), time.After(15*time.Second)
	defer tick.Stop()
	for !condition() {
		select {
		case <-tick.C:
		case <-deadline:
			t.Fatalf("never: %s", what)
		}
	}
}

func (c *testCluster) call(i int, query, body string) (int, string) {
	resp, err := http.Post("http://"+c.ip(i)+":"+c.controlPort+"/api/rpc?call="+query, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// mustCall makes a call until it is answered 200, as operators do.
func (c *testCluster) mustCall(i int, query, body string) (text string) {
	c.t.Helper()
	waitUntil(c.t, query, func() bool {
		var status int
		status, text = c.call(i, query, body)
		if status >= 400 && status < 500 {
			c.t.Fatalf("%s: %d %s", query, status, text)
		}
		return status == 200
	})
	return text
}

func changeBody(version, host string) string {
	return fmt.Sprintf(`{"putItems":{"items":[{"type":"services","metadata":{"name":"s","version":"%s"},"body":{"checkPath":"/h","warmUp":"3s","warmingRateS":2.9}},
{"type":"routes","metadata":{"name":"r","version":"%s"},"body":{"host":"%s","pathStart":"/x/","kind":"harmless","giveUp":"5000ms","service":"s"}}]}}`, version, version, host)
}

// A change that was acknowledged is read at every member, after all are killed, and after one of them lost its disk; a
// member that lost it counts only once it has caught up.
func TestAcknowledgedChangeIsDurable(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.startAll()
	cluster.mustCall(0, "settings.change", changeBody("00000007", "seven.example"))
	cluster.mustCall(1, "settings.change", changeBody("00000008", "eight.example"))
	cluster.mustCall(2, "settings.change", changeBody("00000006", "six.example"))
	for i := range memberCount {
		if text := cluster.mustCall(i, "settings.read", ""); !strings.Contains(text, "eight.example") || strings.Contains(text, "seven") || !strings.Contains(text, `"00000008"`) {
			t.Errorf("member %d: %s", i, text)
		}
	}
	for i := range memberCount {
		cluster.stop(i)
	}
	if err := os.RemoveAll(cluster.storeDir(0)); err != nil {
		t.Fatal(err)
	}
	restarted := cluster.start(0, false)
	if status, _ := cluster.call(0, "settings.read", ""); status == 200 {
		t.Error("a member that lost its disk answers alone")
	}
	cluster.start(1, false)
	if _, err := restarted.handleRequest(context.Background(), message.PreparePath, &message.PeerRequest{Keys: []string{"k"}}); err == nil {
		t.Error("it promises before it has caught up")
	}
	cluster.start(2, false)
	for i := range memberCount {
		if text := cluster.mustCall(i, "settings.read", ""); !strings.Contains(text, "eight.example") {
			t.Errorf("member %d after the loss: %s", i, text)
		}
	}
	cluster.stop(1)
	if text := cluster.mustCall(0, "settings.read", ""); !strings.Contains(text, "eight.example") {
		t.Errorf("the member that caught up: %s", text)
	}
}

// storedAsActing tells whether a member's disk holds the set of all members, and says that it acts in its epoch.
func (c *testCluster) storedAsActing(i int) bool {
	identity, entry := replica.Identity{}, quorum.Entry{}
	disk := c.running[i].store
	if json.Unmarshal([]byte(disk.Load(identityKey)[""]), &identity) != nil || json.Unmarshal([]byte(disk.Load(entryPrefix)[membership.RegisterKey]), &entry) != nil {
		return false
	}
	configuration, err := membership.ParseConfiguration(entry.Value)
	return err == nil && entry.Chosen && identity.Acting && identity.Active == configuration.Epoch && len(configuration.Members) == memberCount
}

// A later start whose first contacts are all down: members know one another from the set on their disks, also where all
// start. (Before, each member noted those that had called it; now the set of members is a register like others.)
func TestRestartWithContactsDown(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.startAll()
	cluster.mustCall(0, "settings.change", changeBody("00000007", "a.example"))
	waitUntil(t, "all act as members", func() bool {
		return cluster.storedAsActing(0) && cluster.storedAsActing(1) && cluster.storedAsActing(2)
	})
	cluster.contactsDown = true
	for i := range memberCount {
		waitUntil(t, "the members are on its disk", func() bool { return cluster.storedAsActing(i) })
		cluster.stop(i)
	}
	for i := range memberCount {
		cluster.start(i, false)
	}
	for i := range memberCount {
		cluster.awaitReady(i)
		cluster.mustCall(i, "settings.read", "")
	}
}

// A disk that refuses writes gives no acknowledgement, and the member goes on: those that write still acknowledge.
func TestDiskWriteFailure(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.startAll()
	for i := 0; i < 2; i++ {
		cluster.running[i].store.Close()
	}
	if status, _ := cluster.call(2, "settings.change", changeBody("00000007", "a.example")); status != 503 {
		t.Errorf("two disks of three refuse: %d", status)
	}
	if cluster.running[0].Server == nil {
		t.Error("gone")
	}
	if status, _ := cluster.call(0, "servers.pulse&of=i1", heartbeatBody(1, "ready")); status != 200 {
		t.Errorf("a pulse there: %d", status)
	}
}

func heartbeatBody(count int, phase string) string {
	return fmt.Sprintf(`{"service":"s","address":"10.0.0.9:8080","zone":"a1","version":"v1","capacity":3,"phase":"%s","warmLeft":"0ms","callCount":%d}`, phase, count)
}

func (s *Server) backendPhase(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.BackendPhase(id)
}

// No acknowledgement of emptying before another member holds it; a late pulse changes nothing; a life that has left stays
// so; one that falls silent is told so.
func TestBackendLifecycle(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.startAll()
	cluster.mustCall(0, "servers.pulse&of=i1", heartbeatBody(1, "ready"))
	cluster.mustCall(0, "servers.pulse&of=i1", heartbeatBody(5, "emptying"))
	elsewhere := 0
	for i := 1; i < memberCount; i++ {
		if cluster.running[i].backendPhase("i1") == replication.PhaseDraining {
			elsewhere++
		}
	}
	if elsewhere == 0 {
		t.Error("acknowledged, and no other member holds it")
	}
	cluster.mustCall(1, "servers.pulse&of=i1", heartbeatBody(4, "ready"))
	if p := cluster.running[1].backendPhase("i1"); p != replication.PhaseDraining {
		t.Errorf("a late pulse has made it %s", p)
	}
	cluster.mustCall(2, "servers.sign_off&of=i1", "")
	cluster.mustCall(2, "servers.pulse&of=i1", heartbeatBody(6, "ready"))
	waitUntil(t, "all know that it left", func() bool {
		for i := range memberCount {
			if cluster.running[i].backendPhase("i1") != replication.PhaseLeft {
				return false
			}
		}
		return true
	})
	cluster.mustCall(0, "servers.pulse&of=i2", heartbeatBody(1, "ready"))
	waitUntil(t, "its silence is told", func() bool { return cluster.running[2].backendPhase("i2") == replication.PhaseTimedOut })
}

// A member that hears no other takes no word: whoever calls goes to another.
func TestLoneMemberIsUnavailable(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.start(0, true)
	for _, c := range [][2]string{{"settings.change", changeBody("00000007", "a.example")}, {"settings.read", ""}, {"servers.pulse&of=i1", heartbeatBody(1, "ready")}, {"clear_out.begin&of=a1", ""}} {
		status := 0
		waitUntil(t, "it answers", func() bool { status, _ = cluster.call(0, c[0], c[1]); return status != 0 })
		if status != 503 {
			t.Errorf("%s: %d", c[0], status)
		}
	}
}

// Two operators clear out one zone, at two members, one after the other: the first to take it back does not take the
// other's order with it.
func TestNestedClearOut(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.startAll()
	register := func(key string) quorum.Value {
		s := cluster.running[2].Server
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.replica.Register(key).Value
	}
	awaitSettled := func(what string, wantVersion int) { // the order has had its answer, and the member that is asked knows: each word is a version
		t.Helper()
		waitUntil(t, what, func() bool {
			version := register(drain.EvacuationKey("a1")).Version
			return version == uint64(wantVersion) && drain.ReadAcknowledged(register(drain.AcknowledgedKey("a1"))) == version
		})
	}
	cleared := func() bool {
		values := map[string]quorum.Value{drain.EvacuationKey("a1"): register(drain.EvacuationKey("a1"))}
		return routing.NewTable(values).Evacuated["a1"]
	}
	for i, x := range []struct {
		call string
		want bool
	}{{"clear_out.begin", true}, {"clear_out.begin", true}, {"clear_out.finish", true}, {"clear_out.finish", false}} {
		cluster.mustCall(i%memberCount, x.call+"&of=a1", "")
		awaitSettled(x.call, i+1)
		if cleared() != x.want {
			t.Errorf("word %d, %s: cleared %v", i+1, x.call, cleared())
		}
	}
}

// Bad input gets a clear 4xx, and nothing has changed.
func TestInvalidRequests(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.startAll()
	cluster.mustCall(0, "settings.change", changeBody("00000007", "a.example"))
	before := cluster.mustCall(0, "settings.read", "")
	deep := strings.Repeat(`{"a":`, 5000)
	for _, c := range [][2]string{
		{"settings.change", changeBody("00000009", "a.example")[:80]}, {"settings.change", deep}, {"settings.change", `[1e999]`}, {"settings.change", ""},
		{"settings.change", strings.Replace(changeBody("00000009", "b.example"), `"service":"s"`, `"service":"none"`, 1)},
		{"servers.pulse", heartbeatBody(1, "ready")}, {"servers.pulse&of=i1", heartbeatBody(1, "odd")}, {"servers.pulse&of=i1", deep}, {"servers.pulse&of=i1", `{"capacity":99999999999999999999}`},
		{"servers.pulse&of=" + strings.Repeat("i", 300), heartbeatBody(1, "ready")}, {"servers.sign_off", ""},
		{"releases.begin", `{"service":"s"}`}, {"releases.begin", `{"service":"s","target":"v2","over":"never"}`}, {"releases.begin", deep}, {"releases.read", ""}, {"releases.read&of=s", ""},
		{"clear_out.begin", ""}, {"clear_out.begin&of=nowhere", ""}, {"clear_out.finish&of=nowhere", ""}, {"no.such.call", ""},
		{"drains.begin", ""}, {"drains.begin", "{}"}, {"drains.begin", deep}, {"drains.begin", `{"target":"` + strings.Repeat("i", 300) + `"}`}, {"drains.begin", `{"target":"i9"}`},
		{"drains.begin", `{"target":"s@nowhere"}`}, {"drains.begin", `{"target":"s@a1"}`}, {"drains.begin", `{"target":7}`}, {"drains.end", ""}, {"drains.end&of=a1", ""}, {"drains.read&of=a1", ""},
	} {
		if status, text := cluster.call(0, c[0], c[1]); status < 400 || status > 499 || text == "" {
			t.Errorf("%s %.40s: %d %s", c[0], c[1], status, text)
		}
	}
	if after := cluster.mustCall(0, "settings.read", ""); after != before {
		t.Errorf("changed: %s", after)
	}
}

// A decision stands once it is made, through other votes and a restart of its recorder.
func TestReleaseEndsOnce(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.startAll()
	cluster.mustCall(0, "releases.begin", `{"service":"s","target":"v2","over":"9s"}`)
	cluster.mustCall(1, "releases.begin", `{"service":"s","target":"v2","over":"9s"}`)
	vote := func(i int, agent, verdict string) {
		s := cluster.running[i].Server
		s.step(func(now time.Time) {
			s.replica.MergeTallies(now, []replication.Item{(&replication.ReleaseTally{Reporter: agent, ReleaseNumber: 1, Vote: verdict}).Item("s", 1)})
		})
	}
	vote(0, "r1", release.VoteRevert)
	waitUntil(t, "it is reverted", func() bool {
		return strings.Contains(cluster.mustCall(1, "releases.read&of=s", ""), release.PhaseReverted)
	})
	vote(1, "r2", release.VoteFinish)
	vote(1, "r3", release.VoteFinish)
	cluster.stop(0)
	cluster.start(0, false)
	cluster.awaitReady(0)
	for i := range memberCount {
		if text := cluster.mustCall(i, "releases.read&of=s", ""); !strings.Contains(text, release.PhaseReverted) {
			t.Errorf("member %d: %s", i, text)
		}
	}
}
