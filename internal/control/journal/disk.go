package journal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// Modes of what the journal makes.
const (
	fileMode   = 0o600
	folderMode = 0o700
)

// File is an open file that records are added to.
type File interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}

// Disk is the data folder. Tests put faults in between.
type Disk interface {
	// ReadFile returns a whole file, or an error that is os.ErrNotExist.
	ReadFile(name string) ([]byte, error)
	// Create makes a new empty file, in place of one of that name.
	Create(name string) (File, error)
	// Append opens a file to add to its end.
	Append(name string) (File, error)
	// Rename puts a file in another's place.
	Rename(from, to string) error
	// SyncFolder makes creations and renames durable.
	SyncFolder() error
	// Lock keeps other processes from the folder.
	Lock() (io.Closer, error)
}

// folder is a Disk on the file system.
type folder struct {
	path string
}

// Folder returns the data folder at path, which is made if need be.
func Folder(path string) (Disk, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("make data folder: %w", err)
	}
	return &folder{path: path}, nil
}

// ReadFile implements Disk.
func (f *folder) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.path, name))
}

// Create implements Disk.
func (f *folder) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Append implements Disk.
func (f *folder) Append(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_APPEND|os.O_WRONLY, fileMode)
}

// Rename implements Disk.
func (f *folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

// SyncFolder implements Disk.
func (f *folder) SyncFolder() error {
	d, err := os.Open(f.path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Lock implements Disk.
func (f *folder) Lock() (io.Closer, error) {
	file, err := os.OpenFile(filepath.Join(f.path, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open lock: %w", err)
	}
	if err := lock(file); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", f.path, ErrLocked), file.Close())
	}
	return file, nil
}
