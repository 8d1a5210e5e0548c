package admit

import (
	"slices"
	"time"
)

// Queued returns the number of waiting tickets.
func (c *Core) Queued() int { return len(c.queue) }

// AnyWaiting reports whether a callers' request that is at most as urgent as priority, and of a kind for
// which match is true, waits.
func (c *Core) AnyWaiting(priority int, match func(kind string) bool) bool {
	return slices.ContainsFunc(c.queue, func(t Ticket) bool { return !t.Call && t.Priority >= priority && match(t.Kind) })
}

// LateStarts returns the number of callers' requests that started after their useful time.
func (c *Core) LateStarts() uint64 { return c.lateStarts }

// Service returns the smoothed time from the start of a request to its answer, or
// 0 if none was measured.
func (c *Core) Service() time.Duration { return c.limit.serviceTime }

// Idle returns the time since a slot was last released, or taken on an idle server.
func (c *Core) Idle(now time.Time) time.Duration { return now.Sub(c.lastSlotChange) }

// Slots returns the maximum number of tickets running at a time.
func (c *Core) Slots() int { return c.cfg.Slots }
