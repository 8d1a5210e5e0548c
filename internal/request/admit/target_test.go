package admit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/result"
)

// full returns a gate whose slots are taken, with a measured time of each kind.
func full(slots int, kinds map[string]time.Duration) (*Core, time.Time) {
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

// TestLateTicketsAreRefusedAtOnce holds that a full server lets wait only what is
// expected well within its target, and tells the others when to come back.
func TestLateTicketsAreRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	core, now := full(2, map[string]time.Duration{"": 100 * time.Millisecond})
	ticket := func(id uint64) Ticket {
		return Ticket{ID: id, Deadline: now.Add(time.Second), Useful: now.Add(300 * time.Millisecond)}
	}
	core.limit.service = 100 * time.Millisecond
	var waiting int
	for id := uint64(10); id < 20; id++ {
		decisions := core.Arrive(now, ticket(id))
		if len(decisions) == 0 {
			waiting++
			continue
		}
		c.Check(decisions, qt.HasLen, 1)
		c.Check(decisions[0].Code, qt.Equals, result.Overloaded)
		c.Check(decisions[0].RetryAfter >= comeBackLeast, qt.IsTrue)
	}
	// half of 300 ms less 100 ms leaves 50 ms to wait: one ahead takes 50 ms.
	c.Check(waiting, qt.Equals, 2)
	// Without a target the deadline alone counts.
	c.Check(core.Arrive(now, Ticket{ID: 30, Deadline: now.Add(time.Second)}), qt.HasLen, 0)
}

// TestShortKindsMayWait holds that each kind is judged by its own time and not by
// the mean of all.
func TestShortKindsMayWait(t *testing.T) {
	c := qt.New(t)
	core, now := full(1, map[string]time.Duration{"short": 10 * time.Millisecond, "long": 200 * time.Millisecond})
	core.limit.service = 100 * time.Millisecond
	useful := now.Add(100 * time.Millisecond)
	c.Check(core.Arrive(now, Ticket{ID: 40, Kind: "short", Deadline: now.Add(time.Second), Useful: useful}), qt.HasLen, 0)
	c.Check(core.Arrive(now, Ticket{ID: 41, Kind: "long", Deadline: now.Add(time.Second), Useful: useful}), qt.HasLen, 1)
	c.Check(core.Arrive(now, Ticket{ID: 42, Kind: "new", Deadline: now.Add(time.Second), Useful: useful}), qt.HasLen, 1)
}
