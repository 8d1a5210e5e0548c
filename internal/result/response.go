package result

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// Response returns a complete HTTP/1.1 response with the given status, which closes the
// connection. It is for code that writes responses outside an http.Handler.
func Response(e *Error, status int, retryAfter time.Duration) []byte {
	recorder := newRecorder()
	WriteHTTPRetry(recorder, e, retryAfter)
	resp := &http.Response{
		ProtoMajor: 1, ProtoMinor: 1, StatusCode: status, Header: recorder.header, Close: true,
		Body: io.NopCloser(&recorder.body), ContentLength: int64(recorder.body.Len()),
	}
	var out bytes.Buffer
	_ = resp.Write(&out)
	return out.Bytes()
}

// responseRecorder is an http.ResponseWriter that records the header and body of a
// response for Response.
type responseRecorder struct {
	header http.Header
	body   bytes.Buffer
}

func newRecorder() *responseRecorder { return &responseRecorder{header: http.Header{}} }

// Header implements http.ResponseWriter.
func (r *responseRecorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter. It ignores the status, which is a parameter
// of Response.
func (r *responseRecorder) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (r *responseRecorder) Write(p []byte) (int, error) { return r.body.Write(p) }
