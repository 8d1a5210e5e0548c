package telemetry

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// gatedWriter blocks all writes until gate is closed.
type gatedWriter struct {
	gate chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (w *gatedWriter) Write(p []byte) (int, error) {
	<-w.gate
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// TestStalledReaderBlocksNothing checks that logging more lines than the sink buffers does
// not block while the reader of the log stalls, and that the dropped lines are reported
// afterwards.
func TestStalledReaderBlocksNothing(t *testing.T) {
	c := qt.New(t)
	w := &gatedWriter{gate: make(chan struct{})}
	s := NewSink(w)
	for i := range 3 * sinkLines {
		_, err := fmt.Fprintf(s, "line %d\n", i)
		c.Assert(err, qt.IsNil)
	}
	close(w.gate)
	s.Close()
	text := w.text.String()
	c.Check(strings.Contains(text, "line 0\n"), qt.IsTrue)
	c.Check(text, qt.Contains, "log lines dropped")
	kept := strings.Count(text, "line ")
	c.Check(kept >= sinkLines && kept <= sinkLines+1, qt.IsTrue, qt.Commentf("%d", kept))
}
