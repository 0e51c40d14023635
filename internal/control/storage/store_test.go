package storage

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/tidwall/buntdb"
)

// A loss of power leaves any part of what was written after the last sync, torn or with holes: what was synced is read
// again, whatever stands behind it, and the file takes new writes.
func TestTornTail(t *testing.T) {
	folder := t.TempDir()
	v, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	if err := v.Put(map[string]string{"e/a": "one", "e/b": "two"}); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(folder, stateFile)
	synced, _ := os.ReadFile(path)
	if err := v.Put(map[string]string{"e/a": "three", "e/c": "four"}); err != nil {
		t.Fatal(err)
	}
	whole, _ := os.ReadFile(path)
	v.Close()
	try := func(what string, data []byte) {
		if err := os.WriteFile(path, data, 0o644); err != nil {
			t.Fatal(err)
		}
		v, err := Open(folder)
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		defer v.Close()
		got := v.Load("e/")
		if got["b"] != "two" || got["a"] != "one" && got["a"] != "three" {
			t.Fatalf("%s: %v", what, got)
		}
		if err := v.Put(map[string]string{"e/d": "five"}); err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		v.Close()
		again, err := Open(folder)
		if err != nil {
			t.Fatalf("%s, then a write: %v", what, err)
		}
		defer again.Close()
		if got := again.Load("e/"); got["d"] != "five" || got["b"] != "two" {
			t.Fatalf("%s, then a write: %v", what, got)
		}
	}
	for n := len(synced); n <= len(whole); n++ {
		try(fmt.Sprintf("%d of %d bytes", n, len(whole)), whole[:n])
		holed := bytes.Clone(whole)
		clear(holed[len(synced):n])
		try(fmt.Sprintf("a hole up to byte %d", n), holed)
		spoilt := bytes.Clone(whole)
		if n < len(whole) {
			spoilt[n] ^= 0x55
		}
		try(fmt.Sprintf("byte %d spoilt", n), spoilt)
	}
}

// A file that can't be read at all is an empty one: its member has lost its disk, and says so by having no marker.
func TestUnreadableFileIsTruncated(t *testing.T) {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, stateFile), bytes.Repeat([]byte("junk"), 1000), 0o644); err != nil {
		t.Fatal(err)
	}
	v, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer v.Close()
	if v.TruncatedBytes != 4000 || v.Quarantined || len(v.Load("")) != 0 {
		t.Errorf("%d bytes cut, %v read", v.TruncatedBytes, v.Load(""))
	}
}

// The version before kept its file through buntdb itself: what it wrote is read, and what this one writes it can read.
func TestCompatibleWithPlainBuntDB(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, stateFile)
	before := func(do func(tx *buntdb.Tx) error) {
		t.Helper()
		db, err := buntdb.Open(path)
		if err == nil {
			err = db.Update(do)
		}
		if err != nil {
			t.Fatal(err)
		}
		db.Close()
	}
	set := func(k, x string) func(tx *buntdb.Tx) error {
		return func(tx *buntdb.Tx) error { _, _, err := tx.Set(k, addChecksum(k, x), nil); return err }
	}
	before(set("e/a", "one"))
	before(set("e/b", "two"))
	before(func(tx *buntdb.Tx) error { _, err := tx.Delete("e/a"); return err })
	v, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	if got := v.Load("e/"); len(got) != 1 || got["b"] != "two" {
		t.Fatalf("of the file before: %v", got)
	}
	if err := v.Put(map[string]string{"e/c": "three"}); err != nil {
		t.Fatal(err)
	}
	v.Close()
	before(func(tx *buntdb.Tx) error {
		x, err := tx.Get("e/c")
		if got, ok := verifyChecksum("e/c", x); !ok || got != "three" {
			t.Errorf("the version before reads %q, %v", x, err)
		}
		return nil
	})
}

// A file is written anew while the store is open, and stays within its bound.
func TestCompaction(t *testing.T) {
	d := newFaultDisk(1)
	v, err := OpenFileSystem(d)
	if err != nil {
		t.Fatal(err)
	}
	big := string(bytes.Repeat([]byte("x"), 50_000))
	for i := range 100 {
		if err := v.Put(map[string]string{"big": big, "n": fmt.Sprint(i)}); err != nil {
			t.Fatal(err)
		}
		if now, inUse := v.Size(); now > defaultMinCompactSize+2*int64(len(big)) || inUse > 60_000 {
			t.Fatalf("after %d writes %d bytes, of which %d are in use", i, now, inUse)
		}
	}
	v.PutUnsynced(map[string]string{"gone": "soon"})
	v.PutUnsynced(map[string]string{"gone": ""})
	if err := v.Close(); err != nil {
		t.Fatal(err)
	}
	if v, err = OpenFileSystem(d); err != nil {
		t.Fatal(err)
	}
	if got := v.Load(""); len(got) != 2 || got["n"] != "99" || got["big"] != big {
		t.Errorf("%d values, n %q", len(got), got["n"])
	}
}

// Ten thousand changes of four hundred items, each with its own sync as the core's are, leave a small file.
func TestSizeInUse(t *testing.T) {
	v, err := OpenFileSystem(newFaultDisk(4))
	if err != nil {
		t.Fatal(err)
	}
	item := string(bytes.Repeat([]byte("x"), 350)) // a register with a route in it
	most := int64(0)
	for i := range 10_000 {
		if err := v.Put(map[string]string{fmt.Sprint("e/item/routes/r", i%400): fmt.Sprint(i, item)}); err != nil {
			t.Fatal(err)
		}
		now, _ := v.Size()
		most = max(most, now)
	}
	now, inUse := v.Size()
	t.Logf("after 10,000 changes %d bytes, of which %d are in use; %d at most, %d syncs", now, inUse, most, v.SyncCount)
	if most > defaultMinCompactSize+4096 || inUse > 400*450 {
		t.Errorf("%d bytes, %d in use, %d at most", now, inUse, most)
	}
}

// Damage in a part that was synced is not a torn tail: the file is put aside, and its member has lost its disk.
func TestDamagedSyncedDataIsQuarantined(t *testing.T) {
	d := newFaultDisk(2)
	v, _ := OpenFileSystem(d)
	for i := range 5 {
		if err := v.Put(map[string]string{"k": fmt.Sprint(i)}); err != nil {
			t.Fatal(err)
		}
	}
	v.Close()
	spoilt := d.visible[stateFile]
	spoilt.data[len(spoilt.data)/3] ^= 0x55
	v, err := OpenFileSystem(d)
	if err != nil || !v.Quarantined || len(v.Load("")) != 0 {
		t.Fatalf("put aside: %v, %v, %v", v.Quarantined, v.Load(""), err)
	}
	if d.visible[quarantineFile] == nil {
		t.Error("the damaged file is gone")
	}
	if err := v.Put(map[string]string{"k": "new"}); err != nil {
		t.Error(err)
	}
}

// The word on a write does not wait for the file to be written anew behind it.
func TestWriteCompletesBeforeCompaction(t *testing.T) {
	d := newFaultDisk(5)
	v, err := openWithThreshold(d, 1000)
	if err != nil {
		t.Fatal(err)
	}
	d.blockCreate = make(chan struct{})
	if err := v.Put(map[string]string{"k": string(bytes.Repeat([]byte("x"), 100))}); err != nil {
		t.Fatal(err)
	}
	for range 9 { // over the bound with the last of them
		if err := v.Put(map[string]string{"k": string(bytes.Repeat([]byte("y"), 100))}); err != nil {
			t.Fatal(err)
		}
		if v.mu.Lock(); v.writing {
			v.mu.Unlock()
			break
		}
		v.mu.Unlock()
	}
	close(d.blockCreate)
	if now, inUse := v.Size(); now > 1200 || inUse == 0 {
		t.Errorf("%d bytes, %d in use", now, inUse)
	}
}

// Several writers at once share syncs, and what each handed in later prevails, in the order of the calls.
func TestConcurrentWritesShareSyncs(t *testing.T) {
	d := newFaultDisk(3)
	v, _ := OpenFileSystem(d)
	d.blockSteps = make(chan struct{})
	var words []WriteFuture
	for i := range 50 {
		words = append(words, v.PutAsync(map[string]string{"k": fmt.Sprint(i), fmt.Sprint("k", i): "x"}))
	}
	close(d.blockSteps)
	for _, w := range words {
		if err := w.Wait(); err != nil {
			t.Fatal(err)
		}
	}
	if got := v.Load("k"); got[""] != "49" || len(got) != 51 || v.SyncCount > 2 {
		t.Errorf("%d values, the last %q, by %d syncs", len(got), got[""], v.SyncCount)
	}
	d.losePower()
	if v, _ := OpenFileSystem(d); len(v.Load("k")) != 51 {
		t.Error("not all that was said to be on the disk is there")
	}
}
