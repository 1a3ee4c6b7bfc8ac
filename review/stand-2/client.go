package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Names of headers on the wire.
const (
	headerID       = "X-Jasminecove-Attempt-Id"
	headerDeadline = "X-Jasminecove-Deadline-Ms"
	headerSeal     = "X-Jasminecove-Replica-Seal"
	headerExpect   = "X-Jasminecove-Expect-Replica"
	headerReplica  = "X-Jasminecove-Replica-Id"
	headerNotRun   = "X-Jasminecove-Not-Executed"
)

// request is one call, each on a connection of its own.
type request struct {
	method, address, host, path string
	body                        []byte
	id                          string        // Of a caller's attempt.
	timeout                     time.Duration // How long the caller waits.
	pause                       time.Duration // How long it waits for the first or next bytes of the answer; 0 for no limit.
}

// response is what a caller saw. Status 0 means that no complete response came.
type response struct {
	status int
	header http.Header
	body   []byte
	err    error
	sentAt time.Time
	took   time.Duration
}

// send sends a request and reads the complete response.
func send(ctx context.Context, r request) response {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	out := response{sentAt: time.Now()}
	defer func() { out.took = time.Since(out.sentAt) }()
	q, err := http.NewRequestWithContext(ctx, r.method, "http://"+r.address+r.path, bytes.NewReader(r.body))
	if err != nil {
		out.err = err
		return out
	}
	if r.host != "" {
		q.Host = r.host
	}
	if r.id != "" {
		q.Header.Set(headerID, r.id)
		q.Header.Set(headerDeadline, strconv.FormatInt(r.timeout.Milliseconds(), 10))
	} else if len(r.body) > 0 {
		q.Header.Set("Content-Type", "application/json")
	}
	dialer := net.Dialer{Timeout: time.Second}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}}
	leave := time.AfterFunc(r.timeout, cancel)
	defer leave.Stop()
	if r.pause > 0 {
		leave.Reset(r.pause)
	}
	resp, err := client.Do(q)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(progressReader{resp.Body, func() {
		if r.pause > 0 {
			leave.Reset(r.pause)
		}
	}})
	if err != nil {
		out.err = err
		return out
	}
	out.status, out.header, out.body = resp.StatusCode, resp.Header, data
	return out
}

// progressReader reports each read that returned bytes.
type progressReader struct {
	io.Reader
	progress func()
}

// Read implements io.Reader.
func (p progressReader) Read(buf []byte) (int, error) {
	n, err := p.Reader.Read(buf)
	if n > 0 {
		p.progress()
	}
	return n, err
}

// newID returns the id of a caller's attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// route is a route of a manifest.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	PathPrefix  string  `json:"pathPrefix"`
	Kind        string  `json:"kind"`
	TimeoutMs   float64 `json:"timeoutMs"`
	ObjectiveMs float64 `json:"targetLatencyMs"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"maxAttempts"`
	Anonymous   bool    `json:"anonymous"`
	Sticky      bool    `json:"sticky"`
	Resumable   bool    `json:"resumable"`
	MaxGapMs    float64 `json:"gapTargetMs,omitempty"`
}

// service is a service of a manifest.
type service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"healthPath"`
	MaxConnections int    `json:"maxConnections"`
	Protocol       string `json:"protocol"`
	TLS            bool   `json:"tls"`
}

// manifest is what the operator sends.
type manifest struct {
	Version  uint64         `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

// Names of the deployment.
const (
	callersHost  = "desk.example"
	deskService  = "desk"
	bookPrefix   = "/book/"
	lookPrefix   = "/look/"
	bookTimeout  = 4 * time.Second
	objectiveMs  = 300
	maxDeskConns = 200
)

// newManifest returns a manifest with one service, a route for bookings and one for lookups.
func newManifest(version uint64) manifest {
	timeoutMs := float64(bookTimeout.Milliseconds())
	return manifest{
		Version: version,
		Routes: []route{
			{Name: "r-book", Host: callersHost, PathPrefix: bookPrefix, Kind: "non_idempotent", TimeoutMs: timeoutMs, ObjectiveMs: objectiveMs, Priority: 2, Service: deskService, MaxAttempts: 2},
			{Name: "r-look", Host: callersHost, PathPrefix: lookPrefix, Kind: "idempotent", TimeoutMs: timeoutMs, ObjectiveMs: objectiveMs, Priority: 2, Service: deskService, MaxAttempts: 2},
		},
		Services: []service{{Name: deskService, HealthPath: "/healthz", MaxConnections: maxDeskConns, Protocol: "h1"}},
		Limits:   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

func (m manifest) encode() []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}

// operatorTimeout is how long the operator waits for a response before it calls another VM.
const operatorTimeout = time.Second

// putManifest sends a manifest to a VM once.
func (v *vm) putManifest(m manifest) response {
	return send(v.fleet.ctx, request{method: "PUT", address: v.address(portControl), path: "/v1/config", body: m.encode(), timeout: operatorTimeout})
}

// readVersion reads the manifest back from a VM. ok is false without a 200 response.
func (v *vm) readVersion() (version uint64, r response, ok bool) {
	r = send(v.fleet.ctx, request{method: "GET", address: v.address(portControl), path: "/v1/config", timeout: operatorTimeout})
	var m manifest
	if r.status != http.StatusOK || json.Unmarshal(r.body, &m) != nil {
		return 0, r, false
	}
	return m.Version, r, true
}

// apply sends a manifest to VMs in turn until one acknowledges it, and returns that VM.
func (f *fleet) apply(m manifest, order []*vm, limit time.Duration) (by *vm, at time.Time) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * pollInterval) {
		for _, v := range order {
			if r := v.putManifest(m); r.status == http.StatusOK {
				return v, time.Now()
			}
		}
	}
	return nil, time.Time{}
}
