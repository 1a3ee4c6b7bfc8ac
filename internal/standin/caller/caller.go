// Package caller is a stand-in for callers: it asks for completions and bookings
// and checks that each answer is whole and its own.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jasminecove/jasminecove/internal/request/refusal"
	"github.com/jasminecove/jasminecove/internal/standin/model"
)

// Verdict is what a caller makes of an answer.
type Verdict string

// Verdicts.
const (
	Whole   Verdict = "whole"   // The reference answer, to its last token.
	Wrong   Verdict = "wrong"   // Another text than the reference.
	Cut     Verdict = "cut"     // The stream ended without its end mark or an error.
	Failed  Verdict = "failed"  // The stream ended with an error event.
	Refused Verdict = "refused" // A problem document in place of an answer.
	Broken  Verdict = "broken"  // The connection failed.
)

// Request is a completion to ask for.
type Request struct {
	BaseURL   string // For example http://127.0.0.1:7000.
	Model     string
	Layers    uint32
	Prompt    string
	MaxTokens int
	APIKey    string // The organisation's key, if any.
	Deadline  time.Duration
}

// Answer is what came of an Ask.
type Answer struct {
	Verdict     Verdict
	Outcome     refusal.Outcome // Of a refusal.
	RefusalKind string          // Of a refusal.
	RetryAfter  bool
	Tokens      int
	FirstToken  time.Duration // Until the first token.
	Gaps        []time.Duration
	Duration    time.Duration
	RequestID   string
}

// Caller asks over reused connections.
type Caller struct {
	client *http.Client
}

// New returns a Caller that keeps up to so many connections to each VM.
func New(connections int) *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: connections, MaxConnsPerHost: 0, DisableCompression: true,
	}}}
}

// Complete asks for a streamed completion and checks its answer.
func (c *Caller) Complete(ctx context.Context, a Request) Answer {
	began := time.Now()
	resp, err := c.post(ctx, a)
	if err != nil {
		return Answer{Verdict: Broken, Duration: time.Since(began)}
	}
	defer func() { _ = resp.Body.Close() }()
	out := Answer{RequestID: resp.Header.Get("X-Request-Id")}
	if resp.StatusCode != http.StatusOK {
		refused(resp, &out)
		out.Duration = time.Since(began)
		return out
	}
	text, ended, failed := readStream(resp.Body, began, &out)
	out.Duration = time.Since(began)
	out.Verdict = judge(a, text, ended, failed)
	return out
}

func (c *Caller) post(ctx context.Context, a Request) (*http.Response, error) {
	body, err := json.Marshal(map[string]any{"model": a.Model, "prompt": a.Prompt, "max_tokens": a.MaxTokens, "stream": true})
	if err != nil {
		return nil, fmt.Errorf("encode ask: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.BaseURL+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("ask: %w", err)
	}
	if a.APIKey != "" {
		req.Header.Set("Authorization", "Bearer "+a.APIKey)
	}
	if a.Deadline > 0 {
		req.Header.Set("Jasminecove-Deadline-Ms", fmt.Sprint(a.Deadline.Milliseconds()))
	}
	return c.client.Do(req)
}

func refused(resp *http.Response, out *Answer) {
	var p refusal.Problem
	_ = json.NewDecoder(resp.Body).Decode(&p)
	out.Verdict, out.Outcome = Refused, p.Outcome
	out.RefusalKind = p.Type[strings.LastIndexByte(p.Type, ':')+1:]
	out.RetryAfter = resp.Header.Get("Retry-After") != ""
}

// readStream reads server-sent events to their end.
func readStream(body io.Reader, began time.Time, out *Answer) (text string, ended, failed bool) {
	var whole strings.Builder
	last := began
	r := bufio.NewReader(body)
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return whole.String(), ended, failed
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			ended = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
			Outcome string `json:"outcome"`
		}
		if json.Unmarshal(data, &chunk) != nil || chunk.Outcome != "" {
			failed = true
			continue
		}
		if len(chunk.Choices) == 0 || chunk.Choices[0].Text == "" {
			continue
		}
		whole.WriteString(chunk.Choices[0].Text)
		now := time.Now()
		if out.Tokens == 0 {
			out.FirstToken = now.Sub(began)
		} else {
			out.Gaps = append(out.Gaps, now.Sub(last))
		}
		last = now
		out.Tokens++
	}
}

// judge compares an answer with the reference.
func judge(a Request, text string, ended, failed bool) Verdict {
	var want strings.Builder
	for _, t := range model.ReferenceAnswer(a.Prompt, a.Layers, a.MaxTokens) {
		want.WriteString(model.TokenText(t))
	}
	switch {
	case !strings.HasPrefix(want.String(), text):
		return Wrong
	case failed:
		return Failed
	case !ended:
		return Cut
	case text != want.String():
		return Wrong
	}
	return Whole
}

// BookingReply is what came of a booking.
type BookingReply struct {
	Status  int
	Outcome refusal.Outcome
	Err     error
}

// Book sends a booking under an idempotency key.
func (c *Caller) Book(ctx context.Context, base, path, key, body string) BookingReply {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, strings.NewReader(body))
	if err != nil {
		return BookingReply{Err: err}
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return BookingReply{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return BookingReply{Status: resp.StatusCode, Outcome: refusal.Outcome(resp.Header.Get(refusal.OutcomeHeader))}
}

// Close ends idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }
