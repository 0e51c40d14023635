package replica

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/release"
	"sagelever/internal/control/replication"
)

// Maintain does the periodic work: it expires leases, backends and tombstones, repairs undecided registers, and starts
// the operations that a change of the configuration requires. The caller runs it several times a second.
func (r *Replica) Maintain(now time.Time) {
	r.observeClock(now)
	r.advanceGeneration(now)
	r.startDiskConfirmation(now)
	r.startTakeover(now)
	r.reconfigure(now)
	r.reportQuorumChange(now)
	r.continueVerification(now)
	r.repairUndecided(now)
	r.retrySave(now)
	r.endStuckPulls(now)
	r.pruneOrigins()
	r.expireLeases(now)
	r.expireBackends(now)
	r.expireOrphanedBackends(now)
	r.observeLeases(now)
	r.expireTallies(now)
	r.collectTombstones(now)
}

// pruneOrigins keeps the version vector short: it drops origins without items, and republishes the items of this
// replica's earlier incarnations under the current one.
func (r *Replica) pruneOrigins() {
	liveOrigins := map[string]bool{}
	for _, peer := range r.peers {
		liveOrigins[peer.origin] = true
	}
	r.items.Prune(liveOrigins)
	if r.items.RepublishOldIncarnations() > 0 {
		r.notifyAfter(tallyNotifyDelay)
	}
}

// observeLeases records the leases of proxies that were granted by reachable members.
func (r *Replica) observeLeases(now time.Time) {
	r.items.ForEach(replication.LeaseKeyPrefix, func(item replication.Item) {
		lease, ok := replication.ReadLease(item)
		if ok && !lease.Ended && lease.Role == message.RoleProxy && r.reachable(lease.Grantor, now) {
			r.liveness.ObserveLease(item.Key, lease.Zone, now)
		}
	})
}

// expireTallies adds tombstones for the tallies of releases that have ended or were superseded.
func (r *Replica) expireTallies(now time.Time) {
	r.items.ForEach(replication.ReleaseTallyKeyPrefix, func(item replication.Item) {
		if _, noted := r.tombstones[item.Key]; noted {
			return
		}
		tally, ok := replication.ReadReleaseTally(item)
		rel, known := release.Read(r.acceptor.Get(release.RegisterKey(tallyService(item.Key))).Value)
		if ok && known && (rel.Phase != release.PhaseInService || rel.Number > tally.ReleaseNumber) {
			r.addTombstone(item.Key, now)
		}
	})
}

// addTombstone schedules an item to be dropped after tombstoneRetention if it is still obsolete then.
func (r *Replica) addTombstone(key string, now time.Time) {
	r.tombstones[key] = now.Add(tombstoneRetention)
}

// collectTombstones drops the tallies and the backends that are gone if their tombstones have expired.
func (r *Replica) collectTombstones(now time.Time) {
	for _, key := range slices.Sorted(maps.Keys(r.tombstones)) {
		if now.Before(r.tombstones[key]) {
			continue
		}
		delete(r.tombstones, key)
		if strings.HasPrefix(key, replication.ReleaseTallyKeyPrefix) || r.backendIsGone(key) {
			r.items.Delete(key)
			r.deleteFromDisk(key)
		}
	}
}

// backendIsGone reports whether the backend with the given item key has left or timed out. It may have returned since
// its tombstone was added.
func (r *Replica) backendIsGone(key string) bool {
	item, ok := r.items.Get(key)
	if !ok {
		return false
	}
	backend, ok := replication.ReadBackend(item)
	return ok && isGone(backend.Phase)
}
