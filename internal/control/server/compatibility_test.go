package server

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sagelever/internal/control/drain"
	"sagelever/internal/control/membership"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
	"sagelever/internal/control/routing"
	"sagelever/internal/control/storage"
)

// previousVersionDir contains data directories of the previous version. Its README describes how they were created.
var previousVersionDir = filepath.Join("testdata", "previous-version")

const (
	previousVersionSubnet = "127.0.77." // subnet of the members that wrote the directories

	// previousVersionTime is shortly after the directories were written, in Unix milliseconds.
	previousVersionTime = 1796199200_000
)

// copyPreviousVersion copies the data directories of the previous version to the cluster, and sets the cluster's clocks
// to the time at which the directories were written. It replaces the addresses in the records by those of the cluster.
func copyPreviousVersion(t *testing.T, cluster *testCluster) {
	t.Helper()
	for i := range memberCount {
		source := os.DirFS(filepath.Join(previousVersionDir, fmt.Sprint("n", i)))
		if err := os.CopyFS(cluster.storeDir(i), source); err != nil {
			t.Fatal(err)
		}
		store, err := storage.Open(cluster.storeDir(i))
		if err != nil {
			t.Fatal(err)
		}
		if store.Quarantined || store.TruncatedBytes > 0 {
			t.Errorf("member %d: quarantined %v, %d bytes truncated", i, store.Quarantined, store.TruncatedBytes)
		}
		changed := map[string]string{}
		for _, key := range []string{identityKey, entryPrefix + membership.RegisterKey} {
			text := store.Load(key)[""]
			if !strings.Contains(text, previousVersionSubnet) {
				t.Fatalf("member %d: no address in record %s: %q", i, key, text)
			}
			changed[key] = strings.ReplaceAll(text, previousVersionSubnet, cluster.subnet)
		}
		if err := store.Put(changed); err != nil {
			t.Fatal(err)
		}
		if err := store.Close(); err != nil {
			t.Fatal(err)
		}
	}
	written := time.UnixMilli(previousVersionTime)
	cluster.clockOffset.Store(int64(time.Until(written)))
}

// Members that start with data directories of the previous version resume with all of the stored state.
func TestPreviousVersionStore(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	copyPreviousVersion(t, cluster)
	wantSettings, err := os.ReadFile(filepath.Join(previousVersionDir, "settings.json"))
	if err != nil {
		t.Fatal(err)
	}
	cluster.restartAll()
	for i := range memberCount {
		settings := cluster.mustCall(i, "settings.read", "")
		if want := strings.TrimSpace(string(wantSettings)); settings != want {
			t.Errorf("member %d: settings %s, want %s", i, settings, want)
		}
		if text := cluster.mustCall(i, "releases.read&of=s", ""); text != `{"phase":"in_service","target":"v2"}` {
			t.Errorf("member %d: release %s", i, text)
		}
		member := cluster.running[i]
		if !member.storedAsActive() || member.epoch() != 1 {
			t.Errorf("member %d is not an active member of epoch 1", i)
		}
		if phase := member.backendPhase("i1"); phase != replication.PhaseTimedOut {
			t.Errorf("member %d: backend i1 is %q, want %q", i, phase, replication.PhaseTimedOut)
		}
	}
	wantPreviousDrains(t, cluster)
	cluster.wantStatus(0, http.StatusConflict, "settings.change", changeBody("00000007", "other.example"))
	cluster.wantStatus(1, http.StatusOK, "settings.change", changeBody("00000007", "seven.example"))
	cluster.mustCall(2, "settings.change", changeBody("00000009", "nine.example"))
	if text := cluster.mustCall(0, "settings.read", ""); !strings.Contains(text, "nine.example") {
		t.Errorf("a change on top of the stored state: %s", text)
	}
}

// wantPreviousDrains checks that backend i1 is drained and that zone b1 is evacuated.
func wantPreviousDrains(t *testing.T, cluster *testCluster) {
	t.Helper()
	if text := cluster.mustCall(1, "drains.read&of=i1", ""); !strings.Contains(text, `"target":"i1"`) {
		t.Errorf("drain of i1: %s", text)
	}
	key := drain.EvacuationKey("b1")
	table := routing.NewTable(map[string]quorum.Value{key: cluster.running[2].register(key).Value})
	if !table.Evacuated["b1"] {
		t.Error("zone b1 is no longer evacuated")
	}
}

// legacyBodies contains the items on a disk written by a version without a membership configuration.
var legacyBodies = map[string]string{
	"routes/r":   `{"host":"seven.example","pathStart":"/x/","kind":"harmless","giveUp":"5000ms","service":"s"}`,
	"services/s": `{"checkPath":"/h","warmUp":"3s","warmingRateS":2.9}`,
}

// legacyEntry returns the register of an item as written by such a version.
func legacyEntry(item string) string {
	const proposal = `{"n":1700000000005,"w":"n2"}`
	return fmt.Sprintf(`{"k":"item/%s","p":%s,"a":%s,"x":{"v":7,"b":%q},"c":true}`,
		item, proposal, proposal, legacyBodies[item])
}

// Members that start together with disks of a version without a membership configuration all serve the items that two
// of the three had confirmed.
func TestLegacyStoreWithoutConfiguration(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	for i := range memberCount {
		records := map[string]string{
			legacyInitializedKey: "first start",
			minProposalKey:       `{"b":{"n":1700000000000,"w":"n0"}}`,
		}
		if i != 1 { // one of the three members lacks the items
			for item := range legacyBodies {
				records[entryPrefix+"item/"+item] = legacyEntry(item)
			}
		}
		store, err := storage.Open(cluster.storeDir(i))
		if err != nil {
			t.Fatal(err)
		}
		if err := store.Put(records); err != nil {
			t.Fatal(err)
		}
		if err := store.Close(); err != nil {
			t.Fatal(err)
		}
	}
	cluster.restartAll()
	for i := range memberCount {
		if text := cluster.mustCall(i, "settings.read", ""); !strings.Contains(text, "seven.example") {
			t.Errorf("member %d: %s", i, text)
		}
	}
	cluster.mustCall(1, "settings.change", changeBody("00000008", "eight.example"))
	if text := cluster.mustCall(2, "settings.read", ""); !strings.Contains(text, "eight.example") {
		t.Errorf("a change after the restart: %s", text)
	}
}
