package telemetry

import (
	"net/http"
	"net/http/pprof"

	"github.com/jasminecove/jasminecove/internal/node/settings"
)

// ProfilesPath is the path under which Profiles serves.
const ProfilesPath = "/debug/pprof/"

// Profiles returns a handler of the process's profiles in the form that `go tool pprof` reads,
// or nil unless the settings turn them on.
func Profiles(s settings.Telemetry) http.Handler {
	if !s.Profiles {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc(ProfilesPath, pprof.Index)
	mux.HandleFunc(ProfilesPath+"profile", pprof.Profile)
	mux.HandleFunc(ProfilesPath+"trace", pprof.Trace)
	return mux
}
