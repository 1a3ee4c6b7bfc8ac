package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The load of case 7: the streams of the users' smaller deployments, on as many VMs.
const (
	draftVMs      = 9
	draftService  = "draft"
	draftPrefix   = "/draft/"
	draftReplicas = 3
	draftSlots    = 192
	draftTimeout  = 20 * time.Second
	callerPause   = 2 * time.Second // After which a caller abandons a stream.
	draftEvents   = 86
	eventGap      = 45 * time.Millisecond
	streamsPerS   = 63
	loadTime      = 40 * time.Second
	quietTime     = 6 * time.Second // Of it, before the disruption.
)

// Bytes without end of a replica in trouble: many at first, and then few at a time.
const (
	firstBytes = 960 << 10
	chunkBytes = 512
	chunkGap   = 50 * time.Millisecond
)

// endlessHead has one of three replicas answer with a head without end, under ordinary load.
func endlessHead(ctx context.Context, rec *record, trouble bool) (outcome, error) {
	f, stop, err := newFleet(ctx, draftVMs, zones)
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
	m.Services = append(m.Services, service{Name: draftService, HealthPath: "/healthz", MaxConnections: 5 * draftSlots, Protocol: "h1"})
	m.Routes = append(m.Routes, route{Name: "r-draft", Host: callersHost, PathPrefix: draftPrefix, Kind: "streaming", TimeoutMs: float64(draftTimeout.Milliseconds()), ObjectiveMs: 500,
		MaxGapMs: 200, Priority: 1, Service: draftService, MaxAttempts: 2, Resumable: true})
	if by, _ := f.apply(m, f.vms, applyLimit); by == nil {
		return outcome{}, errNoAck
	}
	var inTrouble atomic.Bool
	for n := range draftReplicas {
		answer := streamDraft
		if n == 0 {
			answer = func(r *replica, c net.Conn, q *http.Request, body []byte) bool {
				if inTrouble.Load() {
					return sendEndlessHead(c)
				}
				return streamDraft(r, c, q, body)
			}
		}
		r, err := newReplica(f, rec, fmt.Sprintf("i-%d", n), f.replicaIP(n), draftService, draftSlots, answer)
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
	j := &memoryJudge{fleet: f, rec: rec, most: map[string]int64{}}
	watching, endWatch := context.WithCancel(ctx)
	var watch sync.WaitGroup
	watch.Go(func() { j.watch(watching) })
	began := time.Now()
	time.AfterFunc(quietTime, func() {
		if trouble {
			inTrouble.Store(true)
			rec.add("i-0 answers with heads without end")
		}
	})
	var callers sync.WaitGroup
	var answered, failed atomic.Int64
	for time.Since(began) < loadTime {
		callers.Go(func() {
			v := f.vms[pickVM(rand.Float64())]
			r := send(ctx, request{method: "POST", address: v.address(portCallers), host: callersHost, path: draftPrefix + "x", body: []byte("a prompt"), id: newID(), timeout: draftTimeout, pause: callerPause})
			if r.status == http.StatusOK && strings.Count(string(r.body), "\n\n") == draftEvents {
				rec.add("stream at %s: complete after %d ms", v.name, r.took.Milliseconds())
				answered.Add(1)
				return
			}
			failed.Add(1)
			rec.add("stream at %s: status %d after %d ms: %v", v.name, r.status, r.took.Milliseconds(), r.err)
		})
		time.Sleep(time.Second / streamsPerS)
	}
	callers.Wait()
	endWatch()
	watch.Wait()
	rec.add("%d streams complete, %d not", answered.Load(), failed.Load())
	return j.outcome(), nil
}

// pickVM returns the index of the VM that a new connection goes to. The first one gets twice as many as another: the
// balancer picks by a hash of the caller, so that the shares are uneven.
func pickVM(at float64) int { return max(0, int(at*(draftVMs+1))-1) }

// streamDraft answers with a stream of events.
func streamDraft(_ *replica, c net.Conn, q *http.Request, _ []byte) bool {
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
	for name, values := range sealed(q) {
		head += name + ": " + values[0] + "\r\n"
	}
	if _, err := c.Write([]byte(head + "\r\n")); err != nil {
		return false
	}
	last := 0
	_, _ = fmt.Sscanf(q.Header.Get("Last-Event-Id"), "%d", &last)
	for i := last + 1; i <= draftEvents; i++ {
		event := fmt.Sprintf("id: %d\ndata: token %d of a drafted answer, two a piece\n\n", i, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(eventGap)
	}
	_, err := c.Write([]byte("0\r\n\r\n"))
	return err == nil
}

// sendEndlessHead sends a head of short lines until the caller closes.
func sendEndlessHead(c net.Conn) bool {
	if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\n")); err != nil {
		return false
	}
	line := 0
	for n := firstBytes; ; n = chunkBytes {
		var b strings.Builder
		for b.Len() < n {
			fmt.Fprintf(&b, "%x:\r\n", line)
			line++
		}
		if _, err := c.Write([]byte(b.String())); err != nil {
			return false
		}
		time.Sleep(chunkGap)
	}
}

// memoryJudge watches the memory of the VMs' processes. Like the platform, it kills one that uses more than its
// machine has.
type memoryJudge struct {
	fleet  *fleet
	rec    *record
	most   map[string]int64
	mu     sync.Mutex
	faults []string
}

// hasFault reports whether a process has ended.
func (j *memoryJudge) hasFault() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.faults) > 0
}

// maxBytes is the memory of a machine in MiB, the larger meaning of MB.
const maxBytes = memoryMb << 20

func (j *memoryJudge) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for _, v := range j.fleet.vms {
			bytes := v.residentBytes()
			j.most[v.name] = max(j.most[v.name], bytes)
			switch {
			case bytes > maxBytes:
				j.fault("%s uses %d MiB, more than the %d of its machine, and is killed", v.name, bytes>>20, memoryMb)
				v.kill()
			case v.endedByItself():
				j.fault("%s ended by itself", v.name)
				return
			}
		}
		time.Sleep(4 * pollInterval)
	}
}

func (j *memoryJudge) fault(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	j.rec.add("%s", text)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.faults = append(j.faults, text)
}

func (j *memoryJudge) outcome() outcome {
	for _, v := range j.fleet.vms {
		j.rec.add("%s used %d MiB at most", v.name, j.most[v.name]>>20)
	}
	if len(j.faults) > 0 {
		return outcome{broken: true, text: fmt.Sprintf("%d processes end; the first: %s", len(j.faults), j.faults[0])}
	}
	return outcome{text: fmt.Sprintf("no process used more than %d MiB", maxValue(j.most)>>20)}
}

func maxValue(all map[string]int64) (most int64) {
	for _, n := range all {
		most = max(most, n)
	}
	return most
}
