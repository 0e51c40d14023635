package replica

import (
	"slices"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
)

// The version of a lease's item consists of the proxy's incarnation and, in the low bits, a counter of the lease's
// changes within that incarnation. The greatest counter value means that the proxy itself has ended the lease. No version
// is used twice by one replica, even if it loses leases at a crash.
const (
	leaseCounterBits  = 8
	leaseCounterEnded = 1<<leaseCounterBits - 1

	// leaseCounterLost is the counter of a lease that ends in the next incarnation, see mayIncrement. It is above those of
	// the leases in that incarnation that this replica may have lost.
	leaseCounterLost = leaseCounterEnded - 1
)

func leaseVersion(incarnation, counter uint64) uint64 { return incarnation<<leaseCounterBits | counter }

func leaseIncarnation(version uint64) uint64 { return version >> leaseCounterBits }

func leaseEndedByProxy(version uint64) bool { return version&leaseCounterEnded == leaseCounterEnded }

// renewLease grants, renews or ends the lease of the proxy that sent a pull. It returns 0 if the pull is accepted.
// Otherwise it returns the incarnation that the proxy has to exceed: the pull may be late, or the proxy's clock may
// have been set back between two starts.
func (r *Replica) renewLease(now time.Time, request *message.PullRequest) (knownIncarnation uint64) {
	lease := &replication.Lease{
		Node:          request.From.Node,
		Role:          request.Role,
		Zone:          request.From.Zone,
		ListenAddress: request.ListenerAddr,
		Grantor:       r.config.Self.Node,
		Ended:         request.Ended,
	}
	item := lease.Item(leaseVersion(request.Incarnation, 0))
	previous, known := r.items.Get(item.Key)
	if request.Ended {
		item.Version = leaseVersion(request.Incarnation, leaseCounterEnded)
		if !known || previous.Version < item.Version {
			r.mergeLocal(item)
		}
		return 0
	}
	r.liveness.RenewLease(item.Key, lease.Zone, now)
	previousLease, ok := replication.ReadLease(previous)
	if known && ok && *previousLease == *lease && leaseIncarnation(previous.Version) == request.Incarnation {
		return 0 // the published lease is up to date
	}
	if known && previous.Version >= item.Version {
		if leaseIncarnation(previous.Version) > request.Incarnation || !r.mayIncrement(previous) {
			return leaseIncarnation(previous.Version)
		}
		item.Version = previous.Version + 1
	}
	if r.isFreshIncarnation(item.Key, request.Incarnation) {
		r.leaseVersions[item.Key] = item.Version
	}
	r.mergeLocal(item)
	return 0
}

// isFreshIncarnation reports whether no earlier process of this replica can have given a lease in an incarnation: there
// was none, or the proxy has chosen the incarnation after its first pull from this process.
func (r *Replica) isFreshIncarnation(key string, incarnation uint64) bool {
	first, seen := r.firstIncarnations[key]
	if !seen {
		r.firstIncarnations[key] = incarnation
	}
	return !r.restarted || seen && incarnation > first
}

// mayIncrement reports whether the version after that of a lease is unused, because this process has given the lease its
// version, in a fresh incarnation. Otherwise another replica may have given it the next one too, or an earlier process of
// this replica, which lost the lease at a crash after others had received it. Such a lease continues in the next
// incarnation.
func (r *Replica) mayIncrement(item replication.Item) bool {
	return r.leaseVersions[item.Key] == item.Version && item.Version&leaseCounterEnded+1 < leaseCounterLost
}

// expireLeases ends the leases that this replica granted and that have not been renewed. It must be called before
// leases are reported, because the process may have been suspended since the last step.
func (r *Replica) expireLeases(now time.Time) {
	for _, key := range r.liveness.ExpireLeases(now) {
		item, known := r.items.Get(key)
		lease, ok := replication.ReadLease(item)
		if !known || !ok || lease.Grantor != r.config.Self.Node || lease.Ended {
			continue
		}
		lease.Ended = true
		lease.ListenAddress = ""
		version := leaseVersion(leaseIncarnation(item.Version)+1, leaseCounterLost)
		if r.mayIncrement(item) {
			version = item.Version + 1
			r.leaseVersions[key] = version
		}
		r.mergeLocal(lease.Item(version))
		r.logEvent("lease expired", LogField{"node", lease.Node}, LogField{"role", lease.Role})
	}
}

// RecentProxies returns the nodes of the proxies that may have requests in flight: those that hold a lease, and those
// whose lease expired less than proxyRetention ago and was not ended by the proxy.
func (r *Replica) RecentProxies(now time.Time) (nodes []string) {
	r.items.ForEach(replication.LeaseKeyPrefix, func(item replication.Item) {
		lease, ok := replication.ReadLease(item)
		if ok && lease.Role == message.RoleProxy && !leaseEndedByProxy(item.Version) &&
			r.liveness.IsActive(item.Key, now) {
			nodes = append(nodes, lease.Node)
		}
	})
	slices.Sort(nodes)
	return nodes
}

// ListenerAddrs returns at most limit addresses of proxies for clients in a zone: the proxies in the zone; if there are
// none, those in its region; if there are none there either, all.
func (r *Replica) ListenerAddrs(now time.Time, zone, region string, limit int) []string {
	var sameZone, sameRegion, elsewhere []string
	r.expireLeases(now)
	r.items.ForEach(replication.LeaseKeyPrefix, func(item replication.Item) {
		lease, ok := replication.ReadLease(item)
		if !ok || !r.acceptsClients(now, item.Key, lease) {
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
	slices.Sort(addrs)
	return addrs[:min(len(addrs), limit)]
}

// acceptsClients reports whether the holder of a lease is a proxy that accepts clients. A lease that this replica
// granted must have been renewed since this replica's start. The grantor of any other lease must be reachable, and this
// replica must have received all its items within PeerTimeout: otherwise the lease may have ended.
func (r *Replica) acceptsClients(now time.Time, key string, lease *replication.Lease) bool {
	if lease.Ended || lease.ListenAddress == "" || lease.Role != message.RoleProxy {
		return false
	}
	if lease.Grantor == r.config.Self.Node && !r.liveness.HasRenewedLease(key) {
		return false
	}
	return r.reachable(lease.Grantor, now) && r.isUpToDateWith(lease.Grantor, now)
}
