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

// checkPullResponse checks the registers that a node sends: they are chosen, and consistent with what others have
// sent.
func (sim *simulation) checkPullResponse(response *message.PullResponse) *message.PullResponse {
	for _, item := range response.Items {
		if !strings.HasPrefix(item.Key, replication.RegisterKeyPrefix) {
			continue
		}
		entry := quorum.Entry{}
		if easyjson.Unmarshal([]byte(item.Body), &entry) != nil || !entry.Chosen {
			sim.fail("%s is sent, and not as chosen: %s", item.Key, item.Body)
		}
		sim.recordChosen(entry.Key, entry.Value)
	}
	if sim.mutation == mutationUnverified && response.HasQuorum && response.Authority != message.AuthorityUnstated {
		response.Authority = message.AuthorityConfirmed
	}
	return throughJSON(response, &message.PullResponse{})
}

// recordAcknowledged checks and records a value whose write was acknowledged.
func (sim *simulation) recordAcknowledged(key string, value quorum.Value) {
	sim.ackCount++
	sim.recordChosen(key, value)
	sim.ackedVersions[key] = max(sim.ackedVersions[key], value.Version)
}

// recordChosen checks a value that is reported as chosen: a version has one content, and a release ends in one way.
func (sim *simulation) recordChosen(key string, value quorum.Value) {
	if previous, ok := recordOnce(sim.chosenBodies, key, value); !ok {
		sim.fail("%s %d was chosen with two contents: %s and %s", key, value.Version, previous, contentOf(value))
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
		sim.fail("release %s has two ends: %s and %s", name, previous, rel.Phase)
	}
	sim.releaseOutcomes[name] = rel.Phase
}

// recordConfirmed checks a content that was confirmed to an operator: for one version no other is.
func (sim *simulation) recordConfirmed(key string, value quorum.Value) {
	if previous, ok := recordOnce(sim.confirmedBodies, key, value); !ok {
		sim.fail("%s %d was confirmed with two contents: %s and %s", key, value.Version, previous, contentOf(value))
	}
}

func contentOf(value quorum.Value) string { return fmt.Sprint(value.Deleted, value.Body) }

// recordOnce records the content of a version. It returns the previous content, and false where that is another one.
func recordOnce(contents map[string]string, key string, value quorum.Value) (previous string, ok bool) {
	name := fmt.Sprint(key, " ", value.Version)
	content := contentOf(value)
	previous, known := contents[name]
	contents[name] = content
	return previous, !known || previous == content
}

// checkRead checks a read: it finds at least the versions that were acknowledged or read before it began.
func (sim *simulation) checkRead(node *simNode, values map[string]quorum.Value, least map[string]uint64) {
	for key, value := range values {
		sim.recordChosen(key, value)
	}
	for key, version := range least {
		found := values[key].Version
		if found < version {
			sim.fail("a read at %s finds version %d of %s; %d was acknowledged or read before",
				node.self.Node, found, key, version)
		}
		sim.readVersions[key] = max(sim.readVersions[key], found)
	}
}

// checkDurability checks that every acknowledged version is on so many disks that the tolerated losses can't lose it,
// and that one of any MaxFailures+1 voting members holds it.
func (sim *simulation) checkDurability() {
	lost := sim.lostDisks()
	addrs := map[string]bool{} // of members, and of those that they have replaced
	for _, member := range slices.Concat(sim.configuration.Members, sim.configuration.Previous) {
		addrs[member.Addr] = true
	}
	for key, version := range sim.ackedVersions {
		holders := 0
		lacking := map[uint64]int{} // by epoch: voting members that lack it
		for _, node := range sim.nodes {
			if node.removed || !addrs[node.self.Addr] {
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
			sim.fail("version %d of %s was acknowledged, and is on %d disks; %d are lost", version, key, holders, lost)
		}
		for epoch, count := range lacking {
			if count > sim.configurations[epoch].MaxFailures {
				sim.fail("version %d of %s was acknowledged, and %d members that vote in epoch %d lack it",
					version, key, count, epoch)
			}
		}
	}
}

// pendingTakeovers returns how many members are not active yet whose predecessor has left in order. Until they are,
// there is one copy less, which the takeover makes up for: of the previous members at most MaxFailures lack a value,
// and one more than that are asked. That no further loss takes it is checked by the reads and by the members that
// vote.
func (sim *simulation) pendingTakeovers() (pending int) {
	for _, member := range sim.configuration.Members {
		node := sim.nodeByAddr(member.Addr)
		hasLeft := node.successorOf != nil && node.successorOf.removed
		if hasLeft && !node.diskLost && !node.isVoting() {
			pending++
		}
	}
	return pending
}

// trackConfiguration takes up the configuration that a replica goes by, and checks that there is one in each epoch.
func (sim *simulation) trackConfiguration(node *simNode) {
	local := &node.replica.local
	current := local.configuration
	if current.Epoch == 0 {
		return
	}
	if node.staleDisk != "" && node.staleDisk != local.identity.DiskID {
		node.staleDisk = ""
		sim.coverage["old disk noticed"]++
	}
	if current.Epoch == node.lastEpoch {
		return
	}
	node.lastEpoch = current.Epoch
	known, isKnown := sim.configurations[current.Epoch]
	if isKnown && !slices.Equal(known.Members, current.Members) {
		sim.fail("in epoch %d %s goes by the members %v, others by %v",
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

// adoptConfiguration takes up a newer configuration. The disk of a new member counts as lost until the member is
// active, unless it replaces one that leaves in order, which stays until it isn't needed any more.
func (sim *simulation) adoptConfiguration(next membership.Configuration) {
	previous := sim.configuration
	sim.configuration = next
	if previous.Epoch == 0 {
		return
	}
	for _, member := range next.Members {
		node := sim.nodeByAddr(member.Addr)
		replaced := node.successorOf
		inOrder := replaced != nil && !replaced.removed && !replaced.diskLost && previous.Epoch+1 == next.Epoch
		if !previous.Contains(member) && !inOrder {
			node.diskLost = true
		}
	}
}

// checkVoter checks the sender of a vote: it is a member of the request's epoch, on its disk, and not on an old copy
// of it.
func (sim *simulation) checkVoter(
	node *simNode, disk string, request OutgoingRequest, response *message.PeerResponse,
) {
	votes := []string{message.PreparePath, message.AcceptPath, message.ConfirmPath, message.ReadPath}
	epoch := request.Request.Epoch
	if response == nil || !response.OK || epoch == 0 || !slices.Contains(votes, request.Path) {
		return
	}
	voter := message.Member{Node: node.self.Node, DiskID: disk}
	if configuration := sim.configurations[epoch]; !configuration.Contains(voter) {
		sim.fail("%s votes on %s in epoch %d, of which it is no member", node.self.Node, request.Path, epoch)
	}
	if node.staleDisk != "" && node.staleDisk == disk {
		sim.fail("%s votes on %s with a stale disk", node.self.Node, request.Path)
	}
}

// stopSendingBound is how long after the acknowledgement of a drain a proxy may go on sending, whatever happens: a
// pull that was under way has ended, its node has lost its quorum, and the proxy's send lease from that time has
// expired. Without faults it is 0.1 s: TestProxiesStopSending.
const stopSendingBound = PeerPullWait + PeerTimeout + time.Second

// checkStoppedSending checks that no proxy sends to a backend whose drain was acknowledged.
func (sim *simulation) checkStoppedSending(id string, ackedAt time.Time) {
	if !sim.drainAckedAt[id].Equal(ackedAt) {
		return // all holders of the drain have crashed
	}
	bound := ackedAt.Add(stopSendingBound + sim.maxClockSetback(ackedAt))
	if remaining := bound.Sub(sim.now); remaining > 0 {
		sim.schedule(remaining, func() { sim.checkStoppedSending(id, ackedAt) })
		return
	}
	for _, proxy := range sim.proxies {
		if proxy.maySendTo(id) {
			sim.fail("proxy %d still sends to %s, %v after the acknowledgement that it is leaving; it takes it for %s",
				proxy.index, id, sim.now.Sub(ackedAt), proxy.backendPhases[id])
		}
	}
}

// checkListenerAddrs asks a node where clients should go: it names no proxy whose lease has expired. It learns of that
// from the grantor, of which it may just have heard for the last time.
func (sim *simulation) checkListenerAddrs() {
	node := sim.randomNode()
	if !node.accepts() {
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

// checkProgress checks that the version vector of a node covers all its items. One beyond it would be sent again and
// again or, after the incarnation that published it has ended, never be covered by anybody's.
func (node *simNode) checkProgress() {
	items, origins := node.replica.items.Missing(nil, node.replica.items.LocalSequence(), nil)
	progress := node.replica.items.Vector()
	for _, item := range items {
		if origin := origins[item.OriginIndex]; item.Sequence > progress[origin] {
			node.sim.fail("%s holds %s with sequence number %d of %s, and its progress is %d",
				node.self.Node, item.Key, item.Sequence, origin, progress[origin])
		}
	}
}

// unhealedReason tells what has not recovered yet; empty for nothing.
func (sim *simulation) unhealedReason() string {
	if len(sim.configuration.Members) != sim.memberCount {
		return fmt.Sprint("the configuration has ", len(sim.configuration.Members), " members")
	}
	for _, member := range sim.configuration.Members {
		if node := sim.nodeByAddr(member.Addr); node.removed {
			return fmt.Sprintf("%s is gone, and still a member in epoch %d", node.self.Node, sim.configuration.Epoch)
		}
	}
	for _, node := range sim.nodes {
		if node.removed {
			continue
		}
		isMember := sim.configuration.Contains(node.replica.local.self)
		if !isMember && node.replica.Active() {
			return node.self.Node + " is active and no member"
		}
		if !isMember {
			continue
		}
		if reason := node.unhealedReason(); reason != "" {
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

// unhealedReason tells what has not recovered at a member yet; empty for nothing.
func (node *simNode) unhealedReason() string {
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
			return fmt.Sprintf("%s has not learned that %s is leaving: %q", name, id, phase)
		}
	}
	if len(node.listenerAddrs()) == 0 {
		return name + " knows of no proxy:" + node.describeLeases()
	}
	if active, _ := node.replica.liveness.CountActive("z0", node.clock()); active < len(sim.proxies) {
		return fmt.Sprintf("%s counts %d proxies", name, active)
	}
	return ""
}

// describeLeases lists the leases that a node knows of.
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

// checkLinearizable checks that the operations on each item can have happened one after the other.
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
