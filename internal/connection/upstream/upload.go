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

// ErrBody marks a failure of the request's own body: its caller cut it.
var ErrBody = errors.New("the request's body was cut")

const uploadBuffer = 32 << 10

var uploads = sync.Pool{New: func() any { return new([uploadBuffer]byte) }}

// upload sends a streamed body while the answer is awaited.
type upload struct {
	request *Request
	conn    *conn
	// start receives true when the body may be begun, or is closed if never.
	start chan bool
	// state moves once, from waiting to begun or to never.
	state atomic.Int32
	// done is closed when nothing reads the body any more; err is valid then.
	done chan struct{}
	err  error
}

// The states of an upload.
const (
	waiting int32 = iota
	begun
	never
)

func (u *upload) begun() bool { return u != nil && u.state.Load() == begun }

func newUpload(r *Request, c *conn) *upload {
	u := &upload{request: r, conn: c, start: make(chan bool, 1), done: make(chan struct{})}
	if !r.Expect {
		u.start <- true
	}
	go u.run()
	return u
}

func (u *upload) run() {
	defer close(u.done)
	if !<-u.start || !u.state.CompareAndSwap(waiting, begun) {
		return
	}
	u.err = u.send()
	if errors.Is(u.err, ErrBody) {
		// The wait for the answer ends here: the request is not whole.
		_ = u.conn.SetReadDeadline(past)
	}
}

// proceed lets the body begin.
func (u *upload) proceed() {
	select {
	case u.start <- true:
	default:
	}
}

// stop ends the upload and reports whether the whole body was sent.
func (u *upload) stop() bool {
	if u == nil {
		return true
	}
	if u.state.CompareAndSwap(waiting, never) {
		close(u.start)
		<-u.done
		return false
	}
	select {
	case <-u.done:
		return u.err == nil
	default:
	}
	_ = u.conn.SetWriteDeadline(past)
	if u.request.AbortBody != nil {
		u.request.AbortBody()
	}
	<-u.done
	if u.err == nil {
		// It ended in this very moment: the connection may be used again.
		_ = u.conn.SetWriteDeadline(time.Time{})
	}
	return u.err == nil
}

// cut reports whether the body's own end failed; only after stop.
func (u *upload) cut() bool { return u != nil && errors.Is(u.err, ErrBody) }

func (u *upload) send() error {
	buffer := uploads.Get().(*[uploadBuffer]byte)
	defer uploads.Put(buffer)
	if u.request.Length < 0 {
		return u.sendChunks(buffer[:])
	}
	for left := u.request.Length; left > 0; {
		n, err := u.request.Body.Read(buffer[:min(left, uploadBuffer)])
		left -= int64(n)
		if _, werr := u.conn.Write(buffer[:n]); werr != nil {
			return werr
		}
		if err != nil && left > 0 {
			return errors.Mark(err, ErrBody)
		}
	}
	return nil
}

// chunkHead is the room for a chunk's size before its data.
const chunkHead = 8

func (u *upload) sendChunks(buffer []byte) error {
	for {
		n, err := u.request.Body.Read(buffer[chunkHead : len(buffer)-2])
		if n > 0 {
			if _, werr := u.conn.Write(frame(buffer, n)); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			_, err = u.conn.Write(u.lastChunk())
			return err
		}
		if err != nil {
			return errors.Mark(err, ErrBody)
		}
	}
}

// frame puts the chunk's size before and a line end behind its n bytes.
func frame(buffer []byte, n int) []byte {
	var size [chunkHead]byte
	text := append(strconv.AppendInt(size[:0], int64(n), 16), "\r\n"...)
	begin := chunkHead - len(text)
	copy(buffer[begin:], text)
	copy(buffer[chunkHead+n:], "\r\n")
	return buffer[begin : chunkHead+n+2]
}

func (u *upload) lastChunk() []byte {
	b := []byte("0\r\n")
	for name, values := range u.request.Trailer {
		b = appendFields(b, http.CanonicalHeaderKey(name), values)
	}
	return append(b, "\r\n"...)
}
