package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/daisygate/daisygate/internal/result"
)

const streamBufferSize = 32 << 10

var streamBuffers = sync.Pool{New: func() any { return new([streamBufferSize]byte) }}

// relay streams a backend server's response and reports whether it was complete. A
// truncated response must also appear truncated to the next reader, never as if it were
// complete: if relay returns false, its caller must call requestBody.abort. A large
// response that leaves over the link is sent as transfer allows; a nil transfer does not
// delay it.
func relay(ctx context.Context, w http.ResponseWriter, resp *http.Response, captured *bodyCapture, transfer *responseTransfer) bool {
	defer transfer.finish()
	defer func() { _ = resp.Body.Close() }()
	header := w.Header()
	copyHeader(header, resp.Header)
	result.SetHeaders(header, result.OK)
	for name := range resp.Trailer {
		header.Add("Trailer", name)
	}
	w.WriteHeader(resp.StatusCode)
	if err := stream(ctx, w, resp, captured, transfer); err != nil {
		return false
	}
	for name, values := range resp.Trailer {
		header[name] = values
	}
	return true
}

// bufferedReader is a response body that knows whether more of it has arrived.
type bufferedReader interface{ Buffered() bool }

// stream copies the body and flushes when no more of it has arrived, so that a slow
// response is passed on as it arrives. If captured is set, the copy continues after the
// caller has disconnected.
func stream(ctx context.Context, w http.ResponseWriter, resp *http.Response, captured *bodyCapture, transfer *responseTransfer) error {
	buffer := streamBuffers.Get().(*[streamBufferSize]byte)
	defer streamBuffers.Put(buffer)
	controller := http.NewResponseController(w)
	reader, _ := resp.Body.(bufferedReader)
	if resp.ContentLength != 0 && !hasMore(reader) {
		_ = controller.Flush()
	}
	for {
		n, err := resp.Body.Read(buffer[:])
		captured.add(buffer[:n])
		if werr := transfer.waitToSend(ctx, n); werr != nil {
			return werr
		}
		werr := transfer.sendPart(n, func() error { return write(w, controller, buffer[:n]) })
		if werr != nil && captured == nil {
			return werr
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if !hasMore(reader) {
			_ = controller.Flush()
		}
	}
}

func hasMore(b bufferedReader) bool { return b != nil && b.Buffered() }

// write sends p with a deadline where the write may block on a caller that does not read:
// a small part fits into the connection's buffers.
func write(w http.ResponseWriter, controller *http.ResponseController, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if len(p) == streamBufferSize {
		_ = controller.SetWriteDeadline(time.Now().Add(maxStall))
	}
	_, err := w.Write(p)
	return err
}
