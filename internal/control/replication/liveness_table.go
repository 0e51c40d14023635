package replication

import (
	"slices"
	"time"
)

// LivenessTable tracks the nodes that hold a lease of any controller, and the backends that send heartbeats to this
// controller. Nodes are identified by the keys of their leases. A LivenessTable is not safe for concurrent use.
type LivenessTable struct {
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

// NewLivenessTable returns an empty table.
func NewLivenessTable(leaseDuration, retention time.Duration) *LivenessTable {
	return &LivenessTable{
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
func (t *LivenessTable) RenewLease(key, zone string, now time.Time) {
	t.granted[key] = now
	t.ObserveLease(key, zone, now)
	delete(t.unrenewed, key)
}

// RestoreLease adds a lease that an earlier incarnation of this controller has granted. The node may still hold it, so
// the node counts as active, and the lease expires like any other. HasRenewedLease is false until it is renewed.
func (t *LivenessTable) RestoreLease(key, zone string, now time.Time) {
	if _, granted := t.granted[key]; !granted {
		t.RenewLease(key, zone, now)
		t.unrenewed[key] = true
	}
}

// ExpireLeases removes the leases of this controller that have expired, and returns their keys, sorted.
func (t *LivenessTable) ExpireLeases(now time.Time) []string {
	var expired []string
	for key, renewedAt := range t.granted {
		if now.Sub(renewedAt) > t.leaseDuration {
			expired = append(expired, key)
			delete(t.granted, key)
			delete(t.unrenewed, key)
		}
	}
	slices.Sort(expired)
	return expired
}

// HasRenewedLease reports whether a node holds a lease that this incarnation has granted or renewed.
func (t *LivenessTable) HasRenewedLease(key string) bool {
	_, granted := t.granted[key]
	return granted && !t.unrenewed[key]
}

// ObserveLease records that a lease, which any controller may have granted, is held.
func (t *LivenessTable) ObserveLease(key, zone string, now time.Time) {
	t.lastSeen[key] = now
	t.zones[key] = zone
}

// CountActive returns how many nodes may be sending requests now, and how many of them are in a zone. It overestimates
// rather than underestimates, because limits that all nodes share are divided by the count. It removes nodes that are
// no longer active, so that the table does not grow with every node ever seen.
func (t *LivenessTable) CountActive(zone string, now time.Time) (total, inZone int) {
	for key, seenAt := range t.lastSeen {
		if now.Sub(seenAt) > t.retention {
			delete(t.lastSeen, key)
			delete(t.zones, key)
			continue
		}
		total++
		if t.zones[key] == zone {
			inZone++
		}
	}
	return total, inZone
}

// IsActive reports whether a node may be sending requests now, as CountActive counts it.
func (t *LivenessTable) IsActive(key string, now time.Time) bool {
	seenAt, ok := t.lastSeen[key]
	return ok && now.Sub(seenAt) <= t.retention
}

// RecordHeartbeat records that this controller has received a heartbeat of a backend.
func (t *LivenessTable) RecordHeartbeat(id string, now time.Time) { t.lastHeartbeat[id] = now }

// StopTrackingBackend removes a backend that has left or sends its heartbeats to another controller.
func (t *LivenessTable) StopTrackingBackend(id string) { delete(t.lastHeartbeat, id) }

// ExpireBackends removes the backends from which this controller has received no heartbeat for longer than the timeout,
// and returns their IDs, sorted.
func (t *LivenessTable) ExpireBackends(timeout time.Duration, now time.Time) []string {
	var expired []string
	for id, receivedAt := range t.lastHeartbeat {
		if now.Sub(receivedAt) > timeout {
			expired = append(expired, id)
			delete(t.lastHeartbeat, id)
		}
	}
	slices.Sort(expired)
	return expired
}
