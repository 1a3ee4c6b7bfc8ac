package patch_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/control/patch"
)

// document returns a document of n routes with one pool each.
func document(n int) string {
	var b strings.Builder
	b.WriteString("routes:\n")
	for i := range n {
		fmt.Fprintf(&b, "  - {name: route-%d, match: {pathPrefix: /service-%d}, pool: pool-%d, deadline: %ds}\n", i, i, i, i%50+1)
	}
	b.WriteString("pools:\n")
	for i := range n {
		fmt.Fprintf(&b, "  - {name: pool-%d, service: service-%d}\n", i, i)
	}
	return b.String()
}

func TestPatchSize(t *testing.T) {
	base := document(300)
	next := strings.Replace(base, "route-150, match", "route-x, match", 1)
	p, err := patch.Make([]byte(base), []byte(next))
	assert.NilError(t, err)
	assert.Assert(t, len(p) < len(next)/20, "%d of %d bytes", len(p), len(next))
	got, err := patch.Apply([]byte(base), p)
	assert.NilError(t, err)
	assert.Equal(t, string(got), next)
}

// TestApplyToWrongBase checks that a patch applied to a base other than its own
// does not give the patched document.
func TestApplyToWrongBase(t *testing.T) {
	p, err := patch.Make([]byte(document(50)), []byte(document(51)))
	assert.NilError(t, err)
	got, err := patch.Apply([]byte(document(10)), p)
	assert.Assert(t, err != nil || string(got) != document(51))
}

func BenchmarkMake(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			base := []byte(document(n))
			next := []byte(strings.Replace(document(n), "route-5,", "route-x,", 1))
			size := 0
			for b.Loop() {
				p, err := patch.Make(base, next)
				assert.NilError(b, err)
				size = len(p)
			}
			b.ReportMetric(float64(size), "patch-bytes")
			b.ReportMetric(float64(len(next)), "document-bytes")
		})
	}
}

func TestMakeWithoutBase(t *testing.T) {
	next := document(300)
	p, err := patch.Make(nil, []byte(next))
	assert.NilError(t, err)
	assert.Assert(t, len(p) < len(next)/4, "%d of %d bytes", len(p), len(next))
	got, err := patch.Apply(nil, p)
	assert.NilError(t, err)
	assert.Equal(t, string(got), next)
}
