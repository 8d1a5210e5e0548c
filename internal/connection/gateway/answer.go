package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/daisygate/daisygate/internal/result"
)

const streamBuffer = 32 << 10

var buffers = sync.Pool{New: func() any { return new([streamBuffer]byte) }}

// relay streams a backend server's answer and reports whether it was whole. One
// that is cut on the way must be cut for the next reader too, never ended as if
// it were whole: with false, the caller must abort the connection. A large one that
// leaves over the link goes as departs allows; nil lets it go at once.
func relay(ctx context.Context, w http.ResponseWriter, resp *http.Response, kept *capture, departs *departure) bool {
	defer departs.end()
	defer func() { _ = resp.Body.Close() }()
	header := w.Header()
	copyHeader(header, resp.Header)
	result.SetHeaders(header, result.OK)
	for name := range resp.Trailer {
		header.Add("Trailer", name)
	}
	w.WriteHeader(resp.StatusCode)
	if err := stream(ctx, w, resp, kept, departs); err != nil {
		return false
	}
	for name, values := range resp.Trailer {
		header[name] = values
	}
	return true
}

// buffered is an answer's body that knows whether more of it has arrived.
type buffered interface{ Buffered() bool }

// stream copies the body and flushes when no more of it has arrived, so that a
// slow answer is passed on as it comes. With kept, a caller that left does not
// end it.
func stream(ctx context.Context, w http.ResponseWriter, resp *http.Response, kept *capture, departs *departure) error {
	buffer := buffers.Get().(*[streamBuffer]byte)
	defer buffers.Put(buffer)
	controller := http.NewResponseController(w)
	arrived, _ := resp.Body.(buffered)
	if resp.ContentLength != 0 && !hasMore(arrived) {
		_ = controller.Flush()
	}
	for {
		n, err := resp.Body.Read(buffer[:])
		kept.add(buffer[:n])
		if werr := departs.wait(ctx, n); werr != nil {
			return werr
		}
		werr := departs.send(n, func() error { return write(w, controller, buffer[:n]) })
		if werr != nil && kept == nil {
			return werr
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if !hasMore(arrived) {
			_ = controller.Flush()
		}
	}
}

func hasMore(b buffered) bool { return b != nil && b.Buffered() }

// write bounds the wait for a caller that takes nothing, where it may have to
// wait: a small answer fits into the connection's buffers.
func write(w http.ResponseWriter, controller *http.ResponseController, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if len(p) == streamBuffer {
		_ = controller.SetWriteDeadline(time.Now().Add(stallMax))
	}
	_, err := w.Write(p)
	return err
}
