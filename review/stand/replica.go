package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Headers of the platform.
const (
	HeaderID       = "X-Jasminecove-Attempt-Id"
	HeaderSeal     = "X-Jasminecove-Replica-Seal"
	HeaderExpect   = "X-Jasminecove-Expect-Replica"
	HeaderNotRun   = "X-Jasminecove-Not-Executed"
	HeaderDeadline = "X-Jasminecove-Deadline-Ms"
)

// Replica is a replica of a service. It reports itself to the VMs: to the same one as long as
// that acknowledges its reports, and to the next one otherwise.
type Replica struct {
	ID, Service string
	Kind        string // Accelerator, for engines.
	Slots       int
	Born        int64
	// Serve runs a request that is addressed to this replica.
	Serve func(w http.ResponseWriter, r *http.Request)

	fleet    *Fleet
	record   *Record
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	sequence uint64
	state    string
	node     int // The VM that gets the reports.
	from, to int // Layers.
	orders   int
	ended    chan struct{}
	over     bool
	left     bool // It sends no further reports.
}

// NewReplica returns a replica that listens but does not report itself yet. Its next report has the
// given sequence.
func NewReplica(f *Fleet, record *Record, id, service string, node int, sequence uint64) (*Replica, error) {
	l, err := net.Listen("tcp", f.VMs[0].IP[:strings.LastIndexByte(f.VMs[0].IP, '.')]+".200:0")
	if err != nil {
		return nil, err
	}
	u := &Replica{
		ID: id, Service: service, Slots: 6, Born: time.Now().UnixMilli(), fleet: f, record: record, listener: l,
		state: "ready", node: node % len(f.VMs), sequence: sequence, ended: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", u.health)
	mux.HandleFunc("GET /v1/report", u.report)
	mux.HandleFunc("POST /v1/order", u.order)
	mux.HandleFunc("/", u.serve)
	u.server = &http.Server{Handler: mux}
	return u, nil
}

// Start begins to serve and to send reports.
func (u *Replica) Start() {
	go func() { _ = u.server.Serve(u.listener) }() // It ends with End.
	go func() {
		for {
			u.Report()
			select {
			case <-u.ended:
				return
			case <-time.After(HeartbeatMs * time.Millisecond):
			}
		}
	}()
}

// Address returns the address of the replica.
func (u *Replica) Address() string { return u.listener.Addr().String() }

// Report sends one status report, to other VMs until one acknowledges it. It returns the name of
// that VM, or "".
func (u *Replica) Report() string {
	u.mu.Lock()
	u.sequence++
	body := map[string]any{
		"service": u.Service, "address": u.Address(), "zone": "zone-a", "version": "v1", "slots": u.Slots, "state": u.state,
		"coldRemainingMs": 0, "sequence": u.sequence, "born": u.Born,
	}
	if u.Kind != "" {
		body["kind"] = u.Kind
		body["layers"] = map[string]int{"from": u.from, "target": u.to, "version": 1}
	}
	state, sequence, node, over := u.state, u.sequence, u.node, u.over || u.left
	u.mu.Unlock()
	if over {
		return ""
	}
	data, err := json.Marshal(body)
	if err != nil {
		return ""
	}
	for n := range u.fleet.VMs {
		v := u.fleet.VMs[(node+n)%len(u.fleet.VMs)]
		status, _ := v.Call(http.MethodPut, "/v1/replicas/"+u.ID, string(data))
		u.record.Add("report %s sequence=%d state=%s to=%s status=%d", u.ID, sequence, state, v.Name, status)
		if status >= http.StatusOK && status < http.StatusMultipleChoices {
			u.mu.Lock()
			u.node = (node + n) % len(u.fleet.VMs)
			u.mu.Unlock()
			return v.Name
		}
	}
	return ""
}

// Drain reports that the replica drains. It returns the VM that acknowledged that, and when.
func (u *Replica) Drain() (vm string, at time.Time) {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	vm = u.Report()
	return vm, time.Now()
}

// End sends the DELETE of a replica that exits, and ends it.
func (u *Replica) End() {
	u.mu.Lock()
	node := u.node
	u.mu.Unlock()
	status, _ := u.fleet.VMs[node].Call(http.MethodDelete, "/v1/replicas/"+u.ID, "")
	u.record.Add("end %s status=%d", u.ID, status)
	u.Kill()
}

// Leave sends the DELETE of a replica that goes on to serve for a while, and sends no further
// reports. It returns the VM that acknowledged it, and when.
func (u *Replica) Leave() (vm string, at time.Time) {
	u.mu.Lock()
	u.state, u.left = "draining", true
	v := u.fleet.VMs[u.node]
	u.mu.Unlock()
	status, _ := v.Call(http.MethodDelete, "/v1/replicas/"+u.ID, "")
	at = time.Now()
	u.record.Add("end %s to=%s status=%d", u.ID, v.Name, status)
	if status < http.StatusOK || status >= http.StatusMultipleChoices {
		return "", at
	}
	return v.Name, at
}

// Kill ends the replica without notice.
func (u *Replica) Kill() {
	u.mu.Lock()
	over := u.over
	u.over = true
	u.mu.Unlock()
	if !over {
		close(u.ended)
		_ = u.server.Close()
	}
}

func (u *Replica) health(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	state := u.state
	u.mu.Unlock()
	w.Header().Set("X-Jasminecove-Replica-Id", u.ID)
	switch {
	case !u.addressed(w, r):
	case state != "ready":
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// addressed answers 421 if a request names another replica.
func (u *Replica) addressed(w http.ResponseWriter, r *http.Request) bool {
	if expect := r.Header.Get(HeaderExpect); expect != "" && expect != u.ID {
		w.Header().Set(HeaderID, r.Header.Get(HeaderID))
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

func (u *Replica) report(w http.ResponseWriter, r *http.Request) {
	if !u.addressed(w, r) {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	fmt.Fprintf(w, `{"phase":"combined","modelList":[{"name":"m","version":1,"adapterList":[]}],"busy":false,"sequence":%d,"waiting":0,"running":0,"kvUsed":0,"kvCapacity":9000000,"kvHandles":0,"pace":1,"kind":%q,"layers":{"from":%d,"target":%d,"version":1},"born":%d}`,
		u.orders, u.Kind, u.from, u.to, u.Born)
}

func (u *Replica) order(w http.ResponseWriter, r *http.Request) {
	if !u.addressed(w, r) {
		return
	}
	var o struct {
		Operation    string
		From, Target int
		Expected     *int
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Operation != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if o.Expected != nil && *o.Expected != u.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	u.orders++
	u.from, u.to = o.From, o.Target
	u.record.Add("order %s place %d-%d", u.ID, o.From, o.Target)
	w.WriteHeader(http.StatusAccepted)
}

func (u *Replica) serve(w http.ResponseWriter, r *http.Request) {
	if !u.addressed(w, r) {
		return
	}
	w.Header().Set(HeaderID, r.Header.Get(HeaderID))
	u.Serve(w, r)
}

// Event returns the event of a stream with a number.
func Event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n) }

// Stream returns the whole stream of a request.
func Stream(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		_, _ = io.WriteString(&b, Event(id, n))
	}
	return b.String()
}
