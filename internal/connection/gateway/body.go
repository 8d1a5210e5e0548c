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
	// smallBody is the largest body that is read whole before the request is
	// sent on: it can be sent again, and needs no "100 Continue" on the way.
	smallBody = 16 << 10
	// stallMax bounds a pause within a body, either way.
	stallMax = 5 * time.Minute
)

// errDeadline is the cause of a context that a window ended.
var errDeadline = errors.New("the deadline passed")

// deadlinePassed tells the end of a window from a caller that left.
func deadlinePassed(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errDeadline)
}

// window ends a request's context when nothing happened for its length. It
// begins at the request's arrival and again with each part of a streamed body,
// so that a transfer in progress is never cut; it stops at the answer's header.
type window struct {
	length  time.Duration
	timer   *time.Timer
	stopped atomic.Bool
}

// newWindow returns a context that the window ends with errDeadline.
func newWindow(parent context.Context, length time.Duration) (context.Context, *window, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	w := &window{length: length}
	w.timer = time.AfterFunc(length, func() { cancel(errDeadline) })
	return ctx, w, func() { w.stop(); cancel(context.Canceled) }
}

func (w *window) stop() {
	w.stopped.Store(true)
	w.timer.Stop()
}

// extend begins the window anew, unless it was stopped.
func (w *window) extend(length time.Duration) {
	if w.stopped.Load() {
		return
	}
	w.timer.Reset(length)
	if w.stopped.Load() {
		w.timer.Stop()
	}
}

// requestBody is the body of a request on its way through this daemon.
type requestBody struct {
	w http.ResponseWriter
	r *http.Request
	// small holds a body that was read whole.
	small []byte
	// stream is set for a larger body, begun once some of it was read, and
	// whole once its end was.
	stream bool
	begun  atomic.Bool
	whole  atomic.Bool
	window *window
	// stall is the window's length after a part of the body came; 0 leaves the
	// window as it is.
	stall time.Duration
	// came and left, if set, are told of the parts of a streamed body, and once of
	// its end.
	came func(bytes int)
	left func()
}

// counts has the parts of the body told to came, and its end to left.
func (b *requestBody) counts(came func(bytes int), left func()) {
	b.came, b.left = came, sync.OnceFunc(left)
}

// leave tells that no more of the body comes.
func (b *requestBody) leave() {
	if b.left != nil {
		b.left()
	}
}

// newRequestBody reads a small body, or readies a larger one for streaming.
func newRequestBody(w http.ResponseWriter, r *http.Request, win *window, stall time.Duration) (*requestBody, error) {
	b := &requestBody{w: w, r: r, window: win, stall: stall}
	if r.ContentLength == 0 {
		return b, nil
	}
	if r.ContentLength < 0 || r.ContentLength > smallBody {
		b.stream = true
		return b, http.NewResponseController(w).EnableFullDuplex()
	}
	b.small = make([]byte, r.ContentLength)
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(win.length))
	if _, err := io.ReadFull(r.Body, b.small); err != nil {
		// net/http reads on for the rest before it sends the refusal: the
		// deadline stays, so that the caller need not wait for it.
		return b, err
	}
	_ = controller.SetReadDeadline(time.Time{})
	return b, nil
}

// Read implements io.Reader. Each part that comes begins the window anew.
func (b *requestBody) Read(p []byte) (int, error) {
	b.begun.Store(true)
	n, err := b.r.Body.Read(p)
	if b.stall > 0 {
		b.window.extend(b.stall)
	}
	if b.came != nil {
		b.came(n)
	}
	if err != nil {
		b.leave()
	}
	if err == io.EOF {
		b.whole.Store(true)
	}
	return n, err
}

const (
	// abortGrace lets a Read end by itself that has bytes to read.
	abortGrace = 20 * time.Millisecond
	// lingerClose is how long the rest of a body is read away that nobody
	// wanted: a reset would take the answer from its caller.
	lingerClose = 500 * time.Millisecond
)

// abort ends a pending Read.
func (b *requestBody) abort() {
	_ = http.NewResponseController(b.w).SetReadDeadline(time.Now().Add(abortGrace))
}

// announce is called before the answer's header is written. net/http must not
// use the connection again while a streamed body is not read to its end: with
// full duplex it would read the rest beside its own watch for the next request,
// and panic.
func (b *requestBody) announce(h http.Header) {
	if b.stream && !b.whole.Load() {
		h.Set("Connection", "close")
	}
}

// settle ends the request after its answer: what is left of a begun body is
// read away for a short while.
func (b *requestBody) settle() {
	if !b.begun.Load() || b.whole.Load() {
		return
	}
	controller := http.NewResponseController(b.w)
	_ = controller.Flush()
	_ = controller.SetReadDeadline(time.Now().Add(lingerClose))
	_, _ = io.Copy(io.Discard, b.r.Body)
}

// length is the framing for the way on.
func (b *requestBody) length() int64 {
	if b.r.ContentLength > 0 {
		return b.r.ContentLength
	}
	return -1
}
