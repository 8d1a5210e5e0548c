package upstream

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrRequestBody marks a failure to read the request body: the caller aborted it.
var ErrRequestBody = errors.New("request body ended prematurely")

const uploadBufferSize = 32 << 10

var uploadBuffers = sync.Pool{New: func() any { return new([uploadBufferSize]byte) }}

// errStopped ends an upload whose request has ended.
var errStopped = errors.New("the request ended before its body")

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

	// mu guards the fields below. It is held while a part of the body is written, not
	// while one is read.
	mu sync.Mutex
	// stopped is set when the request has ended: the connection is not used any more.
	stopped bool
	// sent is set when the complete body was sent.
	sent bool
	// readErr is set if reading the body failed before stopped was set.
	readErr error
	// writeErr is set if sending the body failed.
	writeErr error
}

// States of an upload.
const (
	uploadWaiting int32 = iota
	uploadStarted
	uploadCanceled
)

func (u *upload) started() bool { return u != nil && u.state.Load() == uploadStarted }

func newUpload(r *Request, c *conn) *upload {
	u := &upload{request: r, conn: c, allowed: make(chan bool, 1)}
	if !r.Expect {
		u.allowed <- true
	}
	go u.run()
	return u
}

func (u *upload) run() {
	if !<-u.allowed || !u.state.CompareAndSwap(uploadWaiting, uploadStarted) {
		return
	}
	if err := u.send(); errors.Is(err, ErrRequestBody) {
		u.failRead(err)
	}
}

// failRead records that the body could not be read, and stops waiting for a response: the request
// is incomplete.
func (u *upload) failRead(err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.stopped {
		u.readErr = err
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

// stop ends the upload and reports whether the complete body was sent. It does not wait for a
// pending Read of the body, which may last for as long as the caller sends nothing.
func (u *upload) stop() bool {
	if u == nil {
		return true
	}
	if u.state.CompareAndSwap(uploadWaiting, uploadCanceled) {
		close(u.allowed)
		return false
	}
	_ = u.conn.SetWriteDeadline(aLongTimeAgo)
	u.mu.Lock()
	u.stopped = true
	sent := u.sent
	u.mu.Unlock()
	if sent {
		_ = u.conn.SetWriteDeadline(time.Time{})
	} else if u.request.DropBody != nil {
		u.request.DropBody()
	}
	return sent
}

// bodyFailed reports whether reading the request body failed. It must be called
// after stop.
func (u *upload) bodyFailed() bool { return u != nil && u.readErr != nil }

// connectionLost returns the error by which sending the body found that the connection was lost, or
// nil. It must be called after stop.
//
// EPIPE is not such an error: the server had ended its side in order before it reset the connection, or
// reading the response has reported the reset.
func (u *upload) connectionLost() error {
	if u == nil || errors.Is(u.writeErr, os.ErrDeadlineExceeded) || errors.Is(u.writeErr, syscall.EPIPE) {
		return nil
	}
	return u.writeErr
}

// write sends a part of the body unless the request has ended.
func (u *upload) write(part []byte, last bool) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped {
		return errStopped
	}
	_, err := u.conn.Write(part)
	u.sent, u.writeErr = last && err == nil, err
	return err
}

func (u *upload) send() error {
	buffer := uploadBuffers.Get().(*[uploadBufferSize]byte)
	defer uploadBuffers.Put(buffer)
	if u.request.Length < 0 {
		return u.sendChunks(buffer[:])
	}
	for remaining := u.request.Length; remaining > 0; {
		n, err := u.request.Body.Read(buffer[:min(remaining, uploadBufferSize)])
		remaining -= int64(n)
		if writeErr := u.write(buffer[:n], remaining == 0); writeErr != nil {
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
			if writeErr := u.write(frameChunk(buffer, n), false); writeErr != nil {
				return writeErr
			}
		}
		if err == io.EOF {
			return u.write(u.lastChunk(), true)
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
