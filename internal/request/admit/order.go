package admit

import "time"

// wait estimates how long t would wait for a slot behind those before it.
func (c *Core) wait(now time.Time, t *Ticket) time.Duration {
	ahead := 0
	for i := range c.queue {
		if !before(now, t, &c.queue[i]) {
			ahead++
		}
	}
	return c.limit.service * time.Duration(ahead) / time.Duration(max(c.Limit(now), 1))
}

func before(now time.Time, a, b *Ticket) bool {
	if ca, cb := a.class(now), b.class(now); ca != cb {
		return ca < cb
	}
	return a.Deadline.Before(b.Deadline)
}

// first and last return the ends of the queue, which must not be empty.
func (c *Core) first(now time.Time) int {
	best := 0
	for i := range c.queue {
		if before(now, &c.queue[i], &c.queue[best]) {
			best = i
		}
	}
	return best
}

func (c *Core) last(now time.Time) int {
	worst := 0
	for i := range c.queue {
		if !before(now, &c.queue[i], &c.queue[worst]) {
			worst = i
		}
	}
	return worst
}
