package keys_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/fleet/keys"
)

// TestLoadKeyPermissions checks that a key that the group can read is refused.
func TestLoadKeyPermissions(t *testing.T) {
	folder := t.TempDir()
	vm := filepath.Join(folder, "a")
	assert.NilError(t, keys.CreateAuthority(folder))
	assert.NilError(t, keys.Issue(folder, "a", vm))
	ring, err := keys.Load(vm)
	assert.NilError(t, err)
	assert.Equal(t, ring.VM(), "a")
	assert.NilError(t, os.Chmod(filepath.Join(vm, "vm.key"), 0o640))
	_, err = keys.Load(vm)
	assert.ErrorIs(t, err, keys.ErrKeyPermissions)
}
