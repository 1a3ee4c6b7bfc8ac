package router

import (
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/fault"
)

// errOtherVM reports reloaded settings of another VM.
const errOtherVM = fault.Sentinel("router: the settings are those of another VM")

// reloadIfNeeded reads the settings again if the last file could not be read or was new, since it may have
// been read while it was written, or if this VM reaches no other one, since the file may have changed
// without a signal.
func (r *Router) reloadIfNeeded() {
	if again := r.reloadAgain.Load(); again || r.plane.IsAlone() {
		next, err := r.cfg.Reload()
		if again || err == nil && !slices.Equal(next.Settings.Fleet.Seeds, r.plane.Seeds()) {
			r.HandleReload(next, err)
		}
	}
}

// HandleReload applies reloaded settings. Only the seeds are applied; addresses and the data
// folder keep their values until a restart. If the file could not be read, nothing changes, and it is read
// again soon.
func (r *Router) HandleReload(next Config, err error) {
	if err == nil && next.Settings.VM != r.cfg.Settings.VM {
		err = errOtherVM
	}
	if err != nil {
		r.reloadAgain.Store(true)
		if !r.reloadFailing.Swap(true) {
			r.log.Decision("reloadFailed", r.cfg.Settings.VM, "error", err.Error())
		}
		return
	}
	seeds := next.Settings.Fleet.Seeds
	changed := !slices.Equal(seeds, r.plane.Seeds())
	r.plane.SetSeeds(seeds)
	again, failing := r.reloadAgain.Swap(changed), r.reloadFailing.Swap(false)
	if !again || failing || changed {
		r.log.Decision("reloaded", r.cfg.Settings.VM, "seeds", seeds)
	}
}
