// Package settings reads the YAML file that describes one VM. Unknown and
// duplicate keys, spans without units and values out of range are refused, each
// with its line.
package settings

import (
	"fmt"
	"strings"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/request/filter"
)

// Settings describe one VM.
type Settings struct {
	VM         string `yaml:"vm"`
	DataCentre string `yaml:"dataCentre"`
	// DataFolder holds the VM's replica of the control state. Empty means that
	// the VM has no disk for it.
	DataFolder    string         `yaml:"dataFolder,omitempty"`
	Listen        Listen         `yaml:"listen"`
	Fleet         Fleet          `yaml:"fleet,omitempty"`
	Operators     Operators      `yaml:"operators,omitempty"`
	Callers       Callers        `yaml:"callers,omitempty"`
	Organisations []Organisation `yaml:"organisations,omitempty"`
	Telemetry     Telemetry      `yaml:"telemetry,omitempty"`
	Drain         Drain          `yaml:"drain,omitempty"`
}

// Listen holds the addresses that the VM serves on, as host:port.
type Listen struct {
	Callers   string `yaml:"callers"`
	Upstreams string `yaml:"upstreams"`
	Operators string `yaml:"operators"`
	Fleet     string `yaml:"fleet,omitempty"`
}

// Fleet says how the VM finds the others.
type Fleet struct {
	Seeds []string `yaml:"seeds,omitempty"` // Fleet addresses of other VMs.
	// Voters names the VMs that form the group at the first start.
	Voters []string `yaml:"voters,omitempty"`
	Keys   string   `yaml:"keys,omitempty"` // Folder with the VM's certificate.
	// WithoutKeys lets the VM make a certificate for itself on a closed network;
	// see keys.Unverified.
	WithoutKeys bool `yaml:"withoutKeys,omitempty"`
	// FaultTolerance is how many VMs with a disk may be lost at once. Where it is set,
	// voters are discovered in place of being named: twice as many and one.
	FaultTolerance int `yaml:"bearFaults,omitempty"`
	// FirstStart says that no group exists yet, so that discovered voters may form
	// one.
	FirstStart bool `yaml:"firstStart,omitempty"`
	// ReadyMaxAge makes the VM unready when its view of the control state is
	// older; 0 never does.
	ReadyMaxAge clock.Duration `yaml:"readyMaxAge,omitempty"`
}

// Operators protects the operators' interface.
type Operators struct {
	TokenFile string `yaml:"tokenFile,omitempty"`
}

// Callers bounds what callers may send.
type Callers struct {
	Deadline      clock.Duration `yaml:"deadline,omitempty"`
	MaxBodyBytes  int64          `yaml:"maxBodyBytes,omitempty"`
	Anonymous     bool           `yaml:"anonymous,omitempty"`
	BetweenTokens clock.Duration `yaml:"betweenTokens,omitempty"`
	ServiceCall   clock.Duration `yaml:"serviceCall,omitempty"`
}

// Organisation is one customer.
type Organisation struct {
	Name     string   `yaml:"name"`
	Weight   float64  `yaml:"weight,omitempty"`
	Priority uint32   `yaml:"priority,omitempty"`
	Rate     float64  `yaml:"requestsPerSecond,omitempty"`
	Keys     []string `yaml:"keySha256"`
}

// Telemetry says what is written where.
type Telemetry struct {
	LogLevel   string  `yaml:"logLevel,omitempty"`
	LogJSON    bool    `yaml:"logJson,omitempty"`
	TraceFile  string  `yaml:"traceFile,omitempty"`
	TraceOTLP  string  `yaml:"traceOtlp,omitempty"` // host:port of a collector.
	TraceRatio float64 `yaml:"traceRatio,omitempty"`
}

// Drain says how the VM stops.
type Drain struct {
	// Notice is how long the balancer may take to see that the VM is unready.
	Notice clock.Duration `yaml:"notice,omitempty"`
	// Limit bounds the wait for requests in flight.
	Limit clock.Duration `yaml:"limit,omitempty"`
}

// Defaults.
const (
	defaultDeadline      = 60 * clock.Second
	defaultMaxBody       = 1 << 20
	defaultBetweenTokens = 69 * clock.Millisecond
	defaultServiceCall   = 500 * clock.Millisecond
	defaultNotice        = 2 * clock.Second
	defaultLimit         = 60 * clock.Second
	defaultLogLevel      = "info"
	anonymousWeight      = 1.0
)

// withDefaults fills what the file leaves out.
func (s Settings) withDefaults() Settings {
	setDefault(&s.Callers.Deadline, defaultDeadline)
	setDefault(&s.Callers.MaxBodyBytes, defaultMaxBody)
	setDefault(&s.Callers.BetweenTokens, defaultBetweenTokens)
	setDefault(&s.Callers.ServiceCall, defaultServiceCall)
	setDefault(&s.Drain.Notice, defaultNotice)
	setDefault(&s.Drain.Limit, defaultLimit)
	setDefault(&s.Telemetry.LogLevel, defaultLogLevel)
	for i := range s.Organisations {
		setDefault(&s.Organisations[i].Weight, anonymousWeight)
	}
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// VoterTarget returns the number of voters that the group keeps, or 0 when they are
// named.
func (f Fleet) VoterTarget() int {
	if f.FaultTolerance == 0 {
		return 0
	}
	return 2*f.FaultTolerance + 1
}

// WithVM returns the settings for another VM name.
func (s Settings) WithVM(name string) Settings {
	s.VM = name
	return s
}

// FilterOrganisations returns the organisations as the filter chain takes them.
func (s Settings) FilterOrganisations() []filter.Organisation {
	out := make([]filter.Organisation, 0, len(s.Organisations))
	for _, o := range s.Organisations {
		out = append(out, filter.Organisation{Name: o.Name, Weight: o.Weight, Priority: o.Priority, Rate: o.Rate, Keys: o.Keys})
	}
	return out
}

// AnonymousOrganisation returns the organisation of requests without a key, or
// nil when they are refused.
func (s Settings) AnonymousOrganisation() *filter.Organisation {
	if !s.Callers.Anonymous {
		return nil
	}
	return &filter.Organisation{Name: "anonymous", Weight: anonymousWeight}
}

// Fault is one error in the settings.
type Fault struct {
	Line int
	Key  string
	Text string
}

// InvalidError lists every fault of a settings file.
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
