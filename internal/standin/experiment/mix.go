// Package experiment measures the router's throughput against the bound that the
// planner computes from the announced speeds of the stand-in engines. All VMs and
// engines run in one process on the loopback interface.
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
	LinkDelay          clock.Duration // In one direction.
	LinkBytesPerSecond float64        // 0 means no limit.
	Accelerator        string
}

// Mix is the workload of an experiment: the engines that serve it, and the length and
// number of distinct prefixes of the prompts that callers send.
type Mix struct {
	Name        string
	Engines     []EngineSpec
	Prefixes    int // Number of distinct prompt prefixes; 0 makes all prompts distinct.
	PromptWords int // Words of each prompt.
}

// PositionBytes is the size of one position between stages.
const PositionBytes = 256

// Mixes returns the mixes by name.
func Mixes() map[string]Mix {
	all := map[string]Mix{}
	for _, m := range []Mix{equal(), accelerators(), links(), prefixes()} {
		all[m.Name] = m
	}
	return all
}

// stageLayers are the layer ranges of the stages, each with an exclusive end.
var stageLayers = [][2]uint32{{0, 4}, {4, 8}, {8, 12}}

// equal has three replicas of the same speed for each stage.
func equal() Mix {
	m := Mix{Name: "equal", PromptWords: 8}
	for k, s := range stageLayers {
		for r := range 3 {
			m.Engines = append(m.Engines, EngineSpec{ID: fmt.Sprintf("s%dr%d", k, r), LayerFrom: s[0], LayerTo: s[1], TokensPerSecond: 1000})
		}
	}
	return m
}

// accelerators has 6 kinds of engine in each stage, whose speeds differ by up to a factor of 10.
func accelerators() Mix {
	m := Mix{Name: "accelerators", PromptWords: 8}
	speeds := []float64{1000, 700, 500, 300, 200, 100}
	for k, s := range stageLayers {
		for r, speed := range speeds {
			m.Engines = append(m.Engines, EngineSpec{ID: fmt.Sprintf("s%dr%d", k, r), LayerFrom: s[0], LayerTo: s[1], TokensPerSecond: speed, Accelerator: fmt.Sprintf("kind%d", r)})
		}
	}
	return m
}

// links has engines of the same speed on links whose delays (0 to 20 ms) and bandwidths
// (100 positions per second to no limit) differ widely.
func links() Mix {
	m := Mix{Name: "links", PromptWords: 8}
	delays := []clock.Duration{0, 2, 20}
	rates := []float64{0, 800 * PositionBytes, 100 * PositionBytes}
	for k, s := range stageLayers {
		for r := range 3 {
			m.Engines = append(m.Engines, EngineSpec{ID: fmt.Sprintf("s%dr%d", k, r), LayerFrom: s[0], LayerTo: s[1], TokensPerSecond: 1000, LinkDelay: delays[r], LinkBytesPerSecond: rates[(r+k)%3]})
		}
	}
	return m
}

// prefixes has the engines of equal, and prompts that share prefixes, a few of which are frequent.
func prefixes() Mix {
	m := equal()
	m.Name, m.Prefixes, m.PromptWords = "prefixes", 60, 200
	return m
}

// options returns the options of the stand-in engine.
func (s EngineSpec) options(announceTo []string) []engine.Option {
	return []engine.Option{
		engine.WithModel("crew", "1", Layers), engine.WithLayers(s.LayerFrom, s.LayerTo), engine.WithSpeed(s.TokensPerSecond),
		engine.WithLink(s.LinkDelay, s.LinkBytesPerSecond), engine.WithPositionBytes(PositionBytes), engine.WithAccelerator(s.Accelerator), engine.WithAnnounceTo(announceTo...),
	}
}
