package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// replica is a stand-in for a replica: it sends status reports and answers requests on connections of its own.
type replica struct {
	fleet    *fleet
	rec      *record
	id       string
	service  string
	slots    int
	listener net.Listener
	// answer runs a request and writes the response. It returns false if the connection is to be closed.
	answer func(r *replica, c net.Conn, q *http.Request, body []byte) bool

	mu       sync.Mutex
	sequence int
	state    string // Of the next status report; "" for none.
	born     int64
	order    []*vm // VMs in the order in which status reports try them.
	conns    map[net.Conn]bool
	ended    bool
}

// States of a status report.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// newReplica starts a replica that sends no status reports yet.
func newReplica(f *fleet, rec *record, id, ip, service string, slots int, answer func(*replica, net.Conn, *http.Request, []byte) bool) (*replica, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	r := &replica{fleet: f, rec: rec, id: id, service: service, slots: slots, listener: l, answer: answer, state: stateReady, born: time.Now().UnixMilli(), order: f.vms, conns: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

func (r *replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		ended := r.ended
		r.conns[c] = true
		r.mu.Unlock()
		if ended {
			_ = c.Close()
			return
		}
		go r.serve(c)
	}
}

// serve answers the requests of one connection, one at a time.
func (r *replica) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		switch expected := q.Header.Get(headerExpect); {
		case expected != "" && expected != r.id:
			if !respond(c, http.StatusMisdirectedRequest, http.Header{headerReplica: {r.id}}, nil) {
				return
			}
		case q.URL.Path == "/healthz":
			if !respond(c, http.StatusOK, http.Header{headerReplica: {r.id}}, nil) {
				return
			}
		case !r.answer(r, c, q, body):
			return
		}
	}
}

// respond writes a response with a length.
func respond(c net.Conn, status int, header http.Header, body []byte) bool {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for name, values := range header {
		for _, v := range values {
			text += name + ": " + v + "\r\n"
		}
	}
	_, err := c.Write(append([]byte(text+"\r\n"), body...))
	return err == nil
}

// sealed returns the headers of a genuine response.
func sealed(q *http.Request) http.Header {
	id := q.Header.Get(headerID)
	return http.Header{headerID: {id}, headerSeal: {"seal-" + id}}
}

// body returns the next status report.
func (r *replica) report() (body string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == "" || r.ended {
		return "", false
	}
	r.sequence++
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zone-1","version":"v1","slots":%d,"state":%q,"coldRemainingMs":0,"sequence":%d,"born":%d}`,
		r.service, r.listener.Addr().String(), r.slots, r.state, r.sequence, r.born), true
}

// reportTimeout is how long a replica waits for an acknowledgement before it calls the next VM.
const reportTimeout = time.Second

// put sends one status report to the first VM that acknowledges it, which later ones go to first.
func (r *replica) put() (by *vm) {
	body, ok := r.report()
	if !ok {
		return nil
	}
	return r.call("PUT", body)
}

// call makes a call to the VMs in turn until one acknowledges it.
func (r *replica) call(method, body string) (by *vm) {
	r.mu.Lock()
	order := r.order
	r.mu.Unlock()
	for i, v := range order {
		answer := send(r.fleet.ctx, request{method: method, address: v.address(portControl), path: "/v1/replicas/" + r.id, body: []byte(body), timeout: reportTimeout})
		if answer.status == http.StatusOK {
			r.mu.Lock()
			r.order = append([]*vm{v}, append(append([]*vm{}, order[:i]...), order[i+1:]...)...)
			r.mu.Unlock()
			return v
		}
		r.rec.add("%s: %s at %s failed: status %d %v", r.id, method, v.name, answer.status, answer.err)
	}
	return nil
}

// beat sends status reports at the deployment's interval until the replica ends.
func (r *replica) beat() {
	for r.fleet.ctx.Err() == nil && !r.hasEnded() {
		next := time.Now().Add(heartbeat)
		r.put()
		time.Sleep(time.Until(next))
	}
}

// beatUntil sends status reports at the deployment's interval until a channel is closed.
func (r *replica) beatUntil(end <-chan struct{}) {
	for {
		r.put()
		select {
		case <-end:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (r *replica) hasEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

func (r *replica) setState(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
}

// end ends the replica: its port and connections are closed.
func (r *replica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.Close()
	}
}

// replicaIP returns an address of the fleet's network that no VM has.
func (f *fleet) replicaIP(n int) string {
	const firstReplica = 100
	ip := net.ParseIP(f.vms[0].ip).To4()
	return net.IPv4(ip[0], ip[1], ip[2], byte(firstReplica+n)).String()
}
