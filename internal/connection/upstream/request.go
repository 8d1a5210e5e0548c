package upstream

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Request is one request to be sent.
type Request struct {
	Method string
	// Target is the request target in origin form, as it is to be sent.
	Target string
	Host   string
	// Header is sent but for the names that Skip reports; Added is sent besides
	// and goes before an entry of the same name. Neither holds framing headers.
	Header http.Header
	Skip   func(name string) bool
	Added  http.Header
	// Small is a whole body, sent with the header.
	Small []byte
	// Body is streamed if it is not nil: Length bytes, or chunks if that is
	// below 0, followed by Trailer.
	Body    io.Reader
	Length  int64
	Trailer http.Header
	// Expect waits for "100 Continue" before Body is begun.
	Expect bool
	// AbortBody must end a pending Read of Body.
	AbortBody func()
	// IdleAge is how long a connection may have been idle to be used; a request
	// that may not be repeated takes only a recent one.
	IdleAge time.Duration
	// Stall bounds each wait for bytes of the answer's body; 0 does not.
	Stall time.Duration
	// Done is called exactly once, when the far side is done with the request,
	// or never got it.
	Done func()
}

// heads are buffers for request headers.
var heads = sync.Pool{New: func() any { b := make([]byte, 0, readBuffer); return &b }}

// appendHead appends the header in wire form.
func (r *Request) appendHead(b []byte) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", r.Host)
	for name, values := range r.Header {
		if r.Skip != nil && r.Skip(name) {
			continue
		}
		if _, replaced := r.Added[name]; !replaced {
			b = appendFields(b, name, values)
		}
	}
	for name, values := range r.Added {
		b = appendFields(b, name, values)
	}
	return append(r.appendFraming(b), "\r\n"...)
}

func (r *Request) appendFraming(b []byte) []byte {
	switch {
	case r.Body != nil && r.Length < 0:
		b = appendField(b, "Transfer-Encoding", "chunked")
		for name := range r.Trailer {
			b = appendField(b, "Trailer", name)
		}
	case r.Body != nil:
		b = appendField(b, "Content-Length", strconv.FormatInt(r.Length, 10))
	case len(r.Small) > 0 || mayHaveBody(r.Method):
		b = appendField(b, "Content-Length", strconv.Itoa(len(r.Small)))
	}
	if r.Expect && r.Body != nil {
		b = appendField(b, "Expect", "100-continue")
	}
	return b
}

// mayHaveBody reports whether a body is usual, so that its absence is said.
func mayHaveBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func appendFields(b []byte, name string, values []string) []byte {
	for _, v := range values {
		b = appendField(b, name, v)
	}
	return b
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
