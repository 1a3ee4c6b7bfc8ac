package quarantine_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/request/quarantine"
)

func TestSharedParts(t *testing.T) {
	for list, want := range map[string][]string{
		"":                          nil,
		"a1:800":                    nil,
		"a1:800,B2:40,c3:7":         {"a1", "b2"},
		" a1 : 800 ,,a1:8, b2,c3:7": {"a1", "b2"},
		"a1:800," + strings.Repeat("f", 65) + ":1,c3:7": {"a1"},
	} {
		assert.DeepEqual(t, quarantine.SharedParts(list), want)
	}
	assert.Equal(t, len(quarantine.SharedParts(strings.Repeat("a:1,b:1,", 100))), 2)
}
