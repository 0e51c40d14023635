package replication

import (
	"slices"
	"time"
)

// MemberTable says who is there: leases granted here, agents heard of through their grantors, and appliances whose pulses come
// here. Its clock is handed in.
type MemberTable struct {
	leaseDuration time.Duration // of a lease
	retention     time.Duration // for which a lapsed agent still counts into n: it may be cut off, and sending
	granted       map[string]time.Time
	unrenewed     map[string]bool      // granted in a life before, and not renewed since
	lastSeen      map[string]time.Time // when a lease was last known to be held, wherever granted
	zones         map[string]string
	lastHeartbeat map[string]time.Time
}

// NewMemberTable begins an empty roll.
func NewMemberTable(leaseDuration, retention time.Duration) *MemberTable {
	return &MemberTable{leaseDuration: leaseDuration, retention: retention, granted: map[string]time.Time{}, unrenewed: map[string]bool{}, lastSeen: map[string]time.Time{},
		zones: map[string]string{}, lastHeartbeat: map[string]time.Time{}}
}

// RenewLease notes that an agent has called here, by its lease's key.
func (r *MemberTable) RenewLease(key, zone string, now time.Time) {
	r.granted[key], r.lastSeen[key], r.zones[key] = now, now, zone
	delete(r.unrenewed, key)
}

// RestoreLease notes a lease that was granted here in a life before: it may be held, so that it counts, and it lapses like any
// other; but nobody is sent there before it is renewed.
func (r *MemberTable) RestoreLease(key, zone string, now time.Time) {
	if _, known := r.granted[key]; !known {
		r.RenewLease(key, zone, now)
		r.unrenewed[key] = true
	}
}

// ExpireLeases lists the leases granted here that ran out; each is told once.
func (r *MemberTable) ExpireLeases(now time.Time) (keys []string) {
	for key, renewedAt := range r.granted {
		if now.Sub(renewedAt) > r.leaseDuration {
			keys = append(keys, key)
			delete(r.granted, key)
			delete(r.unrenewed, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// HasRenewedLease tells whether an agent holds a lease from here.
func (r *MemberTable) HasRenewedLease(key string) bool {
	_, granted := r.granted[key]
	return granted && !r.unrenewed[key]
}

// ObserveLease notes a lease that another agent grants; grantor tells whether that one is heard.
func (r *MemberTable) ObserveLease(key, zone string, now time.Time) {
	r.lastSeen[key], r.zones[key] = now, zone
}

// CountActive is how many agents may be sending now, and how many of those stand in a zone. It forgets who has been gone for
// long, so that it does not grow with agents seen. It errs upwards: shares of what all may do together are divided by it.
func (r *MemberTable) CountActive(zone string, now time.Time) (total, inZone int) {
	for key, seenAt := range r.lastSeen {
		if now.Sub(seenAt) > r.retention {
			delete(r.lastSeen, key)
			delete(r.zones, key)
			continue
		}
		if total++; r.zones[key] == zone {
			inZone++
		}
	}
	return total, inZone
}

// IsActive tells whether an agent may be sending now: whether it counts.
func (r *MemberTable) IsActive(key string, now time.Time) bool {
	seenAt, ok := r.lastSeen[key]
	return ok && now.Sub(seenAt) <= r.retention
}

// RecordHeartbeat notes a pulse that came here.
func (r *MemberTable) RecordHeartbeat(id string, now time.Time) { r.lastHeartbeat[id] = now }

// ForgetBackend forgets an appliance whose pulses go elsewhere, or that is gone.
func (r *MemberTable) ForgetBackend(id string) { delete(r.lastHeartbeat, id) }

// ExpireBackends lists the appliances whose pulses came here and have not come for so long; each is told once.
func (r *MemberTable) ExpireBackends(timeout time.Duration, now time.Time) (ids []string) {
	for id, heardAt := range r.lastHeartbeat {
		if now.Sub(heardAt) > timeout {
			ids = append(ids, id)
			delete(r.lastHeartbeat, id)
		}
	}
	slices.Sort(ids)
	return ids
}
