// Package load generates completion requests in an open loop: the arrival times
// do not depend on the answers to earlier requests. It reports throughput,
// latencies and verdicts.
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
	Targets           []string // Base URLs of the VMs' listeners for callers.
	Model             string
	Layers            uint32
	RequestsPerSecond float64 // Mean rate of arrivals.
	Arrivals          string  // "poisson" or "even".
	Duration          time.Duration
	Warmup            time.Duration // First part of Duration, which the report leaves out.
	PromptWords       int
	OutputTokens      int
	Prefixes          int // Number of distinct prompt prefixes; 0 makes all prompts distinct.
	Organisations     []Organisation
	Deadline          time.Duration
	Seed              uint64
	Connections       int
	MaxInFlight       int // Further requests are not sent and count as NotOffered; 0 means a default.
}

// Organisation is an organisation that sends a share of the requests.
type Organisation struct {
	Name  string
	Key   string
	Share float64 // Fraction of the requests.
}

// Report is the result of a load. Durations are in ms.
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

// Quantiles are quantiles of a latency in ms.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
	N   int64   `json:"n"`
}

// defaultMaxInFlight is the default of Config.MaxInFlight.
const defaultMaxInFlight = 20_000

// Range of the histograms in microseconds, and their significant digits.
const (
	lowestMicros      = 1
	highestMicros     = 120_000_000
	significantDigits = 3
)

// run collects the results of a load.
type run struct {
	cfg            Config
	start          time.Time
	measureFrom    time.Time // End of the warm-up.
	end            time.Time
	mu             sync.Mutex
	report         Report
	firstToken     *hdrhistogram.Histogram
	betweenTokens  *hdrhistogram.Histogram
	refusalLatency *hdrhistogram.Histogram
	whole          map[string]int
}

// Run generates the load and returns its report.
func Run(ctx context.Context, cfg Config) Report {
	r := &run{cfg: cfg, start: time.Now(), whole: map[string]int{}}
	r.measureFrom = r.start.Add(cfg.Warmup)
	r.end = r.start.Add(cfg.Duration)
	r.report = Report{Seed: cfg.Seed, OfferedPerSecond: cfg.RequestsPerSecond, Verdicts: map[string]int{}, Refusals: map[string]int{}, WholePerSecondByOrganisation: map[string]float64{}}
	r.firstToken, r.betweenTokens, r.refusalLatency = newHistogram(), newHistogram(), newHistogram()
	r.generate(ctx)
	return r.finish()
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

// generate sends requests at their arrival times and waits for all answers.
func (r *run) generate(ctx context.Context) {
	src := rng.New(r.cfg.Seed)
	c := caller.New(max(r.cfg.Connections, 256))
	defer c.Close()
	var wait sync.WaitGroup
	limit := r.cfg.MaxInFlight
	if limit <= 0 {
		limit = defaultMaxInFlight
	}
	slots := make(chan struct{}, limit)
	due := r.start
	for i := 0; due.Before(r.end) && ctx.Err() == nil; i++ {
		req, org := r.request(src, i)
		time.Sleep(time.Until(due))
		due = due.Add(r.interArrival(src.Float64()))
		if !r.acquireSlot(slots) {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			a := c.Complete(ctx, req)
			<-slots
			r.record(a, org, time.Now())
		}()
	}
	wait.Wait()
}

// acquireSlot takes a slot for a request, or counts the request as not offered if
// all slots are taken.
func (r *run) acquireSlot(slots chan struct{}) bool {
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

// interArrival returns the time until the next arrival; u is uniform in [0, 1).
func (r *run) interArrival(u float64) time.Duration {
	mean := float64(time.Second) / r.cfg.RequestsPerSecond
	if r.cfg.Arrivals == "even" {
		return time.Duration(mean)
	}
	return time.Duration(-math.Log(1-u) * mean)
}

// request returns the i-th request and the name of its organisation.
func (r *run) request(src *rng.Source, i int) (caller.Request, string) {
	prefix := uint64(i)
	if r.cfg.Prefixes > 0 {
		// The distribution is skewed, so that a few prefixes are much more frequent than the others.
		prefix = uint64(float64(r.cfg.Prefixes) * math.Pow(src.Float64(), 3))
	}
	words := make([]string, max(r.cfg.PromptWords, 1))
	for w := range words {
		words[w] = fmt.Sprintf("w%d-%d", prefix, w)
	}
	words[len(words)-1] = fmt.Sprintf("q%d", i)
	org := r.organisation(src.Float64())
	// Output lengths are uniform between half and one and a half times the mean.
	tokens := r.cfg.OutputTokens/2 + src.IntN(r.cfg.OutputTokens+1)
	return caller.Request{
		BaseURL: r.cfg.Targets[i%len(r.cfg.Targets)], Model: r.cfg.Model, Layers: r.cfg.Layers,
		Prompt: strings.Join(words, " "), MaxTokens: max(tokens, 1), APIKey: org.Key, Deadline: r.cfg.Deadline,
	}, org.Name
}

// organisation selects an organisation by share; u is uniform in [0, 1).
func (r *run) organisation(u float64) Organisation {
	for _, o := range r.cfg.Organisations {
		if u -= o.Share; u < 0 {
			return o
		}
	}
	return Organisation{Name: "anonymous"}
}

// record adds an answer to the report. Answers to requests from the warm-up count
// only if they are wrong or cut; tokens count if they arrive between the warm-up
// and the end of the load.
func (r *run) record(a caller.Answer, org string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	began := now.Add(-a.Duration)
	r.countTokens(a, began)
	if began.Before(r.measureFrom) {
		if a.Verdict == caller.Wrong || a.Verdict == caller.Cut {
			r.report.Verdicts[string(a.Verdict)]++
		}
		return
	}
	r.report.Verdicts[string(a.Verdict)]++
	switch a.Verdict {
	case caller.Refused:
		r.report.Refusals[a.RefusalKind]++
		_ = r.refusalLatency.RecordValue(a.Duration.Microseconds())
	case caller.Whole:
		if now.Before(r.end) {
			r.whole[org]++
		}
	}
	if a.Tokens > 0 {
		_ = r.firstToken.RecordValue(a.FirstToken.Microseconds())
	}
	for _, g := range a.Gaps {
		_ = r.betweenTokens.RecordValue(max(1, g.Microseconds()))
	}
}

// countTokens counts the tokens of an answer that arrive after the warm-up and
// before the end of the load.
func (r *run) countTokens(a caller.Answer, began time.Time) {
	at := began.Add(a.FirstToken)
	for i := range a.Tokens {
		if i > 0 {
			at = at.Add(a.Gaps[i-1])
		}
		if at.After(r.measureFrom) && at.Before(r.end) {
			r.report.Tokens++
		}
	}
}

// finish computes the rates and quantiles of the report.
func (r *run) finish() Report {
	seconds := (r.cfg.Duration - r.cfg.Warmup).Seconds()
	rep := r.report
	rep.Seconds = seconds
	rep.TokensPerSecond = float64(rep.Tokens) / seconds
	for org, n := range r.whole {
		rep.WholePerSecondByOrganisation[org] = float64(n) / seconds
		rep.WholePerSecond += float64(n) / seconds
	}
	rep.FirstToken, rep.BetweenTokens, rep.RefusalLatency = quantiles(r.firstToken), quantiles(r.betweenTokens), quantiles(r.refusalLatency)
	return rep
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000, N: h.TotalCount()}
}
