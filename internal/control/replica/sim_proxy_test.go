package replica

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
	"sagelever/internal/lease"
)

// drainTimeout is how long a backend continues to serve after its drain was acknowledged.
const drainTimeout = 3 * time.Second

// simProxy is a proxy: it pulls from one controller at a time, which grants its lease, and never replaces data by older
// data.
type simProxy struct {
	sim             *simulation
	index           int
	home            int // the index of the node that it pulls from
	nearest         int // the index of the node in its own zone
	isolated        bool
	up              bool
	incarnation     uint64 // of the process
	leaseNumber     uint64 // the incarnation of its lease; see message.PullRequest
	progress        replication.Vector
	values          map[string]quorum.Value // by register
	renewedAt       time.Time               // when its lease was last renewed
	grantor         *simNode                // the node that renewed it; after a restart it renews the lease once more
	sendLease       lease.SendLease
	backendPhases   map[string]replication.Phase
	backendVersions map[string]uint64  // by backend: the version of its phase
	truncatedFrom   *simNode           // the node that sent a truncated response; may be nil
	cursor          replication.Vector // the progress up to the end of the last truncated response
	authoritative   bool               // it treats items that it doesn't hold as nonexistent
}

func (proxy *simProxy) name() string { return fmt.Sprint("e", proxy.index) }

// maySendTo reports whether the proxy sends new requests to a backend.
func (proxy *simProxy) maySendTo(id string) bool {
	phase := proxy.backendPhases[id]
	serves := phase == replication.PhaseReady || phase == replication.PhaseTimedOut
	return proxy.up && serves && proxy.sendLease.Valid(proxy.sim.now)
}

func (proxy *simProxy) start() {
	if proxy.up {
		return
	}
	proxy.up = true
	proxy.incarnation = uint64(proxy.sim.now.UnixMilli())
	proxy.leaseNumber = max(proxy.leaseNumber+1, proxy.incarnation)
	proxy.progress = replication.Vector{}
	proxy.truncatedFrom = nil
	proxy.values = map[string]quorum.Value{}
	proxy.backendPhases = map[string]replication.Phase{}
	proxy.backendVersions = map[string]uint64{}
	proxy.authoritative = false
	proxy.pull(proxy.incarnation)
}

// pullRequest returns the proxy's next pull.
func (proxy *simProxy) pullRequest(zone string) *message.PullRequest {
	request := &message.PullRequest{
		From:            message.Member{Node: proxy.name(), Zone: zone},
		Role:            message.RoleProxy,
		ProtocolVersion: message.ProtocolVersion,
		Progress:        proxy.progress,
		WaitMs:          lease.PullWait(drainTimeout).Milliseconds(),
		ListenerAddr:    proxy.name(),
		Incarnation:     proxy.leaseNumber,
		WantAuthority:   !proxy.authoritative,
	}
	return throughJSON(request, &message.PullRequest{})
}

func (proxy *simProxy) switchToNextNode() {
	proxy.home = (proxy.home + 1) % len(proxy.sim.nodes)
}

// pull pulls from the home node repeatedly, and switches to the next node if a pull fails.
func (proxy *simProxy) pull(incarnation uint64) {
	sim, node := proxy.sim, proxy.sim.nodes[proxy.home]
	if !proxy.up || proxy.incarnation != incarnation {
		return
	}
	request := proxy.pullRequest(node.self.Zone)
	if proxy.truncatedFrom == node {
		request.Progress = maps.Clone(proxy.cursor)
	}
	ended, requestedAt := false, sim.now
	var acknowledged map[string]uint64
	if !proxy.authoritative {
		acknowledged = maps.Clone(sim.ackedVersions)
	}
	pullLater := func(delay time.Duration) {
		if !ended {
			ended = true
			sim.schedule(delay, func() { proxy.pull(incarnation) })
		}
	}
	handleResponse := func(response *message.PullResponse) {
		if !proxy.up || proxy.incarnation != incarnation || ended || proxy.isolated {
			return
		}
		sim.log("proxy", proxy.index, "from", node.index, "complete", response.Complete, "quorum", response.HasQuorum,
			"progress", response.Progress, "items", len(response.Items), "requested", request.Progress)
		proxy.handleResponse(requestedAt, node, request, response)
		proxy.updateAuthority(response, acknowledged)
		pullLater(time.Millisecond)
	}
	fail := func() { pullLater(100 * time.Millisecond) }
	sim.schedule(sim.randomDuration(1, 4), func() {
		if proxy.isolated {
			return
		}
		if !node.up {
			proxy.switchToNextNode()
			fail()
			return
		}
		if !node.frozen {
			proxy.renewedAt = sim.now
			proxy.grantor = node
		}
		node.servePull(request, lease.PullWait(drainTimeout), handleResponse, fail)
	})
	sim.schedule(lease.PullWait(drainTimeout)+pullTimeoutReserve, func() {
		if !ended {
			proxy.switchToNextNode()
		}
		pullLater(0)
	})
}

func (proxy *simProxy) handleResponse(
	requestedAt time.Time, node *simNode, request *message.PullRequest, response *message.PullResponse,
) {
	proxy.leaseNumber = max(proxy.leaseNumber, response.KnownIncarnation+1)
	if response.HasQuorum {
		proxy.sendLease.Renew(requestedAt)
	}
	if response.Complete {
		proxy.progress = replication.Vector{}
	}
	proxy.recordProgress(node, request, response)
	for _, origin := range response.DroppedOrigins {
		delete(proxy.progress, origin)
	}
	for _, item := range response.Items {
		proxy.handleItem(item)
	}
	if !response.HasQuorum {
		proxy.switchToNextNode()
	}
}

// updateAuthority updates whether the proxy treats items that it doesn't hold as nonexistent. When the proxy begins to
// do so, it must hold everything that was acknowledged before it sent the pull.
func (proxy *simProxy) updateAuthority(response *message.PullResponse, acknowledged map[string]uint64) {
	sim, wasAuthoritative := proxy.sim, proxy.authoritative
	proxy.authoritative = response.Authoritative(wasAuthoritative)
	if wasAuthoritative || !proxy.authoritative {
		return
	}
	sim.coverage["authoritative proxy"]++
	for key, version := range acknowledged {
		if found := proxy.values[key].Version; found < version {
			sim.fail("proxy %d treats its items from %s as complete, with version %d of %s; %d was acknowledged before it pulled",
				proxy.index, response.Source, found, key, version)
		}
	}
}

// recordProgress updates the proxy's progress. The progress of truncated responses is collected in the cursor until the
// last one arrives.
func (proxy *simProxy) recordProgress(node *simNode, request *message.PullRequest, response *message.PullResponse) {
	progress := proxy.progress
	if response.Truncated || proxy.truncatedFrom == node {
		if proxy.truncatedFrom != node {
			proxy.cursor = replication.Vector{}
		}
		maps.Copy(proxy.cursor, request.Progress)
		progress = proxy.cursor
	}
	for origin, sequence := range response.Progress {
		progress[origin] = max(progress[origin], sequence)
	}
	switch {
	case response.Truncated:
		proxy.truncatedFrom = node
	case proxy.truncatedFrom == node:
		maps.Copy(proxy.progress, proxy.cursor)
		proxy.truncatedFrom = nil
	}
}

func (proxy *simProxy) handleItem(item replication.Item) {
	if id, ok := strings.CutPrefix(item.Key, replication.BackendKeyPrefix); ok {
		backend, ok := replication.ReadBackend(item)
		if ok && item.Version > proxy.backendVersions[id] {
			proxy.backendPhases[id] = backend.Phase
			proxy.backendVersions[id] = item.Version
		}
		return
	}
	if !strings.HasPrefix(item.Key, replication.RegisterKeyPrefix) {
		return
	}
	register := quorum.Entry{}
	if easyjson.Unmarshal([]byte(item.Body), &register) != nil {
		return
	}
	if register.Value.Version > proxy.values[register.Key].Version {
		proxy.values[register.Key] = register.Value
	}
}
