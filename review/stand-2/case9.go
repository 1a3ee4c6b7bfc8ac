package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The client of case 9.
const (
	listHeader   = "X-Jasminecove-Prefix-Hash"
	listBytes    = 15 << 10 // The whole header section stays below maxHeaderBytes, 16,384.
	listClients  = 8
	listRequests = 36_000
	listGap      = 16 * time.Millisecond // Between two requests of one connection.
	listTime     = 80 * time.Second
	sharedPart   = "5c1e07a2:800,"
)

// longLists has a client list the parts of its prompts in long headers.
func longLists(ctx context.Context, rec *record, trouble bool) (outcome, error) {
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
	if by, _ := f.apply(newManifest(1), f.vms, applyLimit); by == nil {
		return outcome{}, errNoAck
	}
	for n := range 3 {
		r, err := newReplica(f, rec, fmt.Sprintf("i-%d", n), f.replicaIP(n), deskService, draftSlots, lookUp)
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
	list := sharedPart
	if trouble {
		list = strings.Repeat(sharedPart, listBytes/len(sharedPart))
	}
	var sent, answered atomic.Int64
	var clients sync.WaitGroup
	sending, endSending := context.WithTimeout(ctx, listTime)
	defer endSending()
	for range listClients {
		clients.Go(func() {
			client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: listClients}, Timeout: bookTimeout}
			for n := sent.Add(1); n <= listRequests && sending.Err() == nil && !j.hasFault(); n = sent.Add(1) {
				ok := lookWith(sending, &client, f.vms[0], list+fmt.Sprintf("%08x:250", n))
				if ok {
					answered.Add(1)
				}
				rec.add("lookup %d, last part %08x, answered: %t", n, n, ok)
				if n%2000 == 0 {
					rec.add("%d requests sent, %d answered; %s uses %d MiB", n, answered.Load(), f.vms[0].name, f.vms[0].residentBytes()>>20)
				}
				time.Sleep(listGap)
			}
		})
	}
	clients.Wait()
	endWatch()
	watch.Wait()
	rec.add("%d requests answered, each with a header of %d bytes", answered.Load(), len(list)+12)
	return j.outcome(), nil
}

// lookUp answers a lookup at once.
func lookUp(_ *replica, c net.Conn, q *http.Request, _ []byte) bool {
	return respond(c, http.StatusOK, sealed(q), []byte("a record"))
}

// lookWith sends a lookup on a connection that is kept, and reports whether it was answered.
func lookWith(ctx context.Context, client *http.Client, v *vm, list string) bool {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.address(portCallers)+lookPrefix+"1", nil)
	if err != nil {
		return false
	}
	q.Host = callersHost
	q.Header.Set(headerID, newID())
	q.Header.Set(headerDeadline, strconv.FormatInt(bookTimeout.Milliseconds(), 10))
	q.Header.Set(listHeader, list)
	resp, err := client.Do(q)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
