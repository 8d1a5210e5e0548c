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

// defaultBufferedTotal is the default of Config.ResponseMemory.
const defaultBufferedTotal = 32 << 20

// responseBuffer limits the responses that are buffered.
type responseBuffer struct {
	// maxBytes is the size of the largest buffered response; 0 disables buffering.
	maxBytes int64
	// maxTotal bounds the bytes that are buffered at a time. Beyond it responses are streamed.
	maxTotal int64
	// totalBytes is the number of bytes buffered now, expectedBytes that of the responses for
	// which memory is reserved and which have not arrived.
	totalBytes, expectedBytes atomic.Int64
}

// expect reserves memory for a response of n bytes and reports whether there was enough.
func (b *responseBuffer) expect(n int64) bool {
	if b.expectedBytes.Add(n)+b.totalBytes.Load() <= b.maxTotal {
		return true
	}
	b.expectedBytes.Add(-n)
	return false
}

// bufferResponse reads a response of at most maxBytes completely before any of it is
// passed on: a truncated response is detected in time to try another backend server, or
// to report a failure instead of sending a part. Larger responses are streamed, and all
// others while maxTotal is reached. An error means that the response was truncated;
// its body is then closed. Once a response is buffered, its slot and connection are free.
func (b *responseBuffer) bufferResponse(resp *http.Response) error {
	if b.maxBytes <= 0 || resp.ContentLength > b.maxBytes {
		return nil
	}
	body := &bufferedBody{owner: b}
	complete, err := body.fill(resp)
	if err != nil {
		_ = body.Close()
		_ = resp.Body.Close()
		return errors.Wrap(err, "read response")
	}
	if !complete {
		resp.Body = &prefixedBody{Reader: io.MultiReader(body, resp.Body), prefix: body, rest: resp.Body}
		return nil
	}
	if err := resp.Body.Close(); err != nil {
		_ = body.Close()
		return errors.Wrap(err, "close response")
	}
	if resp.ContentLength < 0 && bodyAllowed(resp) {
		resp.ContentLength = int64(body.Len())
		resp.Header.Set("Content-Length", strconv.Itoa(body.Len()))
	}
	resp.Body = body
	return nil
}

// reserve counts n more buffered bytes. It returns false if that would exceed
// maxTotal.
func (b *responseBuffer) reserve(n int64) bool {
	if b.totalBytes.Add(n) <= b.maxTotal {
		return true
	}
	b.totalBytes.Add(-n)
	return false
}

// bodyAllowed reports whether the response's length may be set from its body.
func bodyAllowed(resp *http.Response) bool {
	head := resp.Request != nil && resp.Request.Method == http.MethodHead
	return !head && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
}

// bufferedBody is the part of a response body that was read, or all of it.
type bufferedBody struct {
	// Reader reads what was read of the response; it is set by fill.
	*bytes.Reader
	owner *responseBuffer
	data  []byte
	// reserved is the number of bytes counted in the total of owner until release.
	reserved int64
	release  sync.Once
	// lackedMemory is set if maxTotal was reached before the end of the body.
	lackedMemory bool
}

// fill reads the body until its end, which it reports, or until it is too large or no more may
// be buffered.
func (b *bufferedBody) fill(resp *http.Response) (complete bool, err error) {
	defer func() { b.Reader = bytes.NewReader(b.data) }()
	for int64(len(b.data)) <= b.owner.maxBytes {
		if len(b.data) == cap(b.data) && !b.grow(resp.ContentLength) {
			b.lackedMemory = true
			return false, nil
		}
		n, err := resp.Body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// grow makes room for more data: for a response of the given length and its end, or, if length is
// negative, for twice the data. It returns false if no more may be buffered.
func (b *bufferedBody) grow(length int64) bool {
	size := length + bytes.MinRead
	if length < 0 || size <= int64(cap(b.data)) {
		size = min(max(initialBufferSize, 2*int64(cap(b.data))), b.owner.maxBytes+bytes.MinRead)
	}
	// The old and the new buffer exist at the same time.
	if !b.owner.reserve(size) {
		return false
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.owner.totalBytes.Add(-b.reserved)
	b.data, b.reserved = data, size
	return true
}

// Close implements io.Closer.
func (b *bufferedBody) Close() error {
	b.release.Do(func() { b.owner.totalBytes.Add(-b.reserved) })
	return nil
}

// Buffered implements bufferedReader.
func (b *bufferedBody) Buffered() bool { return b.Len() > 0 }

// prefixedBody is a body of which the first part has been read already.
type prefixedBody struct {
	io.Reader
	prefix *bufferedBody
	rest   io.Closer
}

// Close implements io.Closer.
func (b *prefixedBody) Close() error {
	return errors.CombineErrors(b.prefix.Close(), b.rest.Close())
}
