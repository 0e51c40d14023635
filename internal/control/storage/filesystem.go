package storage

import (
	"io"
	"os"
	"path/filepath"
)

// FileSystem is the directory in which a store keeps its files. The store uses Dir; tests substitute an implementation
// that injects errors and power failures.
type FileSystem interface {
	// ReadFile returns the content of a file. If the file is missing, the error matches os.ErrNotExist by errors.Is.
	ReadFile(name string) ([]byte, error)
	// OpenAppend opens a file for writing at its end, and creates it if it is missing.
	OpenAppend(name string) (File, error)
	// Create creates an empty file, or truncates an existing one, and opens it for writing at its end.
	Create(name string) (File, error)
	// Rename renames a file. It atomically replaces an existing file of the new name.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncDir makes earlier creations and renames durable.
	SyncDir() error
}

// File is a file that is open for writing at its end.
type File interface {
	io.WriteCloser
	// Truncate shortens the file to a size in bytes.
	Truncate(size int64) error
	// Sync makes all earlier writes durable. After an error it is unknown which of them are durable.
	Sync() error
}

// Dir is a directory of the operating system, by its path. It implements FileSystem.
type Dir string

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// ReadFile implements FileSystem.
func (d Dir) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// OpenAppend implements FileSystem.
func (d Dir) OpenAppend(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
}

// Create implements FileSystem.
func (d Dir) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o644)
}

// Rename implements FileSystem.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove implements FileSystem.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// SyncDir implements FileSystem.
func (d Dir) SyncDir() error {
	directory, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer directory.Close()
	return directory.Sync()
}
