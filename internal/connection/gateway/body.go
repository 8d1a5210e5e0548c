package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxBufferedRequestBody is the size of the largest body that is read completely
	// before the request is forwarded: such a body can be sent again and needs no "100
	// Continue" upstream.
	maxBufferedRequestBody = 16 << 10
	// maxStall bounds a pause within a body, in either direction.
	maxStall = 5 * time.Minute
)

// errDeadline is the cause of a context that an inactivityTimer cancelled.
var errDeadline = errors.New("the deadline passed")

// deadlinePassed distinguishes an expired inactivityTimer from a caller that
// disconnected.
func deadlinePassed(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errDeadline)
}

// inactivityTimer cancels a request's context after a period without activity. It starts
// when the request arrives and restarts with each part of a streamed body, so it never
// cuts a transfer in progress. It stops at the response header.
type inactivityTimer struct {
	timeout time.Duration
	timer   *time.Timer
	cancel  context.CancelCauseFunc
	stopped atomic.Bool
}

// withInactivityTimeout returns a context that the returned timer cancels with
// errDeadline.
func withInactivityTimeout(parent context.Context, timeout time.Duration) (context.Context, *inactivityTimer, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	t := &inactivityTimer{timeout: timeout, cancel: cancel}
	t.timer = time.AfterFunc(timeout, func() { cancel(errDeadline) })
	return ctx, t, func() { t.stop(); cancel(context.Canceled) }
}

func (t *inactivityTimer) stop() {
	t.stopped.Store(true)
	t.timer.Stop()
}

// expire cancels the context at once, as if the time had passed.
func (t *inactivityTimer) expire() { t.cancel(errDeadline) }

// reset restarts the timer unless it was stopped.
func (t *inactivityTimer) reset(timeout time.Duration) {
	if t.stopped.Load() {
		return
	}
	t.timer.Reset(timeout)
	if t.stopped.Load() {
		t.timer.Stop()
	}
}

// requestBody is the body of a request that passes through this daemon.
type requestBody struct {
	w http.ResponseWriter
	r *http.Request
	// buffered holds a body that was read completely. prefix holds the part of a streamed body
	// that bufferSmall has read and Read has not returned yet.
	buffered, prefix []byte
	// streamed is set for a larger body, readStarted at the first read, and complete
	// when its end has been read.
	streamed    bool
	readStarted atomic.Bool
	complete    atomic.Bool
	timer       *inactivityTimer
	// stallTimeout is the timer's duration after a part of the body has arrived; 0 leaves
	// the timer unchanged.
	stallTimeout time.Duration
	// onRead, if set, is called for each part of a streamed body, and onEnd once at its
	// end.
	onRead func(bytes int)
	onEnd  func()
	// onComplete, if set, is called when no more of the body will arrive.
	onComplete func()
	// onSmall, if set, is called with the whole of a streamed body at its end, unless it is larger
	// than maxBufferedRequestBody. seen holds what has been read of it.
	onSmall func(body []byte)
	seen    []byte

	// reading is held during Read.
	reading sync.Mutex
	// callbacks is held while a function above is called for a part; none is called after
	// dropped is set.
	callbacks sync.Mutex
	dropped   bool
}

// setCallbacks sets the functions called for each part of the body and at its end.
func (b *requestBody) setCallbacks(onRead func(bytes int), onEnd func()) {
	b.onRead, b.onEnd = onRead, sync.OnceFunc(onEnd)
}

// finish records that no more of the body will arrive.
func (b *requestBody) finish() {
	if b.onEnd != nil {
		b.onEnd()
	}
	if b.onComplete != nil {
		b.onComplete()
	}
}

// newRequestBody reads a small body, or prepares a larger one for streaming.
func newRequestBody(w http.ResponseWriter, r *http.Request, timer *inactivityTimer, stallTimeout time.Duration) (*requestBody, error) {
	b := &requestBody{w: w, r: r, timer: timer, stallTimeout: stallTimeout}
	if r.ContentLength == 0 {
		return b, nil
	}
	if isStreamed(r) {
		b.streamed = true
		return b, http.NewResponseController(w).EnableFullDuplex()
	}
	b.buffered = make([]byte, r.ContentLength)
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(timer.timeout))
	if _, err := io.ReadFull(r.Body, b.buffered); err != nil {
		// net/http reads the remaining body before it sends the refusal. The deadline
		// stays set, so that the caller does not wait for it.
		return b, err
	}
	_ = controller.SetReadDeadline(time.Time{})
	return b, nil
}

// isStreamed reports whether the body of a request is streamed unless bufferSmall reads it.
func isStreamed(r *http.Request) bool {
	return r.ContentLength < 0 || r.ContentLength > maxBufferedRequestBody
}

// bufferSmall reads a streamed body of unknown length completely if it is small. It waits for the
// end of the body or for more than maxBufferedRequestBody bytes. A body that announces trailers,
// which are only known after it, stays streamed.
func (b *requestBody) bufferSmall() error {
	if !b.streamed || b.r.ContentLength >= 0 || len(b.r.Trailer) > 0 {
		return nil
	}
	controller := http.NewResponseController(b.w)
	_ = controller.SetReadDeadline(time.Now().Add(b.timer.timeout))
	read, err := io.ReadAll(io.LimitReader(b.r.Body, maxBufferedRequestBody+1))
	if err != nil {
		return err
	}
	_ = controller.SetReadDeadline(time.Time{})
	if len(read) > maxBufferedRequestBody {
		b.prefix = read
		return nil
	}
	b.buffered, b.streamed, b.r.ContentLength = read, false, int64(len(read))
	return nil
}

// Read implements io.Reader. Each part that arrives restarts the timer.
func (b *requestBody) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	b.readStarted.Store(true)
	n, err := b.readNext(p)
	if b.stallTimeout > 0 {
		b.timer.reset(b.stallTimeout)
	}
	b.reportPart(p[:n], err)
	if err != nil {
		b.finish()
	}
	if err == io.EOF {
		b.complete.Store(true)
	}
	return n, err
}

func (b *requestBody) reportPart(part []byte, err error) {
	b.callbacks.Lock()
	defer b.callbacks.Unlock()
	if b.dropped {
		return
	}
	if b.onRead != nil {
		b.onRead(len(part))
	}
	b.captureSmall(part, err)
}

// drop records that the request has ended and needs no more of the body. A pending Read goes on
// until discardRest: a read deadline would end it, but net/http takes that for a caller that
// disconnected, and cancels this request and later ones on the connection. The body counts as read,
// since a last Read may only be about to start.
func (b *requestBody) drop() {
	b.readStarted.Store(true)
	b.callbacks.Lock()
	b.dropped = true
	b.callbacks.Unlock()
	b.finish()
}

// captureSmall collects a small streamed body for onSmall.
func (b *requestBody) captureSmall(part []byte, err error) {
	switch {
	case b.onSmall == nil:
		return
	case len(b.seen)+len(part) > maxBufferedRequestBody:
		b.onSmall, b.seen = nil, nil
		return
	}
	b.seen = append(b.seen, part...)
	if err == io.EOF {
		b.onSmall(b.seen)
	}
}

func (b *requestBody) readNext(p []byte) (int, error) {
	if len(b.prefix) == 0 {
		return b.r.Body.Read(p)
	}
	n := copy(p, b.prefix)
	b.prefix = b.prefix[n:]
	return n, nil
}

// discardTimeout is how long the unread rest of a body is discarded: a connection reset would lose
// the response before the caller has read it.
const discardTimeout = 500 * time.Millisecond

// closeIfUnread sets "Connection: close" if a streamed body has not been read to its end.
// It must be called before the response header is written. net/http must not reuse such a
// connection: with full duplex it would read the rest concurrently with its background
// read for the next request, and panic.
func (b *requestBody) closeIfUnread(h http.Header) {
	if b.streamed && !b.complete.Load() {
		h.Set("Connection", "close")
	}
}

// discardRest ends the request after its response by discarding the rest of a streamed body for a
// short time. It waits for a pending Read.
func (b *requestBody) discardRest() {
	if !b.streamed || b.complete.Load() {
		return
	}
	b.drop()
	discardBody(b.w, b)
}

// abort ends the connection of a request whose response can't be completed. It does not return. The rest of
// a streamed body is not awaited: net/http reads it before it closes the connection, and the client may send
// it only once the response has ended.
func (b *requestBody) abort() {
	if b.streamed && !b.complete.Load() {
		b.drop()
		_ = http.NewResponseController(b.w).SetReadDeadline(time.Unix(1, 0))
		// A read that is still pending would clear the deadline when net/http ends it.
		_, _ = io.Copy(io.Discard, b)
	}
	panic(http.ErrAbortHandler)
}

// discardBody discards the rest of a body for at most discardTimeout, after the response was
// written.
func discardBody(w http.ResponseWriter, body io.Reader) {
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	_ = controller.SetReadDeadline(time.Now().Add(discardTimeout))
	if _, err := io.Copy(io.Discard, body); err == nil {
		_ = controller.SetReadDeadline(time.Time{})
	}
}

// contentLength returns the length for upstream framing, or -1 if unknown.
func (b *requestBody) contentLength() int64 {
	if b.r.ContentLength > 0 {
		return b.r.ContentLength
	}
	return -1
}
