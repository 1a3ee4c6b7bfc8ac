package journal

import (
	"bytes"
	"io"
	"os"
	"sync"
)

// memory is a Disk whose files end with the process.
type memory struct {
	mu    sync.Mutex
	files map[string]*memoryFile
}

// Memory returns an empty Disk in memory. It is meant for a single VM without a data folder, which loses
// its state when the process ends, though not when its replica is opened again.
func Memory() Disk { return &memory{files: map[string]*memoryFile{}} }

// ReadFile implements Disk.
func (m *memory) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.files[name]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return f.content(), nil
}

// Create implements Disk.
func (m *memory) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := &memoryFile{}
	m.files[name] = f
	return f, nil
}

// Append implements Disk.
func (m *memory) Append(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.files[name]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return f, nil
}

// Rename implements Disk.
func (m *memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.files[from]
	if f == nil {
		return os.ErrNotExist
	}
	m.files[to] = f
	delete(m.files, from)
	return nil
}

// SyncFolder implements Disk.
func (m *memory) SyncFolder() error { return nil }

// Lock implements Disk.
func (m *memory) Lock() (io.Closer, error) { return io.NopCloser(nil), nil }

// memoryFile is a file of a memory disk.
type memoryFile struct {
	mu   sync.Mutex
	data []byte
}

func (f *memoryFile) content() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return bytes.Clone(f.data)
}

// Write implements File.
func (f *memoryFile) Write(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.data = append(f.data, p...)
	return len(p), nil
}

// Sync implements File.
func (f *memoryFile) Sync() error { return nil }

// Truncate implements File.
func (f *memoryFile) Truncate(size int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.data = f.data[:min(size, int64(len(f.data)))]
	return nil
}

// Close implements File.
func (f *memoryFile) Close() error { return nil }
