package replica

import (
	"slices"
	"strings"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
)

// isGone reports whether a backend in the given phase has left or timed out.
func isGone(phase replication.Phase) bool {
	return phase == replication.PhaseLeft || phase == replication.PhaseTimedOut
}

// RecordHeartbeat records a backend's heartbeat. It returns the member to which the backend should send the next one: a
// reachable member in the backend's zone, or the zero Member for this replica.
func (r *Replica) RecordHeartbeat(
	now time.Time, id string, heartbeat *replication.Heartbeat,
) (redirect message.Member) {
	current, known := r.items.Get(replication.BackendKeyPrefix + id)
	// Ignores heartbeats that are late or come from an incarnation that has left.
	if !known || current.Version < replication.BackendVersion(heartbeat.CallCount, false) {
		r.updateBackend(now, id, heartbeat, current, known)
	}
	if heartbeat.Zone == r.config.Self.Zone {
		return message.Member{}
	}
	for _, peer := range r.OtherMembers() {
		if peer.Zone == heartbeat.Zone && r.reachable(peer.Node, now) {
			return peer
		}
	}
	return message.Member{}
}

// updateBackend applies a heartbeat to a backend, and publishes the backend if the change is relevant to other nodes.
func (r *Replica) updateBackend(
	now time.Time, id string, heartbeat *replication.Heartbeat, current replication.Item, known bool,
) {
	self := r.config.Self.Node
	previous := r.backends[id]
	published, ok := replication.ReadBackend(current)
	if known && ok && (previous == nil || published.Owner != self || published.Phase != previous.Phase) {
		previous = published
	}
	item, backend, changed := replication.UpdateFromHeartbeat(id, heartbeat, previous, self, now)
	if changed {
		r.mergeLocal(item)
	} else {
		backend.HeartbeatMs = previous.HeartbeatMs // as last published
	}
	r.backends[id] = backend
	r.liveness.RecordHeartbeat(id, now)
}

// BackendPhase returns the phase of a backend, or "" if the backend is unknown.
func (r *Replica) BackendPhase(id string) replication.Phase {
	item, _ := r.items.Get(replication.BackendKeyPrefix + id)
	backend, ok := replication.ReadBackend(item)
	if !ok {
		return ""
	}
	return backend.Phase
}

// BackendEnded reports whether a backend has left or is unknown.
func (r *Replica) BackendEnded(id string) bool {
	phase := r.BackendPhase(id)
	return phase == "" || phase == replication.PhaseLeft
}

// Backends returns the known backends that have not left, by ID.
func (r *Replica) Backends() map[string]*replication.Backend {
	backends := map[string]*replication.Backend{}
	r.items.ForEach(replication.BackendKeyPrefix, func(item replication.Item) {
		if backend, ok := replication.ReadBackend(item); ok && backend.Phase != replication.PhaseLeft {
			backends[strings.TrimPrefix(item.Key, replication.BackendKeyPrefix)] = backend
		}
	})
	return backends
}

// DeregisterBackend records that a backend has left permanently.
func (r *Replica) DeregisterBackend(now time.Time, id string) {
	key := replication.BackendKeyPrefix + id
	current, known := r.items.Get(key)
	backend, ok := replication.ReadBackend(current)
	if !known || !ok {
		backend = &replication.Backend{}
	}
	r.mergeLocal(backend.ItemWithPhase(id, replication.PhaseLeft, replication.LeftVersion))
	r.addTombstone(key, now)
	r.liveness.StopTrackingBackend(id)
	delete(r.backends, id)
}

// expireBackends marks backends as timed out that sent their heartbeats to this replica and have stopped.
func (r *Replica) expireBackends(now time.Time) {
	for _, id := range r.liveness.ExpireBackends(r.config.BackendTimeout, now) {
		key := replication.BackendKeyPrefix + id
		item, known := r.items.Get(key)
		backend, ok := replication.ReadBackend(item)
		delete(r.backends, id)
		if !known || !ok || backend.Owner != r.config.Self.Node || backend.Phase == replication.PhaseLeft {
			continue
		}
		r.mergeLocal(backend.TimedOut(id, item.Version))
		r.addTombstone(key, now)
	}
}

// expireOrphanedBackends marks backends as timed out whose owner, the member to which they sent their heartbeats, has
// been unreachable for BackendTimeout, and that have not switched to another member. Only the first reachable member by
// name does so.
func (r *Replica) expireOrphanedBackends(now time.Time) {
	if !r.updateUnreachablePeers(now) || !r.HasQuorum(now) {
		return
	}
	var timedOut []replication.Item
	r.items.ForEach(replication.BackendKeyPrefix, func(item replication.Item) {
		backend, ok := replication.ReadBackend(item)
		if !ok || backend.Phase != replication.PhaseReady && backend.Phase != replication.PhaseDraining {
			return
		}
		if since, lost := r.ownerUnreachableSince(now, backend.Owner); lost && now.Sub(since) > r.config.BackendTimeout {
			id := strings.TrimPrefix(item.Key, replication.BackendKeyPrefix)
			timedOut = append(timedOut, backend.TimedOut(id, item.Version))
		}
	})
	slices.SortFunc(timedOut, func(a, b replication.Item) int { return strings.Compare(a.Key, b.Key) })
	for _, item := range timedOut {
		r.mergeLocal(item)
		r.addTombstone(item.Key, now)
	}
}

// updateUnreachablePeers updates unreachableSince of all peers. It reports whether this replica is the first by name of
// the reachable members.
func (r *Replica) updateUnreachablePeers(now time.Time) (first bool) {
	first = true
	for node, peer := range r.peers {
		switch {
		case r.reachable(node, now):
			peer.unreachableSince = time.Time{}
			first = first && r.config.Self.Node < node
		case peer.unreachableSince.IsZero() && peer.hasResponded:
			peer.unreachableSince = now
		}
	}
	return first
}

// ownerUnreachableSince reports whether the owner of a backend is unreachable, and since when. A node that is not a
// member counts as unreachable since its first check.
func (r *Replica) ownerUnreachableSince(now time.Time, owner string) (since time.Time, lost bool) {
	if peer := r.peers[owner]; peer != nil {
		delete(r.departedOwners, owner)
		return peer.unreachableSince, !peer.unreachableSince.IsZero()
	}
	if owner == r.config.Self.Node {
		return time.Time{}, false
	}
	if _, noted := r.departedOwners[owner]; !noted {
		r.departedOwners[owner] = now
	}
	return r.departedOwners[owner], true
}
