package upstream

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrRequestBody marks a failure to read the request body: the caller aborted it.
var ErrRequestBody = errors.New("request body ended prematurely")

const uploadBufferSize = 32 << 10

var uploadBuffers = sync.Pool{New: func() any { return new([uploadBufferSize]byte) }}

// upload sends a streamed request body while RoundTrip waits for the response.
type upload struct {
	request *Request
	conn    *conn
	// allowed receives true when the body may be sent, and is closed if it must
	// not be sent.
	allowed chan bool
	// state changes once, from uploadWaiting to uploadStarted or
	// uploadCanceled.
	state atomic.Int32
	// done is closed when the body is no longer read; err is valid from then
	// on.
	done chan struct{}
	err  error
}

// States of an upload.
const (
	uploadWaiting int32 = iota
	uploadStarted
	uploadCanceled
)

func (u *upload) started() bool { return u != nil && u.state.Load() == uploadStarted }

func newUpload(r *Request, c *conn) *upload {
	u := &upload{request: r, conn: c, allowed: make(chan bool, 1), done: make(chan struct{})}
	if !r.Expect {
		u.allowed <- true
	}
	go u.run()
	return u
}

func (u *upload) run() {
	defer close(u.done)
	if !<-u.allowed || !u.state.CompareAndSwap(uploadWaiting, uploadStarted) {
		return
	}
	u.err = u.send()
	if errors.Is(u.err, ErrRequestBody) {
		// Stop waiting for a response: the request is incomplete.
		_ = u.conn.SetReadDeadline(aLongTimeAgo)
	}
}

// allowBody allows the body to be sent.
func (u *upload) allowBody() {
	select {
	case u.allowed <- true:
	default:
	}
}

// stop ends the upload and reports whether the complete body was sent.
func (u *upload) stop() bool {
	if u == nil {
		return true
	}
	if u.state.CompareAndSwap(uploadWaiting, uploadCanceled) {
		close(u.allowed)
		<-u.done
		return false
	}
	select {
	case <-u.done:
		return u.err == nil
	default:
	}
	_ = u.conn.SetWriteDeadline(aLongTimeAgo)
	if u.request.AbortBody != nil {
		u.request.AbortBody()
	}
	<-u.done
	if u.err == nil {
		// The upload completed in the meantime: the connection may be reused.
		_ = u.conn.SetWriteDeadline(time.Time{})
	}
	return u.err == nil
}

// bodyFailed reports whether reading the request body failed. It must be called
// after stop.
func (u *upload) bodyFailed() bool { return u != nil && errors.Is(u.err, ErrRequestBody) }

func (u *upload) send() error {
	buffer := uploadBuffers.Get().(*[uploadBufferSize]byte)
	defer uploadBuffers.Put(buffer)
	if u.request.Length < 0 {
		return u.sendChunks(buffer[:])
	}
	for remaining := u.request.Length; remaining > 0; {
		n, err := u.request.Body.Read(buffer[:min(remaining, uploadBufferSize)])
		remaining -= int64(n)
		if _, writeErr := u.conn.Write(buffer[:n]); writeErr != nil {
			return writeErr
		}
		if err != nil && remaining > 0 {
			return errors.Mark(err, ErrRequestBody)
		}
	}
	return nil
}

// maxChunkHeader is the space reserved for the size line before the data of a
// chunk.
const maxChunkHeader = 8

func (u *upload) sendChunks(buffer []byte) error {
	for {
		n, err := u.request.Body.Read(buffer[maxChunkHeader : len(buffer)-2])
		if n > 0 {
			if _, writeErr := u.conn.Write(frameChunk(buffer, n)); writeErr != nil {
				return writeErr
			}
		}
		if err == io.EOF {
			_, err = u.conn.Write(u.lastChunk())
			return err
		}
		if err != nil {
			return errors.Mark(err, ErrRequestBody)
		}
	}
}

// frameChunk puts the size line before and a CRLF after the n bytes of a chunk.
func frameChunk(buffer []byte, n int) []byte {
	var size [maxChunkHeader]byte
	header := append(strconv.AppendInt(size[:0], int64(n), 16), "\r\n"...)
	start := maxChunkHeader - len(header)
	copy(buffer[start:], header)
	copy(buffer[maxChunkHeader+n:], "\r\n")
	return buffer[start : maxChunkHeader+n+2]
}

func (u *upload) lastChunk() []byte {
	b := []byte("0\r\n")
	for name, values := range u.request.Trailer {
		if name = http.CanonicalHeaderKey(name); !u.request.skipsTrailer(name) {
			b = appendFields(b, name, values)
		}
	}
	return append(b, "\r\n"...)
}
