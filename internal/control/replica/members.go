package replica

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
)

// registerCaller takes up who calls.
func (r *Replica) registerCaller(now time.Time, request *message.PullRequest) (knownIncarnation uint64) {
	if request.Role == message.RoleController {
		r.registerController(now, request)
		return 0
	}
	lease := &replication.Lease{Node: request.From.Node, Role: request.Role, Zone: request.From.Zone, ListenAddress: request.ListenerAddr, Grantor: r.config.Self.Node, Ended: request.Ended}
	item := lease.Item(request.Incarnation << 8)
	previous, known := r.items.Get(item.Key)
	previousLease, parsed := replication.ReadLease(previous)
	if request.Ended {
		if !known || previous.Version < request.Incarnation<<8|0xff {
			item.Version = request.Incarnation<<8 | 0xff
			r.mergeLocal(item)
		}
		return 0
	}
	r.liveness.RenewLease(item.Key, lease.Zone, now)
	if known && parsed && *previousLease == *lease && previous.Version>>8 == request.Incarnation {
		return 0
	}
	if known && previous.Version >= item.Version {
		if previous.Version>>8 > request.Incarnation || previous.Version&0xff == 0xff {
			// A word from before, or of an agent whose time of day has gone back: it is told, and comes again.
			return previous.Version >> 8
		}
		item.Version = previous.Version + 1 // it has moved here, or is back after it lapsed
	}
	r.mergeLocal(item)
	return 0
}

// registerController takes up a replica that calls: a member, where it is in the set with this disk, or a candidate.
func (r *Replica) registerController(now time.Time, request *message.PullRequest) {
	if request.From.Node == r.config.Self.Node || request.From.Node == "" {
		return
	}
	r.recordGeneration(request.From, request.DiskGeneration)
	if request.KnownEpoch > r.local.configuration.Epoch && now.Sub(r.lastCallbackAt) > stuckPullTimeout { // all whom this replica knows may be gone
		r.lastCallbackAt = now
		r.output.PullNow = append(r.output.PullNow, request.From)
	}
	peer := r.peers[request.From.Node]
	if peer == nil || !peer.SameReplica(request.From) {
		r.registerCandidate(now, request)
		return
	}
	peer.Member = request.From // it may have moved to another address
	peer.leaving = request.Leaving
}

// OtherMembers are those that are known, this one not.
func (r *Replica) OtherMembers() []message.Member {
	others := make([]message.Member, 0, len(r.peers))
	for _, peer := range r.peers {
		others = append(others, peer.Member)
	}
	sort.Slice(others, func(i, j int) bool { return others[i].Node < others[j].Node })
	return others
}

// DiskGenerations are what is known of other replicas' disks, to be kept where it is good to have.
func (r *Replica) DiskGenerations() map[string]message.DiskGeneration { return r.diskGenerations }

// trackItem has this member look after an item that came from elsewhere or from its disk: of what it granted or heard in a
// life before it knows only so.
func (r *Replica) trackItem(now time.Time, item replication.Item) {
	if strings.HasPrefix(item.Key, replication.LeaseKey) {
		if lease, ok := replication.ReadLease(item); ok && lease.Grantor == r.config.Self.Node && !lease.Ended {
			r.liveness.RestoreLease(item.Key, lease.Zone, now)
		}
		return
	}
	id, ok := strings.CutPrefix(item.Key, replication.BackendKey)
	if !ok {
		return
	}
	backend, ok := replication.ReadBackend(item)
	if !ok {
		return
	}
	ended := backend.Phase == replication.PhaseLeft || backend.Phase == replication.PhaseTimedOut
	if ended {
		r.tombstones[item.Key] = now.Add(tombstoneRetention)
	}
	if backend.Owner != r.config.Self.Node || ended {
		r.liveness.ForgetBackend(id)
		delete(r.backends, id)
	} else {
		r.liveness.RecordHeartbeat(id, now)
	}
}

// reachable tells whether a member has answered lately.
func (r *Replica) reachable(node string, now time.Time) bool {
	if node == r.config.Self.Node {
		return true
	}
	peer := r.peers[node]
	return peer != nil && peer.heardOnce && now.Sub(peer.lastHeard) < PeerTimeout
}

// takeoverGrace is for how long a member is still relied on that has not yet taken over from the epoch before: what it knows
// is as new as what the others do, and orders wait until it acts.
const takeoverGrace = 2 * time.Second

// HasQuorum tells whether what this member says may be relied on: it is a member, and hears more than half of the members. One
// that does not may lack what the others have acknowledged.
func (r *Replica) HasQuorum(now time.Time) bool {
	if r.leaving || !r.activeOrTakingOver(now) {
		return false
	}
	heard := 1
	for node := range r.peers {
		if r.reachable(node, now) {
			heard++
		}
	}
	return r.local.configuration.IsMajority(heard)
}

// activeOrTakingOver tells whether this replica acts in the epoch in force, or is about to take over from the one before.
func (r *Replica) activeOrTakingOver(now time.Time) bool {
	local := &r.local
	if local.configuration.Epoch == 0 {
		return false
	}
	return r.Active() || local.diskConfirmed && r.activeInPreviousEpoch() && local.isMember() && now.Sub(local.adoptedAt) < takeoverGrace
}

// Leave has this member end: whoever pulls is answered at once, and goes elsewhere.
func (r *Replica) Leave(now time.Time) {
	r.leaving = true
	r.notifyAfter(0)
	r.reconfigure(now)
}

// noteQuorumChange says when this member begins or ends to hear most of the core; whoever waits for news is told.
func (r *Replica) noteQuorumChange(now time.Time) {
	if hasQuorum := r.HasQuorum(now); hasQuorum != r.hadQuorum {
		r.hadQuorum = hasQuorum
		r.notifyAfter(0)
		message := "hears most of the core"
		if !hasQuorum {
			message = "does not hear most of the core"
		}
		r.logEvent(message, "sinceStartMs", strconv.FormatInt(now.Sub(r.startedAt).Milliseconds(), 10))
	}
}

// expireLeases ends the leases granted here that ran out. It comes before all that is told of them: a process that was held up
// must not speak of leases as they were before.
func (r *Replica) expireLeases(now time.Time) {
	for _, key := range r.liveness.ExpireLeases(now) {
		item, ok := r.items.Get(key)
		if lease, parsed := replication.ReadLease(item); ok && parsed && lease.Grantor == r.config.Self.Node && !lease.Ended {
			lease.Ended, lease.ListenAddress = true, ""
			r.mergeLocal(lease.Item(item.Version + 1))
			r.logEvent("lease ran out", "agent", lease.Node, "role", lease.Role)
		}
	}
}

// ListenerAddrs lists where clients of a zone should go: to the agents there; where there are none to others of the region, then
// to any.
func (r *Replica) ListenerAddrs(now time.Time, zone, region string, limit int) []string {
	var sameZone, sameRegion, elsewhere []string
	r.expireLeases(now)
	r.items.ForEach(replication.LeaseKey, func(item replication.Item) {
		lease, ok := replication.ReadLease(item)
		if !ok || lease.Ended || lease.ListenAddress == "" || lease.Role != message.RoleProxy {
			return
		}
		if lease.Grantor == r.config.Self.Node && !r.liveness.HasRenewedLease(item.Key) || !r.reachable(lease.Grantor, now) {
			return
		}
		switch {
		case lease.Zone == zone:
			sameZone = append(sameZone, lease.ListenAddress)
		case r.config.RegionByZone[lease.Zone] == region:
			sameRegion = append(sameRegion, lease.ListenAddress)
		default:
			elsewhere = append(elsewhere, lease.ListenAddress)
		}
	})
	addrs := sameZone
	if len(addrs) == 0 {
		addrs = sameRegion
	}
	if len(addrs) == 0 {
		addrs = elsewhere
	}
	sort.Strings(addrs)
	return addrs[:min(len(addrs), limit)]
}
