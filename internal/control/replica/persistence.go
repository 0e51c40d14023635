package replica

import (
	"slices"
	"strings"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
)

// restoreItems takes up what was kept. An appliance counts as cold until its pulse says otherwise, and as silent if none comes:
// it may have gone, or gone cold, while this agent was away.
func (r *Replica) restoreItems(persisted PersistedState, now time.Time) {
	slices.SortFunc(persisted.Items, func(a, b PersistedItem) int { return strings.Compare(a.Item.Key, b.Item.Key) })
	expired := now.Sub(persisted.ProgressAt) > incrementalPullWindow
	withdrawn := replication.Vector{}
	for _, kept := range persisted.Items {
		item := kept.Item
		if expired && !strings.HasPrefix(item.Key, replication.RegisterKey) && kept.Origin != "" {
			r.output.ForgottenKeys = append(r.output.ForgottenKeys, item.Key)
			continue
		}
		if name, ok := strings.CutPrefix(item.Key, replication.RegisterKey); ok { // its content stands in the register
			entry := r.acceptor.Get(name)
			if !entry.Chosen || entry.Value.Version != item.Version { // written over meanwhile by what is not known to be chosen
				if number, ok := withdrawn[kept.Origin]; !ok || kept.Number < number {
					withdrawn[kept.Origin] = kept.Number
				}
				continue
			}
			item.Body = entryBody(entry)
		}
		if id, ok := strings.CutPrefix(item.Key, replication.BackendKey); ok {
			if a, ok := replication.ReadBackend(item); ok && a.Phase == replication.PhaseReady {
				a.HeartbeatMs, a.WarmAtMs = now.UnixMilli(), now.Add(r.config.BackendTimeout).UnixMilli()
				item = a.ItemWithPhase(id, replication.PhaseReady, item.Version)
			}
		}
		if kept.Origin == "" { // the version before did not keep it
			r.items.Publish(item)
		} else {
			r.items.Receive(item, kept.Origin, kept.Number)
		}
		if strings.HasPrefix(item.Key, replication.LeaseKey) {
			if lease, ok := replication.ReadLease(item); ok && !lease.Ended && lease.Role == message.RoleProxy {
				r.liveness.ObserveLease(item.Key, lease.Zone, now) // it may be sending, though it has not called yet
			}
		}
		r.trackItem(now, item)
	}
	if !expired {
		r.items.Advance(persisted.Progress)
		r.progressValid, r.lastPullAt = len(persisted.Progress) > 0, now
	}
	r.items.Retract(withdrawn)
}

// ItemsToPersist is what has become known since a number, to be kept on the disk where it is good to have, and how far it goes once
// it is; what was forgotten is told by keys that are not there any more.
func (r *Replica) ItemsToPersist(since uint64) (items []PersistedItem, progress replication.Vector, seq uint64) {
	if len(r.pendingSaves) > 0 || r.saveFailed { // registers are part of how far this goes
		return nil, nil, since
	}
	for _, item := range r.items.Since(since, nil) {
		origin, number := r.items.OriginOf(item.Key)
		if strings.HasPrefix(item.Key, replication.RegisterKey) {
			item.Body = ""
		}
		items = append(items, PersistedItem{item, origin, number})
	}
	return items, r.items.Vector(), r.items.LocalSequence()
}
