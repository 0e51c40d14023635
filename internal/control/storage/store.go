// Package storage keeps the durable state of a controller: a map of strings in one append-only file of buntdb's
// format.
//
// buntdb holds the values in memory and writes compacted files. This package does the appending itself, because it
// needs guarantees that buntdb does not give:
//
//   - A write is acknowledged only after its sync has returned without an error.
//   - A write that failed half-way is truncated.
//   - After a failed sync it is unknown what has reached the disk, so the whole file is rewritten before any further
//     write is acknowledged.
//   - Every value carries a checksum over its key and itself.
//
// Opening a store cuts off a tail that a power failure has torn: whatever follows the first invalid byte was written
// after the last sync, and was never acknowledged. If a later record states that the invalid part had been synced,
// the file is damaged: it is quarantined, the store is empty, and the controller has to be treated as one that lost
// its disk.
package storage

import (
	"bytes"
	"os"
	"strings"
	"sync"

	"github.com/go-faster/errors"
	"github.com/tidwall/buntdb"
)

// Names in the store's directory.
const (
	stateFile      = "state.db"
	compactFile    = "state.new" // a compacted file before it replaces the state file
	quarantineFile = "state.bad" // the last damaged state file
)

// syncedKey is set at the start of each record of the file, and never in memory. Its value is the size up to which the
// file had been synced when the record was written.
const syncedKey = "synced"

const (
	// defaultMinCompactSize is the size in bytes up to which a file is not compacted.
	defaultMinCompactSize = 1 << 20
	// maxGrowthFactor is how many times the size of its live values a file may reach before it is compacted. With a
	// factor of 4, compaction adds a third to the bytes that are written.
	maxGrowthFactor = 4
)

// ErrClosed is the error of a write to a closed store.
var ErrClosed = errors.New("storage: closed")

// Store is an open store. Its methods may be called concurrently.
type Store struct {
	fs             FileSystem
	minCompactSize int64

	// TruncatedBytes is how many bytes of an invalid tail were cut off when the store was opened.
	TruncatedBytes int64
	// Quarantined reports that a damaged file was found when the store was opened, and moved to state.bad.
	Quarantined bool

	mu      sync.Mutex
	pending *batch     // collects writes until writeLoop takes it
	writing bool       // writeLoop is running
	idle    *sync.Cond // signals that writeLoop has ended
	closed  bool

	// The fields below belong to writeLoop while it runs.
	db           *buntdb.DB // all values, with their checksums, in memory
	file         File       // the state file
	fileSize     int64      // bytes written
	syncedSize   int64      // bytes known to be durable
	liveSize     int64      // about the size of the file if it were compacted now
	needsRewrite bool       // the file's content behind syncedSize is unknown
	syncCount    int64
}

// Open opens the store in a directory. It creates the directory and the store if they are missing.
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

// openWithThreshold opens a store whose file is compacted from minCompactSize bytes on.
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

// load fills the tables in memory from the valid content of the state file.
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
		return tx.AscendKeys("*", func(key, sealed string) bool {
			s.liveSize += estimatedRecordSize(key, sealed)
			return true
		})
	})
}

// openFile opens the state file for writing after its valid content of the given size.
func (s *Store) openFile(size int64) error {
	_ = s.fs.Remove(compactFile) // left by a crash during a compaction; it usually does not exist
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
	// The content that was read may never have been synced. It has to be durable before anyone acts on it.
	if err := file.Sync(); err != nil {
		return err
	}
	if err := s.fs.SyncDir(); err != nil {
		return err
	}
	s.syncedSize = size
	return nil
}

// Put writes the values in one record and returns when they are durable. After an error they may be durable or not.
func (s *Store) Put(values map[string]string) error { return s.PutAsync(values).Wait() }

// PutAsync queues the values for writing in one record and returns without waiting for the disk. Calls take effect in
// their order. A caller can thus queue a state while it holds the lock that guards it, so that an older state never
// replaces a newer one, and wait for the disk after it has released the lock.
//
// An empty value deletes its key.
func (s *Store) PutAsync(values map[string]string) WriteFuture {
	if len(values) == 0 {
		return WriteFuture{}
	}
	return WriteFuture{s.enqueue(values, true)}
}

// PutUnsynced queues the values like PutAsync, but its write is not synced: it is for values that may be lost. A power
// failure leaves any prefix of them, in the order of their keys. The future reports whether they were written.
func (s *Store) PutUnsynced(values map[string]string) WriteFuture {
	if len(values) == 0 {
		return WriteFuture{}
	}
	return WriteFuture{s.enqueue(values, false)}
}

// Load returns all values whose keys begin with the prefix, by the rest of their keys.
func (s *Store) Load(prefix string) map[string]string {
	values := map[string]string{}
	// Reading from memory fails only after the database was closed, which the store never does.
	_ = s.db.View(func(tx *buntdb.Tx) error {
		return tx.AscendKeys(prefix+"*", func(key, sealed string) bool {
			if value, ok := verifyChecksum(key, sealed); ok {
				values[strings.TrimPrefix(key, prefix)] = value
			}
			return true
		})
	})
	return values
}

// Size waits until all queued writes are done, and returns the size of the file in bytes and about the size that it
// would have if it were compacted.
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

// awaitWriter waits until writeLoop has ended. The caller holds s.mu.
func (s *Store) awaitWriter() {
	for s.writing {
		s.idle.Wait()
	}
}
