package tables

import (
	"fmt"
	"net"
	"strings"

	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// Share is a pool's share of the requests of a route that splits them.
type Share struct {
	Pool   string `yaml:"pool" json:"pool"`
	Weight int    `yaml:"weight" json:"weight"` // Relative to the other shares.
}

// Events describes a route whose responses are streams of numbered events.
type Events struct {
	// Resumable allows a stream to continue at another upstream after the last event
	// that the caller received.
	Resumable bool `yaml:"resumable,omitempty" json:"resumable,omitempty"`
	// CallerTimeout is how long callers wait for the first or next event before they leave;
	// 0 means two seconds.
	CallerTimeout clock.Duration `yaml:"callerTimeout,omitempty" json:"callerTimeout,omitempty"`
	// MaxGap is the longest time between two events for a response to be on time.
	MaxGap clock.Duration `yaml:"maxGap,omitempty" json:"maxGap,omitempty"`
}

// Engine describes the engines of a pool in which each engine forwards a request to
// the next one on a path that the router chooses.
type Engine struct {
	Layers int `yaml:"layers" json:"layers"`
	// LayerMB is the memory of one layer's weights, in 10^6 bytes.
	LayerMB float64 `yaml:"layerMB" json:"layerMB"`
	// CacheBytesPerToken is the cache memory of one token over all layers, in bytes.
	CacheBytesPerToken float64 `yaml:"cacheBytes" json:"cacheBytes"`
	// ActivationBytesPerToken is the number of bytes sent from one engine to the next for each
	// token.
	ActivationBytesPerToken float64 `yaml:"activationBytes,omitempty" json:"activationBytes,omitempty"`
	// LinkMbps is the bandwidth between two data centres, shared by all their engines,
	// in 10^6 bits per second.
	LinkMbps float64 `yaml:"pipeMbps,omitempty" json:"pipeMbps,omitempty"`
	// Slots is the number of requests that an engine accepts as the first engine of
	// their path.
	Slots int `yaml:"slots" json:"slots"`
	// StepMs is the time of one token step over all layers at StepFactor 1. Each
	// request that is generating adds PerRequestMs, and ContextMsPerK for each 1,000
	// of its tokens.
	StepMs        float64 `yaml:"stepMs" json:"stepMs"`
	PerRequestMs  float64 `yaml:"perRequestMs,omitempty" json:"perRequestMs,omitempty"`
	ContextMsPerK float64 `yaml:"contextMsPerK,omitempty" json:"contextMsPerK,omitempty"`
	// ReadTokensPerMs is the rate of prompt processing over all layers at ReadFactor 1.
	ReadTokensPerMs float64 `yaml:"readTokensPerMs" json:"readTokensPerMs"`
	// LoadTime is the time to load the weights of all layers.
	LoadTime clock.Duration `yaml:"loadTime,omitempty" json:"loadTime,omitempty"`
	// MaxConcurrentLoads is the number of concurrent loads that the weight store serves at
	// full speed.
	MaxConcurrentLoads int `yaml:"loadsAtOnce,omitempty" json:"loadsAtOnce,omitempty"`
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int `yaml:"eventTokens,omitempty" json:"eventTokens,omitempty"`
	// DefaultPromptTokens and DefaultAnswerTokens are the sizes assumed for a request whose
	// headers give no size. They are set to the mean sizes of prompts and answers.
	DefaultPromptTokens int           `yaml:"usualPrompt,omitempty" json:"usualPrompt,omitempty"`
	DefaultAnswerTokens int           `yaml:"usualAnswer,omitempty" json:"usualAnswer,omitempty"`
	Kinds               []Accelerator `yaml:"kinds" json:"kinds"`
}

// Accelerator is one kind of accelerator card.
type Accelerator struct {
	Name     string  `yaml:"name" json:"name"`
	MemoryMB float64 `yaml:"memoryMB" json:"memoryMB"`
	// StepFactor and ReadFactor multiply the times of token steps and of prompt
	// processing.
	StepFactor float64 `yaml:"stepFactor" json:"stepFactor"`
	ReadFactor float64 `yaml:"readFactor" json:"readFactor"`
}

// Kind returns the accelerator with the given name.
func (e *Engine) Kind(name string) (Accelerator, bool) {
	for _, k := range e.Kinds {
		if k.Name == name {
			return k, true
		}
	}
	return Accelerator{}, false
}

// Organisation is a customer whose API keys are part of the tables.
type Organisation struct {
	Name     string   `yaml:"name" json:"name"`
	Keys     []string `yaml:"keys" json:"keys"`
	Priority int      `yaml:"priority,omitempty" json:"priority,omitempty"` // 0 is the highest.
}

// CallerLimits are limits on the requests and connections of callers.
type CallerLimits struct {
	MaxHeaderBytes int            `yaml:"maxHeaderBytes,omitempty" json:"maxHeaderBytes,omitempty"`
	MaxBodyBytes   int64          `yaml:"maxBodyBytes,omitempty" json:"maxBodyBytes,omitempty"`
	HeaderTimeout  clock.Duration `yaml:"headerTimeout,omitempty" json:"headerTimeout,omitempty"`
	IdleTimeout    clock.Duration `yaml:"idleTimeout,omitempty" json:"idleTimeout,omitempty"`
}

// IsForwarded reports whether the route's requests are forwarded unchanged. This is
// so if the route matches on a host.
func (r Route) IsForwarded() bool { return r.Match.Host != "" }

// HostKey returns a host in the form in which hosts are compared: in lower case and without a port.
func HostKey(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Shares returns the route's pools with their weights.
func (r Route) Shares() []Share {
	if len(r.Split) > 0 {
		return r.Split
	}
	return []Share{{Pool: r.Pool, Weight: 1}}
}

// forwarded validates the fields that only forwarded routes have.
func (v *validator) forwarded(key string, r Route) {
	if r.Match.PathPrefix != "" && !strings.HasSuffix(r.Match.PathPrefix, "/") {
		v.add(key+".match.pathPrefix", "must end with /")
	}
	total := 0
	for i, s := range r.Split {
		if _, ok := v.doc.Pool(s.Pool); !ok {
			v.add(fmt.Sprintf("%s.split[%d].pool", key, i), "there is no pool named %q", s.Pool)
		}
		if s.Weight < 0 {
			v.add(fmt.Sprintf("%s.split[%d].weight", key, i), "must not be negative")
		}
		total += s.Weight
	}
	if len(r.Split) > 0 && total == 0 {
		v.add(key+".split", "the weights add up to 0")
	}
	if r.Attempts < 0 {
		v.add(key+".attempts", "must not be negative")
	}
	if r.Deadline == 0 {
		v.add(key+".deadline", "must be above 0")
	}
}

// organisations validates the organisations. Two of them must not share a key.
func (v *validator) organisations() {
	owner := map[string]int{}
	for i, o := range v.doc.Organisations {
		key := fmt.Sprintf("organisations[%d]", i)
		if o.Name == "" {
			v.add(key+".name", "an organisation needs a name")
		}
		for _, k := range o.Keys {
			if other, taken := owner[k]; taken && other != i {
				v.add(key+".keys", "shares a key with organisation %q", v.doc.Organisations[other].Name)
			}
			owner[k] = i
		}
	}
}

// engine validates the engine description of a pool.
func (v *validator) engine(key string, p Pool) {
	e := p.Engine
	if e == nil {
		return
	}
	if e.Layers <= 0 || e.LayerMB <= 0 || e.CacheBytesPerToken <= 0 || e.ReadTokensPerMs <= 0 {
		v.add(key+".engine", "needs layers, layerMB, cacheBytes and readTokensPerMs above 0")
	}
	for i, k := range e.Kinds {
		if k.MemoryMB <= 0 || k.StepFactor <= 0 || k.ReadFactor <= 0 {
			v.add(fmt.Sprintf("%s.engine.kinds[%d]", key, i), "needs memoryMB, stepFactor and readFactor above 0")
		}
	}
}
