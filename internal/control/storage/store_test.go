package storage

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/tidwall/buntdb"
)

// closeStore closes a store and fails the test if that fails.
func closeStore(t *testing.T, store *Store) {
	t.Helper()
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
}

// A power failure may leave any part of the data that was written after the last sync, truncated or with holes. The
// store reads the synced part regardless of the data that follows it, and accepts new writes.
func TestTornTail(t *testing.T) {
	dir := t.TempDir()
	store, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Put(map[string]string{"e/a": "one", "e/b": "two"}); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, stateFile)
	synced, _ := os.ReadFile(path)
	if err := store.Put(map[string]string{"e/a": "three", "e/c": "four"}); err != nil {
		t.Fatal(err)
	}
	complete, _ := os.ReadFile(path)
	closeStore(t, store)
	reopen := func(what string, data []byte) {
		t.Helper()
		if err := os.WriteFile(path, data, 0o644); err != nil {
			t.Fatal(err)
		}
		store, err := Open(dir)
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		got := store.Load("e/")
		if got["b"] != "two" || got["a"] != "one" && got["a"] != "three" {
			t.Fatalf("%s: %v", what, got)
		}
		if err := store.Put(map[string]string{"e/d": "five"}); err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		closeStore(t, store)
		again, err := Open(dir)
		if err != nil {
			t.Fatalf("%s, then a write: %v", what, err)
		}
		if got := again.Load("e/"); got["d"] != "five" || got["b"] != "two" {
			t.Fatalf("%s, then a write: %v", what, got)
		}
		closeStore(t, again)
	}
	for n := len(synced); n <= len(complete); n++ {
		reopen(fmt.Sprintf("%d of %d bytes", n, len(complete)), complete[:n])
		zeroed := bytes.Clone(complete)
		clear(zeroed[len(synced):n])
		reopen(fmt.Sprintf("zeroes up to byte %d", n), zeroed)
		corrupted := bytes.Clone(complete)
		if n < len(complete) {
			corrupted[n] ^= 0x55
		}
		reopen(fmt.Sprintf("byte %d corrupted", n), corrupted)
	}
}

// A file without a valid record is treated as an empty file. It contains no identity, from which the controller
// concludes that it has lost its disk.
func TestUnreadableFileIsTruncated(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, stateFile), bytes.Repeat([]byte("junk"), 1000), 0o644); err != nil {
		t.Fatal(err)
	}
	store, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer closeStore(t, store)
	if store.TruncatedBytes != 4000 || store.Quarantined || len(store.Load("")) != 0 {
		t.Errorf("%d bytes truncated, %v read", store.TruncatedBytes, store.Load(""))
	}
}

// An earlier version wrote its file with buntdb itself. Each version can read the file of the other.
func TestCompatibleWithPlainBuntDB(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, stateFile)
	updateByBuntDB := func(do func(tx *buntdb.Tx) error) {
		t.Helper()
		db, err := buntdb.Open(path)
		if err == nil {
			err = db.Update(do)
		}
		if err == nil {
			err = db.Close()
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	set := func(key, value string) func(tx *buntdb.Tx) error {
		return func(tx *buntdb.Tx) error { _, _, err := tx.Set(key, addChecksum(key, value), nil); return err }
	}
	updateByBuntDB(set("e/a", "one"))
	updateByBuntDB(set("e/b", "two"))
	updateByBuntDB(func(tx *buntdb.Tx) error { _, err := tx.Delete("e/a"); return err })
	store, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if got := store.Load("e/"); len(got) != 1 || got["b"] != "two" {
		t.Fatalf("read from buntdb's file: %v", got)
	}
	if err := store.Put(map[string]string{"e/c": "three"}); err != nil {
		t.Fatal(err)
	}
	closeStore(t, store)
	updateByBuntDB(func(tx *buntdb.Tx) error {
		stored, err := tx.Get("e/c")
		if got, ok := verifyChecksum("e/c", stored); !ok || got != "three" {
			t.Errorf("buntdb reads %q, %v", stored, err)
		}
		return nil
	})
}

// A file is compacted while the store is open, so that its size stays within the bound.
func TestCompaction(t *testing.T) {
	d := newFaultDisk(1)
	store, err := OpenFileSystem(d)
	if err != nil {
		t.Fatal(err)
	}
	big := string(bytes.Repeat([]byte("x"), 50_000))
	for i := range 100 {
		if err := store.Put(map[string]string{"big": big, "n": fmt.Sprint(i)}); err != nil {
			t.Fatal(err)
		}
		if size, live := store.Size(); size > defaultMinCompactSize+2*int64(len(big)) || live > 60_000 {
			t.Fatalf("after %d writes %d bytes, of which %d are live", i, size, live)
		}
	}
	store.PutUnsynced(map[string]string{"gone": "soon"})
	store.PutUnsynced(map[string]string{"gone": ""})
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	if store, err = OpenFileSystem(d); err != nil {
		t.Fatal(err)
	}
	if got := store.Load(""); len(got) != 2 || got["n"] != "99" || got["big"] != big {
		t.Errorf("%d values, n %q", len(got), got["n"])
	}
}

// The file stays small over ten thousand synced changes of four hundred items with the size of a register of a route.
func TestSizeInUse(t *testing.T) {
	store, err := OpenFileSystem(newFaultDisk(4))
	if err != nil {
		t.Fatal(err)
	}
	item := string(bytes.Repeat([]byte("x"), 350))
	largest := int64(0)
	for i := range 10_000 {
		if err := store.Put(map[string]string{fmt.Sprint("e/item/routes/r", i%400): fmt.Sprint(i, item)}); err != nil {
			t.Fatal(err)
		}
		size, _ := store.Size()
		largest = max(largest, size)
	}
	size, live := store.Size()
	t.Logf("after 10,000 changes %d bytes, of which %d are live; %d at most, %d syncs",
		size, live, largest, store.syncCount)
	if largest > defaultMinCompactSize+4096 || live > 400*450 {
		t.Errorf("%d bytes, %d live, %d at most", size, live, largest)
	}
}

// Damage in a synced part of the file is not treated as a torn tail: the file is quarantined and the store is empty.
func TestDamagedSyncedDataIsQuarantined(t *testing.T) {
	d := newFaultDisk(2)
	store, _ := OpenFileSystem(d)
	for i := range 5 {
		if err := store.Put(map[string]string{"k": fmt.Sprint(i)}); err != nil {
			t.Fatal(err)
		}
	}
	closeStore(t, store)
	corrupted := d.visible[stateFile]
	corrupted.data[len(corrupted.data)/3] ^= 0x55
	store, err := OpenFileSystem(d)
	if err != nil || !store.Quarantined || len(store.Load("")) != 0 {
		t.Fatalf("quarantined: %v, %v, %v", store.Quarantined, store.Load(""), err)
	}
	if d.visible[quarantineFile] == nil {
		t.Error("the damaged file was not kept")
	}
	if err := store.Put(map[string]string{"k": "new"}); err != nil {
		t.Error(err)
	}
}

// A write is acknowledged before the compaction that it triggers.
func TestWriteCompletesBeforeCompaction(t *testing.T) {
	d := newFaultDisk(5)
	store, err := openWithThreshold(d, 1000)
	if err != nil {
		t.Fatal(err)
	}
	d.blockCreate = make(chan struct{})
	if err := store.Put(map[string]string{"k": string(bytes.Repeat([]byte("x"), 100))}); err != nil {
		t.Fatal(err)
	}
	for range 9 { // the last of them exceeds the threshold
		if err := store.Put(map[string]string{"k": string(bytes.Repeat([]byte("y"), 100))}); err != nil {
			t.Fatal(err)
		}
		if store.mu.Lock(); store.writing {
			store.mu.Unlock()
			break
		}
		store.mu.Unlock()
	}
	close(d.blockCreate)
	if size, live := store.Size(); size > 1200 || live == 0 {
		t.Errorf("%d bytes, %d live", size, live)
	}
}

// Concurrent writes share syncs, and the later of two writes of a key takes effect.
func TestConcurrentWritesShareSyncs(t *testing.T) {
	d := newFaultDisk(3)
	store, _ := OpenFileSystem(d)
	d.blockSteps = make(chan struct{})
	var futures []WriteFuture
	for i := range 50 {
		futures = append(futures, store.PutAsync(map[string]string{"k": fmt.Sprint(i), fmt.Sprint("k", i): "x"}))
	}
	close(d.blockSteps)
	for _, future := range futures {
		if err := future.Wait(); err != nil {
			t.Fatal(err)
		}
	}
	if got := store.Load("k"); got[""] != "49" || len(got) != 51 || store.syncCount > 2 {
		t.Errorf("%d values, the last %q, by %d syncs", len(got), got[""], store.syncCount)
	}
	d.losePower()
	if store, _ := OpenFileSystem(d); len(store.Load("k")) != 51 {
		t.Error("an acknowledged write is lost")
	}
}
