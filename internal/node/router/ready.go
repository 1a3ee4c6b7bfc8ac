package router

import (
	"io"
	"net/http"

	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Ready returns nil if the VM should get new connections, or the reason why not.
func (r *Router) Ready() error {
	if r.draining.Load() {
		return ErrDraining
	}
	return r.synced()
}

// synced returns nil if the VM has a current view and tables, or the reason why it cannot route
// requests.
func (r *Router) synced() error {
	if err := r.plane.Ready(); err != nil {
		return err
	}
	if r.plane.Current() == nil {
		return ErrNoTables
	}
	return nil
}

func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	err := r.Ready()
	r.mu.Lock()
	changed := r.ready != (err == nil)
	r.ready = err == nil
	r.mu.Unlock()
	if changed {
		text := ""
		if err != nil {
			text = err.Error()
		}
		r.log.Decision("readiness", r.cfg.Settings.VM, "ready", err == nil, "reason", text, "revision", r.plane.Current().GetNumber())
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// isolated returns ErrIsolated if more VMs are suspected or dead than alive, and the view of the control
// state is old: the others may be on the larger side of a partition.
func (r *Router) isolated() error {
	live, lost := 0, 0
	for _, m := range r.plane.Members() {
		switch m.State {
		case fleetpb.Member_ALIVE:
			live++
		case fleetpb.Member_SUSPECT, fleetpb.Member_DEAD:
			lost++
		}
	}
	if lost > live && !r.plane.HasRecentView(maxViewAge) {
		return ErrIsolated
	}
	return nil
}

// canJudge returns an error if there may be tables that this VM does not know yet, as after a restart: it
// cannot tell which services they name.
func (r *Router) canJudge() error {
	if r.plane.Current() == nil && !r.plane.TablesConfirmed() {
		return ErrNoTables
	}
	return nil
}
