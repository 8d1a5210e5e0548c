package result

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// Response is a whole HTTP/1.1 answer with the given status, after which the
// connection closes; for what answers outside an http.Handler.
func Response(e *Error, status int, after time.Duration) []byte {
	recorder := newRecorder()
	WriteHTTPRetry(recorder, e, after)
	resp := &http.Response{
		ProtoMajor: 1, ProtoMinor: 1, StatusCode: status, Header: recorder.header, Close: true,
		Body: io.NopCloser(&recorder.body), ContentLength: int64(recorder.body.Len()),
	}
	var out bytes.Buffer
	_ = resp.Write(&out)
	return out.Bytes()
}

// recorder is the http.ResponseWriter of Response.
type recorder struct {
	header http.Header
	body   bytes.Buffer
}

func newRecorder() *recorder { return &recorder{header: http.Header{}} }

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter; the caller of Response chose the
// status.
func (r *recorder) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (r *recorder) Write(p []byte) (int, error) { return r.body.Write(p) }
