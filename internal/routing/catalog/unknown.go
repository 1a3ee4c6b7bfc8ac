package catalog

import (
	"math"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
)

// unknownDeviations is the number of standard deviations of the requests since the last reports for
// which engines keep memory free.
const unknownDeviations = 2

// unknown is what a VM doesn't know of the requests to the engines of one data centre.
type unknown struct {
	deviation float64 // Requests by which the number of those since the last reports may exceed its mean.
	taken     float64 // Share of the free memory that other data centres may take meanwhile.
}

// unknownOf returns what is unknown of the requests to each data centre, if so many data centres
// have requests for others. Each of these may fill an equal share of the free memory of another
// one between two exchanges: if all of them lost engines, all would send to the same ones.
func (c *Catalog) unknownOf(senders int, now clock.Time) map[string]unknown {
	type source struct {
		perMs float64
		age   clock.Duration
	}
	sources := map[string]source{c.dataCentre: {}}
	for _, v := range c.otherUsage {
		if age := now.Sub(v.at); age <= occupancyLifetime {
			s := sources[v.dataCentre]
			sources[v.dataCentre] = source{perMs: s.perMs + v.perMs, age: max(s.age, age+reportDelay)}
		}
	}
	out := make(map[string]unknown, len(sources))
	for name, s := range sources {
		if name == c.dataCentre {
			out[name] = unknown{deviation: deviation(s.perMs, c.loadAge(now))}
			continue
		}
		out[name] = unknown{deviation: deviation(s.perMs, s.age), taken: 1 - 1/float64(min(senders, len(sources)-1))}
	}
	return out
}

// withoutPath returns the number of data centres whose own usable engines have no path with free
// memory through all layers: at least 1, for that of this VM.
func withoutPath(m chain.Model, engines []chain.Engine, own string) int {
	byCentre := map[string][]chain.Engine{own: nil}
	for _, e := range engines {
		byCentre[e.DataCentre] = append(byCentre[e.DataCentre], e)
	}
	n := 1
	for name, of := range byCentre {
		if name == own {
			continue
		}
		if _, err := chain.Choose(m, of, chain.Request{DataCentre: name}); err != nil {
			n++
		}
	}
	return n
}

// deviation returns by how many requests the number of those sent at a rate may exceed its mean.
func deviation(perMs float64, age clock.Duration) float64 {
	return unknownDeviations * math.Sqrt(perMs*float64(age))
}
