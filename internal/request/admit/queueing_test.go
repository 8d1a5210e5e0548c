package admit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestQueueing checks what a ticket learns about its wait.
func TestQueueing(t *testing.T) {
	c := qt.New(t)
	core := New(Config{Slots: 1, QueueMax: 8, Fixed: true})
	now := time.Unix(1000, 0)
	core.Arrive(now, Ticket{ID: 1, Deadline: now.Add(time.Minute)})
	now = now.Add(100 * time.Millisecond)
	core.Finish(now, "", 100*time.Millisecond)
	core.Arrive(now, Ticket{ID: 2, Deadline: now.Add(time.Minute)})
	core.Arrive(now, Ticket{ID: 3, Priority: 1, Deadline: now.Add(2 * time.Minute), Useful: now.Add(450 * time.Millisecond)})
	core.Arrive(now, Ticket{ID: 4, Priority: 1, Deadline: now.Add(3 * time.Minute), Useful: now.Add(450 * time.Millisecond)})
	now = now.Add(time.Millisecond)
	core.Arrive(now, Ticket{ID: 5, Deadline: now.Add(time.Minute)})
	var started []Decision
	for range 4 {
		now = now.Add(150 * time.Millisecond)
		started = append(started, core.Finish(now, "", 0)...)
	}
	c.Check(started, qt.DeepEquals, []Decision{
		{ID: 5, Verdict: Start, Queueing: Queueing{}},
		{ID: 3, Verdict: Start, Queueing: Queueing{Overtaken: 1}},
		{ID: 4, Verdict: Start, Queueing: Queueing{Expected: 100 * time.Millisecond, Overtaken: 1}},
	})
	c.Check(core.LateStarts(), qt.Equals, uint64(1))
}
