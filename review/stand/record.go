package stand

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a script.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Record is the record of what was sent, answered and run.
type Record struct {
	mu      sync.Mutex
	started time.Time
	file    *os.File
	out     *bufio.Writer
}

// NewRecord creates the record of a case.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{started: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// Since returns the time since the start of the record, in s.
func (r *Record) Since(t time.Time) float64 { return t.Sub(r.started).Seconds() }

// Add writes one line with the present time.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Show writes one line to the record and to standard output.
func (r *Record) Show(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Close writes the record to its file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		fmt.Println("the record cannot be written:", err)
	}
	_ = r.file.Close()
}

// Trouble reports whether the script is to cause its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }
