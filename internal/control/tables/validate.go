package tables

import (
	"fmt"
	"slices"
	"strings"
)

// maxRetryShare bounds Pool.RetryShare, so that retries cannot double the load on a
// pool.
const maxRetryShare = 0.5

// Validate returns all faults of the document, or nil.
func (d *Document) Validate() []Fault {
	v := &validator{doc: d}
	v.pools()
	v.routes()
	v.reachable()
	v.organisations()
	v.limits()
	return v.faults
}

// validator collects the faults of one document.
type validator struct {
	doc    *Document
	faults []Fault
}

func (v *validator) add(key, format string, args ...any) {
	v.faults = append(v.faults, Fault{Key: key, Text: fmt.Sprintf(format, args...)})
}

func (v *validator) pools() {
	seen := map[string]bool{}
	for i, p := range v.doc.Pools {
		key := fmt.Sprintf("pools[%d]", i)
		if p.Name == "" {
			v.add(key+".name", "a pool needs a name")
		}
		if seen[p.Name] {
			v.add(key+".name", "pool %q is defined twice", p.Name)
		}
		seen[p.Name] = true
		v.pool(key, p)
	}
}

func (v *validator) pool(key string, p Pool) {
	if (p.Model == "") == (p.Service == "") {
		v.add(key, "a pool needs either model or service")
	}
	v.engine(key, p)
	if p.IsModel() && p.Layers == 0 {
		v.add(key+".layers", "a pool of engines needs the model's number of layers")
	}
	if !p.IsModel() && (p.Layers != 0 || p.Version != "") {
		v.add(key, "layers and version go with model only")
	}
	if p.Pick != "" && !slices.Contains(PickPolicies, p.Pick) {
		v.add(key+".pick", "unknown policy %q, known are %s", p.Pick, strings.Join(PickPolicies, ", "))
	}
	if p.Concurrency < 0 {
		v.add(key+".concurrency", "must not be negative")
	}
	if p.Fencing != "" && p.Fencing != FencingRefused && p.Fencing != FencingIgnored {
		v.add(key+".fencing", "must be %q or %q", FencingRefused, FencingIgnored)
	}
	if p.MinTokensPerSecond < 0 {
		v.add(key+".keepTokensPerSecond", "must not be negative")
	}
	if p.HedgeAfter < 0 || p.HedgeAfter > 0 && p.IsModel() {
		v.add(key+".hedgeAfter", "goes with service only and must not be negative")
	}
	if p.RetryShare < 0 || p.RetryShare > maxRetryShare {
		v.add(key+".retryShare", "must be between 0 and %v", maxRetryShare)
	}
}

func (v *validator) routes() {
	names := map[string]bool{}
	for i, r := range v.doc.Routes {
		key := fmt.Sprintf("routes[%d]", i)
		if r.Name == "" {
			v.add(key+".name", "a route needs a name")
		}
		if names[r.Name] && !r.IsForwarded() {
			v.add(key+".name", "route %q is defined twice", r.Name)
		}
		names[r.Name] = true
		v.route(key, r)
	}
}

func (v *validator) route(key string, r Route) {
	if r.IsForwarded() {
		v.forwarded(key, r)
	}
	pool, ok := v.doc.Pool(r.Pool)
	if !ok && (r.Pool != "" || len(r.Split) == 0) {
		v.add(key+".pool", "there is no pool named %q", r.Pool)
	}
	if (r.Match.Model == "") == (r.Match.PathPrefix == "") {
		v.add(key+".match", "needs either model or pathPrefix")
	}
	if r.Match.PathPrefix != "" && !strings.HasPrefix(r.Match.PathPrefix, "/") {
		v.add(key+".match.pathPrefix", "must start with /")
	}
	if r.Match.Model != "" && len(r.Match.Methods) > 0 {
		v.add(key+".match.methods", "goes with pathPrefix only")
	}
	if ok && pool.IsModel() != (r.Match.Model != "") {
		v.add(key+".pool", "pool %q does not serve this kind of match", r.Pool)
	}
	if r.Calls != "" && r.Calls != Idempotent && r.Calls != NonIdempotent {
		v.add(key+".calls", "must be %q or %q", Idempotent, NonIdempotent)
	}
	if r.Deadline < 0 {
		v.add(key+".deadline", "must not be negative")
	}
}

// reachable reports routes that an earlier route shadows, and routes with reserved
// paths.
func (v *validator) reachable() {
	type place struct{ host, prefix string }
	seen := map[place]string{}
	for i, r := range v.doc.Routes {
		key := fmt.Sprintf("routes[%d].match", i)
		if r.IsForwarded() {
			at := place{HostKey(r.Match.Host), r.Match.PathPrefix}
			if earlier, taken := seen[at]; taken {
				v.add(key, "unreachable: route %q has the same host and prefix", earlier)
			}
			seen[at] = r.Name
			continue
		}
		if strings.HasPrefix(r.Match.PathPrefix, "/v1/chat/") || strings.HasPrefix(r.Match.PathPrefix, "/v1/completions") {
			v.add(key, "path %q is reserved for models", r.Match.PathPrefix)
		}
		for _, earlier := range v.doc.Routes[:i] {
			if shadows(earlier, r) {
				v.add(key, "unreachable: route %q matches the same requests", earlier.Name)
				break
			}
		}
	}
}

func shadows(earlier, later Route) bool {
	if earlier.Match.Host != later.Match.Host || earlier.Match.Model != later.Match.Model || earlier.Match.PathPrefix != later.Match.PathPrefix {
		return false
	}
	if len(earlier.Match.Methods) == 0 {
		return true
	}
	if len(later.Match.Methods) == 0 {
		return false
	}
	for _, m := range later.Match.Methods {
		if !slices.Contains(earlier.Match.Methods, m) {
			return false
		}
	}
	return true
}
