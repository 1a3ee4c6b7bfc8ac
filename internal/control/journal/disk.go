package journal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// Permissions of new files and folders.
const (
	fileMode   = 0o600
	folderMode = 0o700
)

// File is a file that is open for appending.
type File interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}

// Disk provides access to the files of the data folder. Tests wrap it to inject
// faults.
type Disk interface {
	// ReadFile returns the content of a file. If the file does not exist, the error
	// matches os.ErrNotExist.
	ReadFile(name string) ([]byte, error)
	// Create creates an empty file, or truncates an existing one.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	// Rename renames a file and replaces an existing file of the new name.
	Rename(from, to string) error
	// SyncFolder syncs the folder, which makes file creations and renames durable.
	SyncFolder() error
	// Lock takes an exclusive lock on the folder. Closing the result releases it.
	Lock() (io.Closer, error)
}

// folder is a Disk in a folder of the file system.
type folder struct {
	path string
}

// Folder returns the data folder at path. It creates the folder if necessary.
func Folder(path string) (Disk, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
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
		return nil, fmt.Errorf("open lock file: %w", err)
	}
	if err := lock(file); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", f.path, ErrLocked), file.Close())
	}
	return file, nil
}
