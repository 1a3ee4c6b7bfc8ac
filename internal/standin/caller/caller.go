// Package caller is a stand-in for callers: it sends completion requests and
// bookings, and compares each answer with the reference answer of its prompt.
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

// Verdict is the result of checking an answer.
type Verdict string

// Verdicts.
const (
	Whole   Verdict = "whole"   // The complete reference answer.
	Wrong   Verdict = "wrong"   // A text other than the reference answer.
	Cut     Verdict = "cut"     // The stream ended without its end marker and without an error event.
	Failed  Verdict = "failed"  // The stream ended with an error event.
	Refused Verdict = "refused" // The reply is a problem document.
	Broken  Verdict = "broken"  // The connection failed.
)

// Request is a completion request.
type Request struct {
	BaseURL   string // For example http://127.0.0.1:7000.
	Model     string
	Layers    uint32
	Prompt    string
	MaxTokens int
	APIKey    string // API key of the organisation, if any.
	Deadline  time.Duration
}

// Answer is the checked answer to a Request.
type Answer struct {
	Verdict     Verdict
	Outcome     refusal.Outcome // Only of a refusal.
	RefusalKind string          // Only of a refusal.
	RetryAfter  bool
	Tokens      int
	FirstToken  time.Duration   // Time until the first token.
	Gaps        []time.Duration // Times between tokens.
	Duration    time.Duration
	RequestID   string
}

// Caller sends requests over reused connections.
type Caller struct {
	client *http.Client
}

// New returns a Caller that keeps at most the given number of idle connections to each VM.
func New(connections int) *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: connections, MaxConnsPerHost: 0, DisableCompression: true,
	}}}
}

// Complete sends a request for a streamed completion and checks the answer.
func (c *Caller) Complete(ctx context.Context, r Request) Answer {
	began := time.Now()
	resp, err := c.post(ctx, r)
	if err != nil {
		return Answer{Verdict: Broken, Duration: time.Since(began)}
	}
	defer func() { _ = resp.Body.Close() }()
	out := Answer{RequestID: resp.Header.Get("X-Request-Id")}
	if resp.StatusCode != http.StatusOK {
		readRefusal(resp, &out)
		out.Duration = time.Since(began)
		return out
	}
	text, ended, failed := readStream(resp.Body, began, &out)
	out.Duration = time.Since(began)
	out.Verdict = verdict(r, text, ended, failed)
	return out
}

func (c *Caller) post(ctx context.Context, r Request) (*http.Response, error) {
	body, err := json.Marshal(map[string]any{"model": r.Model, "prompt": r.Prompt, "max_tokens": r.MaxTokens, "stream": true})
	if err != nil {
		return nil, fmt.Errorf("encode completion request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.BaseURL+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create completion request: %w", err)
	}
	if r.APIKey != "" {
		req.Header.Set("Authorization", "Bearer "+r.APIKey)
	}
	if r.Deadline > 0 {
		req.Header.Set("Jasminecove-Deadline-Ms", fmt.Sprint(r.Deadline.Milliseconds()))
	}
	return c.client.Do(req)
}

// readRefusal reads the problem document of a refusal into out.
func readRefusal(resp *http.Response, out *Answer) {
	var p refusal.Problem
	_ = json.NewDecoder(resp.Body).Decode(&p)
	out.Verdict, out.Outcome = Refused, p.Outcome
	out.RefusalKind = p.Type[strings.LastIndexByte(p.Type, ':')+1:]
	out.RetryAfter = resp.Header.Get("Retry-After") != ""
}

// readStream reads server-sent events to the end of the stream. It records the
// tokens and their times in out.
func readStream(body io.Reader, began time.Time, out *Answer) (text string, ended, failed bool) {
	var answer strings.Builder
	last := began
	r := bufio.NewReader(body)
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return answer.String(), ended, failed
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
		answer.WriteString(chunk.Choices[0].Text)
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

// verdict compares an answer with the reference answer.
func verdict(r Request, text string, ended, failed bool) Verdict {
	var want strings.Builder
	for _, t := range model.ReferenceAnswer(r.Prompt, r.Layers, r.MaxTokens) {
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

// BookingReply is the reply to a booking, or the error of the call.
type BookingReply struct {
	Status  int
	Outcome refusal.Outcome
	Err     error
}

// Book sends a booking, with an idempotency key unless key is empty.
func (c *Caller) Book(ctx context.Context, baseURL, path, key, body string) BookingReply {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+path, strings.NewReader(body))
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

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }
