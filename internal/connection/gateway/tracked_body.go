package gateway

import (
	"context"
	"io"
	"sync"
	"time"
)

// trackedBody is the response body of a backend server. Closing it ends the run.
type trackedBody struct {
	io.ReadCloser
	ctx context.Context
	run Run
	// slot is the slot that the request holds.
	slot     *heldSlot
	isolated bool
	// whole is how the run ended if the response is complete.
	whole   RunStatus
	readErr error
	once    sync.Once
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.readErr = err
	}
	if err == io.EOF {
		b.slot.ended(b.isolated, b.whole)
	}
	return n, err
}

// Close implements io.Closer.
func (b *trackedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() {
		status := b.status()
		crashed := b.run.End(status)
		b.slot.ended(b.isolated, status)
		if crashed {
			time.Sleep(crashReportDelay)
		}
	})
	return err
}

// Buffered implements bufferedReader.
func (b *trackedBody) Buffered() bool {
	inner, ok := b.ReadCloser.(bufferedReader)
	return ok && inner.Buffered()
}

func (b *trackedBody) status() RunStatus {
	switch {
	case b.readErr == io.EOF || b.readErr == nil && b.whole != Finished:
		return b.whole
	case b.readErr == nil || b.ctx.Err() != nil:
		return Cancelled
	}
	return Crashed
}
