// Package tables defines the two tables that operators edit: routes, which map
// requests to pools, and pools, which select the upstreams that serve them. Both
// are parsed, validated and applied together as one document.
package tables

import (
	"fmt"
	"slices"
	"strings"

	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// Document contains both tables. It is immutable once validated.
type Document struct {
	Routes []Route `yaml:"routes" json:"routes"`
	Pools  []Pool  `yaml:"pools" json:"pools"`
	// Organisations and Callers are set if they are configured in the tables and not
	// in the VM's settings.
	Organisations []Organisation `yaml:"organisations,omitempty" json:"organisations,omitempty"`
	Callers       CallerLimits   `yaml:"callers,omitempty" json:"callers,omitempty"`
	// Revision is the number under which the tables were committed; 0 before that.
	Revision uint64 `yaml:"-" json:"-"`
}

// WithRevision returns a copy of the document that was committed as a revision.
func (d Document) WithRevision(number uint64) *Document {
	d.Revision = number
	return &d
}

// Route sends the requests that it matches to the pool that it names.
type Route struct {
	Name  string `yaml:"name" json:"name"`
	Match Match  `yaml:"match" json:"match"`
	Pool  string `yaml:"pool" json:"pool"`
	// Calls says whether the calls of the route may be repeated; see CallKind.
	Calls CallKind `yaml:"calls,omitempty" json:"calls,omitempty"`
	// Deadline bounds the total time of a request; 0 means the default.
	Deadline clock.Duration `yaml:"deadline,omitempty" json:"deadline,omitempty"`
	// Organisations lists the organisations that may use the route; empty admits all.
	Organisations []string `yaml:"organisations,omitempty" json:"organisations,omitempty"`

	// The fields below apply to forwarded routes, which match on a host.

	// Split distributes requests over pools by weight, in place of Pool.
	Split []Share `yaml:"split,omitempty" json:"split,omitempty"`
	// Attempts is the maximum number of upstreams that one request is sent to; 0
	// means 1.
	Attempts int `yaml:"attempts,omitempty" json:"attempts,omitempty"`
	// Objective is the target time to the response, or to its first event.
	Objective clock.Duration `yaml:"objective,omitempty" json:"objective,omitempty"`
	Priority  int            `yaml:"priority,omitempty" json:"priority,omitempty"` // 0 is the highest.
	// Anonymous admits requests without a key.
	Anonymous bool    `yaml:"anonymous,omitempty" json:"anonymous,omitempty"`
	Events    *Events `yaml:"events,omitempty" json:"events,omitempty"`
}

// Match selects requests by model, or by path and method.
type Match struct {
	Model string `yaml:"model,omitempty" json:"model,omitempty"`
	// Host makes the route a forwarded one. It is compared with the request's host
	// without the port.
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

// Pool is a set of upstreams, selected by the model or service that they announce.
type Pool struct {
	Name    string `yaml:"name" json:"name"`
	Model   string `yaml:"model,omitempty" json:"model,omitempty"`
	Version string `yaml:"version,omitempty" json:"version,omitempty"`
	Layers  uint32 `yaml:"layers,omitempty" json:"layers,omitempty"`
	Service string `yaml:"service,omitempty" json:"service,omitempty"`
	// Pick names the load-balancing policy; empty means "planned".
	Pick string `yaml:"pick,omitempty" json:"pick,omitempty"`
	// Concurrency bounds the requests in flight from one VM; 0 means an adaptive
	// limit.
	Concurrency int `yaml:"concurrency,omitempty" json:"concurrency,omitempty"`
	// Fencing says whether the upstreams refuse stale fencing numbers.
	Fencing FencingKind `yaml:"fencing,omitempty" json:"fencing,omitempty"`
	// RetryShare is the maximum share of retries among recent requests.
	RetryShare float64 `yaml:"retryShare,omitempty" json:"retryShare,omitempty"`
	// MinTokensPerSecond is the capacity, in tokens per second, that is kept in service during
	// a rolling update to another version; 0 means half of the pool's capacity.
	MinTokensPerSecond float64 `yaml:"keepTokensPerSecond,omitempty" json:"keepTokensPerSecond,omitempty"`
	// HedgeAfter is the delay after which an idempotent call without a response is
	// also sent to a second upstream; 0 disables hedging. A hedged call counts as a
	// retry.
	HedgeAfter clock.Duration `yaml:"hedgeAfter,omitempty" json:"hedgeAfter,omitempty"`
	// MaxConnections is the number of connections that an upstream accepts; 0 means
	// unknown.
	MaxConnections int    `yaml:"maxConnections,omitempty" json:"maxConnections,omitempty"`
	HealthPath     string `yaml:"healthPath,omitempty" json:"healthPath,omitempty"`
	// Engine is set if the pool's engines forward requests to each other along a path.
	Engine *Engine `yaml:"engine,omitempty" json:"engine,omitempty"`
}

// FencingKind says how the upstreams of a pool treat a stale fencing number.
type FencingKind string

// Kinds of fencing. The zero value means FencingIgnored, the weaker assumption.
const (
	FencingRefused FencingKind = "refused"
	FencingIgnored FencingKind = "ignored"
)

// PickPolicies are the valid values of Pool.Pick.
var PickPolicies = []string{"planned", "twoChoices", "roundRobin", "leastInFlight", "random"}

// IsModel reports whether the pool's upstreams are engines.
func (p Pool) IsModel() bool { return p.Model != "" }

// WithPick returns a copy of the pool with another pick policy.
func (p Pool) WithPick(policy string) Pool {
	p.Pick = policy
	return p
}

// Pool returns the pool with the given name.
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
// those that allow the method. pathKnown reports whether any route matches the path,
// regardless of its methods.
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

// Repeatable reports whether a call with the given method may be run more than once.
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

// Fault is one error in a document.
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

// InvalidError lists every fault of a document. The document is rejected as a whole.
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
