// Package admin implements the operators' interface: JSON over HTTPS, authenticated by a
// token. The command line uses it, and scripts may use it as well.
package admin

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/control/replica"
	"github.com/jasminecove/jasminecove/internal/fleet/link"
	"github.com/jasminecove/jasminecove/internal/node/recovery"
	"github.com/jasminecove/jasminecove/internal/request/filter"
	"github.com/jasminecove/jasminecove/internal/routing/directory"
	"github.com/jasminecove/jasminecove/internal/upstream/stagelink"
)

// Status is one VM's view of the fleet.
type Status struct {
	VM         string                     `json:"vm"`
	DataCentre string                     `json:"dataCentre"`
	Ready      string                     `json:"ready"`     // "yes", or the reason why not.
	Revision   uint64                     `json:"revision"`  // In force on this VM.
	ViewAge    clock.Duration             `json:"viewAgeMs"` // Age of this VM's view of the control state.
	Replica    *replica.Status            `json:"replica,omitempty"`
	VMs        []VM                       `json:"vms"`
	Pools      []directory.PoolView       `json:"pools"`
	Admission  map[string]filter.PoolLoad `json:"admission"`
	InFlight   int64                      `json:"inFlight"`
	Links      link.Stats                 `json:"links"`
	Stages     stagelink.Stats            `json:"stages"`
	Recovery   recovery.Summary           `json:"recovery"` // Times from the loss of a stage to the next token.
	Violations int64                      `json:"violations"`
}

// VM is one VM in another VM's view.
type VM struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	State      string `json:"state"`
	Revision   uint64 `json:"revision"`
	Draining   bool   `json:"draining,omitempty"`
	Replica    bool   `json:"replica,omitempty"`
	Leader     bool   `json:"leader,omitempty"`
	Callers    string `json:"callers"`
}

// Change is a request to change the tables.
type Change struct {
	Base     uint64 `json:"base"`     // Revision that the change is based on.
	ChangeID string `json:"changeId"` // A repeated request with the same id returns the first outcome.
	Author   string `json:"author"`
	Note     string `json:"note,omitempty"`
	Document string `json:"document"` // YAML.
}

// ChangeResult is the outcome of a change.
type ChangeResult struct {
	Code     string `json:"code"` // ok, conflict or invalid.
	Revision uint64 `json:"revision"`
	Author   string `json:"author,omitempty"` // Author of the current revision, on a conflict.
	Detail   string `json:"detail,omitempty"`
	Repeated bool   `json:"repeated,omitempty"`
}

// Codes of a ChangeResult.
const (
	CodeOK       = "ok"
	CodeConflict = "conflict"
	CodeInvalid  = "invalid"
)

// Revision is one accepted version of the tables.
type Revision struct {
	Number   uint64 `json:"number"`
	ChangeID string `json:"changeId"`
	Author   string `json:"author"`
	Note     string `json:"note,omitempty"`
	At       string `json:"at"`
	Document string `json:"document,omitempty"`
}

// VMRequest names a VM to act on.
type VMRequest struct {
	VM string `json:"vm"`
}

// Failure is the body of an error response.
type Failure struct {
	Error string `json:"error"`
}
