package quarantine_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/request/quarantine"
)

func TestParts(t *testing.T) {
	for list, want := range map[string][]string{
		"":                          nil,
		"a1:800":                    {"a1"},
		"a1:800,B2:40,c3:7":         {"a1", "b2", "c3"},
		" a1 : 800 ,,a1:8, b2,c3:7": {"a1", "b2", "c3"},
		"a1:800," + strings.Repeat("f", 65) + ":1,c3:7": {"a1", "part:kk6IgUNYMD5_huJx0nlZaw", "c3"},
	} {
		assert.DeepEqual(t, quarantine.Parts(list), want)
	}
	assert.Equal(t, len(quarantine.Parts(strings.Repeat("a:1,b:1,", 100))), 2)
	var many []string
	for c := range 5000 {
		many = append(many, fmt.Sprintf("p%d", c))
	}
	parts := quarantine.Parts(strings.Join(many, ","))
	assert.Equal(t, len(parts), 4096)
	assert.Equal(t, parts[4095], many[4999], "the last part is kept")
}
