package replica

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/release"
	"sagelever/internal/control/replication"
)

// RecordHeartbeat takes an appliance's word of itself; the address of the member where its next had best go, empty for here.
func (r *Replica) RecordHeartbeat(now time.Time, id string, heartbeat *replication.Heartbeat) (redirect message.Member) {
	key := replication.BackendKey + id
	current, known := r.items.Get(key)
	if !known || current.Version < replication.BackendVersion(heartbeat.CallCount, false) { // else late, or from a life that has left
		previous := r.backends[id]
		if published, ok := replication.ReadBackend(current); known && ok && (previous == nil || published.Owner != r.config.Self.Node || published.Phase != previous.Phase) {
			previous = published
		}
		item, backend, changed := replication.UpdateFromHeartbeat(id, heartbeat, previous, r.config.Self.Node, now)
		if changed {
			r.mergeLocal(item)
		} else {
			backend.HeartbeatMs = previous.HeartbeatMs // when it was last told
		}
		r.backends[id] = backend
		r.liveness.RecordHeartbeat(id, now)
	}
	if heartbeat.Zone == r.config.Self.Zone {
		return message.Member{}
	}
	for _, peer := range r.OtherMembers() { // the member that stands there, while it is heard
		if peer.Zone == heartbeat.Zone && r.reachable(peer.Node, now) {
			return peer
		}
	}
	return message.Member{}
}

// BackendPhase is what is known of an appliance's life; empty for nothing.
func (r *Replica) BackendPhase(id string) string {
	item, _ := r.items.Get(replication.BackendKey + id)
	backend, ok := replication.ReadBackend(item)
	if !ok {
		return ""
	}
	return backend.Phase
}

// DeregisterBackend takes an appliance's last word.
func (r *Replica) DeregisterBackend(now time.Time, id string) {
	key := replication.BackendKey + id
	current, known := r.items.Get(key)
	backend, parsed := replication.ReadBackend(current)
	if !known || !parsed {
		backend = &replication.Backend{}
	}
	r.mergeLocal(backend.ItemWithPhase(id, replication.PhaseLeft, replication.LeftVersion))
	r.tombstones[key] = now.Add(tombstoneRetention)
	r.liveness.ForgetBackend(id)
	delete(r.backends, id)
}

// MergeTallies takes what an edge agent has seen of releases.
func (r *Replica) MergeTallies(now time.Time, items []replication.Item) {
	for _, item := range items {
		if strings.HasPrefix(item.Key, replication.ReleaseTallyKey) {
			r.mergeLocal(item)
		}
	}
	r.decideReleases(now)
}

// decideReleases decides the releases on which the agents' votes say so.
func (r *Replica) decideReleases(now time.Time) {
	tallies := map[string][]*replication.ReleaseTally{}
	r.items.ForEach(replication.ReleaseTallyKey, func(item replication.Item) {
		service, _, _ := strings.Cut(item.Key[len(replication.ReleaseTallyKey):], "/")
		if tally, ok := replication.ReadReleaseTally(item); ok {
			tallies[service] = append(tallies[service], tally)
		}
	})
	for _, service := range slices.Sorted(maps.Keys(tallies)) {
		rel, ok := release.Read(r.acceptor.Get(release.RegisterKey(service)).Value)
		if !ok || rel.Phase != release.PhaseInService || r.decidingReleases[service] {
			continue
		}
		phase := release.CountVotes(rel.Number, tallies[service])
		if phase == "" {
			continue
		}
		r.decidingReleases[service] = true
		r.logEvent("release decided by votes", "service", service, "phase", phase)
		keys, decide := quorum.UpdateEach(map[string]quorum.UpdateFunc{release.RegisterKey(service): release.End(rel.Number, phase)})
		r.startOperation(now, &operation{kind: proposeWrite, expiresAt: now.Add(4 * attemptTimeout), keys: keys, decide: decide,
			onEnd: func() { delete(r.decidingReleases, service) }}) // without an end the votes stand, and are counted again
	}
}

// Maintain does what time brings: leases that ran out, appliances fallen silent, lives long gone, values without an end.
func (r *Replica) Maintain(now time.Time) {
	r.observeClock(now)
	r.advanceGeneration(now)
	r.startDiskConfirmation(now)
	r.startTakeover(now)
	r.reconfigure(now)
	r.noteQuorumChange(now)
	r.repairUndecided(now)
	r.retrySave(now)
	liveOrigins := map[string]bool{}
	for _, peer := range r.peers {
		liveOrigins[peer.origin] = true
	}
	r.items.Prune(liveOrigins)
	if r.items.RepublishOldIncarnations() > 0 {
		r.notifyAfter(tallyNotifyDelay)
	}
	r.expireLeases(now)
	for _, id := range r.liveness.ExpireBackends(r.config.BackendTimeout, now) {
		key := replication.BackendKey + id
		item, ok := r.items.Get(key)
		backend, parsed := replication.ReadBackend(item)
		delete(r.backends, id)
		if !ok || !parsed || backend.Owner != r.config.Self.Node || backend.Phase == replication.PhaseLeft {
			continue
		}
		r.mergeLocal(backend.TimedOut(id, item.Version))
		r.tombstones[key] = now.Add(tombstoneRetention)
	}
	r.markOrphansSilent(now)
	r.items.ForEach(replication.LeaseKey, func(item replication.Item) {
		if lease, ok := replication.ReadLease(item); ok && !lease.Ended && lease.Role == message.RoleProxy && r.reachable(lease.Grantor, now) {
			r.liveness.ObserveLease(item.Key, lease.Zone, now)
		}
	})
	r.items.ForEach(replication.ReleaseTallyKey, func(item replication.Item) {
		service, _, _ := strings.Cut(item.Key[len(replication.ReleaseTallyKey):], "/")
		tally, ok := replication.ReadReleaseTally(item)
		rel, known := release.Read(r.acceptor.Get(release.RegisterKey(service)).Value)
		if _, noted := r.tombstones[item.Key]; !noted && ok && known && (rel.Phase != release.PhaseInService || rel.Number > tally.ReleaseNumber) {
			r.tombstones[item.Key] = now.Add(tombstoneRetention)
		}
	})
	for _, key := range slices.Sorted(maps.Keys(r.tombstones)) {
		if now.Before(r.tombstones[key]) {
			continue
		}
		delete(r.tombstones, key)
		item, ok := r.items.Get(key)
		if backend, parsed := replication.ReadBackend(item); strings.HasPrefix(key, replication.ReleaseTallyKey) || ok && parsed && (backend.Phase == replication.PhaseLeft || backend.Phase == replication.PhaseTimedOut) {
			r.items.Delete(key)
			r.output.ForgottenKeys = append(r.output.ForgottenKeys, key)
		}
	}
}

// markOrphansSilent tells the silence of appliances whose member is gone and that have found no other: the first by name of those
// that are there does it for all.
func (r *Replica) markOrphansSilent(now time.Time) {
	responsible := true
	for node, peer := range r.peers {
		switch heard := r.reachable(node, now); {
		case heard:
			peer.lostSince = time.Time{}
			responsible = responsible && r.config.Self.Node < node
		case peer.lostSince.IsZero() && peer.heardOnce:
			peer.lostSince = now
		}
	}
	if !responsible || !r.HasQuorum(now) {
		return
	}
	var silent []replication.Item
	r.items.ForEach(replication.BackendKey, func(item replication.Item) {
		backend, ok := replication.ReadBackend(item)
		if !ok || backend.Phase != replication.PhaseReady && backend.Phase != replication.PhaseDraining {
			return
		}
		if since, lost := r.ownerLostSince(now, backend.Owner); lost && now.Sub(since) > r.config.BackendTimeout {
			silent = append(silent, backend.TimedOut(strings.TrimPrefix(item.Key, replication.BackendKey), item.Version))
		}
	})
	for _, item := range silent {
		r.mergeLocal(item)
		r.tombstones[item.Key] = now.Add(tombstoneRetention)
	}
}

// ownerLostSince is since when the member that an appliance called is not heard any more, or no member.
func (r *Replica) ownerLostSince(now time.Time, home string) (since time.Time, lost bool) {
	if peer := r.peers[home]; peer != nil {
		delete(r.lostOwners, home)
		return peer.lostSince, !peer.lostSince.IsZero()
	}
	if home == r.config.Self.Node {
		return time.Time{}, false
	}
	if _, noted := r.lostOwners[home]; !noted {
		r.lostOwners[home] = now
	}
	return r.lostOwners[home], true
}
