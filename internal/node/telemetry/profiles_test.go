package telemetry_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/node/settings"
	"github.com/jasminecove/jasminecove/internal/node/telemetry"
)

// TestProfiles checks that profiles are served only if the settings turn them on.
func TestProfiles(t *testing.T) {
	assert.Assert(t, telemetry.Profiles(settings.Telemetry{}) == nil)
	h := telemetry.Profiles(settings.Telemetry{Profiles: true})
	for _, path := range []string{"", "heap", "profile?seconds=1"} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, telemetry.ProfilesPath+path, nil))
		assert.Equal(t, w.Code, http.StatusOK, path)
	}
}
