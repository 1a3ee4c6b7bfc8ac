// Package decision writes one structured line for each decision that touches a request
// or changes what the process believes. Lines are written in the background within a
// budget for each kind: a slow or closed output loses lines, which are counted, and
// never holds a request up.
package decision

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Bounds of the log.
const (
	// perSecond is the number of lines of one kind a second.
	perSecond = 200
	// queued is how many lines wait for a slow output.
	queued = 4096
	// closeWithin bounds the wait for the output at the end.
	closeWithin = 300 * time.Millisecond
	// reportEvery is the span between two reports of lost lines.
	reportEvery = 1 * time.Second
)

// Log writes decisions. It is safe for concurrent use; a nil Log writes nothing.
type Log struct {
	log   hclog.Logger
	queue chan []byte
	out   io.Writer
	stop  chan struct{} // Closed by Close.
	done  chan struct{} // Closed when run has ended.
	lost  atomic.Int64

	mu     sync.Mutex
	second int64
	lines  map[string]int
	held   map[string]int // Lines beyond the budget in this second.
}

// New returns a Log of a VM that writes JSON lines to out. Close ends it.
func New(vm string, level hclog.Level, out io.Writer) *Log {
	l := &Log{
		queue: make(chan []byte, queued), out: out, stop: make(chan struct{}), done: make(chan struct{}),
		lines: map[string]int{}, held: map[string]int{},
	}
	l.log = hclog.New(&hclog.LoggerOptions{Name: vm, Level: level, JSONFormat: true, Output: queueWriter{l}, TimeFormat: "2006-01-02T15:04:05.000Z07:00"})
	go l.run()
	return l
}

// Logger returns the logger behind, for lines that are no decisions.
func (l *Log) Logger() hclog.Logger { return l.log }

// queueWriter queues lines and drops them when the queue is full.
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
	report := time.NewTicker(reportEvery)
	defer report.Stop()
	for {
		select {
		case line := <-l.queue:
			l.write(line)
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

// drain writes the lines that are queued already.
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

// Decision writes one line: what was decided about the request or thing named id, and
// the inputs.
func (l *Log) Decision(kind, id string, inputs ...any) {
	if l == nil || !l.admit(kind) {
		return
	}
	l.log.Info(kind, append([]any{"id", id}, inputs...)...)
}

// admit counts a line against its kind's budget.
func (l *Log) admit(kind string) bool {
	l.mu.Lock()
	second := time.Now().Unix()
	var held map[string]int
	if second != l.second {
		l.second = second
		held = l.held
		l.lines, l.held = map[string]int{}, map[string]int{}
	}
	l.lines[kind]++
	ok := l.lines[kind] <= perSecond
	if !ok {
		l.held[kind]++
	}
	l.mu.Unlock()
	for k, n := range held {
		l.log.Warn("log: lines over budget", "kind", k, "lines", n)
	}
	return ok
}

// Close writes what is queued and ends the log. It does not wait for a blocked output.
// Lines that come later are lost.
func (l *Log) Close() {
	close(l.stop)
	select {
	case <-l.done:
	case <-time.After(closeWithin):
	}
}
