package assembly

import (
	"io"
	"net/http"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// maxAnnouncement bounds the body of an announcement in bytes.
const maxAnnouncement = 64 << 10

// upstreamsHandler serves the upstreams' interface.
func (n *Node) upstreamsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", n.serveAnnounce)
	return mux
}

func (n *Node) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var a upstreampb.Announcement
	if !readJSON(w, r, &a) {
		return
	}
	if fault := announcementFault(&a); fault != "" {
		http.Error(w, fault, http.StatusBadRequest)
		return
	}
	renew := n.dir.Announce(&a)
	reply, err := protojson.Marshal(&upstreampb.AnnounceReply{RenewMs: uint32(renew)})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(reply)
}

// announcementFault says what is wrong with an announcement, or is empty.
func announcementFault(a *upstreampb.Announcement) string {
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
	return ""
}

func readJSON(w http.ResponseWriter, r *http.Request, m proto.Message) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	if err != nil || (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, m) != nil {
		http.Error(w, "the body is not valid JSON for this call", http.StatusBadRequest)
		return false
	}
	return true
}
