package engine

import (
	"context"
	"encoding/binary"
	"io"
	"net/http"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/standin/model"
	"github.com/jasminecove/jasminecove/internal/wire/framing"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

func (e *Engine) handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/stage", func(w http.ResponseWriter, r *http.Request) { e.serveStage(ctx, w, r) })
	mux.HandleFunc("POST /v1/cache/export", e.serveExport)
	mux.HandleFunc("POST /v1/cache/import", e.serveImport)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("POST /faults", e.serveFaults)
	return mux
}

// serveExport replies with the cache of the requested session.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var req upstreampb.CacheExport
	if !readProto(w, r, &req) {
		return
	}
	e.mu.Lock()
	s := e.sessions[req.Session]
	var reply *upstreampb.CacheExport
	if s != nil && s.cache != nil {
		reply = &upstreampb.CacheExport{
			Session: req.Session, Positions: s.cache.Positions,
			LayerFrom: e.layerFrom, LayerTo: e.layerTo, State: encodeStates(s.cache.States),
		}
	}
	e.mu.Unlock()
	if reply == nil {
		http.Error(w, "no such session", http.StatusNotFound)
		return
	}
	data, err := proto.Marshal(reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data)
}

// serveImport stores a cache that another engine exported.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var in upstreampb.CacheExport
	if !readProto(w, r, &in) {
		return
	}
	if in.LayerFrom != e.layerFrom || in.LayerTo != e.layerTo || len(in.State) != 8*int(e.layerTo-e.layerFrom) {
		http.Error(w, "other layers are held here", http.StatusConflict)
		return
	}
	cache := model.NewCache(e.layerFrom, e.layerTo)
	cache.Positions = in.Positions
	for i := range cache.States {
		cache.States[i] = binary.LittleEndian.Uint64(in.State[8*i:])
	}
	e.mu.Lock()
	e.sessions[in.Session] = &sessionState{cache: cache}
	e.mu.Unlock()
}

// serveOrder accepts an order unless its fencing number is older than one accepted before.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<16))
	var order upstreampb.Order
	if err != nil || protojson.Unmarshal(data, &order) != nil {
		http.Error(w, "bad order", http.StatusBadRequest)
		return
	}
	reply, err := protojson.Marshal(e.order(&order))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(reply)
}

// order carries out an order and returns the reply. A repeated order gets the
// stored reply.
func (e *Engine) order(o *upstreampb.Order) *upstreampb.OrderReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known := e.orders[o.Id]; known != nil {
		return known
	}
	if o.Fencing < e.fencing && !e.ignoreFencing {
		return &upstreampb.OrderReply{Fencing: e.fencing, Reason: "old fencing number"}
	}
	e.fencing = max(e.fencing, o.Fencing)
	if o.LayerTo > o.LayerFrom {
		e.layerFrom, e.layerTo = o.LayerFrom, o.LayerTo
		e.sessions = map[uint64]*sessionState{}
	}
	if o.Version != "" {
		e.version = o.Version
	}
	reply := &upstreampb.OrderReply{Accepted: true, Fencing: e.fencing}
	e.orders[o.Id] = reply
	return reply
}

// readProto decodes the request body into m, or replies with status 400 and returns false.
func readProto(w http.ResponseWriter, r *http.Request, m proto.Message) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, framing.MaxMessageBytes))
	if err != nil || proto.Unmarshal(data, m) != nil {
		http.Error(w, "bad message", http.StatusBadRequest)
		return false
	}
	return true
}

func encodeStates(states []uint64) []byte {
	out := make([]byte, 0, 8*len(states))
	for _, s := range states {
		out = binary.LittleEndian.AppendUint64(out, s)
	}
	return out
}
