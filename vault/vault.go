// Package vault keeps a member's lasting state in one file of buntdb's. buntdb holds the values, reads the file and writes
// it anew; appending is done here, since what a member's word rests on is not promised there: a write counts only when its
// sync has come back without an error, a write that failed in part is cut back, and after a failed sync, of which nobody
// knows what it has covered, the whole file is written anew before anything counts again. Every value carries a checksum
// over itself and its key. A tail that a loss of power has torn or left full of holes is cut off when the file is opened:
// what stands behind the first flaw was written after the last sync and was never spoken of. Where a later mark says that
// the flawed part had been synced, the file is put aside: its member has lost its disk.
package vault

import (
	"bytes"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/go-faster/errors"
	"github.com/tidwall/buntdb"
)

const (
	file  = "state.db"
	fresh = "state.new"
	bad   = "state.bad"
	mark  = "synced" // a key that stands in the file alone: up to which byte it was synced when this was written

	least   = 1 << 20 // bytes below which the file is not written anew
	surplus = 4       // how many times larger than what is in use the file may grow: a byte kept is written 4/3 times
)

// Vault is an open store.
type Vault struct {
	files Files
	least int64
	Cut   int64 // bytes cut off when it was opened
	Aside bool  // a file was found damaged where it had been synced, and put aside

	mu     sync.Mutex
	next   *batch // what the next write takes
	busy   bool   // one is being written
	idle   *sync.Cond
	closed bool

	// What follows belongs to the one who writes.
	db     *buntdb.DB // in memory: all that the file holds
	out    File
	size   int64 // bytes written
	synced int64 // of these, surely on the disk
	live   int64 // bytes that a file written anew would have, about
	broken bool  // what is on the disk behind synced is not known
	Syncs  int64 // for measurements: how often the disk was waited for
}

// batch is what several callers have written together.
type batch struct {
	values map[string]string // empty: dropped
	sync   bool
	done   chan struct{}
	err    error
}

func newBatch() *batch { return &batch{values: map[string]string{}, done: make(chan struct{})} }

// Word is the disk's word on a write.
type Word struct{ b *batch }

// Wait returns when the write is on the disk, or an error where it may not be.
func (w Word) Wait() error {
	if w.b == nil {
		return nil
	}
	<-w.b.done
	return w.b.err
}

// Open opens the store in a folder, or begins one.
func Open(folder string) (*Vault, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, errors.Wrap(err, "vault")
	}
	return OpenOn(Folder(folder))
}

// OpenOn opens the store on a disk that is handed in.
func OpenOn(files Files) (*Vault, error) { return openOn(files, least) }

func openOn(files Files, least int64) (*Vault, error) {
	v := &Vault{files: files, least: least, next: newBatch()}
	v.idle = sync.NewCond(&v.mu)
	data, err := files.Read(file)
	if errors.Is(err, os.ErrNotExist) {
		data, err = nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "vault")
	}
	good, sound := readable(data)
	if !sound {
		if err := files.Rename(file, bad); err != nil {
			return nil, errors.Wrap(err, "vault: put aside")
		}
		v.Aside, data, good = true, nil, 0
	}
	v.Cut = int64(len(data) - good)
	if v.db, err = buntdb.Open(":memory:"); err != nil {
		return nil, errors.Wrap(err, "vault")
	}
	if err := v.db.Load(bytes.NewReader(data[:good])); err != nil {
		return nil, errors.Wrap(err, "vault")
	}
	_ = v.db.Update(func(tx *buntdb.Tx) error { // what is not there need not go
		_, _ = tx.Delete(mark)
		return tx.AscendKeys("*", func(k, x string) bool {
			v.live += recordSize(k, x)
			return true
		})
	})
	_ = files.Remove(fresh) // half of a file that a crash has left
	if v.out, err = files.Append(file); err != nil {
		return nil, errors.Wrap(err, "vault")
	}
	v.size = int64(good)
	if v.Cut > 0 {
		if err := v.out.Truncate(v.size); err != nil {
			return nil, errors.Wrap(err, "vault")
		}
	}
	// What was read was perhaps never synced; before anything is said of it, it is.
	if err := v.out.Sync(); err != nil {
		return nil, errors.Wrap(err, "vault")
	}
	if err := files.SyncFolder(); err != nil {
		return nil, errors.Wrap(err, "vault")
	}
	v.synced = v.size
	if v.size > v.most() {
		if err := v.anew(); err != nil {
			return nil, errors.Wrap(err, "vault: compaction")
		}
	}
	return v, nil
}

// most is how large the file may become before it is written anew.
func (v *Vault) most() int64 { return max(v.least, surplus*v.live) }

// Put writes the values together and returns once they are on the disk. After an error nothing is promised.
func (v *Vault) Put(values map[string]string) error { return v.Add(values).Wait() }

// Add hands in values to be written together, in the order of the calls, and gives the disk's word on them. It does not
// wait itself, so that a caller can hand in what it has changed before anyone else changes it again: of two states of one
// value the older must never be written over the newer.
func (v *Vault) Add(values map[string]string) Word {
	if len(values) == 0 {
		return Word{}
	}
	return Word{v.hand(values, true)}
}

// Note writes values, and drops those that are empty, without a sync: what is good to have and may be lost. A loss of
// power leaves a beginning of it, in the order of the keys. The word says whether it was written.
func (v *Vault) Note(values map[string]string) Word {
	if len(values) == 0 {
		return Word{}
	}
	return Word{v.hand(values, false)}
}

func (v *Vault) hand(values map[string]string, sync bool) *batch {
	v.mu.Lock()
	defer v.mu.Unlock()
	b := v.next
	if v.closed {
		b = newBatch()
		b.err = errors.New("vault: closed")
		close(b.done)
		return b
	}
	for k, x := range values {
		b.values[k] = x
	}
	b.sync = b.sync || sync
	if !v.busy {
		v.busy = true
		go v.run()
	}
	return b
}

// run writes batch after batch until there is none: all that comes while the disk is busy goes with one sync.
func (v *Vault) run() {
	for {
		v.mu.Lock()
		b := v.next
		if len(b.values) == 0 {
			v.busy = false
			v.idle.Broadcast()
			v.mu.Unlock()
			return
		}
		v.next = newBatch()
		v.mu.Unlock()
		if b.err = v.write(b); b.err != nil {
			b.err = errors.Wrap(b.err, "vault")
		}
		close(b.done) // before the file is written anew, which takes longer than what was waited for
		if b.err == nil && v.size > v.most() && v.anew() != nil {
			v.broken = true // the file as it was goes on; the next write tries again
		}
	}
}

// write brings a batch to the disk, and into the tables.
func (v *Vault) write(b *batch) error {
	if v.broken {
		if err := v.anew(); err != nil {
			return err
		}
	}
	text := appendSet(nil, mark, strconv.FormatInt(v.synced, 10))
	for _, k := range slices.Sorted(maps.Keys(b.values)) { // what a torn tail has of a batch is its beginning, in this order
		if x := b.values[k]; x == "" {
			text = appendDel(text, k)
		} else {
			text = appendSet(text, k, x)
		}
	}
	n, err := v.out.Write(text)
	if err == nil && n < len(text) {
		err = errors.New("a short write")
	}
	if err != nil {
		if n > 0 && v.out.Truncate(v.size) != nil {
			v.broken = true
		}
		return err
	}
	v.size += int64(len(text))
	if b.sync {
		v.Syncs++
		if err := v.out.Sync(); err != nil {
			v.broken = true
			return err
		}
		v.synced = v.size
	}
	v.keep(b)
	return nil
}

// keep takes a batch that was written into the tables.
func (v *Vault) keep(b *batch) {
	_ = v.db.Update(func(tx *buntdb.Tx) error { // in memory: it cannot fail but for keys that are not there
		for k, x := range b.values {
			if x == "" {
				if old, err := tx.Delete(k); err == nil {
					v.live -= recordSize(k, old)
				}
				continue
			}
			sealed := seal(k, x)
			if old, replaced, _ := tx.Set(k, sealed, nil); replaced {
				v.live -= recordSize(k, old)
			}
			v.live += recordSize(k, sealed)
		}
		return nil
	})
}

// anew writes the file anew: whole, synced, renamed, and the folder synced before anything is appended to it. A crash
// leaves the old file or the new one, and all that was ever acknowledged stands in both.
func (v *Vault) anew() error {
	f, err := v.files.Create(fresh)
	if err != nil {
		return err
	}
	c := &counter{w: f}
	err = v.db.Save(c)
	if err == nil {
		v.Syncs++
		err = f.Sync()
	}
	if err == nil {
		err = v.files.Rename(fresh, file)
	}
	if err != nil {
		f.Close()
		return err
	}
	v.out.Close()
	v.out, v.size, v.synced, v.live = f, c.n, c.n, c.n
	// From here on the new file is the one that is appended to; whether it lasts is known once the folder has been synced.
	if err := v.files.SyncFolder(); err != nil {
		return err
	}
	v.broken = false
	return nil
}

// counter counts what is written, and makes a short write an error.
type counter struct {
	w File
	n int64
}

func (c *counter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n += int64(n)
	if err == nil && n < len(p) {
		err = errors.New("a short write")
	}
	return n, err
}

// Load reads all values whose keys begin so; the keys come without it.
func (v *Vault) Load(prefix string) map[string]string {
	out := map[string]string{}
	_ = v.db.View(func(tx *buntdb.Tx) error {
		return tx.AscendKeys(prefix+"*", func(k, x string) bool {
			if x, ok := open(k, x); ok {
				out[strings.TrimPrefix(k, prefix)] = x
			}
			return true
		})
	})
	return out
}

// Size is how large the file is, and how large it would be if it were written anew, once all that was handed in is written.
func (v *Vault) Size() (now, inUse int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for v.busy {
		v.idle.Wait()
	}
	return v.size, v.live
}

// Close writes what was handed in and closes the store.
func (v *Vault) Close() error {
	v.mu.Lock()
	v.closed = true
	for v.busy {
		v.idle.Wait()
	}
	v.mu.Unlock()
	return v.out.Close()
}
