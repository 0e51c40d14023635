package storage

import (
	"io"
	"os"
	"path/filepath"
)

// FileSystem is a folder on a disk, as the vault uses it; tests hand in one that fails, and loses its power.
type FileSystem interface {
	ReadFile(name string) ([]byte, error)
	OpenAppend(name string) (File, error) // opened to write at its end, made where there is none
	Create(name string) (File, error)     // begun anew
	Rename(from, to string) error
	Remove(name string) error
	SyncDir() error // makes names last
}

// File is one that is written to.
type File interface {
	io.WriteCloser
	Truncate(size int64) error
	Sync() error
}

// Dir is a folder of this machine.
type Dir string

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// ReadFile reads a file whole.
func (d Dir) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// OpenAppend opens a file to write at its end.
func (d Dir) OpenAppend(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
}

// Create begins a file anew.
func (d Dir) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o644)
}

// Rename gives a file another name, in the place of whatever has it.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove removes a file.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// SyncDir makes names last.
func (d Dir) SyncDir() error {
	handle, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer handle.Close()
	return handle.Sync()
}
