// Package vault keeps a member's lasting state in one file of buntdb's. buntdb holds the values, reads the file and writes
// it anew; appending is done here, since what a member's word rests on is not promised there: a write counts only when its
// sync has come back without an error, a write that failed in part is cut back, and after a failed sync, of which nobody
// knows what it has covered, the whole file is written anew before anything counts again. Every value carries a checksum
// over itself and its key. A tail that a loss of power has torn or left full of holes is cut off when the file is opened:
// what stands behind the first flaw was written after the last sync and was never spoken of. Where a later mark says that
// the flawed part had been synced, the file is put aside: its member has lost its disk.
package storage

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
	stateFile      = "state.db"
	compactFile    = "state.new"
	quarantineFile = "state.bad"
	syncedKey      = "synced" // a key that stands in the file alone: up to which byte it was synced when this was written

	defaultMinCompactSize = 1 << 20 // bytes below which the file is not written anew
	maxGrowthFactor       = 4       // how many times larger than what is in use the file may grow: a byte kept is written 4/3 times
)

// Store is an open store.
type Store struct {
	fs             FileSystem
	minCompactSize int64
	TruncatedBytes int64 // bytes cut off when it was opened
	Quarantined    bool  // a file was found damaged where it had been synced, and put aside

	mu      sync.Mutex
	pending *batch // what the next write takes
	writing bool   // one is being written
	idle    *sync.Cond
	closed  bool

	// What follows belongs to the one who writes.
	db           *buntdb.DB // in memory: all that the file holds
	file         File
	fileSize     int64 // bytes written
	syncedSize   int64 // of these, surely on the disk
	liveSize     int64 // bytes that a file written anew would have, about
	needsRewrite bool  // what is on the disk behind synced is not known
	SyncCount    int64 // for measurements: how often the disk was waited for
}

// batch is what several callers have written together.
type batch struct {
	values  map[string]string // empty: dropped
	durable bool
	done    chan struct{}
	err     error
}

func newBatch() *batch { return &batch{values: map[string]string{}, done: make(chan struct{})} }

// WriteFuture is the disk's word on a write.
type WriteFuture struct{ batch *batch }

// Wait returns when the write is on the disk, or an error where it may not be.
func (w WriteFuture) Wait() error {
	if w.batch == nil {
		return nil
	}
	<-w.batch.done
	return w.batch.err
}

// Open opens the store in a folder, or begins one.
func Open(dir string) (*Store, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "vault")
	}
	return OpenFileSystem(Dir(dir))
}

// OpenFileSystem opens the store on a disk that is handed in.
func OpenFileSystem(fs FileSystem) (*Store, error) {
	return openWithThreshold(fs, defaultMinCompactSize)
}

func openWithThreshold(fs FileSystem, minCompactSize int64) (*Store, error) {
	s := &Store{fs: fs, minCompactSize: minCompactSize, pending: newBatch()}
	s.idle = sync.NewCond(&s.mu)
	data, err := fs.ReadFile(stateFile)
	if errors.Is(err, os.ErrNotExist) {
		data, err = nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "vault")
	}
	validLen, intact := validPrefix(data)
	if !intact {
		if err := fs.Rename(stateFile, quarantineFile); err != nil {
			return nil, errors.Wrap(err, "vault: put aside")
		}
		s.Quarantined, data, validLen = true, nil, 0
	}
	s.TruncatedBytes = int64(len(data) - validLen)
	if s.db, err = buntdb.Open(":memory:"); err != nil {
		return nil, errors.Wrap(err, "vault")
	}
	if err := s.db.Load(bytes.NewReader(data[:validLen])); err != nil {
		return nil, errors.Wrap(err, "vault")
	}
	_ = s.db.Update(func(tx *buntdb.Tx) error { // what is not there need not go
		_, _ = tx.Delete(syncedKey)
		return tx.AscendKeys("*", func(key, value string) bool {
			s.liveSize += estimatedRecordSize(key, value)
			return true
		})
	})
	_ = fs.Remove(compactFile) // half of a file that a crash has left
	if s.file, err = fs.OpenAppend(stateFile); err != nil {
		return nil, errors.Wrap(err, "vault")
	}
	s.fileSize = int64(validLen)
	if s.TruncatedBytes > 0 {
		if err := s.file.Truncate(s.fileSize); err != nil {
			return nil, errors.Wrap(err, "vault")
		}
	}
	// What was read was perhaps never synced; before anything is said of it, it is.
	if err := s.file.Sync(); err != nil {
		return nil, errors.Wrap(err, "vault")
	}
	if err := fs.SyncDir(); err != nil {
		return nil, errors.Wrap(err, "vault")
	}
	s.syncedSize = s.fileSize
	if s.fileSize > s.compactThreshold() {
		if err := s.compact(); err != nil {
			return nil, errors.Wrap(err, "vault: compaction")
		}
	}
	return s, nil
}

// compactThreshold is how large the file may become before it is written anew.
func (s *Store) compactThreshold() int64 { return max(s.minCompactSize, maxGrowthFactor*s.liveSize) }

// Put writes the values together and returns once they are on the disk. After an error nothing is promised.
func (s *Store) Put(values map[string]string) error { return s.PutAsync(values).Wait() }

// PutAsync hands in values to be written together, in the order of the calls, and gives the disk's word on them. It does not
// wait itself, so that a caller can hand in what it has changed before anyone else changes it again: of two states of one
// value the older must never be written over the newer.
func (s *Store) PutAsync(values map[string]string) WriteFuture {
	if len(values) == 0 {
		return WriteFuture{}
	}
	return WriteFuture{s.enqueue(values, true)}
}

// PutUnsynced writes values, and drops those that are empty, without a sync: what is good to have and may be lost. A loss of
// power leaves a beginning of it, in the order of the keys. The word says whether it was written.
func (s *Store) PutUnsynced(values map[string]string) WriteFuture {
	if len(values) == 0 {
		return WriteFuture{}
	}
	return WriteFuture{s.enqueue(values, false)}
}

func (s *Store) enqueue(values map[string]string, durable bool) *batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.pending
	if s.closed {
		b = newBatch()
		b.err = errors.New("vault: closed")
		close(b.done)
		return b
	}
	for key, value := range values {
		b.values[key] = value
	}
	b.durable = b.durable || durable
	if !s.writing {
		s.writing = true
		go s.writeLoop()
	}
	return b
}

// writeLoop writes batch after batch until there is none: all that comes while the disk is busy goes with one sync.
func (s *Store) writeLoop() {
	for {
		s.mu.Lock()
		b := s.pending
		if len(b.values) == 0 {
			s.writing = false
			s.idle.Broadcast()
			s.mu.Unlock()
			return
		}
		s.pending = newBatch()
		s.mu.Unlock()
		if b.err = s.writeBatch(b); b.err != nil {
			b.err = errors.Wrap(b.err, "vault")
		}
		close(b.done) // before the file is written anew, which takes longer than what was waited for
		if b.err == nil && s.fileSize > s.compactThreshold() && s.compact() != nil {
			s.needsRewrite = true // the file as it was goes on; the next write tries again
		}
	}
}

// writeBatch brings a batch to the disk, and into the tables.
func (s *Store) writeBatch(b *batch) error {
	if s.needsRewrite {
		if err := s.compact(); err != nil {
			return err
		}
	}
	record := appendSetCommand(nil, syncedKey, strconv.FormatInt(s.syncedSize, 10))
	for _, key := range slices.Sorted(maps.Keys(b.values)) { // what a torn tail has of a batch is its beginning, in this order
		if value := b.values[key]; value == "" {
			record = appendDeleteCommand(record, key)
		} else {
			record = appendSetCommand(record, key, value)
		}
	}
	written, err := s.file.Write(record)
	if err == nil && written < len(record) {
		err = errors.New("a short write")
	}
	if err != nil {
		if written > 0 && s.file.Truncate(s.fileSize) != nil {
			s.needsRewrite = true
		}
		return err
	}
	s.fileSize += int64(len(record))
	if b.durable {
		s.SyncCount++
		if err := s.file.Sync(); err != nil {
			s.needsRewrite = true
			return err
		}
		s.syncedSize = s.fileSize
	}
	s.applyBatch(b)
	return nil
}

// applyBatch takes a batch that was written into the tables.
func (s *Store) applyBatch(b *batch) {
	_ = s.db.Update(func(tx *buntdb.Tx) error { // in memory: it cannot fail but for keys that are not there
		for key, value := range b.values {
			if value == "" {
				if old, err := tx.Delete(key); err == nil {
					s.liveSize -= estimatedRecordSize(key, old)
				}
				continue
			}
			sealed := addChecksum(key, value)
			if old, replaced, _ := tx.Set(key, sealed, nil); replaced {
				s.liveSize -= estimatedRecordSize(key, old)
			}
			s.liveSize += estimatedRecordSize(key, sealed)
		}
		return nil
	})
}

// compact writes the file anew: whole, synced, renamed, and the folder synced before anything is appended to it. A crash
// leaves the old file or the new one, and all that was ever acknowledged stands in both.
func (s *Store) compact() error {
	newFile, err := s.fs.Create(compactFile)
	if err != nil {
		return err
	}
	c := &countingWriter{file: newFile}
	err = s.db.Save(c)
	if err == nil {
		s.SyncCount++
		err = newFile.Sync()
	}
	if err == nil {
		err = s.fs.Rename(compactFile, stateFile)
	}
	if err != nil {
		newFile.Close()
		return err
	}
	s.file.Close()
	s.file, s.fileSize, s.syncedSize, s.liveSize = newFile, c.written, c.written, c.written
	// From here on the new file is the one that is appended to; whether it lasts is known once the folder has been synced.
	if err := s.fs.SyncDir(); err != nil {
		return err
	}
	s.needsRewrite = false
	return nil
}

// countingWriter counts what is written, and makes a short write an error.
type countingWriter struct {
	file    File
	written int64
}

func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.file.Write(p)
	c.written += int64(n)
	if err == nil && n < len(p) {
		err = errors.New("a short write")
	}
	return n, err
}

// Load reads all values whose keys begin so; the keys come without it.
func (s *Store) Load(prefix string) map[string]string {
	values := map[string]string{}
	_ = s.db.View(func(tx *buntdb.Tx) error {
		return tx.AscendKeys(prefix+"*", func(key, x string) bool {
			if x, ok := verifyChecksum(key, x); ok {
				values[strings.TrimPrefix(key, prefix)] = x
			}
			return true
		})
	})
	return values
}

// Size is how large the file is, and how large it would be if it were written anew, once all that was handed in is written.
func (s *Store) Size() (fileSize, liveSize int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.writing {
		s.idle.Wait()
	}
	return s.fileSize, s.liveSize
}

// Close writes what was handed in and closes the store.
func (s *Store) Close() error {
	s.mu.Lock()
	s.closed = true
	for s.writing {
		s.idle.Wait()
	}
	s.mu.Unlock()
	return s.file.Close()
}
