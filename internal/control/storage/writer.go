package storage

import (
	"io"
	"maps"
	"slices"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/tidwall/buntdb"
)

// batch collects the writes that are written to the disk together, in one record.
type batch struct {
	values  map[string]string // an empty value deletes its key
	durable bool              // the record is synced before the batch is done
	done    chan struct{}     // closed when err is final
	err     error
}

func newBatch() *batch { return &batch{values: map[string]string{}, done: make(chan struct{})} }

// WriteFuture is the future result of a queued write. The zero value is the result of an empty write, which succeeds.
type WriteFuture struct{ batch *batch }

// Wait blocks until the write is done and returns its error. After an error the values may or may not be durable.
func (w WriteFuture) Wait() error {
	if w.batch == nil {
		return nil
	}
	<-w.batch.done
	return w.batch.err
}

// enqueue adds values to the pending batch and starts writeLoop if it is not running.
func (s *Store) enqueue(values map[string]string, durable bool) *batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		rejected := newBatch()
		rejected.err = ErrClosed
		close(rejected.done)
		return rejected
	}
	for key, value := range values {
		s.pending.values[key] = value
	}
	s.pending.durable = s.pending.durable || durable
	if !s.writing {
		s.writing = true
		go s.writeLoop()
	}
	return s.pending
}

// writeLoop writes batches until none is pending. All writes that are queued during a write share one sync.
func (s *Store) writeLoop() {
	for {
		next := s.takeBatch()
		if next == nil {
			return
		}
		if err := s.writeBatch(next); err != nil {
			next.err = errors.Wrap(err, "storage")
		}
		close(next.done) // before a compaction, which takes longer than the write
		if next.err == nil && s.fileSize > s.compactThreshold() {
			if err := s.compact(); err != nil {
				s.needsRewrite = true // the current file remains in use; the next write retries the compaction
			}
		}
	}
}

// takeBatch returns the pending batch and replaces it. If the batch is empty, takeBatch marks writeLoop as ended and
// returns nil.
func (s *Store) takeBatch() *batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.pending
	if len(taken.values) == 0 {
		s.writing = false
		s.idle.Broadcast()
		return nil
	}
	s.pending = newBatch()
	return taken
}

// writeBatch writes a batch to the file, syncs the file if the batch is durable, and applies the batch to the in-memory
// database.
func (s *Store) writeBatch(b *batch) error {
	if s.needsRewrite {
		if err := s.compact(); err != nil {
			return err
		}
	}
	record := s.encodeRecord(b)
	if err := s.appendRecord(record); err != nil {
		return err
	}
	s.fileSize += int64(len(record))
	if b.durable {
		s.syncCount++
		if err := s.file.Sync(); err != nil {
			s.needsRewrite = true
			return err
		}
		s.syncedSize = s.fileSize
	}
	s.applyBatch(b)
	return nil
}

// encodeRecord encodes a batch in the order of its keys, so that a torn tail contains a prefix of the batch.
func (s *Store) encodeRecord(b *batch) []byte {
	record := appendSetCommand(nil, syncedKey, strconv.FormatInt(s.syncedSize, 10))
	for _, key := range slices.Sorted(maps.Keys(b.values)) {
		if value := b.values[key]; value == "" {
			record = appendDeleteCommand(record, key)
		} else {
			record = appendSetCommand(record, key, value)
		}
	}
	return record
}

// appendRecord writes a record at the end of the file. If the write fails, it truncates a partially written record.
func (s *Store) appendRecord(record []byte) error {
	written, err := s.file.Write(record)
	if err == nil && written < len(record) {
		err = io.ErrShortWrite
	}
	if err == nil {
		return nil
	}
	if written > 0 {
		if truncateErr := s.file.Truncate(s.fileSize); truncateErr != nil {
			s.needsRewrite = true
		}
	}
	return err
}

// applyBatch applies a written batch to the in-memory database.
func (s *Store) applyBatch(b *batch) {
	// An update in memory fails only if the database is closed, and the store never closes it.
	_ = s.db.Update(func(tx *buntdb.Tx) error {
		for key, value := range b.values {
			if value == "" {
				s.applyDelete(tx, key)
			} else {
				s.applySet(tx, key, addChecksum(key, value))
			}
		}
		return nil
	})
}

// applyDelete deletes a key, which may be missing.
func (s *Store) applyDelete(tx *buntdb.Tx, key string) {
	if old, err := tx.Delete(key); err == nil {
		s.liveSize -= estimatedRecordSize(key, old)
	}
}

func (s *Store) applySet(tx *buntdb.Tx, key, stored string) {
	old, replaced, _ := tx.Set(key, stored, nil) // fails only in a closed or read-only transaction
	if replaced {
		s.liveSize -= estimatedRecordSize(key, old)
	}
	s.liveSize += estimatedRecordSize(key, stored)
}

// compactThreshold returns the size in bytes above which the file is compacted.
func (s *Store) compactThreshold() int64 { return max(s.minCompactSize, maxGrowthFactor*s.liveSize) }

// compact replaces the state file by one that contains only the live values. It writes and syncs a new file, renames
// it, and syncs the directory before any record is appended.
//
// Invariant: a crash at any time leaves either the old or the new file, and both contain every acknowledged write.
func (s *Store) compact() error {
	newFile, err := s.fs.Create(compactFile)
	if err != nil {
		return err
	}
	size, err := s.saveTo(newFile)
	if err == nil {
		err = s.fs.Rename(compactFile, stateFile)
	}
	if err != nil {
		newFile.Close()
		return err
	}
	s.file.Close()
	s.file = newFile
	s.fileSize = size
	s.syncedSize = size
	s.liveSize = size
	// The new file is in use from here on, but its name is durable only after the directory is synced. If the sync
	// fails, the callers leave needsRewrite set, and the next write compacts again before it is acknowledged.
	if err := s.fs.SyncDir(); err != nil {
		return err
	}
	s.needsRewrite = false
	return nil
}

// saveTo writes all values to a file, syncs it and returns its size in bytes.
func (s *Store) saveTo(file File) (size int64, err error) {
	counter := &countingWriter{file: file}
	if err := s.db.Save(counter); err != nil {
		return 0, err
	}
	s.syncCount++
	if err := file.Sync(); err != nil {
		return 0, err
	}
	return counter.written, nil
}

// countingWriter counts the bytes that are written to a file, and returns an error for a short write.
type countingWriter struct {
	file    File
	written int64
}

// Write implements io.Writer.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.file.Write(p)
	c.written += int64(n)
	if err == nil && n < len(p) {
		err = io.ErrShortWrite
	}
	return n, err
}
