package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// initialBufferSize is the first buffer size for a response of unknown length.
const initialBufferSize = 4 << 10

// maxBufferedTotal bounds the bytes of responses that a daemon buffers at a time: a sixth
// of the memory of a small instance. Beyond it responses are streamed.
const maxBufferedTotal = 32 << 20

// responseBuffer limits the responses that are buffered.
type responseBuffer struct {
	// maxBytes is the size of the largest buffered response; 0 disables buffering.
	maxBytes int64
	// totalBytes is the number of bytes buffered now.
	totalBytes atomic.Int64
}

// bufferResponse reads a response of at most maxBytes completely before any of it is
// passed on: a truncated response is detected in time to try another backend server, or
// to report a failure instead of sending a part. Larger responses are streamed. An error
// means that the response was truncated; its body is then closed. Once a response is
// buffered, its slot and connection are free.
func (b *responseBuffer) bufferResponse(resp *http.Response) error {
	if b.maxBytes <= 0 || resp.ContentLength > b.maxBytes || b.totalBytes.Load() > maxBufferedTotal {
		return nil
	}
	maxBytes, size := b.maxBytes, resp.ContentLength
	if size < 0 {
		size = initialBufferSize
	}
	buffer := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	_, err := buffer.ReadFrom(io.LimitReader(resp.Body, maxBytes+1))
	switch {
	case err != nil:
		_ = resp.Body.Close()
		return errors.Wrap(err, "read response")
	case int64(buffer.Len()) > maxBytes:
		resp.Body = &prefixedBody{Reader: io.MultiReader(buffer, resp.Body), Closer: resp.Body}
		return nil
	}
	if err := resp.Body.Close(); err != nil {
		return errors.Wrap(err, "close response")
	}
	if resp.ContentLength < 0 && bodyAllowed(resp) {
		resp.ContentLength = int64(buffer.Len())
		resp.Header.Set("Content-Length", strconv.Itoa(buffer.Len()))
	}
	resp.Body = newBufferedBody(b, buffer)
	return nil
}

// bodyAllowed reports whether the response's length may be set from its body.
func bodyAllowed(resp *http.Response) bool {
	head := resp.Request != nil && resp.Request.Method == http.MethodHead
	return !head && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
}

// bufferedBody is the body of a response that was read completely.
type bufferedBody struct {
	*bytes.Buffer
	release func()
}

func newBufferedBody(b *responseBuffer, buffer *bytes.Buffer) *bufferedBody {
	size := int64(buffer.Cap())
	b.totalBytes.Add(size)
	return &bufferedBody{Buffer: buffer, release: sync.OnceFunc(func() { b.totalBytes.Add(-size) })}
}

// Close implements io.Closer.
func (b *bufferedBody) Close() error {
	b.release()
	return nil
}

// Buffered implements bufferedReader.
func (b *bufferedBody) Buffered() bool { return b.Len() > 0 }

// prefixedBody is a body of which the first part has been read already.
type prefixedBody struct {
	io.Reader
	io.Closer
}
