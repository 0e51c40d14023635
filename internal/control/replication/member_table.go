package replication

import (
	"slices"
	"time"
)

// MemberTable tracks which nodes hold a lease and which backends send heartbeats here. Nodes are known by the keys of
// their leases, wherever these were granted. It is not safe for concurrent use.
type MemberTable struct {
	leaseDuration time.Duration
	// retention is for how long a node whose lease has expired still counts as active: it may be partitioned from the
	// controllers and still send requests.
	retention     time.Duration
	granted       map[string]time.Time // leases granted here, by key: when each was last renewed
	unrenewed     map[string]bool      // leases granted here by an earlier incarnation, and not renewed since
	lastSeen      map[string]time.Time // leases wherever granted, by key: when each was last known to be held
	zones         map[string]string    // of the nodes in lastSeen
	lastHeartbeat map[string]time.Time // by backend
}

// NewMemberTable returns an empty table.
func NewMemberTable(leaseDuration, retention time.Duration) *MemberTable {
	return &MemberTable{
		leaseDuration: leaseDuration,
		retention:     retention,
		granted:       map[string]time.Time{},
		unrenewed:     map[string]bool{},
		lastSeen:      map[string]time.Time{},
		zones:         map[string]string{},
		lastHeartbeat: map[string]time.Time{},
	}
}

// RenewLease grants or renews a node's lease here.
func (m *MemberTable) RenewLease(key, zone string, now time.Time) {
	m.granted[key] = now
	m.ObserveLease(key, zone, now)
	delete(m.unrenewed, key)
}

// RestoreLease takes up a lease that an earlier incarnation granted here. It may still be held, so that its node counts
// as active and it expires like any other; but HasRenewedLease is false until it is renewed.
func (m *MemberTable) RestoreLease(key, zone string, now time.Time) {
	if _, known := m.granted[key]; !known {
		m.RenewLease(key, zone, now)
		m.unrenewed[key] = true
	}
}

// ExpireLeases removes the leases granted here that have expired, and returns their keys, sorted.
func (m *MemberTable) ExpireLeases(now time.Time) []string {
	var expired []string
	for key, renewedAt := range m.granted {
		if now.Sub(renewedAt) > m.leaseDuration {
			expired = append(expired, key)
			delete(m.granted, key)
			delete(m.unrenewed, key)
		}
	}
	slices.Sort(expired)
	return expired
}

// HasRenewedLease reports whether a node holds a lease that this incarnation has granted or renewed.
func (m *MemberTable) HasRenewedLease(key string) bool {
	_, granted := m.granted[key]
	return granted && !m.unrenewed[key]
}

// ObserveLease records that a lease is held, wherever it was granted.
func (m *MemberTable) ObserveLease(key, zone string, now time.Time) {
	m.lastSeen[key] = now
	m.zones[key] = zone
}

// CountActive returns how many nodes may be sending requests now, and how many of them are in a zone. It errs upwards:
// limits that all nodes share are divided by the count. Nodes that are not active any more are removed, so that the
// table does not grow with every node ever seen.
func (m *MemberTable) CountActive(zone string, now time.Time) (total, inZone int) {
	for key, seenAt := range m.lastSeen {
		if now.Sub(seenAt) > m.retention {
			delete(m.lastSeen, key)
			delete(m.zones, key)
			continue
		}
		total++
		if m.zones[key] == zone {
			inZone++
		}
	}
	return total, inZone
}

// IsActive reports whether a node may be sending requests now, as CountActive counts it.
func (m *MemberTable) IsActive(key string, now time.Time) bool {
	seenAt, ok := m.lastSeen[key]
	return ok && now.Sub(seenAt) <= m.retention
}

// RecordHeartbeat records a heartbeat of a backend that was received here.
func (m *MemberTable) RecordHeartbeat(id string, now time.Time) { m.lastHeartbeat[id] = now }

// StopTrackingBackend stops waiting for the heartbeats of a backend: it sends them elsewhere, or has left.
func (m *MemberTable) StopTrackingBackend(id string) { delete(m.lastHeartbeat, id) }

// ExpireBackends removes the backends that have sent no heartbeat here for longer than a time-out, and returns their
// IDs, sorted.
func (m *MemberTable) ExpireBackends(timeout time.Duration, now time.Time) []string {
	var expired []string
	for id, receivedAt := range m.lastHeartbeat {
		if now.Sub(receivedAt) > timeout {
			expired = append(expired, id)
			delete(m.lastHeartbeat, id)
		}
	}
	slices.Sort(expired)
	return expired
}
