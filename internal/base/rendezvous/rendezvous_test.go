package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/rendezvous"
)

func ExampleRank() {
	names := []string{"a", "b", "c"}
	fmt.Println(rendezvous.Rank("key", names)[0] == rendezvous.Choose("key", names))
	// Output: true
}

// TestChooseAfterRemoval checks that removing a name moves only the keys that it had.
func TestChooseAfterRemoval(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	fewer := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == "c" })
	for i := range 200 {
		key := fmt.Sprint(i)
		if before := rendezvous.Choose(key, names); before != "c" {
			assert.Equal(t, rendezvous.Choose(key, fewer), before)
		}
	}
}
