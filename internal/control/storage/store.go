// Package storage keeps the durable state of a controller: a map of strings in one append-only file of buntdb's
// format.
//
// buntdb holds the values in memory and writes compacted files. This package appends to the file itself, because it
// needs guarantees that buntdb does not give:
//
//   - A write is acknowledged only after its sync has returned without an error.
//   - A partial write that failed is truncated.
//   - After a failed sync it is unknown which data is durable, so the whole file is rewritten before any further write
//     is acknowledged.
//   - Every value has a checksum over its key and the value.
//
// Opening a store truncates a tail that a power failure has torn: all data after the first invalid byte was written
// after the last sync and was never acknowledged. If a later record states that the invalid part had been synced, the
// file is damaged. It is then quarantined, the store is empty, and the controller has to be treated as one that has
// lost its disk.
package storage

import (
	"bytes"
	"os"
	"strings"
	"sync"

	"github.com/go-faster/errors"
	"github.com/tidwall/buntdb"
)

// Names of the files in the store's directory.
const (
	stateFile      = "state.db"
	compactFile    = "state.new" // a compacted file that will replace the state file
	quarantineFile = "state.bad" // the last damaged state file
)

// syncedKey is set at the start of each record of the file, but never in memory. Its value is the synced size of the
// file at the time when the record was written.
const syncedKey = "synced"

const (
	// defaultMinCompactSize is the size in bytes above which a file may be compacted.
	defaultMinCompactSize = 1 << 20
	// maxGrowthFactor is the ratio of a file's size to the size of its live values above which the file is compacted.
	// With a factor of 4, compaction adds a third to the bytes that are written.
	maxGrowthFactor = 4
)

// ErrClosed is returned by writes to a closed store.
var ErrClosed = errors.New("storage: closed")

// Store is an open store. Its methods may be called concurrently.
type Store struct {
	fs             FileSystem
	minCompactSize int64

	// TruncatedBytes is the size of the invalid tail that was truncated when the store was opened.
	TruncatedBytes int64
	// Quarantined reports whether a damaged file was found when the store was opened, and moved to state.bad.
	Quarantined bool

	mu      sync.Mutex
	pending *batch     // collects writes for the next iteration of writeLoop
	writing bool       // writeLoop is running
	idle    *sync.Cond // signals that writeLoop has ended
	closed  bool

	// Only writeLoop may access the fields below while it runs.
	db           *buntdb.DB // all values, with their checksums, in memory
	file         File       // the state file
	fileSize     int64      // bytes written
	syncedSize   int64      // bytes known to be durable
	liveSize     int64      // approximate size of the file after a compaction
	needsRewrite bool       // the file's content after syncedSize is unknown
	syncCount    int64
}

// Open opens the store in a directory. It creates the directory and the store if they do not exist.
func Open(dir string) (*Store, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "storage")
	}
	return OpenFileSystem(Dir(dir))
}

// OpenFileSystem opens the store in a given file system.
func OpenFileSystem(fs FileSystem) (*Store, error) {
	return openWithThreshold(fs, defaultMinCompactSize)
}

// openWithThreshold opens a store whose file may be compacted above minCompactSize bytes.
func openWithThreshold(fs FileSystem, minCompactSize int64) (*Store, error) {
	s := &Store{fs: fs, minCompactSize: minCompactSize, pending: newBatch()}
	s.idle = sync.NewCond(&s.mu)
	data, err := s.recoverState()
	if err != nil {
		return nil, errors.Wrap(err, "storage: recover")
	}
	if err := s.load(data); err != nil {
		return nil, errors.Wrap(err, "storage: load")
	}
	if err := s.openFile(int64(len(data))); err != nil {
		return nil, errors.Wrap(err, "storage: open")
	}
	if s.fileSize > s.compactThreshold() {
		if err := s.compact(); err != nil {
			return nil, errors.Wrap(err, "storage: compact")
		}
	}
	return s, nil
}

// recoverState reads the state file and returns its valid prefix. It quarantines a damaged file.
func (s *Store) recoverState() ([]byte, error) {
	data, err := s.fs.ReadFile(stateFile)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	validLen, intact := validPrefix(data)
	if !intact {
		s.Quarantined = true
		return nil, s.fs.Rename(stateFile, quarantineFile)
	}
	s.TruncatedBytes = int64(len(data) - validLen)
	return data[:validLen], nil
}

// load fills the in-memory database from the valid content of the state file.
func (s *Store) load(data []byte) error {
	db, err := buntdb.Open(":memory:")
	if err != nil {
		return err
	}
	s.db = db
	if err := db.Load(bytes.NewReader(data)); err != nil {
		return err
	}
	return db.Update(func(tx *buntdb.Tx) error {
		if _, err := tx.Delete(syncedKey); err != nil && !errors.Is(err, buntdb.ErrNotFound) {
			return err
		}
		return tx.AscendKeys("*", func(key, stored string) bool {
			s.liveSize += estimatedRecordSize(key, stored)
			return true
		})
	})
}

// openFile opens the state file for writing after its valid content, which has the given size.
func (s *Store) openFile(size int64) error {
	_ = s.fs.Remove(compactFile) // left by a crash during a compaction; usually does not exist
	file, err := s.fs.OpenAppend(stateFile)
	if err != nil {
		return err
	}
	s.file = file
	s.fileSize = size
	if s.TruncatedBytes > 0 {
		if err := file.Truncate(size); err != nil {
			return err
		}
	}
	// The content that was read may not have been synced yet. It must be durable before it is used.
	if err := file.Sync(); err != nil {
		return err
	}
	if err := s.fs.SyncDir(); err != nil {
		return err
	}
	s.syncedSize = size
	return nil
}

// Put writes the values in one record and returns when they are durable. After an error they may or may not be durable.
func (s *Store) Put(values map[string]string) error { return s.PutAsync(values).Wait() }

// PutAsync queues the values for writing in one record and returns without waiting for the disk. Calls take effect in
// the order in which they are made. A caller can therefore queue a state while it holds the lock that guards the state,
// so that an older state never replaces a newer one, and wait for the disk after it has released the lock.
//
// An empty value deletes its key.
func (s *Store) PutAsync(values map[string]string) WriteFuture {
	if len(values) == 0 {
		return WriteFuture{}
	}
	return WriteFuture{s.enqueue(values, true)}
}

// PutUnsynced queues values that may be lost. It is like PutAsync, but the write is not synced. A power failure may
// leave any prefix of the values, in the order of their keys. The future reports whether the values were written.
func (s *Store) PutUnsynced(values map[string]string) WriteFuture {
	if len(values) == 0 {
		return WriteFuture{}
	}
	return WriteFuture{s.enqueue(values, false)}
}

// Load returns all values whose keys begin with the prefix. The keys of the result lack the prefix.
func (s *Store) Load(prefix string) map[string]string {
	values := map[string]string{}
	// Reading from memory fails only if the database is closed, and the store never closes it.
	_ = s.db.View(func(tx *buntdb.Tx) error {
		return tx.AscendKeys(prefix+"*", func(key, stored string) bool {
			if value, ok := verifyChecksum(key, stored); ok {
				values[strings.TrimPrefix(key, prefix)] = value
			}
			return true
		})
	})
	return values
}

// Size waits until all queued writes are done, and returns the size of the file and its approximate size after a
// compaction, in bytes.
func (s *Store) Size() (fileSize, liveSize int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaitWriter()
	return s.fileSize, s.liveSize
}

// Close waits until all queued writes are done, and closes the store. Later writes fail with ErrClosed.
func (s *Store) Close() error {
	s.mu.Lock()
	s.closed = true
	s.awaitWriter()
	s.mu.Unlock()
	return s.file.Close()
}

// awaitWriter waits until writeLoop has ended. The caller must hold s.mu.
func (s *Store) awaitWriter() {
	for s.writing {
		s.idle.Wait()
	}
}
