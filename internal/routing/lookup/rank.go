package lookup

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jasminecove/jasminecove/internal/control/tables"
)

// urgency is what the tables say of how urgent a request is. 0 is the most urgent.
type urgency struct {
	organisation, route int
}

// compare orders by the organisation's priority first, as that takes precedence over the route's.
func (u urgency) compare(v urgency) int {
	return cmp.Or(cmp.Compare(u.organisation, v.organisation), cmp.Compare(u.route, v.route))
}

// ranks orders the requests for event streams by urgency.
type ranks struct {
	sorted []urgency       // All that the tables allow.
	ranked map[string]bool // Pools whose routes have different priorities.
}

func newRanks(doc *tables.Document) ranks {
	r := ranks{ranked: map[string]bool{}}
	seen := map[urgency]bool{}
	priorities := map[string]int{} // Of one route of each pool.
	for i := range doc.Routes {
		route := &doc.Routes[i]
		if !route.IsForwarded() || route.Events == nil {
			continue
		}
		for _, s := range route.Shares() {
			first, known := priorities[s.Pool]
			r.ranked[s.Pool] = r.ranked[s.Pool] || known && first != route.Priority
			priorities[s.Pool] = route.Priority
		}
		for j := range doc.Organisations {
			seen[urgency{doc.Organisations[j].Priority, route.Priority}] = true
		}
	}
	r.sorted = slices.SortedFunc(maps.Keys(seen), urgency.compare)
	return r
}

// Rank returns the position of a request among all that the tables allow, by urgency; 0 is the most
// urgent. The priority of an organisation takes precedence over that of the route, which decides among requests of
// organisations with the same priority. Without an organisation only the route's counts.
func (x *Index) Rank(r *tables.Route, o *tables.Organisation) int {
	if o == nil {
		return r.Priority
	}
	rank, _ := slices.BinarySearchFunc(x.ranks.sorted, urgency{o.Priority, r.Priority}, urgency.compare)
	return rank
}

// Ranked reports whether the routes to a pool have different priorities.
func (x *Index) Ranked(pool string) bool { return x.ranks.ranked[pool] }
