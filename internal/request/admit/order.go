package admit

import "time"

// expectedWait estimates how long t would wait for a slot behind the tickets that
// run before it.
func (c *Core) expectedWait(now time.Time, t *Ticket) time.Duration {
	ahead := 0
	for i := range c.queue {
		if !runsBefore(now, t, &c.queue[i]) {
			ahead++
		}
	}
	return c.limit.serviceTime * time.Duration(ahead) / time.Duration(max(c.Limit(now), 1))
}

func runsBefore(now time.Time, a, b *Ticket) bool {
	if pa, pb := a.effectivePriority(now), b.effectivePriority(now); pa != pb {
		return pa < pb
	}
	return a.Deadline.Before(b.Deadline)
}

// firstIndex and lastIndex return the ends of the queue, which must not be empty.
func (c *Core) firstIndex(now time.Time) int {
	best := 0
	for i := range c.queue {
		if runsBefore(now, &c.queue[i], &c.queue[best]) {
			best = i
		}
	}
	return best
}

func (c *Core) lastIndex(now time.Time) int {
	worst := 0
	for i := range c.queue {
		if !runsBefore(now, &c.queue[i], &c.queue[worst]) {
			worst = i
		}
	}
	return worst
}
