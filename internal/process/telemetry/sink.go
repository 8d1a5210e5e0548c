package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// sinkLines is how many lines wait for a reader of the log that stalls; more
	// are dropped and counted.
	sinkLines = 4096
	// sinkFlush bounds the wait for the last lines at the end.
	sinkFlush = time.Second
)

// Sink writes lines in the background, so that whoever logs never waits for
// whoever reads the log. It implements zapcore.WriteSyncer.
type Sink struct {
	lines   chan []byte
	done    chan struct{}
	close   sync.Once
	dropped atomic.Uint64
}

// NewSink returns a Sink on out. Close ends it.
func NewSink(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, sinkLines), done: make(chan struct{})}
	go s.run(out)
	return s
}

func (s *Sink) run(out io.Writer) {
	defer close(s.done)
	for line := range s.lines {
		if n := s.dropped.Swap(0); n > 0 {
			line = append(line, fmt.Sprintf("{\"level\":\"warn\",\"msg\":\"log lines dropped: the reader is too slow\",\"lines\":%d}\n", n)...)
		}
		// There is nobody to tell of a failure but by this log.
		_, _ = out.Write(line)
	}
}

// Write implements io.Writer. It never blocks and never fails.
func (s *Sink) Write(p []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), p...):
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer.
func (s *Sink) Sync() error { return nil }

// Close writes what waits, for a short while. Nothing may be written after.
func (s *Sink) Close() {
	s.close.Do(func() { close(s.lines) })
	select {
	case <-s.done:
	case <-time.After(sinkFlush):
	}
}
