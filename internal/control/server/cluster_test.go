package server

import (
	"context"
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

	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
	"sagelever/internal/settings"
)

const (
	memberCount = 3

	// spareMember is the index of a controller that is not a member initially. It may replace member 2, as both are in
	// the same zone.
	spareMember = 3

	// The ports are the same in every cluster. They are below the ephemeral port range (from 32768 on Linux, from 49152
	// elsewhere), so that no outgoing connection occupies one.
	peerPort    = 21300
	controlPort = 21302

	// heartbeatInterval is short so that backends time out during a test.
	heartbeatInterval = 400 * time.Millisecond

	// waitTimeout bounds waitUntil.
	waitTimeout = 15 * time.Second
)

// testZones contains the zones of the controllers by index, and testRegions the regions by zone.
var (
	testZones   = []string{"a1", "b1", "c1", "c1"}
	testRegions = map[string]string{"a1": "a", "b1": "b", "c1": "c"}
)

// testCluster is a control group of three members, each with its own loopback address and data directory.
type testCluster struct {
	t             testing.TB
	dir           string
	subnet        string // the first three octets of the addresses, with a dot at the end
	running       map[int]*testMember
	seedsDown     bool // members start with a seed address without a listener
	shutdownGrace time.Duration
	clockOffset   atomic.Int64 // nanoseconds by which the members' clocks are ahead of the real one
}

// testMember is a running controller.
type testMember struct {
	*Server
	cancel context.CancelFunc
	done   chan struct{} // closed when Run has returned
}

// clusterCount is the number of clusters created by this process. Each cluster has its own /24 subnet of 127.0.0.0/8,
// so that concurrent clusters share no address. The process ID separates the subnets of concurrent test processes.
var clusterCount atomic.Uint32

func newTestCluster(t testing.TB) *testCluster {
	t.Helper()
	cluster := &testCluster{
		t:       t,
		dir:     t.TempDir(),
		subnet:  fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%250, clusterCount.Add(1)),
		running: map[int]*testMember{},
	}
	t.Cleanup(cluster.stopAll)
	return cluster
}

// newStartedCluster returns a cluster whose members have been started for the first time and reach one another.
func newStartedCluster(t testing.TB) *testCluster {
	t.Helper()
	cluster := newTestCluster(t)
	cluster.startAll()
	return cluster
}

// startAll starts the members for the first time and waits until they reach one another.
func (c *testCluster) startAll() {
	c.t.Helper()
	for i := range memberCount {
		c.start(i, true)
	}
	for i := range memberCount {
		c.awaitReady(i)
	}
}

func (c *testCluster) ip(i int) string { return fmt.Sprint(c.subnet, 2+i) }

func (c *testCluster) controlAddress(i int) string { return fmt.Sprintf("%s:%d", c.ip(i), controlPort) }

func (c *testCluster) storeDir(i int) string { return filepath.Join(c.dir, fmt.Sprint(i)) }

// settings returns the settings of a controller. firstStart specifies that the whole system starts for the first time.
func (c *testCluster) settings(i int, firstStart bool) *settings.Settings {
	seedAddresses := []string{c.controlAddress(0), c.controlAddress(1), c.controlAddress(2)}
	if c.seedsDown {
		seedAddresses = []string{fmt.Sprintf("%s9:%d", c.subnet, controlPort)}
	}
	return &settings.Settings{
		Node:            fmt.Sprint("n", i),
		IP:              c.ip(i),
		Zone:            testZones[i],
		Region:          testRegions[testZones[i]],
		Zones:           testRegions,
		PeerPortRange:   []int{peerPort, peerPort + 1},
		ListenAddresses: map[string]string{"control": c.controlAddress(i)},
		SeedAddresses:   seedAddresses,
		FreshStart:      firstStart,
		DataDir:         c.storeDir(i),
		FaultTolerance:  settings.FaultTolerance{Hosts: 1, Zones: 1, Regions: 1},
		RuleLimits: settings.RuleLimits{
			HeartbeatInterval: heartbeatInterval,
			MaxTTL:            5 * time.Second,
			ShutdownGrace:     c.shutdownGrace,
		},
	}
}

// start starts a controller. firstStart specifies that the whole system starts for the first time.
func (c *testCluster) start(i int, firstStart bool) *Server {
	c.t.Helper()
	server, err := New(Options{
		Settings:       c.settings(i, firstStart),
		MembersPerZone: 1,
		Log:            zap.NewNop(),
		Now:            func() time.Time { return time.Now().Add(time.Duration(c.clockOffset.Load())) },
	})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	member := &testMember{Server: server, cancel: cancel, done: make(chan struct{})}
	c.running[i] = member
	go func() {
		defer close(member.done)
		if err := server.Run(ctx); err != nil && ctx.Err() == nil {
			c.t.Error(err)
		}
	}()
	return server
}

// stop stops a controller. Its synced data remains on its disk.
func (c *testCluster) stop(i int) {
	member := c.running[i]
	if member == nil {
		return
	}
	member.cancel()
	<-member.done
	delete(c.running, i)
}

func (c *testCluster) stopAll() {
	for i := range len(testZones) {
		c.stop(i)
	}
}

// restartAll starts all members with their existing disks.
func (c *testCluster) restartAll() {
	c.t.Helper()
	for i := range memberCount {
		c.start(i, false)
	}
}

// awaitReady waits until a member reaches a majority.
func (c *testCluster) awaitReady(i int) {
	c.t.Helper()
	waitUntil(c.t, fmt.Sprint("member ", i, " reaches a majority"), func() bool {
		return c.running[i].requireQuorum() == nil
	})
}

// awaitCandidate waits until a member knows that the spare controller has caught up with the members.
func (c *testCluster) awaitCandidate(i int) {
	c.t.Helper()
	waitUntil(c.t, "the candidate has caught up", func() bool {
		member := c.running[i]
		member.mu.Lock()
		defer member.mu.Unlock()
		return member.replica.CandidateReady(fmt.Sprint("n", spareMember))
	})
}

// active reports whether a controller is an active member of the current epoch.
func (m *testMember) active() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.replica.Active()
}

func (m *testMember) epoch() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.replica.Epoch()
}

func (m *testMember) backendPhase(id string) replication.Phase {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.replica.BackendPhase(id)
}

// register returns a register as this member holds it.
func (m *testMember) register(key string) quorum.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.replica.Register(key)
}

// call makes one API call. query contains the operation and further parameters. status is 0 if there is no response.
func (c *testCluster) call(i int, query, body string) (status int, text string) {
	url := "http://" + c.controlAddress(i) + "/api/rpc?call=" + query
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// callUntilResponse repeats a call until there is a response of any status.
func (c *testCluster) callUntilResponse(i int, query, body string) (status int, text string) {
	c.t.Helper()
	waitUntil(c.t, "a response to "+query, func() bool {
		status, text = c.call(i, query, body)
		return status != 0
	})
	return status, text
}

// callUntilAnswered repeats a call until it has a definite result.
func (c *testCluster) callUntilAnswered(i int, query, body string) (status int, text string) {
	c.t.Helper()
	waitUntil(c.t, "a definite result of "+query, func() bool {
		status, text = c.call(i, query, body)
		return status > 0 && status < 500
	})
	return status, text
}

// wantStatus repeats a call until it has a definite result, which must have the given status.
func (c *testCluster) wantStatus(i, status int, query, body string) {
	c.t.Helper()
	if got, text := c.callUntilAnswered(i, query, body); got != status {
		c.t.Errorf("member %d: %s %.300s: %d %s, want %d", i, query, body, got, text, status)
	}
}

// wantUnavailable repeats a call until there is a response, which must be a 503.
func (c *testCluster) wantUnavailable(i int, query, body string) {
	c.t.Helper()
	if status, text := c.callUntilResponse(i, query, body); status != http.StatusServiceUnavailable {
		c.t.Errorf("member %d: %s: %d %s, want 503", i, query, status, text)
	}
}

// mustCall repeats a call until the response is 200, as operators do. A 4xx response fails the test.
func (c *testCluster) mustCall(i int, query, body string) (text string) {
	c.t.Helper()
	waitUntil(c.t, query, func() bool {
		var status int
		status, text = c.call(i, query, body)
		if status >= 400 && status < 500 {
			c.t.Fatalf("%s: %d %s", query, status, text)
		}
		return status == http.StatusOK
	})
	return text
}

func waitUntil(t testing.TB, what string, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	deadline := time.After(waitTimeout)
	for !condition() {
		select {
		case <-ticker.C:
		case <-deadline:
			t.Fatalf("never: %s", what)
		}
	}
}

// Request bodies.

// changeBody returns a change that puts the service s and its route r, both with the same version.
func changeBody(version, host string) string {
	service := fmt.Sprintf(`{"type":"services","metadata":{"name":"s","version":"%s"},`+
		`"body":{"checkPath":"/h","warmUp":"3s","warmingRateS":2.9}}`, version)
	route := fmt.Sprintf(`{"type":"routes","metadata":{"name":"r","version":"%s"},`+
		`"body":{"host":"%s","pathStart":"/x/","kind":"harmless","giveUp":"5000ms","service":"s"}}`, version, host)
	return putItems(service, route)
}

func routeItem(name, version, path, service string) string {
	return fmt.Sprintf(`{"type":"routes","metadata":{"name":"%s","version":"%s"},`+
		`"body":{"host":"a.example","pathStart":"/%s/","kind":"harmless","giveUp":"5s","service":"%s"}}`,
		name, version, path, service)
}

func serviceItem(name, version, check string) string {
	return fmt.Sprintf(`{"type":"services","metadata":{"name":"%s","version":"%s"},"body":{"checkPath":"/%s"}}`,
		name, version, check)
}

func tenantItem(name, version, region string) string {
	return fmt.Sprintf(`{"type":"tenants","metadata":{"name":"%s","version":"%s"},"body":{"homeRegions":["%s"]}}`,
		name, version, region)
}

func putItems(items ...string) string {
	return `{"putItems":{"items":[` + strings.Join(items, ",") + `]}}`
}

func removeItem(kind, name, version string) string {
	return fmt.Sprintf(`{"remove":{"%s":[{"name":"%s","version":"%s"}]}}`, kind, name, version)
}

func releaseBody(target string) string {
	return fmt.Sprintf(`{"service":"s","target":"%s","over":"9s"}`, target)
}

func heartbeatBody(count int, phase string) string {
	return fmt.Sprintf(`{"service":"s","address":"10.0.0.9:8080","zone":"a1","version":"v1","capacity":3,`+
		`"phase":"%s","warmLeft":"0ms","callCount":%d}`, phase, count)
}
