package admit

// Queued is the number of waiting tickets.
func (c *Core) Queued() int { return len(c.queue) }

// Slots is the most tickets that run at a time.
func (c *Core) Slots() int { return c.cfg.Slots }
