package upstream

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Request is a request to send.
type Request struct {
	Method string
	// Target is the request target in origin form, sent unchanged.
	Target string
	Host   string
	// Header is sent except for the names for which SkipHeader returns true. ExtraHeader is
	// sent as well and replaces fields of Header with the same name. Neither
	// contains framing headers.
	Header      http.Header
	SkipHeader  func(name string) bool
	ExtraHeader http.Header
	// SmallBody is a complete body, sent together with the header.
	SmallBody []byte
	// Body is streamed if it is not nil: Length bytes, at least one, or, if Length is
	// negative, chunked and followed by Trailer, except for the names in ExtraHeader and
	// those for which SkipTrailer returns true.
	Body        io.Reader
	Length      int64
	Trailer     http.Header
	SkipTrailer func(name string) bool
	// Expect delays sending Body until a "100 Continue" response.
	Expect bool
	// DropBody, if set, is called when the request has ended before its body. A pending
	// Read of Body goes on, and what it returns is not sent.
	DropBody func()
	// MaxIdleAge is the maximum time that a reused connection may have been idle.
	// A request that must not be retried uses only a recently used connection.
	MaxIdleAge time.Duration
	// StallTimeout limits each wait for bytes of the response body; 0 means no limit.
	StallTimeout time.Duration
	// Done is called exactly once, when the server has finished the request or
	// it is certain that the server did not receive it.
	Done func()
}

// headerBuffers pools the buffers for request headers.
var headerBuffers = sync.Pool{New: func() any { b := make([]byte, 0, readBufferSize); return &b }}

// appendHeader appends the request line and header in wire format.
func (r *Request) appendHeader(b []byte) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", r.Host)
	for name, values := range r.Header {
		if !r.replaces(name) && (r.SkipHeader == nil || !r.SkipHeader(name)) {
			b = appendFields(b, name, values)
		}
	}
	for name, values := range r.ExtraHeader {
		b = appendFields(b, name, values)
	}
	return append(r.appendFraming(b), "\r\n"...)
}

// replaces reports whether ExtraHeader replaces a field with the name.
func (r *Request) replaces(name string) bool {
	_, replaced := r.ExtraHeader[name]
	return replaced
}

func (r *Request) skipsTrailer(name string) bool {
	return r.replaces(name) || (r.SkipTrailer != nil && r.SkipTrailer(name))
}

func (r *Request) appendFraming(b []byte) []byte {
	switch {
	case r.Body != nil && r.Length < 0:
		b = appendField(b, "Transfer-Encoding", "chunked")
		for name := range r.Trailer {
			if !r.skipsTrailer(name) {
				b = appendField(b, "Trailer", name)
			}
		}
	case r.Body != nil:
		b = appendField(b, "Content-Length", strconv.FormatInt(r.Length, 10))
	case len(r.SmallBody) > 0 || definesBody(r.Method):
		b = appendField(b, "Content-Length", strconv.Itoa(len(r.SmallBody)))
	}
	if r.Expect && r.Body != nil {
		b = appendField(b, "Expect", "100-continue")
	}
	return b
}

// definesBody reports whether requests of the method usually have a body, so
// that a missing one is sent as "Content-Length: 0".
func definesBody(method string) bool {
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
