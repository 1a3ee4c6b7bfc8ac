// Package yamlfile decodes YAML strictly and finds the lines of faulty keys.
package yamlfile

import (
	"bytes"
	"errors"
	"io"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/lexer"

	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// SyntaxError is a failure to decode, with its line if known.
type SyntaxError struct {
	Line int
	Text string
}

// Error implements error.
func (e *SyntaxError) Error() string { return e.Text }

// Decode reads one document into v. Unknown and duplicate keys are refused. A
// failure is a *SyntaxError.
func Decode(data []byte, v any) error {
	dec := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.DisallowUnknownField())
	err := dec.Decode(v)
	if err == nil || errors.Is(err, io.EOF) {
		return nil
	}
	out := &SyntaxError{Text: err.Error()}
	var span *clock.ParseError
	if errors.As(err, &span) {
		out.Line = lineOfValue(data, span.Text)
	}
	var yerr yaml.Error
	if errors.As(err, &yerr) {
		out.Text = yerr.GetMessage()
		if tok := yerr.GetToken(); tok != nil && tok.Position != nil {
			out.Line = tok.Position.Line
		}
	}
	return out
}

// lineOfValue finds the first line with a scalar of that text. The decoder does
// not tell where a value's own type refused it.
func lineOfValue(data []byte, text string) int {
	for _, tok := range lexer.Tokenize(string(data)) {
		if tok.Value == text && tok.Prev != nil && tok.Prev.Value == ":" {
			return tok.Position.Line
		}
	}
	return 0
}

// Line finds the line of a key such as pools[1].name, or of its nearest parent
// that the document has. It returns 0 when there is none.
func Line(data []byte, key string) int {
	for key != "" {
		if line := lineAt(data, "$."+key); line > 0 {
			return line
		}
		cut := strings.LastIndexByte(key, '.')
		if cut < 0 {
			return 0
		}
		key = key[:cut]
	}
	return 0
}

func lineAt(data []byte, path string) int {
	p, err := yaml.PathString(path)
	if err != nil {
		return 0
	}
	node, err := p.ReadNode(bytes.NewReader(data))
	if err != nil || node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}
