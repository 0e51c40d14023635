package vault

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
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
	path := filepath.Join(folder, file)
	synced, _ := os.ReadFile(path)
	if err := v.Put(map[string]string{"e/a": "three", "e/c": "four"}); err != nil {
		t.Fatal(err)
	}
	v.Close()
	whole, _ := os.ReadFile(path)
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
func TestUnreadable(t *testing.T) {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, file), bytes.Repeat([]byte("junk"), 1000), 0o644); err != nil {
		t.Fatal(err)
	}
	v, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer v.Close()
	if v.Cut != 4000 || len(v.Load("")) != 0 {
		t.Errorf("%d bytes cut, %v read", v.Cut, v.Load(""))
	}
}

// A disk that refuses the sync gives no word, and later ones that it takes do.
func TestNoWordWithoutSync(t *testing.T) {
	v, err := Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer v.Close()
	good := v.sync
	v.sync, _ = os.Open(os.DevNull)
	v.sync.Close()
	if v.Put(map[string]string{"k": "x"}) == nil {
		t.Error("a write counts whose sync has failed")
	}
	v.sync = good
	if err := v.Put(map[string]string{"k": "x"}); err != nil {
		t.Error(err)
	}
}

// A file that has grown is written anew when it is opened; a half-written new one from a crash is passed over.
func TestCompaction(t *testing.T) {
	folder := t.TempDir()
	v, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	big := string(bytes.Repeat([]byte("x"), 1<<20))
	for i := range 9 {
		if err := v.Put(map[string]string{"big": big, "n": fmt.Sprint(i)}); err != nil {
			t.Fatal(err)
		}
	}
	v.Note(map[string]string{"gone": "soon"})
	v.Note(map[string]string{"gone": ""})
	v.Close()
	if err := os.WriteFile(filepath.Join(folder, fresh), []byte("*3\r\n$3"), 0o644); err != nil {
		t.Fatal(err)
	}
	if v, err = Open(folder); err != nil {
		t.Fatal(err)
	}
	defer v.Close()
	if st, _ := os.Stat(filepath.Join(folder, file)); st.Size() > 2<<20 {
		t.Errorf("%d bytes after compaction", st.Size())
	}
	if got := v.Load(""); got["n"] != "8" || got["big"] != big || got["gone"] != "" {
		t.Error("what was there is not there any more")
	}
	if err := v.Put(map[string]string{"n": "9"}); err != nil || v.Load("")["n"] != "9" {
		t.Error("the compacted file takes no writes")
	}
}
