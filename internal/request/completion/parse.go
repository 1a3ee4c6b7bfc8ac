package completion

import (
	"encoding/json"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"

	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
)

// Limits of a call.
const (
	defaultMaxTokens = 64
	maxTokensLimit   = 8192
)

// callBody holds the fields of a request body that the router uses. Other fields are
// ignored.
type callBody struct {
	Model               string          `json:"model"`
	Messages            []callMessage   `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	N *int `json:"n"`
}

// callMessage is one chat message. Content is a string or a list of text parts.
type callMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ParseChat parses the body of a chat completion request.
func ParseChat(body []byte) (*exchange.ModelCall, error) {
	b, err := parse(body)
	if err != nil {
		return nil, err
	}
	if len(b.Messages) == 0 {
		return nil, badRequest("messages must not be empty")
	}
	var prompt strings.Builder
	var parts []string
	for _, m := range b.Messages {
		text, ok := contentText(m.Content)
		if !ok {
			return nil, badRequest("a message's content must be text")
		}
		parts = append(parts, partID(m.Role, text))
		prompt.WriteString(m.Role)
		prompt.WriteString(": ")
		prompt.WriteString(text)
		prompt.WriteString("\n")
	}
	call, err := b.modelCall(prompt.String(), true)
	if err != nil {
		return nil, err
	}
	call.Parts = parts
	return call, nil
}

// partID identifies a message by its role and text.
func partID(role, text string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(role + "\x00" + text))
	return strconv.FormatUint(h.Sum64(), 16)
}

// ParseText parses the body of a text completion request.
func ParseText(body []byte) (*exchange.ModelCall, error) {
	b, err := parse(body)
	if err != nil {
		return nil, err
	}
	var prompt string
	if json.Unmarshal(b.Prompt, &prompt) != nil {
		return nil, badRequest("prompt must be a string")
	}
	return b.modelCall(prompt, false)
}

func parse(body []byte) (*callBody, error) {
	var b callBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, badRequest("the body is not valid JSON for this call").WithCause(err)
	}
	if b.Model == "" {
		return nil, badRequest("model must be given")
	}
	if b.N != nil && *b.N != 1 {
		return nil, badRequest("n must be 1")
	}
	return &b, nil
}

func (b *callBody) modelCall(prompt string, chat bool) (*exchange.ModelCall, error) {
	limit := defaultMaxTokens
	if b.MaxTokens != nil {
		limit = *b.MaxTokens
	}
	if b.MaxCompletionTokens != nil {
		limit = *b.MaxCompletionTokens
	}
	if limit < 1 || limit > maxTokensLimit {
		return nil, refusal.New(refusal.BadRequest, http.StatusBadRequest, "max_tokens must be between 1 and %d", maxTokensLimit)
	}
	return &exchange.ModelCall{
		Model: b.Model, Prompt: prompt, MaxTokens: limit, Stream: b.Stream, Chat: chat,
		IncludeUsage: b.StreamOptions != nil && b.StreamOptions.IncludeUsage,
	}, nil
}

// contentText returns the text of a message's content, a string or a list of text parts.
func contentText(raw json.RawMessage) (string, bool) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, true
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return "", false
	}
	for _, p := range parts {
		if p.Type != "text" {
			return "", false
		}
		text += p.Text
	}
	return text, true
}

func badRequest(detail string) *refusal.Refusal {
	return refusal.New(refusal.BadRequest, http.StatusBadRequest, "%s", detail)
}
