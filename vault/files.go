package vault

import (
	"io"
	"os"
	"path/filepath"
)

// Files is a folder on a disk, as the vault uses it; tests hand in one that fails, and loses its power.
type Files interface {
	Read(name string) ([]byte, error)
	Append(name string) (File, error) // opened to write at its end, made where there is none
	Create(name string) (File, error) // begun anew
	Rename(from, to string) error
	Remove(name string) error
	SyncFolder() error // makes names last
}

// File is one that is written to.
type File interface {
	io.WriteCloser
	Truncate(size int64) error
	Sync() error
}

// Folder is a folder of this machine.
type Folder string

func (f Folder) path(name string) string { return filepath.Join(string(f), name) }

// Read reads a file whole.
func (f Folder) Read(name string) ([]byte, error) { return os.ReadFile(f.path(name)) }

// Append opens a file to write at its end.
func (f Folder) Append(name string) (File, error) {
	return os.OpenFile(f.path(name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
}

// Create begins a file anew.
func (f Folder) Create(name string) (File, error) {
	return os.OpenFile(f.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o644)
}

// Rename gives a file another name, in the place of whatever has it.
func (f Folder) Rename(from, to string) error { return os.Rename(f.path(from), f.path(to)) }

// Remove removes a file.
func (f Folder) Remove(name string) error { return os.Remove(f.path(name)) }

// SyncFolder makes names last.
func (f Folder) SyncFolder() error {
	d, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
