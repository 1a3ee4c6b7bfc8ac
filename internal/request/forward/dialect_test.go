package forward

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSharedParts(t *testing.T) {
	for value, want := range map[string][]string{
		"":                          nil,
		"a1:800":                    nil,
		"a1:800,B2:40,c3:7":         {"a1", "b2"},
		" a1 : 800 ,,a1:8, b2,c3:7": {"a1", "b2"},
		"a1:800," + strings.Repeat("f", 65) + ":1,c3:7": {"a1"},
	} {
		h := http.Header{}
		d := DefaultDialect()
		h.Set(d.PromptParts, value)
		assert.DeepEqual(t, d.sharedParts(h), want)
	}
	h := http.Header{}
	d := DefaultDialect()
	h.Add(d.PromptParts, "a1:800")
	h.Add(d.PromptParts, "b2:40,c3:7")
	assert.DeepEqual(t, d.sharedParts(h), []string{"a1", "b2"})
}
