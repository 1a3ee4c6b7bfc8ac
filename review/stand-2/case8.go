package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Times and sizes of case 8.
const (
	deskSlots = 6
	// workTime is within the largest one of the site file's bookings.
	workTime   = 300 * time.Millisecond
	bookingGap = 25 * time.Millisecond
	// beatsBefore is the number of status reports of the replica before it leaves.
	beatsBefore = 24
	// restartBefore is how long before that a VM is restarted.
	restartBefore = 8 * time.Second
	// serveAfter is how long the replica serves after the acknowledgement that it leaves: drainMs and a little longer.
	serveAfter = drainTime + time.Second
	afterLeave = 6 * time.Second
)

// leaveBesideRestarts has a replica leave during a rolling restart of VMs, just after the one to which it reports has
// stopped.
func leaveBesideRestarts(ctx context.Context, rec *record, trouble bool) (outcome, error) {
	f, stop, err := newFleet(ctx, 5, zones)
	if err != nil {
		return outcome{}, err
	}
	defer stop()
	for _, v := range f.vms {
		if err := v.start(); err != nil {
			return outcome{}, err
		}
	}
	if by, _ := f.apply(newManifest(1), f.vms, applyLimit); by == nil {
		return outcome{}, errNoAck
	}
	d := &desk{rec: rec}
	var replicas []*replica
	for n := range 3 {
		r, err := newReplica(f, rec, fmt.Sprintf("i-%d", n), f.replicaIP(n), deskService, deskSlots, d.answer)
		if err != nil {
			return outcome{}, err
		}
		defer r.end()
		replicas = append(replicas, r)
	}
	leaver, home, restarted := replicas[0], f.vms[3], f.vms[0]
	leaver.order = []*vm{home, f.vms[1], f.vms[2], f.vms[4], restarted}
	for _, r := range replicas[1:] {
		go r.beat()
	}
	if !f.awaitReady(applyLimit) {
		return outcome{}, errNotReady
	}
	go func() {
		time.Sleep(beatsBefore*heartbeat - restartBefore)
		if trouble {
			rec.add("%s stops as planned", restarted.name)
			restarted.signal(syscall.SIGTERM)
			<-restarted.exited
			rec.add("%s starts again: %v", restarted.name, restarted.start())
		}
	}()
	for range beatsBefore {
		next := time.Now().Add(heartbeat)
		if by := leaver.put(); by != home {
			return outcome{}, fmt.Errorf("%w: %s", errOtherHome, leaver.id)
		}
		time.Sleep(time.Until(next))
	}
	booking, endBookings := context.WithCancel(ctx)
	var callers sync.WaitGroup
	callers.Go(func() { d.book(booking, &callers, []*vm{restarted, f.vms[1], f.vms[2], f.vms[4]}) })
	if trouble {
		rec.add("%s, to which %s reports, stops as planned", home.name, leaver.id)
		home.signal(syscall.SIGTERM)
		leaver.beatUntil(home.exited)
		rec.add("%s has stopped", home.name)
	}
	leaver.setState("")
	by := leaver.call(http.MethodDelete, "")
	if by == nil {
		endBookings()
		return outcome{}, fmt.Errorf("%w: %s", errNoLeave, leaver.id)
	}
	d.setLeft(leaver.id)
	rec.add("%s acknowledged that %s leaves", by.name, leaver.id)
	acked := time.Now()
	if trouble {
		rec.add("%s starts again: %v", home.name, home.start())
	}
	time.Sleep(serveAfter)
	leaver.end()
	rec.add("%s exits", leaver.id)
	time.Sleep(time.Until(acked.Add(afterLeave)))
	endBookings()
	callers.Wait()
	return d.outcome(), nil
}

// desk counts the bookings and where they ran.
type desk struct {
	rec *record

	mu       sync.Mutex
	sentAt   map[string]time.Time
	via      map[string]string
	left     string    // Replica that leaves.
	leftAt   time.Time // When that was acknowledged.
	late     []string
	cut      int // Bookings that the replica began later than drainMs after that, and that got no answer of it.
	lateRuns map[string]bool
}

func (d *desk) setLeft(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.left, d.leftAt = id, time.Now()
}

// answer runs a booking.
func (d *desk) answer(r *replica, c net.Conn, q *http.Request, _ []byte) bool {
	id := q.Header.Get(headerID)
	d.rec.add("%s runs booking %s", r.id, id)
	d.arrive(r, id)
	time.Sleep(workTime)
	return respond(c, http.StatusOK, sealed(q), []byte("booked "+id))
}

// arrive judges the arrival of a booking at a replica.
func (d *desk) arrive(r *replica, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.id != d.left || d.leftAt.IsZero() {
		return
	}
	if after := d.sentAt[id].Sub(d.leftAt); after > drainTime {
		d.lateRuns[id] = true
		d.late = append(d.late, fmt.Sprintf("booking %s was sent to %s %d ms after the ack, and reaches %s", id, d.via[id], after.Milliseconds(), r.id))
		d.rec.add("%s", d.late[len(d.late)-1])
	}
}

// book sends bookings to VMs in turn until the context ends.
func (d *desk) book(ctx context.Context, callers *sync.WaitGroup, vms []*vm) {
	d.mu.Lock()
	d.sentAt, d.via, d.lateRuns = map[string]time.Time{}, map[string]string{}, map[string]bool{}
	d.mu.Unlock()
	for i := 0; ctx.Err() == nil; i++ {
		v, id := vms[i%len(vms)], newID()
		d.mu.Lock()
		d.sentAt[id], d.via[id] = time.Now(), v.name
		d.mu.Unlock()
		callers.Go(func() { d.bookOne(v, id) })
		time.Sleep(bookingGap)
	}
}

func (d *desk) bookOne(v *vm, id string) {
	r := send(v.fleet.ctx, request{method: "POST", address: v.address(portCallers), host: callersHost, path: bookPrefix + "1", body: []byte("one booking"), id: id, timeout: bookTimeout})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rec.add("booking %s at %s: status %d after %d ms %v", id, v.name, r.status, r.took.Milliseconds(), r.err)
	if r.status != http.StatusOK && d.lateRuns[id] {
		d.cut++
	}
}

func (d *desk) outcome() outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rec.add("%d bookings in all", len(d.sentAt))
	if len(d.late) > 0 {
		return outcome{broken: true, text: fmt.Sprintf("%d bookings that were sent over drainMs after the ack reached the replica, %d of them were lost; the first: %s", len(d.late), d.cut, d.late[0])}
	}
	return outcome{text: fmt.Sprintf("none of %d bookings reached the replica later than drainMs after the ack", len(d.sentAt))}
}
