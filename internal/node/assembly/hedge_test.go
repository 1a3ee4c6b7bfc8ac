package assembly_test

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/cli/operator"
	"github.com/jasminecove/jasminecove/internal/node/admin"
	"github.com/jasminecove/jasminecove/internal/standin/service"
)

// TestHedging lets one of two services hang. A lookup is idempotent and is answered by the other
// service. A booking is not, and must be sent once only.
func TestHedging(t *testing.T) {
	n := newNode(t)
	defer n.Stop()
	op, err := operator.New(operator.Config{Server: "http://" + n.OperatorsAddress()})
	assert.NilError(t, err)
	eventually(t, "the first tables are in force", func() bool { return n.Revision() == 1 })
	_, err = op.Apply(t.Context(), admin.Change{Base: 1, ChangeID: "hedge", Author: "amal", Document: `
routes: [{name: book, match: {pathPrefix: /bookings}, pool: dispatch, deadline: 3s}]
pools: [{name: dispatch, service: dispatch, hedgeAfter: 30ms, retryShare: 0.5, pick: roundRobin}]
`})
	assert.NilError(t, err)
	ledger := service.NewLedger()
	hung, healthy := service.New("hung", "dispatch", ledger), service.New("healthy", "dispatch", ledger)
	for _, s := range []*service.Service{hung, healthy} {
		assert.NilError(t, s.Start(t.Context(), "127.0.0.1:0", []string{"http://" + n.UpstreamsAddress()}))
		defer s.Kill()
	}
	eventually(t, "both services are known", func() bool {
		pools := n.Status().Pools
		return n.Revision() == 2 && len(pools[0].Upstreams) == 2
	})
	hung.SetFaults(service.Faults{HangForever: true})
	for range 2 {
		resp, err := http.Get("http://" + n.CallersAddress() + "/bookings/7")
		assert.NilError(t, err)
		var answer map[string]string
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&answer))
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, answer["service"], "healthy")
	}
	outcomes := map[string]int{}
	for range 2 {
		resp, err := post(t.Context(), n, "/bookings", "pump", nil)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, resp.Body.Close())
		outcomes[resp.Header.Get("Jasminecove-Outcome")]++
	}
	assert.Assert(t, ledger.Runs("pump") == outcomes["complete"], "%d runs of the booking, outcomes %v", ledger.Runs("pump"), outcomes)
}
