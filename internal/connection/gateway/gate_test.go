package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/request/admit"
	"github.com/daisygate/daisygate/internal/request/ratelimit"
	"github.com/daisygate/daisygate/internal/result"
)

// TestEndedWhileWaiting checks that a request which waits for a slot when its deadline
// passes is reported as not run, regardless of which of the two timers for the deadline
// fires first.
func TestEndedWhileWaiting(t *testing.T) {
	c := qt.New(t)
	g := newGate(admit.Config{Slots: 1, QueueMax: 8})
	later := time.Now().Add(time.Hour)
	c.Assert(acquire(context.Background(), g, admit.Ticket{Deadline: later}), qt.IsNil)
	expired, _, cancel := withInactivityTimeout(context.Background(), 0)
	defer cancel()
	<-expired.Done()
	c.Assert(acquire(expired, g, admit.Ticket{Deadline: later}).Code, qt.Equals, result.DeadlineTooShort)
	disconnected, disconnect := context.WithCancel(context.Background())
	disconnect()
	c.Assert(acquire(disconnected, g, admit.Ticket{Deadline: later}).Code, qt.Equals, result.CallerLeft)
	c.Assert(g.Running(), qt.Equals, 1)
}

// TestWaitingForTheRateLimit checks that requests which wait for the rate limit start at its
// rate without another event, although all slots are free.
func TestWaitingForTheRateLimit(t *testing.T) {
	const perSecond, requests = 50, 10
	c := qt.New(t)
	g := newGate(admit.Config{Slots: 2 * requests, QueueMax: 2 * requests})
	begin := time.Now()
	g.ObserveRateLimit(begin, ratelimit.Statement{Kind: ratelimit.Limited, PerSecond: perSecond})
	var waiting sync.WaitGroup
	for range requests {
		waiting.Go(func() {
			c.Check(acquire(context.Background(), g, admit.Ticket{Deadline: begin.Add(time.Minute)}), qt.IsNil)
		})
	}
	waiting.Wait()
	c.Assert(g.Running(), qt.Equals, requests)
	c.Assert(time.Since(begin) >= requests*time.Second/perSecond, qt.IsTrue, qt.Commentf("%s", time.Since(begin)))
}

// acquire returns the refusal of a ticket, or nil once it has a slot.
func acquire(ctx context.Context, g *gate, t admit.Ticket) *refusal {
	_, refused := g.Acquire(ctx, t)
	return refused
}
