package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
)

// trackedBody notes whether a request's body was begun: from then on it cannot
// be sent again.
type trackedBody struct {
	io.ReadCloser
	read atomic.Bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.ReadCloser.Read(p)
}

// Close leaves the caller's body open for a further attempt.
func (b *trackedBody) Close() error { return nil }

func (b *trackedBody) begun() bool { return b.read.Load() }

// slotBody gives the slot back when the answer's body is closed, and tells how
// the run ended.
type slotBody struct {
	io.ReadCloser
	ctx   context.Context
	end   error
	leave func(Fate)
	once  sync.Once
}

// Read implements io.Reader.
func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end = err
	}
	return n, err
}

// Close implements io.Closer.
func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.leave(b.fate()) })
	return err
}

func (b *slotBody) fate() Fate {
	switch {
	case b.end == io.EOF:
		return Finished
	case b.end == nil || b.ctx.Err() != nil:
		return Cancelled
	}
	return Crashed
}

const streamBuffer = 32 << 10

var buffers = sync.Pool{New: func() any { return new([streamBuffer]byte) }}

// stream copies src to w and flushes after each read, so that a slow answer is
// passed on as it comes. With kept, a caller that left does not end it.
func stream(w http.ResponseWriter, src io.Reader, kept *capture) error {
	buffer := buffers.Get().(*[streamBuffer]byte)
	defer buffers.Put(buffer)
	controller := http.NewResponseController(w)
	for {
		n, err := src.Read(buffer[:])
		if n > 0 {
			kept.add(buffer[:n])
			if _, werr := w.Write(buffer[:n]); werr != nil && kept == nil {
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		_ = controller.Flush()
	}
}

// loads holds the newest load each server's daemon told with an answer.
type loads struct {
	mu     sync.RWMutex
	values map[string]float64
}

func newLoads() *loads { return &loads{values: map[string]float64{}} }

// Of implements balance.Load; an unknown server counts as idle.
func (l *loads) Of(server string) float64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.values[server]
}

func (l *loads) note(server, text string) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.values[server] = value
}
