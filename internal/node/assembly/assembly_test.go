package assembly_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/cli/operator"
	"github.com/jasminecove/jasminecove/internal/node/admin"
	"github.com/jasminecove/jasminecove/internal/node/assembly"
	"github.com/jasminecove/jasminecove/internal/node/settings"
	"github.com/jasminecove/jasminecove/internal/standin/engine"
	"github.com/jasminecove/jasminecove/internal/standin/model"
	"github.com/jasminecove/jasminecove/internal/standin/service"
)

const layers = 12

// newNode starts a lone VM with a model pool and a service pool.
func newNode(t *testing.T) *assembly.Node {
	t.Helper()
	s, err := settings.Parse("test", []byte(`vm: a1
dataCentre: a
listen: {callers: "127.0.0.1:0", upstreams: "127.0.0.1:0", operators: "127.0.0.1:0"}
callers: {anonymous: true}
telemetry: {logLevel: info}
drain: {notice: 10ms}
`))
	assert.NilError(t, err)
	n, err := assembly.New(s, testOut(), assembly.WithInitialTables([]byte(`
routes:
  - {name: chat, match: {model: crew}, pool: crew}
  - {name: book, match: {pathPrefix: /bookings}, pool: dispatch}
pools:
  - {name: crew, model: crew, layers: 12}
  - {name: dispatch, service: dispatch}
`)))
	assert.NilError(t, err)
	assert.NilError(t, n.Start(t.Context()))
	return n
}

// startEngines starts replicas of a pipeline of three stages with four layers each.
func startEngines(t *testing.T, n *assembly.Node, replicas int) []*engine.Engine {
	t.Helper()
	var all []*engine.Engine
	for r := range replicas {
		for k := range uint32(3) {
			e := engine.New(fmt.Sprintf("e%d%c", k, 'a'+r), engine.WithModel("crew", "1", layers), engine.WithLayers(k*4, k*4+4),
				engine.WithSpeed(5000), engine.WithAnnounceTo("http://"+n.UpstreamsAddress()))
			assert.NilError(t, e.Start(t.Context(), "127.0.0.1:0"))
			t.Cleanup(e.Kill)
			all = append(all, e)
		}
	}
	return all
}

func post(ctx context.Context, n *assembly.Node, path, body string, header map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.CallersAddress()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return http.DefaultClient.Do(req)
}

// complete requests a completion and retries until the pool has its upstreams.
func complete(t *testing.T, n *assembly.Node, tokens int) string {
	t.Helper()
	body := fmt.Sprintf(`{"model":"crew","max_tokens":%d,"prompt":"pump out the trap"}`, tokens)
	for range 100 {
		resp, err := post(t.Context(), n, "/v1/completions", body, nil)
		assert.NilError(t, err)
		var out struct {
			Choices []struct{ Text string }
		}
		err = json.NewDecoder(resp.Body).Decode(&out)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			assert.NilError(t, err)
			return out.Choices[0].Text
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("no completion after all attempts")
	return ""
}

// reference returns the expected completion.
func reference(tokens int) string {
	var want strings.Builder
	for _, tok := range model.ReferenceAnswer("pump out the trap", layers, tokens) {
		want.WriteString(model.TokenText(tok))
	}
	return want.String()
}

func TestCompletionThreeStages(t *testing.T) {
	n := newNode(t)
	defer n.Stop()
	startEngines(t, n, 1)
	assert.Equal(t, complete(t, n, 30), reference(30))
	assert.Equal(t, n.Violations(), int64(0))
}

// TestCompletionStageFailure kills a stage while completions run. Each must continue on the other
// replica with the same tokens.
func TestCompletionStageFailure(t *testing.T) {
	n := newNode(t)
	defer n.Stop()
	engines := startEngines(t, n, 2)
	complete(t, n, 1)
	results := make(chan string, 20)
	for range 20 {
		go func() { results <- complete(t, n, 200) }()
	}
	time.Sleep(50 * time.Millisecond)
	engines[1].Kill()
	for range 20 {
		assert.Equal(t, <-results, reference(200))
	}
	assert.Equal(t, n.Violations(), int64(0))
}

func TestServiceBooking(t *testing.T) {
	n := newNode(t)
	defer n.Stop()
	ledger := service.NewLedger()
	s := service.New("s1", "dispatch", ledger)
	assert.NilError(t, s.Start(t.Context(), "127.0.0.1:0", []string{"http://" + n.UpstreamsAddress()}))
	defer s.Kill()
	for range 100 {
		resp, err := post(t.Context(), n, "/bookings", "pump 7", nil)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusCreated {
			break
		}
		assert.Equal(t, resp.Header.Get("Jasminecove-Outcome"), "notRun")
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, ledger.Runs("pump 7"), 1)
}

// TestEngineRestart kills the only replica of a stage and restarts it with the same id at
// another address.
func TestEngineRestart(t *testing.T) {
	n := newNode(t)
	defer n.Stop()
	engines := startEngines(t, n, 1)
	assert.Equal(t, complete(t, n, 5), reference(5))
	engines[1].Kill()
	eventually(t, "the engine is unreachable", func() bool {
		for _, u := range n.Status().Pools[0].Upstreams {
			if u.ID == "e1a" {
				return u.State == "unreachable"
			}
		}
		return false
	})
	restarted := engine.New("e1a", engine.WithModel("crew", "1", layers), engine.WithLayers(4, 8),
		engine.WithSpeed(5000), engine.WithAnnounceTo("http://"+n.UpstreamsAddress()))
	assert.NilError(t, restarted.Start(t.Context(), "127.0.0.1:0"))
	defer restarted.Kill()
	assert.Equal(t, complete(t, n, 50), reference(50))
}

// TestOrderClosesGap kills every engine that holds a range of layers. An engine with another
// range must be ordered to load it.
func TestOrderClosesGap(t *testing.T) {
	n := newNode(t)
	defer n.Stop()
	engines := startEngines(t, n, 2)
	complete(t, n, 1)
	engines[1].Kill()
	engines[4].Kill()
	eventually(t, "an engine of another range took layers 4 to 8", func() bool {
		for _, u := range n.Status().Pools[0].Upstreams {
			if u.Layers == [2]uint32{4, 8} && u.ID[:2] != "e1" {
				return true
			}
		}
		return false
	})
	assert.Equal(t, complete(t, n, 20), reference(20))
	assert.Equal(t, n.Violations(), int64(0))
}

// TestRollingUpdate changes the model version while completions run. No completion may mix
// versions or be truncated.
func TestRollingUpdate(t *testing.T) {
	n := newNode(t)
	defer n.Stop()
	for _, id := range []string{"w1", "w2"} {
		e := engine.New(id, engine.WithModel("crew", "1", layers), engine.WithLayers(0, layers), engine.WithSpeed(5000),
			engine.WithAnnounceTo("http://"+n.UpstreamsAddress()))
		assert.NilError(t, e.Start(t.Context(), "127.0.0.1:0"))
		defer e.Kill()
	}
	complete(t, n, 1)
	op, err := operator.New(operator.Config{Server: "http://" + n.OperatorsAddress()})
	assert.NilError(t, err)
	result, err := op.Apply(t.Context(), admin.Change{Base: 1, ChangeID: "roll", Author: "amal", Document: `
routes:
  - {name: chat, match: {model: crew}, pool: crew}
pools:
  - {name: crew, model: crew, layers: 12, version: "2", fencing: refused}
`})
	assert.NilError(t, err)
	assert.Equal(t, result.Code, admin.CodeOK)
	updated := func() bool {
		for _, u := range n.Status().Pools[0].Upstreams {
			if u.Version != "2" {
				return false
			}
		}
		return true
	}
	for end := time.Now().Add(hangBound); !updated() && time.Now().Before(end); {
		assert.Equal(t, complete(t, n, 20), reference(20))
	}
	assert.Assert(t, updated())
	assert.Equal(t, n.Violations(), int64(0))
}

// BenchmarkToken measures the full path of one token through three in-process stages. The
// time of the stand-in engines and of the caller is included.
func BenchmarkToken(b *testing.B) {
	s, err := settings.Parse("bench", []byte(`vm: a1
dataCentre: a
listen: {callers: "127.0.0.1:0", upstreams: "127.0.0.1:0", operators: "127.0.0.1:0"}
callers: {anonymous: true}
telemetry: {logLevel: error}
`))
	assert.NilError(b, err)
	n, err := assembly.New(s, io.Discard, assembly.WithInitialTables([]byte(`
routes: [{name: chat, match: {model: crew}, pool: crew}]
pools: [{name: crew, model: crew, layers: 12}]
`)))
	assert.NilError(b, err)
	assert.NilError(b, n.Start(b.Context()))
	defer n.Stop()
	for k := range uint32(3) {
		e := engine.New(fmt.Sprint("e", k), engine.WithModel("crew", "1", layers), engine.WithLayers(k*4, k*4+4),
			engine.WithSpeed(1e6), engine.WithAnnounceTo("http://"+n.UpstreamsAddress()))
		assert.NilError(b, e.Start(b.Context(), "127.0.0.1:0"))
		defer e.Kill()
	}
	time.Sleep(2 * time.Second)
	body := fmt.Sprintf(`{"model":"crew","max_tokens":%d,"prompt":"pump","stream":true}`, 1000)
	b.ReportAllocs()
	b.ResetTimer()
	tokens := 0
	for tokens < b.N {
		resp, err := post(b.Context(), n, "/v1/completions", body, nil)
		assert.NilError(b, err)
		data, err := io.ReadAll(resp.Body)
		assert.NilError(b, err)
		assert.NilError(b, resp.Body.Close())
		tokens += strings.Count(string(data), `"text":" `)
	}
}
