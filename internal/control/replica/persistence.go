package replica

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
)

// ItemsToPersist returns the items that were added or changed after a local sequence number, the progress that is
// reached once they are on disk, and the sequence number to continue from. The caller saves them periodically; dropped
// items are listed in Output.DeletedKeys. ItemsToPersist returns no items while registers, which the progress covers,
// are not on disk yet.
func (r *Replica) ItemsToPersist(since uint64) (items []PersistedItem, progress replication.Vector, next uint64) {
	if len(r.pendingSaves) > 0 || r.saveFailed {
		return nil, nil, since
	}
	for _, item := range r.items.Since(since, nil) {
		if item.Version < r.unrestoredVersions[item.Key] {
			continue // the disk holds a newer version, which the progress covers
		}
		origin, sequence := r.items.OriginOf(item.Key)
		if strings.HasPrefix(item.Key, replication.RegisterKeyPrefix) {
			item.Body = "" // saved with the register
		}
		items = append(items, PersistedItem{item, origin, sequence})
	}
	return items, r.items.Vector(), r.items.LocalSequence()
}

// restoreItems restores the persisted items. If they are older than incrementalPullWindow, they may have been dropped
// by other replicas in the meantime: only registers and items without an origin are kept, and all items are pulled
// again.
func (r *Replica) restoreItems(now time.Time, persisted PersistedState) {
	slices.SortFunc(persisted.Items, func(a, b PersistedItem) int { return strings.Compare(a.Item.Key, b.Item.Key) })
	expired := now.Sub(persisted.ProgressAt) > incrementalPullWindow
	unrestored := replication.Vector{}
	for _, saved := range persisted.Items {
		isRegister := strings.HasPrefix(saved.Item.Key, replication.RegisterKeyPrefix)
		switch {
		case expired && !isRegister && saved.Origin != "":
			r.deleteFromDisk(saved.Item.Key)
		case isRegister && !r.restoreRegisterBody(&saved.Item):
			r.unrestoredVersions[saved.Item.Key] = saved.Item.Version
			if lowest, known := unrestored[saved.Origin]; !known || saved.Sequence < lowest {
				unrestored[saved.Origin] = saved.Sequence
			}
		default:
			r.restoreItem(now, saved)
		}
	}
	if !expired {
		r.items.Advance(persisted.Progress)
		r.progressValid = len(persisted.Progress) > 0
		r.lastPullAt = now
	}
	r.items.Retract(unrestored)
	if count := len(r.unrestoredVersions); count > 0 {
		r.logEvent("items withheld until registers are decided", LogField{"registers", strconv.Itoa(count)})
	}
}

// isRestoring reports whether this replica lacks an item that it held before its start, or a newer version of it. Its
// progress may cover the item under several origins, because several replicas may have published it, and must not be
// claimed until then. The item is a register whose next value is undecided; it follows from the repair of that value.
func (r *Replica) isRestoring() bool {
	for key, version := range r.unrestoredVersions {
		if item, held := r.items.Get(key); held && item.Version >= version {
			delete(r.unrestoredVersions, key)
		}
	}
	return len(r.unrestoredVersions) > 0
}

// restoreRegisterBody restores the body of a register's item, which is saved without it. It returns false if the
// register now holds another value, or one that is not known to be chosen.
func (r *Replica) restoreRegisterBody(item *replication.Item) bool {
	entry := r.acceptor.Get(strings.TrimPrefix(item.Key, replication.RegisterKeyPrefix))
	if !entry.Chosen || entry.Value.Version != item.Version {
		return false
	}
	item.Body = entryBody(entry)
	return true
}

// restoreItem restores one persisted item.
func (r *Replica) restoreItem(now time.Time, saved PersistedItem) {
	item := r.restoreBackend(now, saved.Item)
	if saved.Origin == "" { // versions with protocol version 1 didn't save the origin
		r.items.Publish(item)
	} else {
		r.items.Receive(item, saved.Origin, saved.Sequence)
	}
	if strings.HasPrefix(item.Key, replication.LeaseKeyPrefix) {
		lease, ok := replication.ReadLease(item)
		if ok && !lease.Ended && lease.Role == message.RoleProxy {
			r.liveness.ObserveLease(item.Key, lease.Zone, now) // the proxy may be sending, although it has not pulled yet
		}
	}
	r.trackItem(now, item)
}

// restoreBackend marks a ready backend as warming up until its next heartbeat, because it may have stopped or restarted
// while this replica was down. Other items are returned unchanged.
func (r *Replica) restoreBackend(now time.Time, item replication.Item) replication.Item {
	id, ok := strings.CutPrefix(item.Key, replication.BackendKeyPrefix)
	if !ok {
		return item
	}
	backend, ok := replication.ReadBackend(item)
	if !ok || backend.Phase != replication.PhaseReady {
		return item
	}
	backend.HeartbeatMs = now.UnixMilli()
	backend.WarmUpEndMs = now.Add(r.config.BackendTimeout).UnixMilli()
	return backend.ItemWithPhase(id, replication.PhaseReady, item.Version)
}
