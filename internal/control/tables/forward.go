package tables

import (
	"fmt"

	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// Share is a pool's part of a route whose requests are split.
type Share struct {
	Pool   string `yaml:"pool" json:"pool"`
	Weight int    `yaml:"weight" json:"weight"` // Relative to the other shares.
}

// Events says that a route's answers are streams of numbered events.
type Events struct {
	// Resumable allows a stream to go on at another upstream after the last event
	// that the caller got.
	Resumable bool `yaml:"resumable,omitempty" json:"resumable,omitempty"`
	// MaxGap is the longest pause between two events of an answer that is on time.
	MaxGap clock.Duration `yaml:"maxGap,omitempty" json:"maxGap,omitempty"`
}

// Engine describes the engines of a pool that hand a request on to each other along
// a path that the router chooses.
type Engine struct {
	Layers int `yaml:"layers" json:"layers"`
	// LayerMB is the memory of one layer's weights, in 10^6 bytes.
	LayerMB float64 `yaml:"layerMB" json:"layerMB"`
	// CacheBytes is the memory of one token over all layers.
	CacheBytes float64 `yaml:"cacheBytes" json:"cacheBytes"`
	// ActivationBytes pass from an engine to the next for each token.
	ActivationBytes float64 `yaml:"activationBytes,omitempty" json:"activationBytes,omitempty"`
	// PipeMbps is what engines of two data centres share, in 10^6 bits a second.
	PipeMbps float64 `yaml:"pipeMbps,omitempty" json:"pipeMbps,omitempty"`
	// Slots is how many requests an engine takes as the first of their path.
	Slots int `yaml:"slots" json:"slots"`
	// StepMs is the time of one token step over all layers at pace 1; each request
	// that writes adds PerRequestMs and ContextMsPerK for each 1,000 of its tokens.
	StepMs        float64 `yaml:"stepMs" json:"stepMs"`
	PerRequestMs  float64 `yaml:"perRequestMs,omitempty" json:"perRequestMs,omitempty"`
	ContextMsPerK float64 `yaml:"contextMsPerK,omitempty" json:"contextMsPerK,omitempty"`
	// ReadTokensPerMs is the pace of reading prompts over all layers at factor 1.
	ReadTokensPerMs float64 `yaml:"readTokensPerMs" json:"readTokensPerMs"`
	// LoadTime is how long the weights of all layers take to load.
	LoadTime clock.Duration `yaml:"loadTime,omitempty" json:"loadTime,omitempty"`
	// LoadsAtOnce is how many loads the weight store serves at full pace.
	LoadsAtOnce int `yaml:"loadsAtOnce,omitempty" json:"loadsAtOnce,omitempty"`
	// EventTokens is how many tokens one event of a stream holds.
	EventTokens int `yaml:"eventTokens,omitempty" json:"eventTokens,omitempty"`
	// UsualPrompt and UsualAnswer are mean sizes in tokens.
	UsualPrompt int           `yaml:"usualPrompt,omitempty" json:"usualPrompt,omitempty"`
	UsualAnswer int           `yaml:"usualAnswer,omitempty" json:"usualAnswer,omitempty"`
	Kinds       []Accelerator `yaml:"kinds" json:"kinds"`
}

// Accelerator is one kind of card.
type Accelerator struct {
	Name     string  `yaml:"name" json:"name"`
	MemoryMB float64 `yaml:"memoryMB" json:"memoryMB"`
	// StepFactor and ReadFactor multiply the times of steps and of reading.
	StepFactor float64 `yaml:"stepFactor" json:"stepFactor"`
	ReadFactor float64 `yaml:"readFactor" json:"readFactor"`
}

// Kind returns the accelerator of a name.
func (e *Engine) Kind(name string) (Accelerator, bool) {
	for _, k := range e.Kinds {
		if k.Name == name {
			return k, true
		}
	}
	return Accelerator{}, false
}

// Organisation is a customer whose keys are part of the tables.
type Organisation struct {
	Name     string   `yaml:"name" json:"name"`
	Keys     []string `yaml:"keys" json:"keys"`
	Priority int      `yaml:"priority,omitempty" json:"priority,omitempty"` // 0 is the highest.
}

// CallerLimits bound what callers may send.
type CallerLimits struct {
	MaxHeaderBytes int            `yaml:"maxHeaderBytes,omitempty" json:"maxHeaderBytes,omitempty"`
	MaxBodyBytes   int64          `yaml:"maxBodyBytes,omitempty" json:"maxBodyBytes,omitempty"`
	HeaderTimeout  clock.Duration `yaml:"headerTimeout,omitempty" json:"headerTimeout,omitempty"`
	IdleTimeout    clock.Duration `yaml:"idleTimeout,omitempty" json:"idleTimeout,omitempty"`
}

// IsForwarded reports whether the route's requests are passed on as they are: it
// names a host.
func (r Route) IsForwarded() bool { return r.Match.Host != "" }

// Shares returns the route's pools with their weights.
func (r Route) Shares() []Share {
	if len(r.Split) > 0 {
		return r.Split
	}
	return []Share{{Pool: r.Pool, Weight: 1}}
}

// forwarded checks what only forwarded routes have.
func (v *validator) forwarded(key string, r Route) {
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

// organisations refuses a key that two organisations share.
func (v *validator) organisations() {
	owner := map[string]string{}
	for i, o := range v.doc.Organisations {
		key := fmt.Sprintf("organisations[%d]", i)
		if o.Name == "" {
			v.add(key+".name", "an organisation needs a name")
		}
		for _, k := range o.Keys {
			if other, taken := owner[k]; taken && other != o.Name {
				v.add(key+".keys", "shares a key with organisation %q", other)
			}
			owner[k] = o.Name
		}
	}
}

// engine checks the description of engines that forward along a path.
func (v *validator) engine(key string, p Pool) {
	e := p.Engine
	if e == nil {
		return
	}
	if e.Layers <= 0 || e.LayerMB <= 0 || e.CacheBytes <= 0 || e.ReadTokensPerMs <= 0 {
		v.add(key+".engine", "needs layers, layerMB, cacheBytes and readTokensPerMs above 0")
	}
	for i, k := range e.Kinds {
		if k.MemoryMB <= 0 || k.StepFactor <= 0 || k.ReadFactor <= 0 {
			v.add(fmt.Sprintf("%s.engine.kinds[%d]", key, i), "needs memoryMB, stepFactor and readFactor above 0")
		}
	}
}
