// Package decision writes one structured log line for each decision that affects a request
// or changes the process's view of the fleet. Lines are written in the background within a
// rate limit for each kind. With a slow or closed output, lines are dropped and counted, and
// requests are never delayed.
package decision

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/jasminecove/jasminecove/internal/base/crash"
)

// Limits of the log.
const (
	// maxLinesPerSecond bounds the lines of one kind per second.
	maxLinesPerSecond = 200
	// maxQueuedLines bounds the lines that are waiting for a slow output.
	maxQueuedLines = 4096
	// closeTimeout bounds the wait for the output in Close.
	closeTimeout = 300 * time.Millisecond
	// reportInterval is the interval between reports of dropped lines.
	reportInterval = 1 * time.Second
)

// Log writes decisions. It is safe for concurrent use; a nil Log writes nothing.
type Log struct {
	log   hclog.Logger
	queue chan []byte
	out   io.Writer
	stop  chan struct{} // Closed by Close.
	done  chan struct{} // Closed when run has returned.
	lost  atomic.Int64  // Dropped lines since the last report.

	mu         sync.Mutex
	second     int64          // Unix time of the counts below.
	lines      map[string]int // Lines in this second, by kind.
	overBudget map[string]int // Lines above the rate limit in this second, by kind.
}

// New returns the Log of a VM, which writes JSON lines to out until Close.
func New(vm string, level hclog.Level, out io.Writer) *Log {
	l := &Log{
		queue: make(chan []byte, maxQueuedLines), out: out, stop: make(chan struct{}), done: make(chan struct{}),
		lines: map[string]int{}, overBudget: map[string]int{},
	}
	l.log = hclog.New(&hclog.LoggerOptions{Name: vm, Level: level, JSONFormat: true, Output: queueWriter{l}, TimeFormat: "2006-01-02T15:04:05.000Z07:00"})
	crash.Go("log writer", l.run)
	return l
}

// Logger returns the underlying logger, for lines that are not decisions and have no rate limit.
func (l *Log) Logger() hclog.Logger { return l.log }

// queueWriter queues lines, and drops them when the queue is full.
type queueWriter struct {
	l *Log
}

// Write implements io.Writer.
func (w queueWriter) Write(line []byte) (int, error) {
	select {
	case w.l.queue <- append([]byte(nil), line...):
	default:
		w.l.lost.Add(1)
	}
	return len(line), nil
}

// run writes queued lines until Close.
func (l *Log) run() {
	defer close(l.done)
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for {
		select {
		case line := <-l.queue:
			crash.Contain("log writer", func() { l.write(line) })
		case <-l.stop:
			l.drain()
			return
		case <-report.C:
			if n := l.lost.Swap(0); n > 0 {
				l.log.Warn("log: lines lost", "lines", n)
			}
		}
	}
}

// drain writes the lines that are still queued.
func (l *Log) drain() {
	for {
		select {
		case line := <-l.queue:
			l.write(line)
		default:
			return
		}
	}
}

func (l *Log) write(line []byte) {
	if _, err := l.out.Write(line); err != nil {
		l.lost.Add(1)
	}
}

// Decision writes one line: the kind of the decision, the id of the request or object that it
// concerns, and its inputs as key-value pairs.
func (l *Log) Decision(kind, id string, inputs ...any) {
	if l == nil || !l.admit(kind) {
		return
	}
	l.log.Info(kind, append([]any{"id", id}, inputs...)...)
}

// admit counts a line and reports whether it is within the rate limit of its kind. At the start
// of a new second it logs the numbers of lines dropped in the previous one.
func (l *Log) admit(kind string) bool {
	l.mu.Lock()
	second := time.Now().Unix()
	var dropped map[string]int
	if second != l.second {
		l.second = second
		dropped = l.overBudget
		l.lines, l.overBudget = map[string]int{}, map[string]int{}
	}
	l.lines[kind]++
	ok := l.lines[kind] <= maxLinesPerSecond
	if !ok {
		l.overBudget[kind]++
	}
	l.mu.Unlock()
	for k, n := range dropped {
		l.log.Warn("log: lines over budget", "kind", k, "lines", n)
	}
	return ok
}

// Close writes the queued lines and ends the log. It waits for a blocked output for at most
// closeTimeout. Lines logged after Close are lost.
func (l *Log) Close() {
	close(l.stop)
	select {
	case <-l.done:
	case <-time.After(closeTimeout):
	}
}
