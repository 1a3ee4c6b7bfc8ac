// Package yamlfile decodes YAML strictly and locates the lines of invalid keys.
package yamlfile

import (
	"bytes"
	"errors"
	"io"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// SyntaxError reports a document that cannot be decoded.
type SyntaxError struct {
	Line int // 0 if unknown.
	Text string
}

// Error implements error.
func (e *SyntaxError) Error() string { return e.Text }

// Decode reads one document into v. It rejects unknown and duplicate keys. An error is a
// *SyntaxError.
func Decode(data []byte, v any) error {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	err := dec.Decode(v)
	if err == nil || errors.Is(err, io.EOF) {
		return nil
	}
	var parseErr *clock.ParseError
	if errors.As(err, &parseErr) {
		return &SyntaxError{Line: lineOfValue(data, parseErr.Text), Text: err.Error()}
	}
	return describe(err)
}

var (
	lineText     = regexp.MustCompile(`line (\d+): (.*)`)
	unknownField = regexp.MustCompile(`field (\S+) not found in type \S+`)
)

// describe converts a decoder's error and extracts its line.
func describe(err error) *SyntaxError {
	text := err.Error()
	var typeErr *yaml.TypeError
	if errors.As(err, &typeErr) {
		text = typeErr.Errors[0]
	}
	out := &SyntaxError{Text: text}
	if m := lineText.FindStringSubmatch(text); m != nil {
		out.Line, _ = strconv.Atoi(m[1])
		out.Text = m[2]
	}
	out.Text = unknownField.ReplaceAllString(out.Text, `unknown field "$1"`)
	return out
}

// Encode writes v as YAML.
func Encode(v any) ([]byte, error) { return yaml.Marshal(v) }

// lineOfValue returns the line of the first scalar with the given text, or 0. The decoder
// does not report the line of an error from a value's own unmarshaller.
func lineOfValue(data []byte, text string) int {
	var root yaml.Node
	if yaml.Unmarshal(data, &root) != nil {
		return 0
	}
	return findValue(&root, text)
}

// findValue returns the line of the first scalar value with the given text under n, or 0.
func findValue(n *yaml.Node, text string) int {
	if n.Kind == yaml.ScalarNode && n.Value == text {
		return n.Line
	}
	for i, child := range n.Content {
		if n.Kind == yaml.MappingNode && i%2 == 0 {
			continue
		}
		if line := findValue(child, text); line > 0 {
			return line
		}
	}
	return 0
}

// Lines finds the lines of keys in one document.
type Lines struct {
	root yaml.Node
}

// NewLines parses a document. A document that cannot be parsed has no lines.
func NewLines(data []byte) *Lines {
	l := &Lines{}
	_ = yaml.Unmarshal(data, &l.root)
	return l
}

// Of returns the line of a key such as pools[1].name, or of its nearest parent in the
// document, or 0 if there is none.
func (l *Lines) Of(key string) int {
	if len(l.root.Content) == 0 {
		return 0
	}
	at, line := l.root.Content[0], 0
	for _, part := range strings.FieldsFunc(key, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		at = child(at, part)
		if at == nil {
			return line
		}
		line = at.Line
	}
	return line
}

// child returns the value of a key of a mapping, or an element of a sequence, or nil.
func child(n *yaml.Node, part string) *yaml.Node {
	if i, err := strconv.Atoi(part); err == nil && n.Kind == yaml.SequenceNode {
		if i < len(n.Content) {
			return n.Content[i]
		}
		return nil
	}
	for i := 0; n.Kind == yaml.MappingNode && i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == part {
			return n.Content[i+1]
		}
	}
	return nil
}
