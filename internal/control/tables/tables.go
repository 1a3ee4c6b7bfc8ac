// Package tables holds the two tables that operators edit: routes, which say
// which requests go where, and pools, which say which upstreams serve them.
// Both are read, validated and accepted together as one document.
package tables

import (
	"fmt"
	"slices"
	"strings"

	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// Document is both tables. It is immutable once validated.
type Document struct {
	Routes []Route `yaml:"routes" json:"routes"`
	Pools  []Pool  `yaml:"pools" json:"pools"`
	// Organisations and Callers are set where they change with the tables and not
	// with the VM's settings.
	Organisations []Organisation `yaml:"organisations,omitempty" json:"organisations,omitempty"`
	Callers       CallerLimits   `yaml:"callers,omitempty" json:"callers,omitempty"`
}

// Route sends the requests that it matches to the pool that it names.
type Route struct {
	Name  string `yaml:"name" json:"name"`
	Match Match  `yaml:"match" json:"match"`
	Pool  string `yaml:"pool" json:"pool"`
	// Calls says what a repeat of a call means; see CallKind.
	Calls CallKind `yaml:"calls,omitempty" json:"calls,omitempty"`
	// Deadline bounds a request's whole time; 0 takes the default.
	Deadline clock.Duration `yaml:"deadline,omitempty" json:"deadline,omitempty"`
	// Organisations limits the route to these; empty admits all.
	Organisations []string `yaml:"organisations,omitempty" json:"organisations,omitempty"`

	// The fields below are of forwarded routes, which name a host.

	// Split spreads requests over pools by weight, in place of Pool.
	Split []Share `yaml:"split,omitempty" json:"split,omitempty"`
	// Attempts bounds the upstreams that one request is sent to; 0 means 1.
	Attempts int `yaml:"attempts,omitempty" json:"attempts,omitempty"`
	// Objective is the time to the answer, or to its first event, that is on time.
	Objective clock.Duration `yaml:"objective,omitempty" json:"objective,omitempty"`
	Priority  int            `yaml:"priority,omitempty" json:"priority,omitempty"` // 0 is the highest.
	// Anonymous admits requests without a key.
	Anonymous bool    `yaml:"anonymous,omitempty" json:"anonymous,omitempty"`
	Events    *Events `yaml:"events,omitempty" json:"events,omitempty"`
}

// Match selects requests, by model or by path and method.
type Match struct {
	Model string `yaml:"model,omitempty" json:"model,omitempty"`
	// Host makes the route a forwarded one. It is compared without its port.
	Host       string   `yaml:"host,omitempty" json:"host,omitempty"`
	PathPrefix string   `yaml:"pathPrefix,omitempty" json:"pathPrefix,omitempty"`
	Methods    []string `yaml:"methods,omitempty" json:"methods,omitempty"`
}

// CallKind says whether the calls of a route may be repeated.
type CallKind string

// Kinds of calls. The zero value means Idempotent for pools of engines and for
// GET and HEAD, and NonIdempotent for other calls to services.
const (
	Idempotent    CallKind = "idempotent"
	NonIdempotent CallKind = "nonIdempotent"
)

// Pool is a set of upstreams, selected by what they announce.
type Pool struct {
	Name    string `yaml:"name" json:"name"`
	Model   string `yaml:"model,omitempty" json:"model,omitempty"`
	Version string `yaml:"version,omitempty" json:"version,omitempty"`
	Layers  uint32 `yaml:"layers,omitempty" json:"layers,omitempty"`
	Service string `yaml:"service,omitempty" json:"service,omitempty"`
	// Pick names the policy that spreads requests; empty takes "planned".
	Pick string `yaml:"pick,omitempty" json:"pick,omitempty"`
	// Concurrency bounds the requests in flight from one VM; 0 means adaptive.
	Concurrency int `yaml:"concurrency,omitempty" json:"concurrency,omitempty"`
	// Fencing says whether the upstreams refuse old fencing numbers.
	Fencing FencingKind `yaml:"fencing,omitempty" json:"fencing,omitempty"`
	// RetryShare is the share of recent requests that may be retries.
	RetryShare float64 `yaml:"retryShare,omitempty" json:"retryShare,omitempty"`
	// KeepTokens is the tokens a second that a roll to another version keeps
	// serving; 0 keeps half of what the pool can serve.
	KeepTokens float64 `yaml:"keepTokensPerSecond,omitempty" json:"keepTokensPerSecond,omitempty"`
	// HedgeAfter sends an idempotent call to a second upstream when the first has
	// not answered by then; 0 never does. It counts as a retry.
	HedgeAfter clock.Duration `yaml:"hedgeAfter,omitempty" json:"hedgeAfter,omitempty"`
	// MaxConnections bounds the connections that an upstream accepts; 0 is unknown.
	MaxConnections int    `yaml:"maxConnections,omitempty" json:"maxConnections,omitempty"`
	HealthPath     string `yaml:"healthPath,omitempty" json:"healthPath,omitempty"`
	// Engine is set where the pool's upstreams forward along a path.
	Engine *Engine `yaml:"engine,omitempty" json:"engine,omitempty"`
}

// FencingKind says what the upstreams of a pool do with an old fencing number.
type FencingKind string

// Kinds of fencing. The zero value means Ignored, the weaker assumption.
const (
	Refused FencingKind = "refused"
	Ignored FencingKind = "ignored"
)

// PickPolicies are the names that Pool.Pick accepts.
var PickPolicies = []string{"planned", "twoChoices", "roundRobin", "leastInFlight", "random"}

// IsModel reports whether the pool's upstreams are engines.
func (p Pool) IsModel() bool { return p.Model != "" }

// WithPick returns the pool with another pick policy.
func (p Pool) WithPick(policy string) Pool {
	p.Pick = policy
	return p
}

// Pool returns the pool named name.
func (d *Document) Pool(name string) (Pool, bool) {
	for _, p := range d.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// RouteForModel returns the first route that matches a model.
func (d *Document) RouteForModel(model string) (Route, bool) {
	for _, r := range d.Routes {
		if r.Match.Model == model {
			return r, true
		}
	}
	return Route{}, false
}

// RouteForPath returns the route whose path prefix is the longest match among
// those that allow the method. The second result says whether any route
// matches the path at all, whatever its methods.
func (d *Document) RouteForPath(method, path string) (best Route, pathKnown, found bool) {
	for _, r := range d.Routes {
		if !r.matchesPath(path) {
			continue
		}
		pathKnown = true
		if !r.allows(method) {
			continue
		}
		if !found || len(r.Match.PathPrefix) > len(best.Match.PathPrefix) {
			best, found = r, true
		}
	}
	return best, pathKnown, found
}

// Repeatable reports whether a call may be run twice.
func (r Route) Repeatable(method string) bool {
	switch r.Calls {
	case Idempotent:
		return true
	case NonIdempotent:
		return false
	}
	return r.Match.Model != "" || method == "GET" || method == "HEAD"
}

func (r Route) matchesPath(path string) bool {
	prefix := r.Match.PathPrefix
	if prefix == "" || !strings.HasPrefix(path, prefix) {
		return false
	}
	rest := path[len(prefix):]
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}

func (r Route) allows(method string) bool {
	return len(r.Match.Methods) == 0 || slices.Contains(r.Match.Methods, method)
}

// Fault is one error in the tables.
type Fault struct {
	Line int    // Line in the document, 0 if unknown.
	Key  string // For example routes[2].pool.
	Text string
}

// String formats the fault on one line.
func (f Fault) String() string {
	if f.Line > 0 {
		return fmt.Sprintf("line %d: %s: %s", f.Line, f.Key, f.Text)
	}
	return f.Key + ": " + f.Text
}

// InvalidError lists every fault of a document. Nothing of it is accepted.
type InvalidError struct {
	Faults []Fault
}

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return "tables are invalid: " + strings.Join(lines, "; ")
}
