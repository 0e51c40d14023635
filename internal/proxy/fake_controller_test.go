package proxy

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
)

// fakeControllerHold bounds the time for which a fake controller delays a response while it has no updates.
const fakeControllerHold = 50 * time.Millisecond

// fakeController answers pulls with the items that a test publishes. It uses the previous protocol version, in which a
// controller numbers its own updates.
type fakeController struct {
	mu             sync.Mutex
	log            *replication.ItemStore
	hasQuorum      bool
	authority      message.Authority // unset, as in the previous protocol version, unless a test sets it
	advertisedAddr string            // the client address in the last pull
	leaseReleased  bool              // whether a pull has released the lease
	changed        chan struct{}     // closed and replaced by publish
}

func newFakeController() *fakeController {
	return &fakeController{
		log:       replication.NewItemStore("controller@1", "controller.1"),
		hasQuorum: true,
		changed:   make(chan struct{}),
	}
}

func (c *fakeController) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	request := &message.PullRequest{}
	if err != nil || r.URL.Path != message.PullPath || easyjson.Unmarshal(data, request) != nil {
		http.Error(w, "not a pull", http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	c.advertisedAddr = request.ListenerAddr
	c.leaseReleased = c.leaseReleased || request.Ended
	since, known := request.LegacyVector[c.log.LegacySource]
	if known && since == c.log.LocalSequence() && request.WaitMs > 0 {
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(fakeControllerHold):
		}
		c.mu.Lock()
	}
	response := &message.PullResponse{
		Source:        c.log.LegacySource,
		LocalSequence: c.log.LocalSequence(),
		Items:         c.log.Since(since, nil),
		Complete:      since == 0,
		HasQuorum:     c.hasQuorum,
		Authority:     c.authority,
		Proxies:       1,
		ZoneProxies:   1,
	}
	c.mu.Unlock()
	body, err := easyjson.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(body)
}

// publish adds items and wakes the waiting pulls.
func (c *fakeController) publish(items ...replication.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, item := range items {
		c.log.Publish(item)
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// loseQuorum makes all further responses report no quorum.
func (c *fakeController) loseQuorum() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasQuorum = false
}

// setAuthority sets the authority that all further responses report.
func (c *fakeController) setAuthority(authority message.Authority) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.authority = authority
}

// advertised returns the client address in the last pull.
func (c *fakeController) advertised() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advertisedAddr
}

// released reports whether a pull has released the lease.
func (c *fakeController) released() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaseReleased
}

// configItem returns the item of a chosen configuration value.
func configItem(key string, version uint64, body string) replication.Item {
	entry := quorum.Entry{
		Key:      key,
		Accepted: quorum.ProposalNumber{Number: 1},
		Value:    quorum.Value{Version: version, Body: body},
		Chosen:   true,
	}
	encoded, err := easyjson.Marshal(entry)
	if err != nil {
		panic(err) // test entries can always be encoded
	}
	return replication.Item{Key: replication.RegisterKeyPrefix + key, Version: version, Body: string(encoded)}
}

// testBackend returns a backend of the service of the test routes.
func testBackend(address string) replication.Backend {
	return replication.Backend{
		Service:  "s",
		Address:  address,
		Zone:     "a1",
		Version:  "v1",
		Capacity: 3,
		Phase:    replication.PhaseReady,
	}
}

// backendItem returns the item of a serving backend in the proxy's zone.
func backendItem(id, address string) replication.Item {
	return testBackend(address).ItemWithPhase(id, replication.PhaseReady, 2)
}

// remoteBackendItem returns the item of a serving backend in another zone, which the balancer prefers less.
func remoteBackendItem(id, address string) replication.Item {
	backend := testBackend(address)
	backend.Zone = "a2"
	return backend.ItemWithPhase(id, replication.PhaseReady, 2)
}

// drainingItem returns the item of a draining backend. It is newer than that of backendItem.
func drainingItem(id, address string) replication.Item {
	return testBackend(address).ItemWithPhase(id, replication.PhaseDraining, 4)
}
