// Package completion parses requests and encodes responses in the widely used chat and text
// completion formats. A response is streamed as server-sent events or sent as one document.
package completion

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/jasminecove/jasminecove/internal/request/refusal"
)

// Format is the format of a response.
type Format struct {
	Model        string
	Chat         bool
	Stream       bool
	IncludeUsage bool
}

// Writer writes one response to a caller.
type Writer struct {
	w       http.ResponseWriter
	flusher http.Flusher
	id      string
	format  Format
	created int64
	text    strings.Builder
	buf     bytes.Buffer
	prefix  []byte // Encoded chunk up to the text.
	suffix  []byte
	started bool
}

// NewWriter returns a writer for one response. It writes nothing before the first token.
func NewWriter(w http.ResponseWriter, id string, format Format) *Writer {
	a := &Writer{w: w, id: id, format: format, created: time.Now().Unix()}
	a.flusher, _ = w.(http.Flusher)
	return a
}

// Started reports whether anything was written.
func (a *Writer) Started() bool { return a.started }

// WriteToken adds a token to the response.
func (a *Writer) WriteToken(text []byte) error {
	if !a.format.Stream {
		a.text.Write(text)
		return nil
	}
	first := !a.started
	if first {
		a.startStream()
	}
	quoted, err := json.Marshal(string(text))
	if err != nil {
		return fmt.Errorf("encode token: %w", err)
	}
	a.buf.Reset()
	a.buf.Write(a.prefix)
	a.buf.Write(quoted)
	a.buf.Write(a.suffix)
	return a.flushBuffer()
}

// startStream writes the headers and prepares the constant parts of chunks.
func (a *Writer) startStream() {
	a.started = true
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
	const placeholder = "\x01"
	sample, err := json.Marshal(a.chunk(placeholder, nil))
	if err != nil {
		return
	}
	before, after, _ := bytes.Cut(sample, []byte(`"\u0001"`))
	a.prefix = append([]byte("data: "), before...)
	a.suffix = append(bytes.Clone(after), "\n\n"...)
}

func (a *Writer) flushBuffer() error {
	if _, err := a.w.Write(a.buf.Bytes()); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	if a.flusher != nil {
		a.flusher.Flush()
	}
	return nil
}

// Finish completes the response. full means that it reached its token limit.
func (a *Writer) Finish(promptTokens, tokens int, atLimit bool) error {
	reason := "stop"
	if atLimit {
		reason = "length"
	}
	usage := &Usage{PromptTokens: promptTokens, CompletionTokens: tokens, TotalTokens: promptTokens + tokens}
	if !a.format.Stream {
		return a.writeDocument(reason, usage)
	}
	if !a.started {
		a.startStream()
	}
	a.buf.Reset()
	if err := a.appendEvent(a.chunk("", &reason)); err != nil {
		return err
	}
	if a.format.IncludeUsage {
		last := a.chunk("", nil)
		last.Choices = []Choice{}
		last.Usage = usage
		if err := a.appendEvent(last); err != nil {
			return err
		}
	}
	a.buf.WriteString("data: [DONE]\n\n")
	return a.flushBuffer()
}

// Fail ends a started stream with an error event.
func (a *Writer) Fail(p refusal.Problem) {
	a.buf.Reset()
	if a.appendEvent(p) == nil {
		_ = a.flushBuffer()
	}
}

func (a *Writer) appendEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	a.buf.WriteString("data: ")
	a.buf.Write(data)
	a.buf.WriteString("\n\n")
	return nil
}

func (a *Writer) writeDocument(reason string, usage *Usage) error {
	a.started = true
	c := Choice{FinishReason: &reason}
	if a.format.Chat {
		c.Message = &Message{Role: "assistant", Content: a.text.String()}
	} else {
		text := a.text.String()
		c.Text = &text
	}
	a.w.Header().Set("Content-Type", "application/json")
	body := a.newBody("")
	body.Choices = []Choice{c}
	body.Usage = usage
	return json.NewEncoder(a.w).Encode(body)
}

func (a *Writer) newBody(suffix string) Body {
	object := "text_completion"
	prefix := "cmpl-"
	if a.format.Chat {
		object = "chat.completion" + suffix
		prefix = "chatcmpl-"
	}
	return Body{ID: prefix + a.id, Object: object, Created: a.created, Model: a.format.Model}
}

func (a *Writer) chunk(text string, reason *string) Body {
	c := Choice{FinishReason: reason}
	if a.format.Chat {
		c.Delta = &Delta{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	body := a.newBody(".chunk")
	body.Choices = []Choice{c}
	return body
}

// Body is a response or a chunk of a streamed response.
type Body struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the only choice of a response.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Delta   `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Delta is the part of a chat message in a chunk.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage holds the token counts of a request and its response.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}
