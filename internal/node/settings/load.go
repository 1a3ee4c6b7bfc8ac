package settings

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/yamlfile"
)

// Limits of values.
const (
	maxDeadline  = clock.Hour
	maxBodyBytes = 64 << 20
	keyHexChars  = 64
)

// Load reads and validates a settings file. For an invalid file it returns an *InvalidError.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, data)
}

// Parse decodes and validates the content of a settings file. For invalid content it returns an
// *InvalidError.
func Parse(file string, data []byte) (Settings, error) {
	var s Settings
	if err := yamlfile.Decode(data, &s); err != nil {
		f := Fault{Key: "settings", Text: err.Error()}
		var syntax *yamlfile.SyntaxError
		if errors.As(err, &syntax) {
			f.Line = syntax.Line
		}
		return Settings{}, &InvalidError{File: file, Faults: []Fault{f}}
	}
	s = s.withDefaults()
	faults := s.check()
	if len(faults) == 0 {
		return s, nil
	}
	lines := yamlfile.NewLines(data)
	for i := range faults {
		faults[i].Line = lines.Of(faults[i].Key)
	}
	return Settings{}, &InvalidError{File: file, Faults: faults}
}

// checker collects the errors of a settings file.
type checker struct {
	faults []Fault
}

// require records an error at a key unless ok.
func (c *checker) require(ok bool, key, format string, args ...any) {
	if !ok {
		c.faults = append(c.faults, Fault{Key: key, Text: fmt.Sprintf(format, args...)})
	}
}

// address records an error unless a value is an IP address and port. An optional value may be
// empty.
func (c *checker) address(key, value string, required bool) {
	if value == "" {
		c.require(!required, key, "an address is required, as host:port")
		return
	}
	host, _, err := net.SplitHostPort(value)
	c.require(err == nil && net.ParseIP(host) != nil, key, "%q is not an IP number and port", value)
}

func (s Settings) check() []Fault {
	c := &checker{}
	c.require(s.VM != "", "vm", "a VM name is required")
	c.require(s.DataCentre != "", "dataCentre", "a data centre is required")
	c.address("listen.callers", s.Listen.Callers, true)
	c.address("listen.upstreams", s.Listen.Upstreams, true)
	c.address("listen.operators", s.Listen.Operators, true)
	c.address("listen.fleet", s.Listen.Fleet, false)
	c.require(s.Fleet.Keys != "" || loopback(s.Listen.Operators), "listen.operators", "requires fleet.keys unless it is a loopback address")
	c.require(s.Operators.TokenFile != "" || loopback(s.Listen.Operators), "operators.tokenFile", "is required unless listen.operators is a loopback address")
	s.checkFleet(c)
	s.checkCallers(c)
	s.checkLimits(c)
	s.checkOrganisations(c)
	c.require(s.Telemetry.TraceRatio >= 0 && s.Telemetry.TraceRatio <= 1, "telemetry.traceRatio", "must be between 0 and 1")
	c.require(slices.Contains([]string{"trace", "debug", "info", "warn", "error"}, s.Telemetry.LogLevel), "telemetry.logLevel", "unknown level %q", s.Telemetry.LogLevel)
	c.require(s.Drain.Notice >= 0 && s.Drain.Limit >= s.Drain.Notice, "drain", "limit must not be shorter than notice")
	return c.faults
}

func (s Settings) checkFleet(c *checker) {
	for i, seed := range s.Fleet.Seeds {
		c.address(fmt.Sprintf("fleet.seeds[%d]", i), seed, true)
	}
	c.require(len(s.Fleet.Seeds) == 0 || s.Listen.Fleet != "", "listen.fleet", "is required with fleet.seeds")
	c.require(s.Listen.Fleet == "" || s.Fleet.Keys != "" || s.Fleet.WithoutKeys, "fleet.keys", "is required with listen.fleet")
	c.require(!s.Fleet.WithoutKeys || s.Fleet.Keys == "", "fleet.withoutKeys", "must not be set together with fleet.keys")
	c.require(s.Fleet.FaultTolerance >= 0, "fleet.bearFaults", "must not be negative")
	isVoter := slices.Contains(s.Fleet.Voters, s.VM)
	c.require(!isVoter || s.DataFolder != "", "dataFolder", "a voter needs a data folder")
}

func (s Settings) checkCallers(c *checker) {
	c.require(s.Callers.Deadline > 0 && s.Callers.Deadline <= maxDeadline, "callers.deadline", "must be above 0 and at most %s", maxDeadline)
	c.require(s.Callers.MaxBodyBytes > 0 && s.Callers.MaxBodyBytes <= maxBodyBytes, "callers.maxBodyBytes", "must be above 0 and at most %d", maxBodyBytes)
	c.require(s.Callers.BetweenTokens > 0, "callers.betweenTokens", "must be above 0")
	c.require(s.Callers.ServiceCall > 0, "callers.serviceCall", "must be above 0")
}

func (s Settings) checkLimits(c *checker) {
	c.require(s.Limits.MemoryBytes >= 0, "limits.memoryBytes", "must not be negative")
	c.require(s.Limits.Descriptors >= 0, "limits.descriptors", "must not be negative")
	bytes := s.Limits.CallersMemoryBytes
	c.require(bytes == nil || *bytes >= 0, "limits.callersMemoryBytes", "must not be negative")
}

func (s Settings) checkOrganisations(c *checker) {
	names := map[string]bool{}
	for i, o := range s.Organisations {
		key := fmt.Sprintf("organisations[%d]", i)
		c.require(o.Name != "" && !names[o.Name], key+".name", "must be set and unique")
		names[o.Name] = true
		c.require(o.Weight > 0, key+".weight", "must be above 0")
		c.require(o.Rate >= 0, key+".requestsPerSecond", "must not be negative")
		for j, k := range o.Keys {
			c.require(len(k) == keyHexChars, fmt.Sprintf("%s.keySha256[%d]", key, j), "must be a SHA-256 digest in hex")
		}
	}
	c.require(s.Callers.Anonymous || len(s.Organisations) > 0, "organisations", "is required unless callers.anonymous is true")
}

// loopback reports whether an address is a loopback address.
func loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host).IsLoopback()
}
