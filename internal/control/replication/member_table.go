package replication

import (
	"slices"
	"time"
)

// MemberTable tracks the nodes that hold a lease of any controller, and the backends that send heartbeats to this
// controller. Nodes are identified by the keys of their leases. A MemberTable is not safe for concurrent use.
type MemberTable struct {
	leaseDuration time.Duration
	// retention is how long a node counts as active after its lease was last known to be held. Such a node may be
	// partitioned from the controllers and still send requests.
	retention     time.Duration
	granted       map[string]time.Time // when each lease granted by this controller was last renewed, by key
	unrenewed     map[string]bool      // leases that an earlier incarnation has granted and this one has not renewed
	lastSeen      map[string]time.Time // when each lease of any controller was last known to be held, by key
	zones         map[string]string    // zones of the nodes in lastSeen, by key
	lastHeartbeat map[string]time.Time // when the last heartbeat of each backend was received, by ID
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

// RenewLease grants or renews a lease of this controller.
func (m *MemberTable) RenewLease(key, zone string, now time.Time) {
	m.granted[key] = now
	m.ObserveLease(key, zone, now)
	delete(m.unrenewed, key)
}

// RestoreLease adds a lease that an earlier incarnation of this controller has granted. The node may still hold it, so
// that the node counts as active and the lease expires like any other. HasRenewedLease is false until it is renewed.
func (m *MemberTable) RestoreLease(key, zone string, now time.Time) {
	if _, granted := m.granted[key]; !granted {
		m.RenewLease(key, zone, now)
		m.unrenewed[key] = true
	}
}

// ExpireLeases removes the leases of this controller that have expired, and returns their keys, sorted.
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

// ObserveLease records that a lease, which any controller may have granted, is held.
func (m *MemberTable) ObserveLease(key, zone string, now time.Time) {
	m.lastSeen[key] = now
	m.zones[key] = zone
}

// CountActive returns how many nodes may be sending requests now, and how many of them are in a zone. It overestimates
// rather than underestimates, because limits that all nodes share are divided by the count. It removes nodes that are
// no longer active, so that the table does not grow with every node ever seen.
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

// RecordHeartbeat records that this controller has received a heartbeat of a backend.
func (m *MemberTable) RecordHeartbeat(id string, now time.Time) { m.lastHeartbeat[id] = now }

// StopTrackingBackend removes a backend that has left or sends its heartbeats to another controller.
func (m *MemberTable) StopTrackingBackend(id string) { delete(m.lastHeartbeat, id) }

// ExpireBackends removes the backends from which this controller has received no heartbeat for longer than the timeout,
// and returns their IDs, sorted.
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
