package forward

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/request/waitqueue"
)

// poolQueue is the queue of one pool. It delivers turns to waiting streams. It is safe for concurrent use.
type poolQueue struct {
	h     *Handler
	pool  string
	label string // Of the pool in metrics.

	mu         sync.Mutex // Guards the fields below.
	metrics    [urgencyLevels]*queueMetrics
	queue      *waitqueue.Queue
	turns      map[uint64]chan struct{} // Turns of waiting streams, by ticket.
	polling    bool                     // A timer for the next poll is set.
	firstRatio float64                  // Mean ratio of measured to calculated times to the first event.
}

// queueMetrics are the metrics of the streams of one rank in one queue.
type queueMetrics struct {
	waiting           tally.Gauge
	predicted, actual tally.Histogram
}

// metricsOf returns the metrics of a rank. Ranks beyond the last urgency level share its metrics, which keeps the
// number of labels bounded. The caller must hold q.mu.
func (q *poolQueue) metricsOf(rank int) *queueMetrics {
	rank = min(urgencyLevels-1, max(0, rank))
	m := q.metrics[rank]
	if m == nil {
		s := q.h.cfg.Metrics.Tagged(map[string]string{"pool": q.label, "rank": strconv.Itoa(rank)})
		m = &queueMetrics{
			waiting: s.Gauge("waiting_streams"), predicted: s.Histogram("predicted_wait_seconds", latencyBuckets), actual: s.Histogram("wait_seconds", latencyBuckets),
		}
		q.metrics[rank] = m
	}
	return m
}

// poolQueue returns the queue of a pool.
func (h *Handler) poolQueue(pool string) *poolQueue {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.queues[pool]
	if q == nil {
		label := pool
		if len(h.queues) >= maxQueueLabels {
			label = "other"
		}
		q = &poolQueue{
			h: h, pool: pool, label: label,
			queue: waitqueue.New(h.cfg.Clock.Now()), turns: map[uint64]chan struct{}{}, firstRatio: initialFirstEventRatio,
		}
		h.queues[pool] = q
	}
	return q
}

// freed gives a turn for the capacity of a request that ended.
func (q *poolQueue) freed() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Freed(q.h.cfg.Clock.Now())
	q.deliver()
}

// deliver delivers the turns that the queue gives. The caller must hold q.mu.
func (q *poolQueue) deliver() {
	now := q.h.cfg.Clock.Now()
	for t, ok := q.queue.Next(now); ok; t, ok = q.queue.Next(now) {
		select {
		case q.turns[t.ID] <- struct{}{}: // A ticket has one turn at a time, for which the channel has room.
		default:
		}
	}
	if !q.polling && q.queue.Len() > 0 {
		q.polling = true
		time.AfterFunc(pathPollInterval, q.poll)
	}
}

// poll gives one stream a turn because capacity may have become free that other VMs used.
func (q *poolQueue) poll() {
	crash.Contain("wait queue poll", func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.polling = false
		q.queue.Poll(q.h.cfg.Clock.Now())
		q.deliver()
	})
}

// add adds a ticket and returns the channel of its turns. The caller must hold q.mu.
func (q *poolQueue) add(t waitqueue.Ticket, looked uint64) <-chan struct{} {
	turns := make(chan struct{}, 1)
	q.turns[t.ID] = turns
	q.queue.Add(q.h.cfg.Clock.Now(), t, looked)
	q.reportWaiting(t.Rank)
	q.deliver()
	return turns
}

// remove removes a ticket: it was served, or does not wait any more, and a turn that it has passes to another
// stream. The caller must hold q.mu.
func (q *poolQueue) remove(t waitqueue.Ticket, served bool) {
	now := q.h.cfg.Clock.Now()
	if served {
		q.queue.Served(now, t.ID)
	} else {
		q.queue.Remove(now, t.ID)
	}
	delete(q.turns, t.ID)
	q.reportWaiting(t.Rank)
	q.deliver()
}

// reportWaiting reports the number of waiting streams of a rank. The caller must hold q.mu.
func (q *poolQueue) reportWaiting(rank int) {
	n := q.queue.Waiting(rank)
	q.metricsOf(rank).waiting.Update(float64(n))
	if q.h.cfg.Demand != nil {
		q.h.cfg.Demand.SetWaiting(q.pool, rank, n)
	}
}

// recordFirstEvent records the time from the choice of a path to the first event.
func (q *poolQueue) recordFirstEvent(took, calculated clock.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	ratio := min(maxFirstEventRatio, float64(took)/float64(max(1, calculated)))
	q.firstRatio += firstEventWeight * (ratio - q.firstRatio)
}
