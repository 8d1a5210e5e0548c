package admit

import (
	"cmp"
	"time"
)

// expectedWait estimates how long t would wait behind the tickets that run before it: for a
// slot, and for the rate limit.
func (c *Core) expectedWait(now time.Time, t *Ticket) (slot, rate time.Duration) {
	ahead, needed := 0, time.Duration(0)
	for i := range c.queue {
		if !c.runsBefore(now, t, &c.queue[i]) {
			ahead++
			needed += c.slotTime(&c.queue[i])
		}
	}
	limit := time.Duration(max(c.Limit(now), 1))
	switch {
	case c.times != nil:
		slot = max(c.slotWaitByKind(now, t), c.cautiousTime(now, t, 0)*time.Duration(ahead)/limit)
	case !t.Call && c.calls.slots(now) >= negligibleSlots:
		slot = c.waitBehindCalls(now, t.Priority, needed)
	default:
		slot = c.cautiousTime(now, t, c.limit.serviceTime) * time.Duration(ahead) / limit
	}
	return slot, c.rate.Wait(now, ahead+1)
}

// runsBefore reports whether a runs before b if both wait.
func (c *Core) runsBefore(now time.Time, a, b *Ticket) bool { return c.compareOrder(now, a, b) < 0 }

// compareOrder returns a negative number if a runs before b if both wait. By the latest useful start,
// later tickets of a kind don't overtake those whose answers were expected in time when they were
// queued; by deadline they would under overload, until all are late.
func (c *Core) compareOrder(now time.Time, a, b *Ticket) int {
	return cmp.Or(c.compareRank(now, a, b), c.due(now, a).Compare(c.due(now, b)), a.Deadline.Compare(b.Deadline))
}

// due returns the latest start with which the answer comes within the useful time of a ticket; without
// one its deadline. A ticket with Alone is due in half of its time, because the server has to become
// idle first.
func (c *Core) due(now time.Time, t *Ticket) time.Time {
	switch {
	case t.Alone:
		return t.arrived.Add(t.Deadline.Sub(t.arrived) / 2)
	case t.Useful.IsZero() || t.Deadline.Before(t.Useful):
		return t.Deadline
	}
	return t.Useful.Add(-c.expectedTime(now, t.Kind))
}

// compareRank returns a negative number if a ranks before b, and 0 if only their times decide.
func (c *Core) compareRank(now time.Time, a, b *Ticket) int {
	return cmp.Or(
		cmp.Compare(a.effectivePriority(now), b.effectivePriority(now)),
		compareCall(a, b),
		cmp.Compare(c.usages.scaled[a.Organisation], c.usages.scaled[b.Organisation]),
	)
}

// bestIndex returns the index of the waiting ticket that runs first of those for which eligible is
// true, or -1.
func (c *Core) bestIndex(now time.Time, eligible func(*Ticket) bool) int {
	best := -1
	for i := range c.queue {
		t := &c.queue[i]
		if eligible(t) && (best < 0 || c.runsBefore(now, t, &c.queue[best])) {
			best = i
		}
	}
	return best
}

// firstIndex and lastIndex return the ends of the queue, which must not be empty.
func (c *Core) firstIndex(now time.Time) int {
	return c.bestIndex(now, func(*Ticket) bool { return true })
}

func (c *Core) lastIndex(now time.Time) int {
	worst := 0
	for i := range c.queue {
		if !c.runsBefore(now, &c.queue[i], &c.queue[worst]) {
			worst = i
		}
	}
	return worst
}
