// Package vault keeps a member's lasting state in one buntdb file. What buntdb does not promise is added here: a write
// counts only when the file's sync has come back without an error (buntdb passes sync errors over), every value carries a
// checksum over itself and its key, and a tail that a loss of power has torn or left full of holes is cut off before the
// file is opened. All that stands behind the first flaw was written after the last sync and was never spoken of.
package vault

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/go-faster/errors"
	"github.com/tidwall/buntdb"
)

const (
	file    = "state.db"
	fresh   = "state.new"
	bad     = "state.bad"
	compact = 8 << 20 // bytes over which the file is written anew when it is opened; a disk has 64 MB
)

// Vault is an open store.
type Vault struct {
	mu   sync.Mutex // one write and its sync at a time
	db   *buntdb.DB
	sync *os.File
	Cut  int64 // bytes cut off when it was opened
}

// Open opens the store in a folder, or begins one. An unreadable file is put aside and reported as empty: its member has
// then lost its disk.
func Open(folder string) (*Vault, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, errors.Wrap(err, "vault")
	}
	path := filepath.Join(folder, file)
	v := &Vault{}
	var err error
	if v.Cut, err = salvage(path); err != nil {
		return nil, errors.Wrap(err, "vault")
	}
	if v.db, err = buntdb.Open(path); err != nil {
		if os.Rename(path, filepath.Join(folder, bad)) != nil {
			return nil, errors.Wrap(err, "vault")
		}
		if v.db, err = buntdb.Open(path); err != nil {
			return nil, errors.Wrap(err, "vault")
		}
	}
	if err := v.db.SetConfig(buntdb.Config{SyncPolicy: buntdb.Never, AutoShrinkDisabled: true}); err != nil {
		return nil, errors.Wrap(err, "vault")
	}
	if err := v.shrink(folder, path); err != nil {
		return nil, errors.Wrap(err, "vault: compaction")
	}
	if v.sync, err = os.OpenFile(path, os.O_RDWR, 0); err != nil {
		return nil, errors.Wrap(err, "vault")
	}
	if err := syncFolder(folder); err != nil {
		return nil, errors.Wrap(err, "vault")
	}
	return v, nil
}

// shrink writes the file anew where it has grown large: whole, synced, renamed, and the folder synced. A crash leaves the
// old file or the new one.
func (v *Vault) shrink(folder, path string) error {
	if st, err := os.Stat(path); err != nil || st.Size() < compact {
		return err
	}
	next := filepath.Join(folder, fresh)
	f, err := os.Create(next)
	if err != nil {
		return err
	}
	err = v.db.Save(f)
	if err == nil {
		err = f.Sync()
	}
	f.Close()
	if err != nil {
		return err
	}
	v.db.Close()
	if err := os.Rename(next, path); err != nil {
		return err
	}
	if err := syncFolder(folder); err != nil {
		return err
	}
	if v.db, err = buntdb.Open(path); err != nil {
		return err
	}
	return v.db.SetConfig(buntdb.Config{SyncPolicy: buntdb.Never, AutoShrinkDisabled: true})
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Put writes the values in one transaction and returns once they are on the disk. After an error nothing is promised.
func (v *Vault) Put(values map[string]string) error {
	if len(values) == 0 {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	err := v.db.Update(func(tx *buntdb.Tx) error {
		for k, x := range values {
			if _, _, err := tx.Set(k, seal(k, x), nil); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil {
		err = v.sync.Sync()
	}
	if err != nil {
		return errors.Wrap(err, "vault")
	}
	return nil
}

// Note writes values, and drops those that are empty, without waiting for the disk: what is good to have and may be lost.
func (v *Vault) Note(values map[string]string) {
	if len(values) == 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.db.Update(func(tx *buntdb.Tx) error {
		for k, x := range values {
			if x == "" {
				if _, err := tx.Delete(k); err != nil && !errors.Is(err, buntdb.ErrNotFound) {
					return err
				}
			} else if _, _, err := tx.Set(k, seal(k, x), nil); err != nil {
				return err
			}
		}
		return nil
	})
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

// Close closes the store.
func (v *Vault) Close() error {
	v.sync.Close()
	return v.db.Close()
}

const sealLen = 8

func seal(key, x string) string {
	return fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(key+"\n"+x))) + x
}

func open(key, x string) (string, bool) {
	if len(x) < sealLen || seal(key, x[sealLen:])[:sealLen] != x[:sealLen] {
		return "", false
	}
	return x[sealLen:], true
}

// salvage cuts a file behind its last command that can be read, and syncs it.
func salvage(path string) (cut int64, err error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	good := readable(data)
	if good == len(data) {
		return 0, nil
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	if err := f.Truncate(int64(good)); err != nil {
		return 0, err
	}
	return int64(len(data) - good), f.Sync()
}

// readable is how many bytes from the start are whole commands with sound values.
func readable(data []byte) (good int) {
	r := bufio.NewReader(bytes.NewReader(data))
	number := func(lead byte) (int, int, bool) {
		line, err := r.ReadString('\n')
		if err != nil || len(line) < 4 || line[0] != lead || line[len(line)-2] != '\r' {
			return 0, 0, false
		}
		n, err := strconv.Atoi(line[1 : len(line)-2])
		return n, len(line), err == nil && n >= 0 && n <= len(data)
	}
	for {
		n, size, ok := number('*')
		if !ok || n < 1 || n > 8 {
			return good
		}
		parts := make([]string, 0, n)
		for range n {
			l, head, ok := number('$')
			if !ok {
				return good
			}
			b := make([]byte, l+2)
			if _, err := io.ReadFull(r, b); err != nil || b[l] != '\r' || b[l+1] != '\n' {
				return good
			}
			parts = append(parts, string(b[:l]))
			size += head + l + 2
		}
		switch {
		case strings.EqualFold(parts[0], "set") && len(parts) == 3:
			if _, ok := open(parts[1], parts[2]); !ok {
				return good
			}
		case strings.EqualFold(parts[0], "del") && len(parts) == 2:
		default:
			return good
		}
		good += size
	}
}
