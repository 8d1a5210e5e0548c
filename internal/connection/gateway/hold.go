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

// holdGuess is the first buffer for an answer whose length is not told.
const holdGuess = 4 << 10

// holdTotal is the most bytes of answers that a daemon holds at a time: a sixth of
// the memory of a small instance. Beyond it answers stream.
const holdTotal = 32 << 20

// holder bounds the answers that are held.
type holder struct {
	// most is the largest answer that is held, in bytes; 0 holds none.
	most int64
	// total is the bytes held now.
	total atomic.Int64
}

// hold reads an answer of at most that many bytes whole before any of it is
// passed on: one that is cut is found in time to ask another backend server, or
// to answer with a failure instead of a part. Larger answers stream. An error
// means that it was cut; the body is closed then. Afterwards the slot and the
// connection of a held answer are free.
func (h *holder) hold(resp *http.Response) error {
	if h.most <= 0 || resp.ContentLength > h.most || h.total.Load() > holdTotal {
		return nil
	}
	most, size := h.most, resp.ContentLength
	if size < 0 {
		size = holdGuess
	}
	buffer := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	_, err := buffer.ReadFrom(io.LimitReader(resp.Body, most+1))
	switch {
	case err != nil:
		_ = resp.Body.Close()
		return errors.Wrap(err, "read answer")
	case int64(buffer.Len()) > most:
		resp.Body = &prefixed{Reader: io.MultiReader(buffer, resp.Body), Closer: resp.Body}
		return nil
	}
	if err := resp.Body.Close(); err != nil {
		return errors.Wrap(err, "close answer")
	}
	if resp.ContentLength < 0 && bodyAllowed(resp) {
		resp.ContentLength = int64(buffer.Len())
		resp.Header.Set("Content-Length", strconv.Itoa(buffer.Len()))
	}
	resp.Body = newHeld(h, buffer)
	return nil
}

// bodyAllowed reports whether an answer's length may be told by its body.
func bodyAllowed(resp *http.Response) bool {
	head := resp.Request != nil && resp.Request.Method == http.MethodHead
	return !head && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
}

// held is the body of an answer that was read whole.
type held struct {
	*bytes.Buffer
	free func()
}

func newHeld(h *holder, buffer *bytes.Buffer) *held {
	size := int64(buffer.Cap())
	h.total.Add(size)
	return &held{Buffer: buffer, free: sync.OnceFunc(func() { h.total.Add(-size) })}
}

// Close implements io.Closer.
func (h *held) Close() error {
	h.free()
	return nil
}

// Buffered implements buffered.
func (h *held) Buffered() bool { return h.Len() > 0 }

// prefixed is a body of which a part was read.
type prefixed struct {
	io.Reader
	io.Closer
}
