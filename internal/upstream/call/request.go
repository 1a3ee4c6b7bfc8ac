package call

import (
	"bytes"
	"fmt"
	"net/http"
)

// framingHeaders are written by NewRequest itself, and not taken from the headers that it is given.
var framingHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// NewRequest returns a request with the method, URL and headers of req, and a body. The body and the context of req
// are ignored.
func NewRequest(req *http.Request, body []byte) Request {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.URL.RequestURI(), req.URL.Host)
	_ = req.Header.WriteSubset(&head, framingHeaders) // Writing to a buffer cannot fail.
	if len(body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n")
	return Request{Method: req.Method, Head: head.Bytes(), Body: [][]byte{body}}
}
