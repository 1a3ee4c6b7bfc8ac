// Package lookup finds the route and the organisation of a forwarded request in the
// tables in force. An Index is built once per revision of the tables and is immutable.
package lookup

import (
	"strings"

	"github.com/jasminecove/jasminecove/internal/control/tables"
)

// Index answers lookups in one revision of the tables.
type Index struct {
	Generation uint64 // Counts the tables that this VM put in force, from 1.
	doc        *tables.Document
	routes     map[routeKey]*tables.Route
	pools      map[string]*tables.Pool
	services   map[string]bool
	keys       map[string]*tables.Organisation
	ranks      ranks
}

// routeKey is the host and path prefix of a route.
type routeKey struct {
	host   string
	prefix string
}

// New builds the index of a document. The document must not be modified afterwards.
func New(number uint64, doc *tables.Document) *Index {
	x := &Index{
		Generation: number, doc: doc, routes: make(map[routeKey]*tables.Route, len(doc.Routes)),
		pools: map[string]*tables.Pool{}, services: map[string]bool{}, keys: map[string]*tables.Organisation{}, ranks: newRanks(doc),
	}
	for i := range doc.Routes {
		r := &doc.Routes[i]
		if r.IsForwarded() {
			x.routes[routeKey{tables.HostKey(r.Match.Host), r.Match.PathPrefix}] = r
		}
	}
	for i := range doc.Pools {
		p := &doc.Pools[i]
		x.pools[p.Name] = p
		x.services[p.Service] = true
	}
	for i := range doc.Organisations {
		for _, k := range doc.Organisations[i].Keys {
			if k != "" { // Requests without a key are nobody's.
				x.keys[k] = &doc.Organisations[i]
			}
		}
	}
	return x
}

// Document returns the tables that the index was built from.
func (x *Index) Document() *tables.Document { return x.doc }

// Revision returns the number under which the tables were committed, or 0 if there are none.
func (x *Index) Revision() uint64 {
	if x == nil {
		return 0
	}
	return x.doc.Revision
}

// Route returns the route for a host whose path prefix is the longest that matches the
// path. Prefixes end with a slash.
func (x *Index) Route(host, path string) (*tables.Route, bool) {
	host = tables.HostKey(host)
	for end := len(path); end > 0; {
		at := strings.LastIndexByte(path[:end], '/')
		if at < 0 {
			break
		}
		if r, ok := x.routes[routeKey{host, path[:at+1]}]; ok {
			return r, true
		}
		end = at
	}
	return nil, false
}

// Pool returns the pool with the given name.
func (x *Index) Pool(name string) (*tables.Pool, bool) {
	p, ok := x.pools[name]
	return p, ok
}

// HasService reports whether a pool names a service.
func (x *Index) HasService(service string) bool { return x.services[service] }

// RequiresKey reports whether the tables have a list of organisations, so that requests need the
// key of one. An empty list admits no key.
func (x *Index) RequiresKey() bool { return x.doc.Organisations != nil }

// Organisation returns the organisation that a key belongs to.
func (x *Index) Organisation(key string) (*tables.Organisation, bool) {
	o, ok := x.keys[key]
	return o, ok
}

// PickPool picks one of a route's pools by weight. at is a random number in [0, 1).
func PickPool(r *tables.Route, at float64) string {
	shares := r.Shares()
	total := 0
	for _, s := range shares {
		total += s.Weight
	}
	left := at * float64(total)
	for _, s := range shares {
		if left -= float64(s.Weight); left < 0 {
			return s.Pool
		}
	}
	return shares[len(shares)-1].Pool
}
