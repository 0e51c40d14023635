package server

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"testing"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replica"
)

// Every member serves an acknowledged change, also after all members have restarted and one of them has lost its disk.
// A member that has lost its disk takes part in the quorum only after it has caught up.
func TestAcknowledgedChangeIsDurable(t *testing.T) {
	t.Parallel()
	cluster := newStartedCluster(t)
	cluster.mustCall(0, "settings.change", changeBody("00000007", "seven.example"))
	cluster.mustCall(1, "settings.change", changeBody("00000008", "eight.example"))
	cluster.mustCall(2, "settings.change", changeBody("00000006", "six.example"))
	for i := range memberCount {
		text := cluster.mustCall(i, "settings.read", "")
		if !strings.Contains(text, "eight.example") || !strings.Contains(text, `"00000008"`) {
			t.Errorf("member %d lacks the newest version: %s", i, text)
		}
		if strings.Contains(text, "seven") {
			t.Errorf("member %d has an old version: %s", i, text)
		}
	}
	cluster.stopAll()
	if err := os.RemoveAll(cluster.storeDir(0)); err != nil {
		t.Fatal(err)
	}
	wiped := cluster.start(0, false)
	if status, _ := cluster.call(0, "settings.read", ""); status == http.StatusOK {
		t.Error("a member that has lost its disk responds without the others")
	}
	cluster.start(1, false)
	prepare := &message.PeerRequest{Keys: []string{"k"}}
	if _, err := wiped.handleRequest(t.Context(), message.PreparePath, prepare); err == nil {
		t.Error("a member that has lost its disk gives a promise before it has caught up")
	}
	cluster.start(2, false)
	for i := range memberCount {
		if text := cluster.mustCall(i, "settings.read", ""); !strings.Contains(text, "eight.example") {
			t.Errorf("member %d after the loss of a disk: %s", i, text)
		}
	}
	cluster.stop(1)
	if text := cluster.mustCall(0, "settings.read", ""); !strings.Contains(text, "eight.example") {
		t.Errorf("the member that has caught up: %s", text)
	}
}

// storedAsActive reports whether a member's disk holds the configuration of all members and an identity that is active
// in the epoch of that configuration.
func (m *testMember) storedAsActive() bool {
	identity := replica.Identity{}
	if json.Unmarshal([]byte(m.store.Load(identityKey)[""]), &identity) != nil {
		return false
	}
	entry := quorum.Entry{}
	if json.Unmarshal([]byte(m.store.Load(entryPrefix)[membership.RegisterKey]), &entry) != nil {
		return false
	}
	configuration, err := membership.ParseConfiguration(entry.Value)
	return err == nil && entry.Chosen &&
		identity.EverActive && identity.ActiveEpoch == configuration.Epoch &&
		len(configuration.Members) == memberCount
}

// awaitStoredAsActive waits until all members are storedAsActive.
func (c *testCluster) awaitStoredAsActive() {
	c.t.Helper()
	waitUntil(c.t, "all members are active by their stored state", func() bool {
		for i := range memberCount {
			if !c.running[i].storedAsActive() {
				return false
			}
		}
		return true
	})
}

// Members that restart while all seed addresses are down find one another by the configuration on their disks.
func TestRestartWithSeedsDown(t *testing.T) {
	t.Parallel()
	cluster := newStartedCluster(t)
	cluster.mustCall(0, "settings.change", changeBody("00000007", "a.example"))
	cluster.awaitStoredAsActive()
	cluster.seedsDown = true
	for i := range memberCount {
		waitUntil(t, "the configuration of all members is on its disk", cluster.running[i].storedAsActive)
		cluster.stop(i)
	}
	cluster.restartAll()
	for i := range memberCount {
		cluster.awaitReady(i)
		cluster.mustCall(i, "settings.read", "")
	}
}

// If the disks of two of three members reject writes, no change is acknowledged, but the members continue to run and
// accept heartbeats.
func TestDiskWriteFailure(t *testing.T) {
	t.Parallel()
	cluster := newStartedCluster(t)
	for i := range 2 {
		if err := cluster.running[i].store.Close(); err != nil {
			t.Fatal(err)
		}
	}
	status, _ := cluster.call(2, "settings.change", changeBody("00000007", "a.example"))
	if status != http.StatusServiceUnavailable {
		t.Errorf("the disks of two members reject writes: status %d", status)
	}
	if cluster.running[0].Server == nil {
		t.Error("the member has stopped")
	}
	if status, _ := cluster.call(0, "servers.pulse&of=i1", heartbeatBody(1, "ready")); status != http.StatusOK {
		t.Errorf("heartbeat to a member whose disk rejects writes: status %d", status)
	}
}
