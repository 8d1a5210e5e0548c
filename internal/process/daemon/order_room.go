package daemon

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"github.com/daisygate/daisygate/internal/result"
)

const (
	// freeOrderBytes is the size of an order that needs none of the memory for orders.
	freeOrderBytes = 64 << 10
	// orderAmplification is how much memory an order may take up while it is decoded, relative to
	// its size: a list of empty objects has three bytes for each.
	orderAmplification = 16
	// orderEvictionWait is how long a client that was disconnected has to give its memory back.
	orderEvictionWait = 5 * time.Millisecond
	// orderRetryAfter is the Retry-After value of a refused order.
	orderRetryAfter = time.Second
)

// orderRoom bounds the memory of the orders of a platform's operators that are received and decoded
// at a time.
type orderRoom struct {
	total int64
	free  *semaphore.Weighted
	// evict disconnects the client that is slowest to send an order, and reports whether there is a
	// slow one.
	evict func() bool
}

func newOrderRoom(total int64, evict func() bool) *orderRoom {
	return &orderRoom{total: total, free: semaphore.NewWeighted(total), evict: evict}
}

// limitOrders bounds the memory of the orders that a handler receives.
func (d *Daemon) limitOrders(next http.Handler) http.Handler {
	evict := func() bool { return false }
	if l := d.limits["control"]; l != nil {
		evict = l.EvictSlowSender
	}
	return newOrderRoom(d.settings.Limits.OrderMemory(), evict).wrap(next)
}

// wrap wraps the handler of orders.
func (o *orderRoom) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		release, refused := o.enter(r)
		if refused != nil {
			w.Header().Set("Connection", "close")
			result.WriteHTTPRetry(w, refused, orderRetryAfter)
			return
		}
		defer release()
		next.ServeHTTP(w, r)
	})
}

// enter reserves the memory of an order. It reads the beginning of one of unknown length.
func (o *orderRoom) enter(r *http.Request) (release func(), refused *result.Error) {
	size := r.ContentLength
	if size < 0 {
		var err error
		if size, err = peekSize(r, o.total/orderAmplification); err != nil {
			return nil, result.Errorf(result.BadRequest, "request body could not be read completely: %v", err)
		}
	}
	if size <= freeOrderBytes {
		return func() {}, nil
	}
	need := size * orderAmplification
	if size > o.total/orderAmplification {
		return nil, result.Errorf(result.InputTooLarge, "want at most %d bytes", o.total/orderAmplification)
	}
	for !o.free.TryAcquire(need) {
		if !o.evict() {
			return nil, result.Errorf(result.TooManyRequests, "the memory for orders is in use")
		}
		time.Sleep(orderEvictionWait)
	}
	return func() { o.free.Release(need) }, nil
}

// peekSize returns the size of a body of unknown length if it is at most freeOrderBytes, else most,
// which then limits the body.
func peekSize(r *http.Request, most int64) (int64, error) {
	start := make([]byte, freeOrderBytes+1)
	n, err := io.ReadFull(r.Body, start)
	rest := io.MultiReader(bytes.NewReader(start[:n]), r.Body)
	r.Body = struct {
		io.Reader
		io.Closer
	}{io.LimitReader(rest, most), r.Body}
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return int64(n), nil
	case err != nil:
		return 0, err
	}
	return most, nil
}
