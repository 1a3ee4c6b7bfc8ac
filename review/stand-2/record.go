package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of what was sent, answered and run.
type record struct {
	mu     *sync.Mutex
	file   *os.File
	began  time.Time
	prefix string // Of each line.
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	return &record{mu: &sync.Mutex{}, file: f, began: time.Now()}, err
}

// of returns the same record with a prefix for its lines.
func (r *record) of(prefix string) *record {
	out := *r
	out.prefix = prefix
	return &out
}

// add adds a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s%s\n", time.Since(r.began).Seconds(), r.prefix, fmt.Sprintf(format, args...))
}
