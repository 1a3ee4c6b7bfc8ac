package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// The routes and the load of case 10.
const (
	orderPrefix  = "/orders/"   // Not idempotent.
	seriesPrefix = "/orders/a/" // Idempotent, of the same service.
	// encodedPath is that of an order whose number is a/17. It begins with orderPrefix, and not with seriesPrefix.
	encodedPath    = "/orders/a%2F17"
	plainPath      = "/orders/17"
	lostTime       = 3900 * time.Millisecond
	orderGap       = 50 * time.Millisecond
	orderTime      = lostTime + 4*time.Second
	lossPeriod     = 5 // The answers of the last lossOf of as many requests to a replica are lost.
	orderReplicas  = 4
	losingReplicas = 2
	lossOf         = 2
	orderWork      = 20 * time.Millisecond
)

// encodedSlash has orders with an encoded slash in their path sent while replicas lose answers.
func encodedSlash(ctx context.Context, rec *record, trouble bool) (outcome, error) {
	f, stop, err := newFleet(ctx, 3, zones)
	if err != nil {
		return outcome{}, err
	}
	defer stop()
	for _, v := range f.vms {
		if err := v.start(); err != nil {
			return outcome{}, err
		}
	}
	m := newManifest(1)
	order, series := m.Routes[0], m.Routes[1]
	order.Name, order.PathPrefix = "r-order", orderPrefix
	series.Name, series.PathPrefix = "r-series", seriesPrefix
	m.Routes = []route{order, series}
	if by, _ := f.apply(m, f.vms, applyLimit); by == nil {
		return outcome{}, errNoAck
	}
	d := &orders{rec: rec, seen: map[string]int{}, runs: map[string]int{}, paths: map[string]string{}}
	for n := range orderReplicas {
		answer := d.run
		if n < losingReplicas {
			answer = d.runAndLose
		}
		r, err := newReplica(f, rec, fmt.Sprintf("i-%d", n), f.replicaIP(n), deskService, deskSlots, answer)
		if err != nil {
			return outcome{}, err
		}
		defer r.end()
		go r.beat()
	}
	if !f.awaitReady(applyLimit) {
		return outcome{}, errNotReady
	}
	time.Sleep(2 * heartbeat)
	began := time.Now()
	if trouble {
		rec.add("%d of %d replicas lose the answers of %d in %d requests", losingReplicas, orderReplicas, lossOf, lossPeriod)
		d.setLosing(true)
		time.AfterFunc(lostTime, func() { d.setLosing(false) })
	}
	var callers sync.WaitGroup
	for i := 0; time.Since(began) < orderTime; i++ {
		v, path := f.vms[i%len(f.vms)], encodedPath
		if i%2 == 1 {
			path = plainPath
		}
		callers.Go(func() {
			id := newID()
			d.sent(id, path)
			r := send(ctx, request{method: http.MethodPost, address: v.address(portCallers), host: callersHost, path: path, body: []byte("one order"), id: id, timeout: bookTimeout})
			rec.add("order %s %s at %s: status %d", id, path, v.name, r.status)
		})
		time.Sleep(orderGap)
	}
	callers.Wait()
	return d.outcome(), nil
}

// orders counts the runs of each order.
type orders struct {
	rec *record

	mu     sync.Mutex
	losing bool
	seen   map[string]int // By replica.
	runs   map[string]int
	paths  map[string]string
}

func (d *orders) setLosing(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.losing = on
}

func (d *orders) sent(id, path string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.paths[id] = path
}

// count records a run of an order, and reports whether its answer is to be lost.
func (d *orders) count(r *replica, q *http.Request) (lose bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := q.Header.Get(headerID)
	d.runs[id]++
	if d.losing {
		d.seen[r.id]++
	}
	d.rec.add("order %s %s runs at %s, for the %d. time", id, q.RequestURI, r.id, d.runs[id])
	return d.losing && (d.seen[r.id]-1)%lossPeriod >= lossPeriod-lossOf
}

// run runs an order and answers it.
func (d *orders) run(r *replica, c net.Conn, q *http.Request, _ []byte) bool {
	d.count(r, q)
	time.Sleep(orderWork)
	return respond(c, http.StatusOK, sealed(q), []byte("ordered"))
}

// runAndLose runs an order and may lose its answer: the connection is reset.
func (d *orders) runAndLose(r *replica, c net.Conn, q *http.Request, _ []byte) bool {
	lose := d.count(r, q)
	time.Sleep(orderWork)
	if lose {
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
	return respond(c, http.StatusOK, sealed(q), []byte("ordered"))
}

func (d *orders) outcome() outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	twice := map[string]int{}
	for id, n := range d.runs {
		if n > 1 {
			twice[d.paths[id]]++
		}
	}
	if len(twice) > 0 {
		return outcome{broken: true, text: fmt.Sprintf("%d orders ran more than once with the path %s, and %d with %s", twice[encodedPath], encodedPath, twice[plainPath], plainPath)}
	}
	return outcome{text: fmt.Sprintf("%d orders ran once at most", len(d.paths))}
}
