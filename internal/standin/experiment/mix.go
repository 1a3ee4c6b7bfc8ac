// Package experiment measures the router against the bound that the planner
// computes from the stand-ins' stated speeds, in one process on loopback.
package experiment

import (
	"fmt"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/standin/engine"
)

// Layers is the number of layers of the experiments' model.
const Layers = 12

// EngineSpec describes one stand-in engine.
type EngineSpec struct {
	ID                 string
	LayerFrom, LayerTo uint32
	TokensPerSecond    float64
	LinkDelay          clock.Duration // One way.
	LinkBytesPerSecond float64        // Bytes a second of its link, 0 for no bound.
	Accelerator        string
}

// Mix is a set of engines with the callers' prompts.
type Mix struct {
	Name        string
	Engines     []EngineSpec
	Prefixes    int // Distinct prompt prefixes, 0 for none shared.
	PromptWords int // Of a prompt.
}

// PositionBytes is the bytes of one position between stages.
const PositionBytes = 256

// Mixes returns the mixes by name.
func Mixes() map[string]Mix {
	all := map[string]Mix{}
	for _, m := range []Mix{equal(), accelerators(), links(), prefixes()} {
		all[m.Name] = m
	}
	return all
}

// spans are the layer ranges of the stages.
var spans = [][2]uint32{{0, 4}, {4, 8}, {8, 12}}

// equal has three replicas of the same speed for each stage.
func equal() Mix {
	m := Mix{Name: "equal", PromptWords: 8}
	for k, s := range spans {
		for r := range 3 {
			m.Engines = append(m.Engines, EngineSpec{ID: fmt.Sprintf("s%dr%d", k, r), LayerFrom: s[0], LayerTo: s[1], TokensPerSecond: 1000})
		}
	}
	return m
}

// accelerators has 6 kinds with tenfold unequal speeds in each stage.
func accelerators() Mix {
	m := Mix{Name: "accelerators", PromptWords: 8}
	speeds := []float64{1000, 700, 500, 300, 200, 100}
	for k, s := range spans {
		for r, speed := range speeds {
			m.Engines = append(m.Engines, EngineSpec{ID: fmt.Sprintf("s%dr%d", k, r), LayerFrom: s[0], LayerTo: s[1], TokensPerSecond: speed, Accelerator: fmt.Sprintf("kind%d", r)})
		}
	}
	return m
}

// links has links whose delays and rates differ a hundredfold.
func links() Mix {
	m := Mix{Name: "links", PromptWords: 8}
	delays := []clock.Duration{0, 2, 20}
	rates := []float64{0, 800 * PositionBytes, 100 * PositionBytes}
	for k, s := range spans {
		for r := range 3 {
			m.Engines = append(m.Engines, EngineSpec{ID: fmt.Sprintf("s%dr%d", k, r), LayerFrom: s[0], LayerTo: s[1], TokensPerSecond: 1000, LinkDelay: delays[r], LinkBytesPerSecond: rates[(r+k)%3]})
		}
	}
	return m
}

// prefixes has equal engines and prompts of which a few prefixes are frequent.
func prefixes() Mix {
	m := equal()
	m.Name, m.Prefixes, m.PromptWords = "prefixes", 60, 200
	return m
}

// options returns the stand-in's options.
func (s EngineSpec) options(announceTo []string) []engine.Option {
	return []engine.Option{
		engine.WithModel("crew", "1", Layers), engine.WithLayers(s.LayerFrom, s.LayerTo), engine.WithSpeed(s.TokensPerSecond),
		engine.WithLink(s.LinkDelay, s.LinkBytesPerSecond), engine.WithPositionBytes(PositionBytes), engine.WithAccelerator(s.Accelerator), engine.WithAnnounceTo(announceTo...),
	}
}
