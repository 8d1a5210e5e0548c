package admit

import "time"

// Queued is the number of waiting tickets.
func (c *Core) Queued() int { return len(c.queue) }

// Service is the smoothed time from the start of a request to its answer; 0
// while none was measured.
func (c *Core) Service() time.Duration { return c.limit.service }

// Idle is how long ago the last request ended.
func (c *Core) Idle(now time.Time) time.Duration { return now.Sub(c.moved) }

// Slots is the most tickets that run at a time.
func (c *Core) Slots() int { return c.cfg.Slots }
