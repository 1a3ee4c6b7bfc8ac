package local_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/cli/operator"
	"github.com/jasminecove/jasminecove/internal/node/admin"
	"github.com/jasminecove/jasminecove/internal/routing/directory"
	"github.com/jasminecove/jasminecove/internal/standin/caller"
	"github.com/jasminecove/jasminecove/internal/standin/engine"
	"github.com/jasminecove/jasminecove/internal/standin/local"
	"github.com/jasminecove/jasminecove/internal/standin/service"
)

const document = `
routes:
  - {name: book, match: {pathPrefix: /bookings, methods: [POST]}, pool: dispatch, deadline: 10s}
pools:
  - {name: dispatch, service: dispatch}
`

const readyTimeout = 20 * time.Second

// start starts a fleet and waits until it is ready.
func start(t *testing.T, vms, voters int) *local.Fleet {
	t.Helper()
	f, err := local.New(local.Config{Folder: t.TempDir(), VMs: vms, Voters: voters, DataCentres: 3, Tables: []byte(document), Logs: io.Discard, DrainNotice: 20})
	assert.NilError(t, err)
	assert.NilError(t, f.StartAll(context.Background(), readyTimeout))
	t.Cleanup(f.Stop)
	return f
}

func operatorOf(t *testing.T, f *local.Fleet, vm int) *operator.Client {
	t.Helper()
	c, err := operator.ForVM(f.Nodes[vm].OperatorsAddress(), f.Settings[vm].Fleet.Keys)
	assert.NilError(t, err)
	return c
}

// eventually fails the test unless the condition becomes true within readyTimeout.
func eventually(t *testing.T, failure string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out after %s: %s", readyTimeout, failure)
}

// inForce returns a condition: every running VM has the revision or a newer one.
func inForce(f *local.Fleet, revision uint64) func() bool {
	return func() bool {
		for _, n := range f.Running() {
			if n.Status().Revision < revision {
				return false
			}
		}
		return true
	}
}

// TestApplyThroughObserver sends a change to an observer, and repeats it through
// another VM: it must be applied once and reach every VM.
func TestApplyThroughObserver(t *testing.T) {
	f := start(t, 5, 3)
	op := operatorOf(t, f, 4)
	result, err := op.Apply(t.Context(), admin.Change{Base: 1, ChangeID: "c1", Author: "amal", Document: document + "# 2\n"})
	assert.NilError(t, err)
	assert.Equal(t, result.Revision, uint64(2))
	eventually(t, "revision 2 is not in force on every VM", inForce(f, 2))
	again, err := operatorOf(t, f, 0).Apply(t.Context(), admin.Change{Base: 1, ChangeID: "c1", Author: "amal", Document: document + "# 2\n"})
	assert.NilError(t, err)
	assert.Assert(t, again.Repeated)
	assert.Equal(t, again.Revision, uint64(2))
}

// TestLeaderLossAndDiskReplacement stops the leader, restarts it with an empty disk,
// and stops a second voter as soon as the first is a voter again. Changes must be
// committed throughout.
func TestLeaderLossAndDiskReplacement(t *testing.T) {
	f := start(t, 4, 3)
	op := operatorOf(t, f, 3)
	leader := f.Leader()
	f.StopVM(leader)
	for i := range 20 {
		result, err := op.Apply(t.Context(), admin.Change{Base: uint64(i + 1), ChangeID: fmt.Sprint("c", i), Author: "bea", Document: fmt.Sprintf("%s# %d\n", document, i)})
		assert.NilError(t, err)
		assert.Equal(t, result.Code, admin.CodeOK)
	}
	// The stopped VM restarts with an empty disk.
	f.Settings[leader].DataFolder = t.TempDir()
	assert.NilError(t, f.Start(context.Background(), leader))
	eventually(t, "the replaced replica is not a voter of three", func() bool {
		s := f.Nodes[leader].Status()
		return s.Revision == 21 && s.Replica != nil && s.Replica.IsVoter && len(s.Replica.Voters) == 3 && len(s.Replica.Learners) == 0 && !s.Replica.MembershipChanging
	})
	// A second voter fails right after the repair.
	second := f.Leader()
	if second == leader {
		second = (leader + 1) % 3
	}
	f.StopVM(second)
	result, err := op.Apply(t.Context(), admin.Change{Base: 21, ChangeID: "last", Author: "bea", Document: document + "# last\n"})
	assert.NilError(t, err)
	assert.Equal(t, result.Revision, uint64(22))
	eventually(t, "revision 22 is not in force on every VM", inForce(f, 22))
}

// TestBookingRunsOnce sends each booking through several VMs: at once, with another
// body, and after the answer to the first arrival was lost.
func TestBookingRunsOnce(t *testing.T) {
	f := start(t, 3, 3)
	ledger := service.NewLedger()
	s := service.New("s1", "dispatch", ledger)
	assert.NilError(t, s.Start(t.Context(), "127.0.0.1:0", f.AnnounceURLs(0)))
	defer s.Kill()
	eventually(t, "the service is not in the status of every VM", func() bool {
		for _, n := range f.Nodes {
			if len(n.Status().Pools[0].Upstreams) == 0 {
				return false
			}
		}
		return true
	})
	book := func(vm int, key, body string) (int, string) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.Nodes[vm].CallersAddress()+"/bookings", strings.NewReader(body))
		assert.NilError(t, err)
		req.Header.Set("Idempotency-Key", key)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		data, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		return resp.StatusCode, string(data)
	}
	s.SetFaults(service.Faults{Delay: 100})
	answers := make(chan string, 3)
	for vm := range 3 {
		go func() {
			_, body := book(vm, "k1", "pump 1")
			answers <- body
		}()
	}
	first := <-answers
	assert.Equal(t, <-answers, first)
	assert.Equal(t, <-answers, first)
	assert.Equal(t, ledger.Runs("k1"), 1)
	status, _ := book(1, "k1", "another body")
	assert.Equal(t, status, http.StatusUnprocessableEntity)
	// The answer is lost after the run: later arrivals get the outcome unknown.
	s.SetFaults(service.Faults{CloseAfterRun: true})
	status, body := book(0, "k2", "pump 2")
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Assert(t, strings.Contains(body, `"outcome":"unknown"`), body)
	s.SetFaults(service.Faults{})
	status, body = book(2, "k2", "pump 2")
	assert.Equal(t, status, http.StatusConflict)
	assert.Assert(t, strings.Contains(body, `"outcome":"unknown"`), body)
	assert.Equal(t, ledger.Runs("k2"), 1)
}

// TestLeavingEngine lets an engine leave while the VMs have answers on it: every VM
// must receive the state, the answers must move to another engine by a copy of
// their caches, and all must be complete.
func TestLeavingEngine(t *testing.T) {
	const layers, tokens = 12, 400
	f, err := local.New(local.Config{Folder: t.TempDir(), VMs: 3, Voters: 3, DataCentres: 3, Logs: io.Discard, DrainNotice: 20, Tables: []byte(`
routes: [{name: chat, match: {model: crew}, pool: crew}]
pools: [{name: crew, model: crew, layers: 12}]
`)})
	assert.NilError(t, err)
	assert.NilError(t, f.StartAll(context.Background(), readyTimeout))
	t.Cleanup(f.Stop)
	engines := map[string]*engine.Engine{}
	for i, id := range []string{"a1", "b1", "b2"} {
		from, to := uint32(0), uint32(6)
		if id != "a1" {
			from, to = 6, layers
		}
		e := engine.New(id, engine.WithModel("crew", "1", layers), engine.WithLayers(from, to), engine.WithSpeed(400), engine.WithAnnounceTo(f.AnnounceURLs(i)...))
		assert.NilError(t, e.Start(t.Context(), "127.0.0.1:0"))
		t.Cleanup(e.Kill)
		engines[id] = e
	}
	onEveryVM := func(condition func([]directory.UpstreamView) bool) func() bool {
		return func() bool {
			for _, n := range f.Nodes {
				if !condition(n.Status().Pools[0].Upstreams) {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "the engines are not in the status of every VM", onEveryVM(func(us []directory.UpstreamView) bool { return len(us) == 3 }))
	c := caller.New(10)
	defer c.Close()
	verdicts := make(chan caller.Verdict, 6)
	for i := range 6 {
		go func() {
			verdicts <- c.Complete(t.Context(), caller.Request{BaseURL: "http://" + f.Nodes[i%3].CallersAddress(), Model: "crew", Layers: layers, Prompt: fmt.Sprint("p ", i), MaxTokens: tokens}).Verdict
		}()
	}
	eventually(t, "the engine has no session", func() bool { return engines["b1"].Sessions() > 0 })
	engines["b1"].Leave()
	eventually(t, "the engine is not shown as leaving by every VM", onEveryVM(func(us []directory.UpstreamView) bool {
		for _, u := range us {
			if u.ID == "b1" {
				return u.State == "leaving"
			}
		}
		return false
	}))
	eventually(t, "the leaving engine still has sessions", func() bool { return engines["b1"].Sessions() == 0 })
	for range 6 {
		assert.Equal(t, <-verdicts, caller.Whole)
	}
	for _, n := range f.Nodes {
		assert.Equal(t, n.Violations(), int64(0))
	}
}

// TestRestartWithLargeTables restarts all VMs of a fleet with large tables. All
// observers need the document at the same time; no VM, the leader included, may
// send as many bytes as the document has.
func TestRestartWithLargeTables(t *testing.T) {
	const vms, routes = 9, 3000
	f := start(t, vms, 3)
	var large strings.Builder
	large.WriteString("routes:\n")
	for i := range routes {
		fmt.Fprintf(&large, "  - {name: r%05d, match: {pathPrefix: /r%05d/%x, methods: [POST]}, pool: dispatch, deadline: 10s}\n", i, i, i*2654435761)
	}
	large.WriteString("pools:\n  - {name: dispatch, service: dispatch}\n")
	_, err := operatorOf(t, f, 0).Apply(t.Context(), admin.Change{Base: 1, ChangeID: "large", Author: "amal", Document: large.String()})
	assert.NilError(t, err)
	eventually(t, "revision 2 is not in force on every VM", inForce(f, 2))
	for i := range vms {
		f.StopVM(i)
	}
	assert.NilError(t, f.StartAll(context.Background(), readyTimeout))
	assert.Assert(t, inForce(f, 2)())
	for i, n := range f.Nodes {
		sent := n.Status().Links.SentBytes
		assert.Assert(t, sent < int64(large.Len()), "VM %d sent %d bytes, want fewer than the %d bytes of the tables", i, sent, large.Len())
	}
}
