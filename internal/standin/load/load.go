// Package load offers completions in an open loop: requests arrive by a stated
// process whatever becomes of earlier ones. It reports throughput, latencies and
// verdicts.
package load

import (
	"context"
	"fmt"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/standin/caller"
)

// Config describes a load.
type Config struct {
	Targets           []string // Callers' base addresses of the VMs.
	Model             string
	Layers            uint32
	RequestsPerSecond float64 // Requests a second.
	Arrivals          string  // "poisson" or "even".
	Duration          time.Duration
	Warmup            time.Duration // Left out of the report.
	PromptWords       int
	OutputTokens      int
	Prefixes          int // Number of distinct prompt prefixes; 0 makes all prompts distinct.
	Organisations     []Organisation
	Deadline          time.Duration
	Seed              uint64
	Connections       int
	MaxInFlight       int // Requests beyond are counted as not offered.
}

// Organisation is one caller of a load.
type Organisation struct {
	Name  string
	Key   string
	Share float64 // Of the requests.
}

// Report is what came of a load. Durations are in ms.
type Report struct {
	Seed                         uint64             `json:"seed"`
	OfferedPerSecond             float64            `json:"offeredPerSecond"`
	Seconds                      float64            `json:"seconds"`
	Verdicts                     map[string]int     `json:"verdicts"`
	Refusals                     map[string]int     `json:"refusals"`
	NotOffered                   int                `json:"notOffered"`
	Tokens                       int                `json:"tokens"`
	TokensPerSecond              float64            `json:"tokensPerSecond"`
	WholePerSecond               float64            `json:"wholeAnswersPerSecond"`
	FirstToken                   Quantiles          `json:"firstTokenMs"`
	BetweenTokens                Quantiles          `json:"betweenTokensMs"`
	RefusalLatency               Quantiles          `json:"refusalMs"`
	WholePerSecondByOrganisation map[string]float64 `json:"wholeByOrganisationPerSecond"`
}

// Quantiles of a latency in ms.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
	N   int64   `json:"n"`
}

// defaultMaxInFlight bounds the requests that a load has open at once.
const defaultMaxInFlight = 20_000

// Histogram bounds in microseconds.
const (
	lowestMicros  = 1
	highestMicros = 120_000_000
	digits        = 3
)

// run collects the results of a load.
type run struct {
	cfg     Config
	began   time.Time
	from    time.Time // End of the warm-up.
	until   time.Time
	mu      sync.Mutex
	report  Report
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
	refusal *hdrhistogram.Histogram
	whole   map[string]int
}

// Run offers the load and returns its report.
func Run(ctx context.Context, cfg Config) Report {
	r := &run{cfg: cfg, began: time.Now(), whole: map[string]int{}}
	r.from = r.began.Add(cfg.Warmup)
	r.until = r.began.Add(cfg.Duration)
	r.report = Report{Seed: cfg.Seed, OfferedPerSecond: cfg.RequestsPerSecond, Verdicts: map[string]int{}, Refusals: map[string]int{}, WholePerSecondByOrganisation: map[string]float64{}}
	r.first, r.between, r.refusal = newHistogram(), newHistogram(), newHistogram()
	r.offer(ctx)
	return r.finish()
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

// offer sends requests at their times of arrival and waits for the last.
func (r *run) offer(ctx context.Context) {
	src := rng.New(r.cfg.Seed)
	c := caller.New(max(r.cfg.Connections, 256))
	defer c.Close()
	var wait sync.WaitGroup
	limit := r.cfg.MaxInFlight
	if limit <= 0 {
		limit = defaultMaxInFlight
	}
	slots := make(chan struct{}, limit)
	due := r.began
	for i := 0; due.Before(r.until) && ctx.Err() == nil; i++ {
		ask, org := r.ask(src, i)
		time.Sleep(time.Until(due))
		due = due.Add(r.gap(src.Float64()))
		if !r.claim(slots) {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			a := c.Complete(ctx, ask)
			<-slots
			r.take(a, org, time.Now())
		}()
	}
	wait.Wait()
}

// claim takes a slot, or counts a request that was not offered.
func (r *run) claim(slots chan struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	default:
		r.mu.Lock()
		r.report.NotOffered++
		r.mu.Unlock()
		return false
	}
}

// gap is the time until the next arrival.
func (r *run) gap(u float64) time.Duration {
	mean := float64(time.Second) / r.cfg.RequestsPerSecond
	if r.cfg.Arrivals == "even" {
		return time.Duration(mean)
	}
	return time.Duration(-math.Log(1-u) * mean)
}

// ask makes the i-th request.
func (r *run) ask(src *rng.Source, i int) (caller.Request, string) {
	prefix := uint64(i)
	if r.cfg.Prefixes > 0 {
		// A few prefixes are much more frequent than the others.
		prefix = uint64(float64(r.cfg.Prefixes) * math.Pow(src.Float64(), 3))
	}
	words := make([]string, max(r.cfg.PromptWords, 1))
	for w := range words {
		words[w] = fmt.Sprintf("w%d-%d", prefix, w)
	}
	words[len(words)-1] = fmt.Sprintf("q%d", i)
	org := r.organisation(src.Float64())
	// Output lengths vary by half around their mean.
	tokens := r.cfg.OutputTokens/2 + src.IntN(r.cfg.OutputTokens+1)
	return caller.Request{
		BaseURL: r.cfg.Targets[i%len(r.cfg.Targets)], Model: r.cfg.Model, Layers: r.cfg.Layers,
		Prompt: strings.Join(words, " "), MaxTokens: max(tokens, 1), APIKey: org.Key, Deadline: r.cfg.Deadline,
	}, org.Name
}

func (r *run) organisation(u float64) Organisation {
	for _, o := range r.cfg.Organisations {
		if u -= o.Share; u < 0 {
			return o
		}
	}
	return Organisation{Name: "anonymous"}
}

// take adds an answer to the report. Tokens count when they fall between the
// warm-up and the end.
func (r *run) take(a caller.Answer, org string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	began := now.Add(-a.Duration)
	r.countTokens(a, began)
	if began.Before(r.from) {
		if a.Verdict == caller.Wrong || a.Verdict == caller.Cut {
			r.report.Verdicts[string(a.Verdict)]++
		}
		return
	}
	r.report.Verdicts[string(a.Verdict)]++
	switch a.Verdict {
	case caller.Refused:
		r.report.Refusals[a.RefusalKind]++
		_ = r.refusal.RecordValue(a.Duration.Microseconds())
	case caller.Whole:
		if now.Before(r.until) {
			r.whole[org]++
		}
	}
	if a.Tokens > 0 {
		_ = r.first.RecordValue(a.FirstToken.Microseconds())
	}
	for _, g := range a.Gaps {
		_ = r.between.RecordValue(max(1, g.Microseconds()))
	}
}

func (r *run) countTokens(a caller.Answer, began time.Time) {
	at := began.Add(a.FirstToken)
	for i := range a.Tokens {
		if i > 0 {
			at = at.Add(a.Gaps[i-1])
		}
		if at.After(r.from) && at.Before(r.until) {
			r.report.Tokens++
		}
	}
}

func (r *run) finish() Report {
	seconds := (r.cfg.Duration - r.cfg.Warmup).Seconds()
	rep := r.report
	rep.Seconds = seconds
	rep.TokensPerSecond = float64(rep.Tokens) / seconds
	for org, n := range r.whole {
		rep.WholePerSecondByOrganisation[org] = float64(n) / seconds
		rep.WholePerSecond += float64(n) / seconds
	}
	rep.FirstToken, rep.BetweenTokens, rep.RefusalLatency = quantiles(r.first), quantiles(r.between), quantiles(r.refusal)
	return rep
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000, N: h.TotalCount()}
}
