package quarantine

import (
	"crypto/sha256"
	"encoding/base64"
	"hash"
	"slices"
	"strings"
)

const (
	// requestPrefix starts the fingerprint of a request. IDs of parts have no colon.
	requestPrefix = "request:"
	// fingerprintBytes is the length of the hash in a fingerprint.
	fingerprintBytes = 16
	// requestPosition is the position of a request's first fingerprint after the parts of its prompt.
	requestPosition = maxParts + 1
)

// Request is what a request has in common with repetitions of it by the same caller.
type Request struct {
	Organisation string
	Method       string
	Host         string
	Path         string
	Query        string
	Parts        []string // Of the prompt, as returned by Parts.
	Body         [][]byte // In pieces.
}

// Fingerprints returns what identifies the request, from what most repetitions have in common to what
// the fewest have: a fingerprint without the query, and one with it if there is one.
func (r Request) Fingerprints() []string {
	h := sha256.New()
	for _, field := range []string{r.Organisation, r.Method, strings.ToLower(r.Host), r.Path, strings.Join(r.Parts, ",")} {
		_, _ = h.Write([]byte(field))
		_, _ = h.Write([]byte{0})
	}
	for _, piece := range r.Body {
		_, _ = h.Write(piece)
	}
	out := []string{encodeFingerprint(h)}
	if r.Query != "" {
		_, _ = h.Write([]byte("?" + r.Query))
		out = append(out, encodeFingerprint(h))
	}
	return out
}

func encodeFingerprint(h hash.Hash) string {
	return requestPrefix + base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

func isFingerprint(key string) bool { return strings.HasPrefix(key, requestPrefix) }

// Keys returns what a request can be accused of, from what most requests have in common to what the
// fewest have: the parts of its prompt in order, and its fingerprints.
func Keys(parts, fingerprints []string) []string {
	return slices.Concat(parts, fingerprints)
}
