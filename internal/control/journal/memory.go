package journal

import (
	"io"
	"os"
)

// memory is a Disk that discards all writes.
type memory struct{}

// Memory returns a Disk that discards all writes. It is meant for a single VM
// without a data folder, which loses its state when the process ends.
func Memory() Disk { return memory{} }

// ReadFile implements Disk.
func (memory) ReadFile(string) ([]byte, error) { return nil, os.ErrNotExist }

// Create implements Disk.
func (memory) Create(string) (File, error) { return memoryFile{}, nil }

// Append implements Disk.
func (memory) Append(string) (File, error) { return memoryFile{}, nil }

// Rename implements Disk.
func (memory) Rename(string, string) error { return nil }

// SyncFolder implements Disk.
func (memory) SyncFolder() error { return nil }

// Lock implements Disk.
func (memory) Lock() (io.Closer, error) { return io.NopCloser(nil), nil }

// memoryFile is a file of a memory disk.
type memoryFile struct{}

// Write implements File.
func (memoryFile) Write(p []byte) (int, error) { return len(p), nil }

// Sync implements File.
func (memoryFile) Sync() error { return nil }

// Truncate implements File.
func (memoryFile) Truncate(int64) error { return nil }

// Close implements File.
func (memoryFile) Close() error { return nil }
