package replication

import (
	"fmt"
	"testing"
	"time"
)

// A lease expires once, a node stays active for the retention after its lease was last held, and the table does not
// grow with every node and backend ever seen.
func TestLivenessTable(t *testing.T) {
	table := NewLivenessTable(2*time.Second, 30*time.Second)
	now := time.Unix(0, 0)
	for i := range 50 {
		table.RenewLease(fmt.Sprint("lease/n", i), "a1", now)
		table.RecordHeartbeat(fmt.Sprint("i", i), now)
	}
	table.RenewLease("lease/m", "b1", now.Add(time.Second))
	now = now.Add(2500 * time.Millisecond)
	if expired := len(table.ExpireLeases(now)); expired != 50 {
		t.Errorf("%d leases expired, want 50", expired)
	}
	if total, inZone := table.CountActive("b1", now); total != 51 || inZone != 1 {
		t.Errorf("%d nodes are active, %d in the zone, want 51 and 1", total, inZone)
	}
	if expired := len(table.ExpireBackends(3*time.Second, now.Add(time.Second))); expired != 50 {
		t.Errorf("%d backends timed out, want 50", expired)
	}
	now = now.Add(time.Minute)
	if expired := len(table.ExpireLeases(now)); expired != 1 {
		t.Errorf("%d leases expired, want 1", expired)
	}
	total, _ := table.CountActive("b1", now)
	entries := len(table.lastSeen) + len(table.granted) + len(table.lastHeartbeat) + len(table.zones)
	if total != 0 || entries != 0 {
		t.Errorf("%d nodes are active and %d entries left, want none", total, entries)
	}
}
