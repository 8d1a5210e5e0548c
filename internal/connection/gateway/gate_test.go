package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/request/admit"
	"github.com/daisygate/daisygate/internal/result"
)

// TestEndedWhileWaiting holds that a request which waits for a slot when its
// deadline passes is told that it was not run, whichever of the two clocks that
// measure the deadline goes off first.
func TestEndedWhileWaiting(t *testing.T) {
	c := qt.New(t)
	g := newGate(admit.Config{Slots: 1, QueueMax: 8})
	later := time.Now().Add(time.Hour)
	c.Assert(g.Enter(context.Background(), admit.Ticket{Deadline: later}), qt.IsNil)
	expired, _, cancel := newWindow(context.Background(), 0)
	defer cancel()
	<-expired.Done()
	c.Assert(g.Enter(expired, admit.Ticket{Deadline: later}).Code, qt.Equals, result.DeadlineTooShort)
	left, leave := context.WithCancel(context.Background())
	leave()
	c.Assert(g.Enter(left, admit.Ticket{Deadline: later}).Code, qt.Equals, result.CallerLeft)
	c.Assert(g.Running(), qt.Equals, 1)
}
