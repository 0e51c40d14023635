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

// drainTimeout is how long a backend goes on serving after its drain was acknowledged.
const drainTimeout = 3 * time.Second

// simProxy is a proxy: it pulls from one controller at a time, by which it holds a lease, and never goes back to older
// data.
type simProxy struct {
	sim           *simulation
	index         int
	home          int // the node that it pulls from
	nearest       int // the node of its own zone
	isolated      bool
	up            bool
	incarnation   uint64
	progress      replication.Vector
	values        map[string]quorum.Value // by register
	renewedAt     time.Time               // when its lease was renewed last
	grantor       *simNode                // by which; after a restart it grants the lease once more
	sendLease     lease.SendLease
	backendPhases map[string]replication.Phase
	backendSeen   map[string]uint64 // the version of the phase
	partsFrom     *simNode          // that has sent a part of its response, and where the next one begins
	cursor        replication.Vector
	authoritative bool // it takes what it doesn't know for what doesn't exist
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
	proxy.progress = replication.Vector{}
	proxy.partsFrom = nil
	proxy.values = map[string]quorum.Value{}
	proxy.backendPhases = map[string]replication.Phase{}
	proxy.backendSeen = map[string]uint64{}
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
		Incarnation:     proxy.incarnation,
		WantAuthority:   !proxy.authoritative,
	}
	return throughJSON(request, &message.PullRequest{})
}

func (proxy *simProxy) turnToNextNode() {
	proxy.home = (proxy.home + 1) % len(proxy.sim.nodes)
}

// pull pulls from the home node again and again, and turns to the next one where that fails.
func (proxy *simProxy) pull(incarnation uint64) {
	sim, node := proxy.sim, proxy.sim.nodes[proxy.home]
	if !proxy.up || proxy.incarnation != incarnation {
		return
	}
	request := proxy.pullRequest(node.self.Zone)
	if proxy.partsFrom == node {
		request.Progress = maps.Clone(proxy.cursor)
	}
	ended, requestedAt := false, sim.now
	var acknowledged map[string]uint64
	if !proxy.authoritative {
		acknowledged = maps.Clone(sim.ackedVersions)
	}
	again := func(delay time.Duration) {
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
		again(time.Millisecond)
	}
	fail := func() { again(100 * time.Millisecond) }
	sim.schedule(sim.randomDuration(1, 4), func() {
		if proxy.isolated {
			return
		}
		if !node.up {
			proxy.turnToNextNode()
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
			proxy.turnToNextNode()
		}
		again(0)
	})
}

func (proxy *simProxy) handleResponse(
	requestedAt time.Time, node *simNode, request *message.PullRequest, response *message.PullResponse,
) {
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
		proxy.turnToNextNode()
	}
}

// updateAuthority notes whether the proxy takes what it doesn't know for what doesn't exist. When it begins to, it knows
// everything that was acknowledged before it sent the pull.
func (proxy *simProxy) updateAuthority(response *message.PullResponse, acknowledged map[string]uint64) {
	sim, before := proxy.sim, proxy.authoritative
	proxy.authoritative = response.Authoritative(before)
	if before || !proxy.authoritative {
		return
	}
	sim.coverage["authoritative proxy"]++
	for key, version := range acknowledged {
		if found := proxy.values[key].Version; found < version {
			sim.fail("proxy %d takes what it knows from %s for all, with version %d of %s; %d was acknowledged before it asked",
				proxy.index, response.Source, found, key, version)
		}
	}
}

// recordProgress notes how far the proxy has come. What comes in parts counts with the last one.
func (proxy *simProxy) recordProgress(node *simNode, request *message.PullRequest, response *message.PullResponse) {
	progress := proxy.progress
	if response.Truncated || proxy.partsFrom == node {
		if proxy.partsFrom != node {
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
		proxy.partsFrom = node
	case proxy.partsFrom == node:
		maps.Copy(proxy.progress, proxy.cursor)
		proxy.partsFrom = nil
	}
}

func (proxy *simProxy) handleItem(item replication.Item) {
	if id, ok := strings.CutPrefix(item.Key, replication.BackendKeyPrefix); ok {
		backend, ok := replication.ReadBackend(item)
		if ok && item.Version > proxy.backendSeen[id] {
			proxy.backendPhases[id] = backend.Phase
			proxy.backendSeen[id] = item.Version
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
