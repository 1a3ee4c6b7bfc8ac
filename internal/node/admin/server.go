package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/control/client"
	"github.com/jasminecove/jasminecove/internal/node/accounts"
	"github.com/jasminecove/jasminecove/internal/node/controlplane"
	"github.com/jasminecove/jasminecove/internal/node/telemetry"
	"github.com/jasminecove/jasminecove/internal/request/filter"
	"github.com/jasminecove/jasminecove/internal/request/inbound"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Limits of the interface.
const (
	maxBodyBytes = 2 << 20
	callTimeout  = 8 * time.Second
)

// Server serves operators.
type Server struct {
	Plane    *controlplane.Plane
	Accounts *accounts.Store
	Status   func() Status
	Ready    func() error
	Metrics  http.Handler
	Profiles http.Handler    // Nil if it is turned off.
	Token    string          // Empty disables authentication, for a lone VM on loopback.
	Budget   *inbound.Budget // Memory for the bodies of calls; nil if it is not limited.
}

// Handler returns the handler of the operators' interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.Handle("GET /metrics", s.Metrics)
	if s.Profiles != nil {
		mux.HandleFunc("GET "+telemetry.ProfilesPath, s.guard(s.Profiles.ServeHTTP))
	}
	mux.HandleFunc("GET /v1/status", s.guard(func(w http.ResponseWriter, _ *http.Request) { respond(w, http.StatusOK, s.Status()) }))
	mux.HandleFunc("GET /v1/tables", s.guard(s.serveGet))
	mux.HandleFunc("POST /v1/tables", s.guard(s.serveApply))
	mux.HandleFunc("GET /v1/tables/history", s.guard(s.serveHistory))
	mux.HandleFunc("GET /v1/requests/{id}", s.guard(s.serveExplain))
	mux.HandleFunc("POST /v1/drain", s.guard(s.serveDrain))
	mux.HandleFunc("POST /v1/voters/remove", s.guard(s.serveRemoveVoter))
	return mux
}

// guard checks the token, bounds the time of a call, and reads its body within the limits of size and memory.
func (s *Server) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if s.Token != "" && !filter.SameSecret(token, s.Token) {
			respondError(w, http.StatusUnauthorized, "the operators' token is needed")
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		account, done := s.Budget.ForRequest(w, r)
		defer done()
		unlimited := inbound.LimitTime(w, r, callTimeout, maxBodyBytes)
		body, release, err := inbound.ReadBody(ctx, account, http.MaxBytesReader(w, r.Body, maxBodyBytes), r.ContentLength, maxBodyBytes)
		defer release()
		unlimited()
		if err != nil {
			w.Header().Set("Connection", "close") // net/http would wait for the rest of the body if it kept the connection.
			status := http.StatusBadRequest
			if errors.Is(err, inbound.ErrExhausted) {
				status = http.StatusServiceUnavailable
			}
			respondError(w, status, err.Error())
			return
		}
		account.Protect(true)
		defer account.Protect(false)
		r = r.WithContext(ctx)
		r.Body = io.NopCloser(bytes.NewReader(body))
		next(w, r)
	}
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// serveGet responds with the current revision, or with an earlier one if its number is given.
func (s *Server) serveGet(w http.ResponseWriter, r *http.Request) {
	query := &fleetpb.ReadState{Tables: true}
	if text := r.URL.Query().Get("revision"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil || n == 0 {
			respondError(w, http.StatusBadRequest, "revision must be a number greater than 0")
			return
		}
		query = &fleetpb.ReadState{Revision: n}
	}
	answer, err := s.Plane.Client().Read(r.Context(), query)
	if err != nil {
		respondCallError(w, err)
		return
	}
	respond(w, http.StatusOK, revision(answer.GetState().GetRevision()))
}

func (s *Server) serveHistory(w http.ResponseWriter, r *http.Request) {
	answer, err := s.Plane.Client().Read(r.Context(), &fleetpb.ReadState{History: true})
	if err != nil {
		respondCallError(w, err)
		return
	}
	out := make([]Revision, 0, len(answer.History))
	for _, rev := range answer.History {
		out = append(out, revision(rev))
	}
	respond(w, http.StatusOK, out)
}

func (s *Server) serveApply(w http.ResponseWriter, r *http.Request) {
	var c Change
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || c.ChangeID == "" || c.Author == "" {
		respondError(w, http.StatusBadRequest, "changeId, author and document are needed")
		return
	}
	result, err := s.Plane.Client().Propose(r.Context(), &fleetpb.Command{
		ChangeId: c.ChangeID,
		Body: &fleetpb.Command_Apply{Apply: &fleetpb.ApplyTables{
			BaseRevision: c.Base, Document: []byte(c.Document), Author: c.Author, Note: c.Note,
		}},
	})
	if err != nil {
		respondCallError(w, err)
		return
	}
	out := ChangeResult{Code: CodeOK, Revision: result.Revision, Author: result.Author, Detail: result.Detail, Repeated: result.Repeated}
	status := http.StatusOK
	switch result.Code {
	case fleetpb.Result_CONFLICT:
		out.Code, status = CodeConflict, http.StatusConflict
	case fleetpb.Result_INVALID:
		out.Code, status = CodeInvalid, http.StatusUnprocessableEntity
	}
	respond(w, status, out)
}

func (s *Server) serveExplain(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if a, ok := s.Accounts.Get(id); ok {
		respond(w, http.StatusOK, a)
		return
	}
	if data := s.Plane.ExplainRemote(r.Context(), id); len(data) > 0 {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data)
		return
	}
	respondError(w, http.StatusNotFound, "no VM remembers the request")
}

func (s *Server) serveDrain(w http.ResponseWriter, r *http.Request) {
	var v VMRequest
	if json.NewDecoder(r.Body).Decode(&v) != nil || v.VM == "" {
		respondError(w, http.StatusBadRequest, "vm is needed")
		return
	}
	if err := s.Plane.DrainVM(r.Context(), v.VM); err != nil {
		respondCallError(w, err)
		return
	}
	respond(w, http.StatusAccepted, v)
}

func (s *Server) serveRemoveVoter(w http.ResponseWriter, r *http.Request) {
	var v VMRequest
	if json.NewDecoder(r.Body).Decode(&v) != nil || v.VM == "" {
		respondError(w, http.StatusBadRequest, "vm is needed")
		return
	}
	if err := s.Plane.Client().Join(r.Context(), &fleetpb.Join{Remove: v.VM}); err != nil {
		respondCallError(w, err)
		return
	}
	respond(w, http.StatusAccepted, v)
}

func revision(r *fleetpb.Revision) Revision {
	at := ""
	if r != nil {
		at = clock.Time(r.AtMs).Std().Format(time.RFC3339)
	}
	return Revision{
		Number: r.GetNumber(), ChangeID: r.GetChangeId(), Author: r.GetAuthor(), Note: r.GetNote(), At: at, Document: string(r.GetDocument()),
	}
}

func respond(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// respondError responds with an error.
func respondError(w http.ResponseWriter, status int, text string) {
	respond(w, status, Failure{Error: text})
}

// respondCallError responds with the error of a failed call to the control state: 404 if
// the call was refused or the VM is unknown, and 503 for any other error.
func respondCallError(w http.ResponseWriter, err error) {
	var refused *client.RefusedError
	switch {
	case errors.As(err, &refused):
		respondError(w, http.StatusNotFound, refused.Detail)
	case errors.Is(err, controlplane.ErrUnknownVM):
		respondError(w, http.StatusNotFound, err.Error())
	default:
		respondError(w, http.StatusServiceUnavailable, err.Error())
	}
}
