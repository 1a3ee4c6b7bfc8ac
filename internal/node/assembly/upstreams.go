package assembly

import (
	"context"
	"errors"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/request/inbound"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// Limits of announcements.
const (
	maxAnnouncementBytes = 64 << 10
	// confirmTimeout bounds the wait until other VMs have recorded that an upstream leaves.
	confirmTimeout = time.Second
)

// upstreamsHandler returns the handler of the upstreams' interface.
func (n *Node) upstreamsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", n.serveAnnounce)
	return mux
}

func (n *Node) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var a upstreampb.Announcement
	if !n.readJSON(w, r, &a) {
		return
	}
	if problem := validateAnnouncement(&a); problem != "" {
		n.log.Warn("an announcement was refused", "upstream", a.Id, "reason", problem)
		http.Error(w, problem, http.StatusBadRequest)
		return
	}
	renew := n.dir.Announce(&a)
	if a.Leaving {
		// An acknowledged departure must outlive this VM.
		ctx, cancel := context.WithTimeout(r.Context(), confirmTimeout)
		defer cancel()
		if err := n.plane.Confirm(ctx, a.Id, n.dir.DigestOf(a.Id)); err != nil {
			n.log.Warn("an upstream's departure was not confirmed", "upstream", a.Id, "error", err)
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	reply, err := protojson.Marshal(&upstreampb.AnnounceReply{RenewMs: renew.Uint32()})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(reply)
}

// validateAnnouncement returns what is wrong with an announcement, or "".
func validateAnnouncement(a *upstreampb.Announcement) string {
	switch {
	case a.Id == "" || a.Name == "" || a.Address == "":
		return "id, name and address are needed"
	case a.Sequence == 0:
		return "sequence must be greater than 0"
	case a.Kind != "engine" && a.Kind != "service":
		return "kind must be engine or service"
	case a.Kind == "engine" && (a.LayerFrom >= a.LayerTo || a.TokensPerSecond <= 0):
		return "an engine needs layerFrom below layerTo and a speed"
	}
	if err := registry.Validate(a); err != nil {
		return err.Error()
	}
	return ""
}

// readJSON decodes the request body into m. If that fails, it sends the error response and returns
// false.
func (n *Node) readJSON(w http.ResponseWriter, r *http.Request, m proto.Message) bool {
	account, done := n.control.ForRequest(w, r)
	defer done()
	ctx, cancel := context.WithTimeout(r.Context(), confirmTimeout)
	defer cancel()
	defer inbound.LimitTime(w, r, confirmTimeout, maxAnnouncementBytes)()
	data, release, err := inbound.ReadBody(ctx, account, http.MaxBytesReader(w, r.Body, maxAnnouncementBytes), r.ContentLength, maxAnnouncementBytes)
	defer release()
	if errors.Is(err, inbound.ErrExhausted) {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return false
	}
	if err != nil || (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, m) != nil {
		http.Error(w, "the body is not valid JSON for this call", http.StatusBadRequest)
		return false
	}
	return true
}
