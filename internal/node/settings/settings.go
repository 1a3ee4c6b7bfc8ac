// Package settings reads the YAML settings file of a VM. Unknown and duplicate keys,
// durations without a unit and values out of range are rejected, each with its line.
package settings

import (
	"fmt"
	"strings"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/request/filter"
)

// Settings is the configuration of one VM.
type Settings struct {
	VM         string `yaml:"vm"`
	DataCentre string `yaml:"dataCentre"`
	// DataFolder is the folder for the VM's replica of the control state. If it is empty, the
	// VM has no replica on disk.
	DataFolder    string         `yaml:"dataFolder,omitempty"`
	Listen        Listen         `yaml:"listen"`
	Fleet         Fleet          `yaml:"fleet,omitempty"`
	Operators     Operators      `yaml:"operators,omitempty"`
	Callers       Callers        `yaml:"callers,omitempty"`
	Limits        Limits         `yaml:"limits,omitempty"`
	Organisations []Organisation `yaml:"organisations,omitempty"`
	Telemetry     Telemetry      `yaml:"telemetry,omitempty"`
	Drain         Drain          `yaml:"drain,omitempty"`
	// Shortage is not read from a settings file: only VMs that forward requests unchanged use it.
	Shortage Shortage `yaml:"-"`
}

// Shortage configures how less urgent requests give way to more urgent ones that lack capacity.
type Shortage struct {
	Disabled bool
}

// Listen holds the addresses that the VM listens on, as host:port.
type Listen struct {
	Callers   string `yaml:"callers"`
	Upstreams string `yaml:"upstreams"`
	Operators string `yaml:"operators"`
	Fleet     string `yaml:"fleet,omitempty"`
}

// Fleet configures how the VM joins the fleet.
type Fleet struct {
	Seeds []string `yaml:"seeds,omitempty"` // Fleet addresses of other VMs.
	// Voters are the names of the VMs that form the Raft group at the first start.
	Voters []string `yaml:"voters,omitempty"`
	Keys   string   `yaml:"keys,omitempty"` // Folder of the VM's certificate and key.
	// WithoutKeys lets the VM generate its own certificate, for a closed network; see
	// keys.Unverified.
	WithoutKeys bool `yaml:"withoutKeys,omitempty"`
	// FaultTolerance is the number of VMs with a disk that may be lost at the same time. If it
	// is set, 2*FaultTolerance+1 voters are discovered and Voters is not used.
	FaultTolerance int `yaml:"bearFaults,omitempty"`
	// FirstStart declares that no group exists yet, so that discovered voters may form one.
	FirstStart bool `yaml:"firstStart,omitempty"`
	// ReadyMaxAge is the age of the view of the control state above which the VM reports not
	// ready. 0 disables the check.
	ReadyMaxAge clock.Duration `yaml:"readyMaxAge,omitempty"`
}

// Operators configures the authentication of the operators' interface.
type Operators struct {
	TokenFile string `yaml:"tokenFile,omitempty"`
}

// Callers configures the limits and latency targets of the callers' interface.
type Callers struct {
	Deadline      clock.Duration `yaml:"deadline,omitempty"`
	MaxBodyBytes  int64          `yaml:"maxBodyBytes,omitempty"`
	Anonymous     bool           `yaml:"anonymous,omitempty"`
	BetweenTokens clock.Duration `yaml:"betweenTokens,omitempty"`
	ServiceCall   clock.Duration `yaml:"serviceCall,omitempty"`
	// WithoutStartWait turns off the waits of requests that arrive while the VM starts.
	WithoutStartWait bool `yaml:"withoutStartWait,omitempty"`
}

// Limits holds the resources that the process may use. Values that are 0 are found at the start.
type Limits struct {
	MemoryBytes int64 `yaml:"memoryBytes,omitempty"`
	Descriptors int64 `yaml:"descriptors,omitempty"`
	// CallersMemoryBytes is the memory budget for what callers send. If it is nil, it is derived from the
	// memory; 0 turns the budgets off.
	CallersMemoryBytes *int64 `yaml:"callersMemoryBytes,omitempty"`
}

// Organisation is one customer.
type Organisation struct {
	Name     string   `yaml:"name"`
	Weight   float64  `yaml:"weight,omitempty"`
	Priority uint32   `yaml:"priority,omitempty"`
	Rate     float64  `yaml:"requestsPerSecond,omitempty"`
	Keys     []string `yaml:"keySha256"`
}

// Telemetry configures logs and traces.
type Telemetry struct {
	LogLevel   string  `yaml:"logLevel,omitempty"`
	LogJSON    bool    `yaml:"logJson,omitempty"`
	TraceFile  string  `yaml:"traceFile,omitempty"`
	TraceOTLP  string  `yaml:"traceOtlp,omitempty"` // host:port of a collector.
	TraceRatio float64 `yaml:"traceRatio,omitempty"`
	Profiles   bool    `yaml:"profiles,omitempty"` // Serves profiles of the process beside the metrics.
}

// Drain configures the graceful shutdown.
type Drain struct {
	// Notice is the time that the load balancer may take to notice that the VM is not ready.
	Notice clock.Duration `yaml:"notice,omitempty"`
	// Limit bounds the wait for requests in flight.
	Limit clock.Duration `yaml:"limit,omitempty"`
}

// Default values.
const (
	defaultDeadline      = 60 * clock.Second
	defaultMaxBodyBytes  = 1 << 20
	defaultBetweenTokens = 69 * clock.Millisecond
	defaultServiceCall   = 500 * clock.Millisecond
	defaultNotice        = 2 * clock.Second
	defaultLimit         = 60 * clock.Second
	defaultLogLevel      = "info"
	defaultWeight        = 1.0
)

// withDefaults returns the settings with defaults for values that the file does not set.
func (s Settings) withDefaults() Settings {
	setDefault(&s.Callers.Deadline, defaultDeadline)
	setDefault(&s.Callers.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&s.Callers.BetweenTokens, defaultBetweenTokens)
	setDefault(&s.Callers.ServiceCall, defaultServiceCall)
	setDefault(&s.Drain.Notice, defaultNotice)
	setDefault(&s.Drain.Limit, defaultLimit)
	setDefault(&s.Telemetry.LogLevel, defaultLogLevel)
	for i := range s.Organisations {
		setDefault(&s.Organisations[i].Weight, defaultWeight)
	}
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// VoterTarget returns the number of voters that the group should have, or 0 if the voters are
// named in the settings.
func (f Fleet) VoterTarget() int {
	if f.FaultTolerance == 0 {
		return 0
	}
	return 2*f.FaultTolerance + 1
}

// WithVM returns a copy of the settings with another VM name.
func (s Settings) WithVM(name string) Settings {
	s.VM = name
	return s
}

// FilterOrganisations converts the organisations to the type of the filter chain.
func (s Settings) FilterOrganisations() []filter.Organisation {
	out := make([]filter.Organisation, 0, len(s.Organisations))
	for _, o := range s.Organisations {
		out = append(out, filter.Organisation{Name: o.Name, Weight: o.Weight, Priority: o.Priority, Rate: o.Rate, Keys: o.Keys})
	}
	return out
}

// AnonymousOrganisation returns the organisation of requests without a key, or nil if they
// are refused.
func (s Settings) AnonymousOrganisation() *filter.Organisation {
	if !s.Callers.Anonymous {
		return nil
	}
	return &filter.Organisation{Name: "anonymous", Weight: defaultWeight}
}

// Fault is one error in the settings.
type Fault struct {
	Line int
	Key  string
	Text string
}

// InvalidError lists all errors of a settings file.
type InvalidError struct {
	File   string
	Faults []Fault
}

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = fmt.Sprintf("%s:%d: %s: %s", e.File, f.Line, f.Key, f.Text)
	}
	return strings.Join(lines, "\n")
}
