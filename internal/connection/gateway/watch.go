package gateway

import (
	"context"
	"io"
	"sync"
)

// watchedBody is the body of an answer of a backend server; its end ends the
// run.
type watchedBody struct {
	io.ReadCloser
	ctx  context.Context
	run  Run
	end  error
	once sync.Once
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end = err
	}
	return n, err
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { _ = b.run.End(b.fate()) })
	return err
}

// Buffered implements buffered.
func (b *watchedBody) Buffered() bool {
	inner, ok := b.ReadCloser.(buffered)
	return ok && inner.Buffered()
}

func (b *watchedBody) fate() Fate {
	switch {
	case b.end == io.EOF:
		return Finished
	case b.end == nil || b.ctx.Err() != nil:
		return Cancelled
	}
	return Crashed
}
