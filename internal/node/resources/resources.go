// Package resources finds the memory and the file descriptors that the process may use, and derives the
// limits on callers from them.
package resources

import (
	"math"
	"os"
	"runtime/debug"
	"syscall"

	"github.com/KimMachineGun/automemlimit/memlimit"

	"github.com/jasminecove/jasminecove/internal/node/settings"
)

// Sources of a figure.
const (
	FromSettings   = "settings"
	FromGoLimit    = "GOMEMLIMIT"
	FromControl    = "controlGroup"
	FromMachine    = "machine"
	FromProcess    = "processLimit"
	FromNoneKnown  = "unknown"
	goLimitSetting = "GOMEMLIMIT"
)

// Shares of the memory.
const (
	// processBytes is left for the rest of the process. With some 90 engines it uses 85 to 100 MB at its
	// peak, garbage included.
	processBytes = 96 << 20
	// heapOverhead is the memory that the heap may take for each byte of a request, with garbage that is
	// not collected yet: the collector runs when the heap has doubled.
	heapOverhead = 2
	// maxRequestShare is one over the largest share of the memory for requests.
	maxRequestShare = 4
	// controlShare is one over the share of that for the control interface, which is minControlBytes at
	// least: two copies of a manifest of 2 MiB, and reports beside it.
	controlShare    = 8
	minControlBytes = 5 << 20
	// minCallersBytes is the least budget for callers. A budget is enlarged where one request does not fit.
	minCallersBytes = 4 << 20
	// softLimitShare is the share of the memory at which the collector works harder. The rest is for what
	// it does not count, such as buffers of sockets and the process's program.
	softLimitShare = 0.8
)

// ControlBodyBytes is the size of a manifest that always fits into the budget of the control interface.
const ControlBodyBytes = 2 << 20 // The tables of 77 VMs took 267 kB.

// Resources are the resources of the process.
type Resources struct {
	MemoryBytes       int64 // 0 if unknown.
	MemorySource      string
	Descriptors       int64 // 0 if unknown.
	DescriptorsSource string
	// CallersBytes is the memory budget for callers' requests, and ControlBytes that for the control
	// interface. 0 means no limit.
	CallersBytes, ControlBytes int64
	// IsSmall reports that the memory is too small for the rest of the process and the least budgets.
	IsSmall bool
}

// source is one way to find a figure.
type source struct {
	name string
	read func() (uint64, error)
}

// Find returns the resources of the process. A value in the settings goes first. Without one, the memory
// is the smallest of GOMEMLIMIT, that of the control group and that of the machine.
func Find(limits settings.Limits) Resources {
	sources := []source{{FromControl, memlimit.FromCgroup}, {FromMachine, memlimit.FromSystem}}
	if os.Getenv(goLimitSetting) != "" {
		sources = append([]source{{FromGoLimit, goLimit}}, sources...)
	}
	return find(limits, sources, descriptors)
}

func find(limits settings.Limits, memory []source, descriptors func() int64) Resources {
	r := Resources{MemoryBytes: limits.MemoryBytes, MemorySource: FromSettings, Descriptors: limits.Descriptors, DescriptorsSource: FromSettings}
	if r.MemoryBytes == 0 {
		r.MemoryBytes, r.MemorySource = smallest(memory)
	}
	if r.Descriptors == 0 {
		r.Descriptors, r.DescriptorsSource = descriptors(), FromProcess
	}
	requests := min((r.MemoryBytes-processBytes)/heapOverhead, r.MemoryBytes/maxRequestShare)
	r.ControlBytes = max(requests/controlShare, minControlBytes)
	r.CallersBytes = max(requests-r.ControlBytes, minCallersBytes)
	r.IsSmall = r.MemoryBytes > 0 && requests < minControlBytes+minCallersBytes
	if limits.CallersMemoryBytes != nil {
		r.CallersBytes = *limits.CallersMemoryBytes
		if r.CallersBytes == 0 {
			r.ControlBytes = 0
		}
	}
	return r
}

// smallest returns the smallest figure of the sources, and its name.
func smallest(sources []source) (int64, string) {
	bytes, name := int64(0), FromNoneKnown
	for _, s := range sources {
		n, err := s.read()
		if err != nil || n == 0 || n > math.MaxInt64 {
			continue
		}
		if bytes == 0 || int64(n) < bytes {
			bytes, name = int64(n), s.name
		}
	}
	return bytes, name
}

// goLimit returns Go's soft memory limit. A negative argument leaves it as it is.
func goLimit() (uint64, error) {
	n := debug.SetMemoryLimit(-1)
	if n == math.MaxInt64 {
		return 0, memlimit.ErrNoLimit
	}
	return uint64(n), nil
}

// descriptors returns the limit of open files of the process, or 0 if it cannot be read.
func descriptors() int64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int64(min(limit.Cur, math.MaxInt64))
}

// Apply lowers Go's soft memory limit to the share of the memory that the heap may use. It returns the
// limit in force.
func (r Resources) Apply() int64 {
	present := debug.SetMemoryLimit(-1)
	limit := int64(softLimitShare * float64(r.MemoryBytes))
	if r.MemoryBytes <= 0 || present <= limit {
		return present
	}
	debug.SetMemoryLimit(limit)
	return limit
}

// LogFields returns the resources as keys and values of a log line.
func (r Resources) LogFields() []any {
	return []any{
		"memoryBytes", r.MemoryBytes, "memorySource", r.MemorySource, "descriptors", r.Descriptors, "descriptorsSource", r.DescriptorsSource,
		"callersMemoryBytes", r.CallersBytes, "controlMemoryBytes", r.ControlBytes, "isSmall", r.IsSmall,
	}
}
