package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// sinkLines is the number of lines buffered while the reader of the log stalls;
	// further lines are dropped and counted.
	sinkLines = 4096
	// sinkFlushTimeout bounds the time that Close waits for the buffered lines to be
	// written.
	sinkFlushTimeout = time.Second
)

// Sink writes log lines in the background, so that a slow reader of the log never blocks
// the code that logs. It implements zapcore.WriteSyncer.
type Sink struct {
	lines   chan []byte
	done    chan struct{}
	close   sync.Once
	dropped atomic.Uint64
}

// NewSink returns a Sink that writes to out until Close is called.
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
		// This log is the only place where the failure could be reported.
		_, _ = out.Write(line)
	}
}

// Write implements io.Writer. It never blocks and never returns an error.
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

// Close writes the buffered lines, for at most sinkFlushTimeout. Write must not be called
// after Close.
func (s *Sink) Close() {
	s.close.Do(func() { close(s.lines) })
	select {
	case <-s.done:
	case <-time.After(sinkFlushTimeout):
	}
}
