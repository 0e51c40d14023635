package replica

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/release"
	"sagelever/internal/control/replication"
	"sagelever/internal/sim/linear"
)

// checkPullResponse checks the registers in a pull response: they must be chosen and consistent with those that other
// nodes have sent. It returns the response as the receiver decodes it.
func (sim *simulation) checkPullResponse(response *message.PullResponse) *message.PullResponse {
	for _, item := range response.Items {
		if strings.HasPrefix(item.Key, replication.LeaseKeyPrefix) {
			sim.checkLeaseVersion(item)
		}
		if !strings.HasPrefix(item.Key, replication.RegisterKeyPrefix) {
			continue
		}
		sim.recordPublished(response.OriginOf(item), item)
		entry := quorum.Entry{}
		if easyjson.Unmarshal([]byte(item.Body), &entry) != nil || !entry.Chosen {
			sim.fail("a pull response contains %s, which is not chosen: %s", item.Key, item.Body)
		}
		sim.recordChosen(entry.Key, entry.Value)
	}
	if sim.mutation == mutationUnverifiedAuthority && response.HasQuorum && response.Authority != message.AuthorityUnstated {
		response.Authority = message.AuthorityConfirmed
	}
	return throughJSON(response, &message.PullResponse{})
}

// checkLeaseVersion checks that a controller gives no version of a lease twice.
func (sim *simulation) checkLeaseVersion(item replication.Item) {
	lease, ok := replication.ReadLease(item)
	if !ok || leaseEndedByProxy(item.Version) {
		return
	}
	name := fmt.Sprint(item.Key, " ", item.Version, " ", lease.Grantor)
	if previous, known := sim.leaseBodies[name]; known && previous != item.Body {
		sim.fail("%s gave version %d of %s twice: %s and %s", lease.Grantor, item.Version, item.Key, previous, item.Body)
	}
	sim.leaseBodies[name] = item.Body
}

// recordAcknowledged checks and records a value whose write was acknowledged.
func (sim *simulation) recordAcknowledged(key string, value quorum.Value) {
	sim.ackCount++
	sim.recordChosen(key, value)
	sim.ackedVersions[key] = max(sim.ackedVersions[key], value.Version)
}

// recordChosen checks and records a value that is reported as chosen: a version must have one content, and a release
// one final phase.
func (sim *simulation) recordChosen(key string, value quorum.Value) {
	if previous, ok := recordOnce(sim.chosenBodies, key, value); !ok {
		sim.fail("%s %d was chosen with two contents: %s and %s", key, value.Version, previous, contentOf(value))
	}
	if sim.racing != nil {
		sim.racing.recordChosen(key, value)
	}
	service, isRelease := strings.CutPrefix(key, release.RegisterKey(""))
	if !isRelease {
		return
	}
	rel, ok := release.Read(value)
	if !ok || rel.Phase == release.PhaseInService {
		return
	}
	name := fmt.Sprint(service, " ", rel.Number)
	if previous, known := sim.releaseOutcomes[name]; known && previous != rel.Phase {
		sim.fail("release %s has two final phases: %s and %s", name, previous, rel.Phase)
	}
	sim.releaseOutcomes[name] = rel.Phase
}

// recordConfirmed checks and records a content that was confirmed to an operator: a version must have no other
// confirmed content.
func (sim *simulation) recordConfirmed(key string, value quorum.Value) {
	if previous, ok := recordOnce(sim.confirmedBodies, key, value); !ok {
		sim.fail("%s %d was confirmed with two contents: %s and %s", key, value.Version, previous, contentOf(value))
	}
}

func contentOf(value quorum.Value) string { return fmt.Sprint(value.Deleted, value.Body) }

// recordOnce records the content of a version. It returns the content recorded before, and false if that differs.
func recordOnce(contents map[string]string, key string, value quorum.Value) (previous string, ok bool) {
	name := fmt.Sprint(key, " ", value.Version)
	content := contentOf(value)
	previous, known := contents[name]
	contents[name] = content
	return previous, !known || previous == content
}

// checkRead checks the result of a read: it must contain at least minVersions, the versions that were acknowledged or
// read before the read began.
func (sim *simulation) checkRead(node *simNode, values map[string]quorum.Value, minVersions map[string]uint64) {
	for key, value := range values {
		sim.recordChosen(key, value)
	}
	for key, version := range minVersions {
		found := values[key].Version
		if found < version {
			sim.fail("a read at %s returned version %d of %s; version %d was acknowledged or read before",
				node.self.Node, found, key, version)
		}
		sim.readVersions[key] = max(sim.readVersions[key], found)
	}
}

// checkDurability checks that every acknowledged version is on enough disks to survive the tolerated disk losses, and
// that any MaxFailures+1 voting members of an epoch include one that holds it.
func (sim *simulation) checkDurability() {
	lost := sim.lostDisks()
	members := map[*simNode]bool{} // with those that they replaced
	for _, member := range slices.Concat(sim.configuration.Members, sim.configuration.Previous) {
		members[sim.nodeByAddr(member.Addr)] = true
	}
	for key, version := range sim.ackedVersions {
		holders := 0
		lacking := map[uint64]int{} // by epoch: the number of voting members that lack the version
		for _, node := range sim.nodes {
			if node.removed || !members[node] {
				continue
			}
			if node.disk.entries[key].Value.Version >= version {
				holders++
			}
			if node.isVoting() && !node.replica.epochClosed() && node.replica.Register(key).Value.Version < version {
				lacking[node.replica.Epoch()]++
			}
		}
		if holders < sim.memberCount-sim.faultTolerance-lost-sim.pendingTakeovers() {
			sim.fail("version %d of %s was acknowledged but is on only %d disks, with %d disks lost", version, key, holders, lost)
		}
		for epoch, count := range lacking {
			if count > sim.configurations[epoch].MaxFailures {
				sim.fail("version %d of %s was acknowledged but %d voting members of epoch %d lack it",
					version, key, count, epoch)
			}
		}
	}
}

// pendingTakeovers returns how many members are not active yet whose predecessors completed a planned leave. Until such
// a member is active, one copy of each value may be missing. The takeover restores it: at most MaxFailures of the
// previous members lack a value, and the takeover reads one member more than that. Whether a further loss destroys the
// value in the meantime is checked by checkRead and, for voting members, by checkDurability.
func (sim *simulation) pendingTakeovers() (pending int) {
	for _, member := range sim.configuration.Members {
		node := sim.nodeByAddr(member.Addr)
		hasLeft := node.replacementOf != nil && node.replacementOf.wasRemoved
		if hasLeft && !node.diskLost && !node.isVoting() {
			pending++
		}
	}
	return pending
}

// trackConfiguration records the configuration that a replica has adopted, and checks that each epoch has only one.
func (sim *simulation) trackConfiguration(node *simNode) {
	local := &node.replica.local
	current := local.configuration
	if current.Epoch == 0 {
		return
	}
	if node.staleDiskID != "" && node.staleDiskID != local.identity.DiskID {
		node.staleDiskID = ""
		sim.coverage["stale disk detected"]++
	}
	if current.Epoch == node.lastEpoch {
		return
	}
	node.lastEpoch = current.Epoch
	known, isKnown := sim.configurations[current.Epoch]
	if isKnown && !slices.Equal(known.Members, current.Members) {
		sim.fail("%[2]s adopted epoch %[1]d with the members %[3]v, others with %[4]v",
			current.Epoch, node.self.Node, current.Members, known.Members)
	}
	if isKnown && len(known.Previous) > 0 {
		return
	}
	sim.configurations[current.Epoch] = current
	if current.Epoch > sim.configuration.Epoch {
		sim.coverage["epoch"]++
		sim.adoptConfiguration(current)
	}
}

// adoptConfiguration records a newer configuration. The disk of a new member counts as lost until the member is active,
// unless the member replaces one in a planned leave, which stays until it isn't needed any more.
func (sim *simulation) adoptConfiguration(next membership.Configuration) {
	previous := sim.configuration
	sim.configuration = next
	if previous.Epoch == 0 {
		return
	}
	for _, member := range next.Members {
		node := sim.nodeByAddr(member.Addr)
		replaced := node.replacementOf
		plannedLeave := replaced != nil && !replaced.removed && !replaced.diskLost && previous.Epoch+1 == next.Epoch
		if !previous.Contains(member) && !plannedLeave {
			node.diskLost = true
		}
	}
}

// checkVoter checks the sender of a vote: it must be a member of the request's epoch with this disk, and the disk must
// not be an old copy.
func (sim *simulation) checkVoter(
	node *simNode, diskID string, request OutgoingRequest, response *message.PeerResponse,
) {
	votes := []string{message.PreparePath, message.AcceptPath, message.ConfirmPath, message.ReadPath}
	epoch := request.Request.Epoch
	if response == nil || !response.OK || epoch == 0 || !slices.Contains(votes, request.Path) {
		return
	}
	voter := message.Member{Node: node.self.Node, DiskID: diskID}
	if configuration := sim.configurations[epoch]; !configuration.Contains(voter) {
		sim.fail("%s votes on %s in epoch %d without being a member", node.self.Node, request.Path, epoch)
	}
	if node.staleDiskID != "" && node.staleDiskID == diskID {
		sim.fail("%s votes on %s with a stale disk", node.self.Node, request.Path)
	}
}

// stopSendingBound limits how long after the acknowledgement of a drain a proxy may send to the backend under any
// faults. Until then, a pull that was in progress has ended, its node has lost its quorum, and the send lease that the
// proxy renewed last has expired. Without faults, proxies stop within 0.1 s (see TestProxiesStopSending).
const stopSendingBound = PeerPullWait + PeerTimeout + time.Second

// checkStoppedSending checks that no proxy sends to a backend any more once stopSendingBound, extended by clock
// setbacks, has passed since the acknowledgement of the backend's drain.
func (sim *simulation) checkStoppedSending(id string, ackedAt time.Time) {
	if !sim.drainAckedAt[id].Equal(ackedAt) {
		return // another drain was acknowledged since, or recordCrash has exempted this one
	}
	bound := ackedAt.Add(stopSendingBound + sim.maxClockSetback(ackedAt))
	if remaining := bound.Sub(sim.now); remaining > 0 {
		sim.schedule(remaining, func() { sim.checkStoppedSending(id, ackedAt) })
		return
	}
	for _, proxy := range sim.proxies {
		if proxy.maySendTo(id) {
			sim.fail("proxy %d still sends to %s, %v after the acknowledgement of its drain; the proxy has it in phase %s",
				proxy.index, id, sim.now.Sub(ackedAt), proxy.backendPhases[id])
		}
	}
}

// checkListenerAddrs checks that a random node sends clients to no proxy whose lease has expired. The node gets the
// lease's state from the grantor, with which it may have been in contact until up to PeerTimeout ago.
func (sim *simulation) checkListenerAddrs() {
	node := sim.randomNode()
	if !node.acceptsCalls() {
		return
	}
	node.checkProgress()
	for _, addr := range node.listenerAddrs() {
		for _, proxy := range sim.proxies {
			since := sim.now.Sub(proxy.renewedAt)
			bound := LeaseTerm + PeerTimeout + sim.maxClockSetback(proxy.renewedAt)
			if proxy.name() == addr && since > bound {
				sim.fail("%s sends clients to %s, which renewed its lease %v ago", node.self.Node, addr, since)
			}
		}
	}
}

func (node *simNode) listenerAddrs() []string {
	return node.replica.ListenerAddrs(node.clock(), "z0", "r", 9)
}

// checkProgress checks that the version vector of a node covers all its items. An uncovered item would be sent again
// and again or, once the incarnation that published it has ended, never be covered by any node's vector.
func (node *simNode) checkProgress() {
	items, origins := node.replica.items.Missing(nil, node.replica.items.LocalSequence(), nil)
	progress := node.replica.items.Vector()
	for _, item := range items {
		if origin := origins[item.OriginIndex]; item.Sequence > progress[origin] {
			node.sim.fail("%s holds %s with sequence number %d of %s, but its progress is %d",
				node.self.Node, item.Key, item.Sequence, origin, progress[origin])
		}
	}
	node.checkClaims()
}

// unrecoveredReason describes what has not recovered yet. It returns an empty string if everything has.
func (sim *simulation) unrecoveredReason() string {
	if len(sim.configuration.Members) != sim.memberCount {
		return fmt.Sprint("the configuration has ", len(sim.configuration.Members), " members")
	}
	for _, member := range sim.configuration.Members {
		if node := sim.nodeByAddr(member.Addr); node.removed {
			return fmt.Sprintf("%s is removed but still a member in epoch %d", node.self.Node, sim.configuration.Epoch)
		}
	}
	for _, node := range sim.nodes {
		if node.removed {
			continue
		}
		isMember := sim.configuration.Contains(node.replica.local.self)
		if !isMember && node.replica.Active() {
			return node.self.Node + " is active without being a member"
		}
		if !isMember {
			continue
		}
		if reason := node.unrecoveredReason(); reason != "" {
			return reason
		}
	}
	for _, proxy := range sim.proxies {
		for key, version := range sim.ackedVersions {
			if proxy.values[key].Version < version {
				return fmt.Sprintf("%s lacks version %d of %s", proxy.name(), version, key)
			}
		}
	}
	return ""
}

// unrecoveredReason describes what has not recovered yet at a member. It returns an empty string if everything has.
func (node *simNode) unrecoveredReason() string {
	sim, name := node.sim, node.self.Node
	node.checkProgress()
	switch {
	case !node.replica.Active():
		return name + " is not active"
	case !node.replica.HasQuorum(node.clock()):
		return name + " has no quorum"
	case len(node.replica.undecided) > 0:
		return name + " holds undecided registers"
	}
	for key, version := range sim.ackedVersions {
		if entry := node.replica.Register(key); !entry.Chosen || entry.Value.Version < version {
			return fmt.Sprintf("%s lacks version %d of %s: %+v", name, version, key, entry)
		}
	}
	for id := range sim.drainAckedAt {
		phase := node.replica.BackendPhase(id)
		if phase == "" || phase == replication.PhaseReady || phase == replication.PhaseTimedOut {
			return fmt.Sprintf("%s has not received the drain of %s: its phase is %q", name, id, phase)
		}
	}
	if len(node.listenerAddrs()) == 0 {
		return name + " returns no proxy addresses:" + node.describeLeases()
	}
	if active, _ := node.replica.liveness.CountActive("z0", node.clock()); active < len(sim.proxies) {
		return fmt.Sprintf("%s counts only %d active proxies", name, active)
	}
	return ""
}

// publication is the register version that an origin has published under a sequence number.
type publication struct {
	key     string
	version uint64
}

// recordPublished records a register that a pull response contains.
func (sim *simulation) recordPublished(origin string, item replication.Item) {
	if sim.publications[origin] == nil {
		sim.publications[origin] = map[uint64]publication{}
	}
	sim.publications[origin][item.Sequence] = publication{item.Key, item.Version}
}

// checkClaims checks that a node holds all register versions that its progress covers, or newer ones: no other node
// would send them to it, or to those that take over its progress.
func (node *simNode) checkClaims() {
	if node.replica.isRestoring() {
		return // it claims no progress
	}
	for origin, sequence := range node.replica.items.Vector() {
		for published, content := range node.sim.publications[origin] {
			if published > sequence {
				continue
			}
			if held, _ := node.replica.items.Get(content.key); held.Version < content.version {
				node.sim.fail("%s claims the progress %d of %s, which includes version %d of %s, and holds version %d",
					node.self.Node, sequence, origin, content.version, content.key, held.Version)
			}
		}
	}
}

// describeLeases lists the leases that a node holds.
func (node *simNode) describeLeases() (text string) {
	node.replica.items.ForEach(replication.LeaseKeyPrefix, func(item replication.Item) {
		lease, ok := replication.ReadLease(item)
		if !ok {
			return
		}
		reachable := node.replica.reachable(lease.Grantor, node.clock())
		renewed := node.replica.liveness.HasRenewedLease(item.Key)
		text += fmt.Sprintf(" %s version %d by %s (reachable %v) ended %v, renewed %v;",
			lease.Node, item.Version, lease.Grantor, reachable, lease.Ended, renewed)
	})
	return text
}

// checkLinearizable checks that the history of operations on each item is linearizable.
func (sim *simulation) checkLinearizable() {
	result, err := linear.Check(sim.history, 0)
	switch {
	case err != nil:
		sim.fail("the history is invalid: %v", err)
	case result.Verdict == linear.NotLinearizable:
		sim.fail("not linearizable: %v", result)
	case result.Verdict == linear.Undecided:
		sim.coverage["undecided history"]++
	}
}
