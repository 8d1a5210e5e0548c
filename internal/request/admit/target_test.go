package admit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/result"
)

// newFullCore returns a Core with all slots in use and a measured service time of each kind.
func newFullCore(slots int, kinds map[string]time.Duration) (*Core, time.Time) {
	now := time.Unix(1000, 0)
	core := New(Config{Slots: slots, QueueMax: 100, Fixed: true})
	for kind, took := range kinds {
		core.Arrive(now, Ticket{Kind: kind, Deadline: now.Add(time.Hour)})
		core.Finish(now, kind, took)
	}
	for i := range slots {
		core.Arrive(now, Ticket{ID: uint64(i + 1), Deadline: now.Add(time.Hour)})
	}
	return core, now
}

// TestLateTicketsAreRefusedAtOnce checks that a full server queues only tickets that
// are expected to finish well within their target, and that others get a RetryAfter.
func TestLateTicketsAreRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	core, now := newFullCore(2, map[string]time.Duration{"": 100 * time.Millisecond})
	ticket := func(id uint64) Ticket {
		return Ticket{ID: id, Deadline: now.Add(time.Second), Useful: now.Add(300 * time.Millisecond)}
	}
	core.limit.serviceTime = 100 * time.Millisecond
	var waiting int
	for id := uint64(10); id < 20; id++ {
		decisions := core.Arrive(now, ticket(id))
		if len(decisions) == 0 {
			waiting++
			continue
		}
		c.Check(decisions, qt.HasLen, 1)
		c.Check(decisions[0].Code, qt.Equals, result.Overloaded)
		c.Check(decisions[0].RetryAfter >= minLateRetryAfter, qt.IsTrue)
	}
	// Half of 300 ms, less 100 ms of service time, leaves 50 ms to wait: the time of one ticket ahead.
	c.Check(waiting, qt.Equals, 2)
	// Without a target only the deadline counts.
	c.Check(core.Arrive(now, Ticket{ID: 30, Deadline: now.Add(time.Second)}), qt.HasLen, 0)
}

// TestShortKindsMayWait checks that each kind is judged by its own service time and
// not by the mean of all.
func TestShortKindsMayWait(t *testing.T) {
	c := qt.New(t)
	core, now := newFullCore(1, map[string]time.Duration{"short": 10 * time.Millisecond, "long": 200 * time.Millisecond})
	core.limit.serviceTime = 100 * time.Millisecond
	useful := now.Add(100 * time.Millisecond)
	c.Check(core.Arrive(now, Ticket{ID: 40, Kind: "short", Deadline: now.Add(time.Second), Useful: useful}), qt.HasLen, 0)
	c.Check(core.Arrive(now, Ticket{ID: 41, Kind: "long", Deadline: now.Add(time.Second), Useful: useful}), qt.HasLen, 1)
	c.Check(core.Arrive(now, Ticket{ID: 42, Kind: "new", Deadline: now.Add(time.Second), Useful: useful}), qt.HasLen, 1)
}
