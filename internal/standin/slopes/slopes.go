// Package slopes measures the cost of the parts of a VM at several sizes and fits a
// line to each series, for docs/CAPACITY.md. All measurements run in one process.
package slopes

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"syscall"
	"time"
)

// Point is one measurement: the cost at a size.
type Point struct {
	Size float64 `json:"size"`
	Cost float64 `json:"cost"`
}

// Slope is a fitted line: Cost = Base + PerUnit * Size.
type Slope struct {
	Name    string  `json:"name"`
	Unit    string  `json:"unit"`
	Points  []Point `json:"points"`
	Base    float64 `json:"base"`
	PerUnit float64 `json:"perUnit"`
	Spread  float64 `json:"spread"` // Largest residual as a fraction of the largest cost.
}

// fit returns the least-squares line of the points.
func fit(name, unit string, points []Point) Slope {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx, sy, sxx, sxy = sx+p.Size, sy+p.Cost, sxx+p.Size*p.Size, sxy+p.Size*p.Cost
	}
	s := Slope{Name: name, Unit: unit, Points: points}
	s.PerUnit = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.Base = (sy - s.PerUnit*sx) / n
	largest := 0.0
	for _, p := range points {
		largest = max(largest, math.Abs(p.Cost))
	}
	for _, p := range points {
		s.Spread = max(s.Spread, math.Abs(p.Cost-s.Base-s.PerUnit*p.Size)/largest)
	}
	return s
}

// costAt returns the cost on the line at a size.
func (s Slope) costAt(size float64) float64 { return s.Base + s.PerUnit*size }

// Print writes the slope with its points and its cost at a size.
func (s Slope) Print(out io.Writer, size float64) {
	fmt.Fprintf(out, "%-42s %s: ", s.Name, s.Unit)
	for _, p := range s.Points {
		fmt.Fprintf(out, "%.0f:%.4g ", p.Size, p.Cost)
	}
	fmt.Fprintf(out, "| base %.4g, %.4g a unit, spread %.1f%% | at %.0f: %.4g\n", s.Base, s.PerUnit, 100*s.Spread, size, s.costAt(size))
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// meanMicros returns the mean processor time of a call of f in microseconds, after one
// call that is not measured.
func meanMicros(calls int, f func()) float64 {
	f()
	began := cpuTime()
	for range calls {
		f()
	}
	return float64(cpuTime()-began) / float64(calls) / float64(time.Microsecond)
}

// group is a set of slopes that are measured together, and the size at which their
// cost is printed.
type group struct {
	name    string
	size    float64
	measure func() []Slope
}

// groups are all groups of slopes. The sizes are those expected in two years.
var groups = []group{
	{"gossip", 420, gossipSlopes},
	{"registry", 5400, directorySlopes},
	{"path", 600, pathSlopes},
	{"state", 200_000, stateSlopes},
	{"patch", 1000, patchSlopes},
	{"session", 1200, sessionSlopes},
	{"idle", 30, idleSlopes},
}

// Run measures and prints the slopes of the named group, or of all groups if name is
// empty.
func Run(out io.Writer, name string) []Slope {
	var all []Slope
	for _, g := range groups {
		if name != "" && name != g.name {
			continue
		}
		for _, s := range g.measure() {
			s.Print(out, g.size)
			all = append(all, s)
		}
	}
	return all
}
