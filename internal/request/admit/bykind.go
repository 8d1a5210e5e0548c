package admit

import (
	"slices"
	"time"
)

// Times provides the expected time of each kind of ticket on the server at this moment.
type Times interface {
	// Time returns the time and whether it is known.
	Time(now time.Time, kind string) (time.Duration, bool)
}

// remainingDivisor is the inverse of the share of its expected time that a ticket still needs if it
// has taken longer.
const remainingDivisor = 8

// startedTicket is a ticket that holds a slot.
type startedTicket struct {
	kind string
	call bool
	at   time.Time
}

// SetTimes sets the source of expected times by kind; nil means that waits are derived from the
// smoothed time of all kinds.
func (c *Core) SetTimes(t Times) {
	if c.times = t; t == nil {
		c.started = nil
	}
}

// expectedTime returns the expected time of a kind of ticket.
func (c *Core) expectedTime(now time.Time, kind string) time.Duration {
	if c.times != nil {
		if d, known := c.times.Time(now, kind); known {
			return d
		}
	}
	return c.ServiceTime(kind)
}

// slotWaitByKind returns the time until t gets a slot, if the tickets that wait ahead of t take, in
// order of arrival, the slots of the running ones as soon as these are expected to end. For callers'
// requests only these count, on the slots that calls leave them, and the same way round for a call while
// more urgent callers' requests wait.
func (c *Core) slotWaitByKind(now time.Time, t *Ticket) time.Duration {
	apart := !t.Call || c.isOutranked(now, t)
	limit := c.slotsFor(now, t, apart)
	ends := make([]time.Duration, 0, max(limit, len(c.started)))
	for _, r := range c.started {
		if apart && r.call != t.Call {
			continue
		}
		expected := c.expectedTime(now, r.kind)
		ends = append(ends, max(expected-now.Sub(r.at), expected/remainingDivisor))
	}
	for len(ends) < limit {
		ends = append(ends, 0)
	}
	slices.Sort(ends)
	// More tickets than the limit run after it was lowered. The first ones to end free no slot.
	ends = ends[len(ends)-limit:]
	for i := range c.queue {
		w := &c.queue[i]
		if (!apart || w.Call == t.Call) && !c.runsBefore(now, t, w) {
			replaceFirst(ends, ends[0]+c.expectedTime(now, w.Kind))
		}
	}
	return ends[0]
}

// replaceFirst replaces the first of several sorted times and keeps them sorted.
func replaceFirst(sorted []time.Duration, d time.Duration) {
	i, _ := slices.BinarySearch(sorted[1:], d)
	copy(sorted, sorted[1:i+1])
	sorted[i] = d
}

func (c *Core) recordStart(now time.Time, t *Ticket) {
	if c.times != nil {
		c.started = append(c.started, startedTicket{t.Kind, t.Call, now})
	}
}

// recordEnd removes the ticket of the kind that has run longest: tickets of a kind are not told
// apart, except calls from callers' requests.
func (c *Core) recordEnd(kind string, call bool) {
	if len(c.started) <= c.running {
		return // the ticket started before SetTimes
	}
	i := max(0, slices.IndexFunc(c.started, func(s startedTicket) bool { return s.kind == kind && s.call == call }))
	c.started = slices.Delete(c.started, i, i+1)
}
