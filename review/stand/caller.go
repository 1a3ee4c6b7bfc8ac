package stand

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Answer is what a caller got.
type Answer struct {
	Status   int // 0 if no response came.
	Header   http.Header
	Body     string
	Complete bool // The body ended as its framing says.
	Err      error
}

// Send sends one request of a caller to a VM and waits for the answer, for the time budget at most.
func Send(client *http.Client, v *VM, method, path, id, body string, budget time.Duration, headers ...string) Answer {
	r, err := http.NewRequest(method, "http://"+v.Callers()+path, strings.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	r.Host = Host
	r.Header.Set("Authorization", "Token "+Key)
	r.Header.Set(HeaderID, id)
	r.Header.Set(HeaderDeadline, fmt.Sprint(budget.Milliseconds()))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	timer := time.AfterFunc(budget, client.CloseIdleConnections)
	defer timer.Stop()
	resp, err := client.Do(r)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(data), Complete: err == nil, Err: err}
}

// NewClient returns a client with connections of its own.
func NewClient(budget time.Duration) *http.Client {
	return &http.Client{Timeout: budget, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
}
