package admit

import (
	"math"
	"slices"
	"time"

	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

const (
	// callDecay is the time in which the arrivals of calls lose two thirds of their weight.
	callDecay = 2 * time.Second
	// maxRoomShare is the largest share of the slots that is kept free for calls.
	maxRoomShare = 0.5
	// floorDivisor is the inverse of the share of the slots that calls leave to callers' requests
	// while both wait.
	floorDivisor = 4
	// callsFloorDivisor is the inverse of the share of the slots that more urgent callers' requests leave
	// to calls while both wait.
	callsFloorDivisor = 3
	// maxCallsInRow is how many calls start in a row on a single slot while callers' requests wait.
	maxCallsInRow = floorDivisor - 1
	// negligibleSlots is the number of slots that calls use below which the wait of callers' requests is
	// estimated as without calls.
	negligibleSlots = 0.05
	// forgottenArrivals is the decayed number of calls below which the next one counts as the first.
	forgottenArrivals = 0.05
)

// calls is what the admission control knows of the calls that other backend servers make while
// they run a request. The zero value has seen none.
type calls struct {
	// running is the number of calls that hold a slot.
	running int
	// inRow counts the calls that started since a callers' request did, and callersInRow the callers'
	// requests since a call did.
	inRow, callersInRow int
	// since is when the first of the recent calls arrived.
	since time.Time
	// arrivals is a decaying count, updated last at arrivedAt.
	arrivals  float64
	arrivedAt time.Time
	// byPriority holds the part of arrivals with each priority.
	byPriority [manifest.LowestPriority + 1]float64
	// serviceTime is the smoothed service time of calls; 0 if none has ended.
	serviceTime time.Duration
}

func (c *calls) arrivalsAt(now time.Time) float64 {
	return c.arrivals * math.Exp(-max(0, now.Sub(c.arrivedAt).Seconds())/callDecay.Seconds())
}

func (c *calls) arrive(now time.Time, priority int) {
	recent := c.arrivalsAt(now)
	if recent < forgottenArrivals {
		c.since, recent = now, 0
	}
	if c.arrivals > 0 {
		for p := range c.byPriority {
			c.byPriority[p] *= recent / c.arrivals
		}
	}
	c.byPriority[min(max(priority, 0), manifest.LowestPriority)]++
	c.arrivals, c.arrivedAt = recent+1, now
}

// slotsBefore returns the part of slots that calls use which are at least as urgent as a priority.
func (c *calls) slotsBefore(now time.Time, priority int) float64 {
	if c.arrivals == 0 {
		return 0
	}
	before := 0.0
	for p := 0; p <= min(priority, manifest.LowestPriority); p++ {
		before += c.byPriority[p]
	}
	return c.slots(now) * min(before/c.arrivals, 1)
}

func (c *calls) finish(took time.Duration) {
	c.running--
	switch {
	case took <= 0:
	case c.serviceTime == 0:
		c.serviceTime = took
	default:
		c.serviceTime += time.Duration(serviceTimeWeight * float64(took-c.serviceTime))
	}
}

// slots returns the mean number of slots that calls use: their rate times their service time
// (Little, "A Proof for the Queuing Formula: L = λW", 1961). It is 0 without recent calls.
func (c *calls) slots(now time.Time) float64 {
	if c.arrivals == 0 {
		return 0
	}
	arrivals := c.arrivalsAt(now)
	// A count that began recently has reached only a part of its final value.
	seen := max(now.Sub(c.since), callDecay/4)
	complete := callDecay.Seconds() * (1 - math.Exp(-seen.Seconds()/callDecay.Seconds()))
	return arrivals / complete * c.serviceTime.Seconds()
}

// CallSlots returns the mean number of slots that calls of backend servers have used recently.
func (c *Core) CallSlots(now time.Time) float64 { return c.calls.slots(now) }

// RunningCalls returns the number of slots that calls of backend servers use.
func (c *Core) RunningCalls() int { return c.calls.running }

// Room returns the number of slots that callers' requests as urgent as the last one leave to calls of
// backend servers.
func (c *Core) Room(now time.Time) int { return c.roomBefore(now, c.callerPriority) }

// roomBefore returns the number of slots that callers' requests of a priority leave to calls: those
// that calls at least as urgent have used recently, without the fraction, but at most half.
func (c *Core) roomBefore(now time.Time, priority int) int {
	return min(int(c.calls.slotsBefore(now, priority)), int(maxRoomShare*float64(c.Limit(now))))
}

// ReservedFree returns the number of free slots that only calls may take.
func (c *Core) ReservedFree(now time.Time) int {
	return min(max(0, c.Room(now)-c.calls.running), max(0, c.Limit(now)-c.running))
}

// FinishCall is Finish for a ticket with Call.
func (c *Core) FinishCall(now time.Time, kind string, took time.Duration) []Decision {
	c.calls.finish(took)
	return c.finish(now, kind, took, true)
}

// limitOf returns how many tickets may run when t starts.
func (c *Core) limitOf(now time.Time, t *Ticket) int {
	limit := c.Limit(now)
	if t.Call {
		return limit
	}
	return limit - max(0, c.roomBefore(now, t.Priority)-c.calls.running)
}

// startsAtOnce reports whether t starts although others may wait.
func (c *Core) startsAtOnce(now time.Time, t *Ticket) bool {
	if len(c.queue) > 0 && (!t.Call || c.callersTurn(now) || slices.ContainsFunc(c.queue, func(w Ticket) bool { return c.blocksCall(now, t, &w) })) {
		return false
	}
	return c.canStart(now, t)
}

// blocksCall reports whether a call that arrives starts after a waiting ticket.
func (c *Core) blocksCall(now time.Time, call, w *Ticket) bool {
	return w.Call || w.Alone || c.compareRank(now, w, call) < 0
}

// callersTurn reports whether a callers' request waits, and calls leave fewer slots to callers'
// requests than these are entitled to.
func (c *Core) callersTurn(now time.Time) bool {
	limit := c.Limit(now)
	return isBelowFloor(limit, max(1, limit/floorDivisor), c.running-c.calls.running, c.calls.running, c.calls.inRow) &&
		slices.ContainsFunc(c.queue, func(t Ticket) bool { return !t.Call })
}

// callsTurn reports the same of calls, while more urgent callers' requests wait.
func (c *Core) callsTurn(now time.Time) bool {
	limit := c.Limit(now)
	return isBelowFloor(limit, callsFloor(limit), c.calls.running, c.running-c.calls.running, c.calls.callersInRow) &&
		slices.ContainsFunc(c.queue, func(t Ticket) bool { return t.Call })
}

// isBelowFloor reports whether one side, calls or callers' requests, uses fewer slots than its floor because
// of the other one, of which the last inRow starts were.
func isBelowFloor(limit, floor, own, other, inRow int) bool {
	return own < floor && other >= limit-floor && (limit > 1 || inRow >= maxCallsInRow)
}

// callsFloor returns the number of slots, a third rounded up, that more urgent callers' requests leave to
// calls while both wait.
func callsFloor(limit int) int { return max((limit+callsFloorDivisor-1)/callsFloorDivisor, 1) }

// nextIndex returns the index of the ticket that starts next; the queue must not be empty.
func (c *Core) nextIndex(now time.Time) int {
	if c.running == 0 {
		// These start in a row, so that the server becomes idle once for all of them.
		if i := c.bestIndex(now, func(t *Ticket) bool { return t.Alone }); i >= 0 {
			return i
		}
	}
	first := c.firstIndex(now)
	if !c.queue[first].Call {
		if !c.queue[first].Alone && c.callsTurn(now) {
			return c.bestIndex(now, func(t *Ticket) bool { return t.Call })
		}
		return first
	}
	if i := slices.IndexFunc(c.queue, func(t Ticket) bool { return t.Alone && now.Sub(t.arrived) >= agingStep }); i >= 0 {
		return i // the server would never become idle for it
	}
	if !c.callersTurn(now) {
		return first
	}
	return c.bestIndex(now, func(t *Ticket) bool { return !t.Call })
}

// slotTime returns how long a waiting ticket is expected to keep a slot from callers' requests. Calls
// have slots of their own.
func (c *Core) slotTime(t *Ticket) time.Duration {
	if t.Call {
		return 0
	}
	return c.ServiceTime(t.Kind)
}

// waitBehindCalls returns the expected wait of a callers' request at a server that gets calls, behind
// others that need the given time on slots. The mean service time of all tickets says little there:
// calls may be much shorter.
func (c *Core) waitBehindCalls(now time.Time, priority int, needed time.Duration) time.Duration {
	return time.Duration(float64(needed) / c.leftByCalls(now, priority))
}

// leftByCalls returns the mean number of slots that calls leave to callers' requests of a priority, at
// least one. Less urgent calls use no more than their floor.
func (c *Core) leftByCalls(now time.Time, priority int) float64 {
	limit := float64(c.Limit(now))
	before := c.calls.slotsBefore(now, priority)
	behind := min(c.calls.slots(now)-before, float64(callsFloor(c.Limit(now))))
	return max(limit-before-behind, limit/floorDivisor, 1)
}

// isOutranked reports whether a callers' request that is more urgent than a call waits.
func (c *Core) isOutranked(now time.Time, call *Ticket) bool {
	return slices.ContainsFunc(c.queue, func(w Ticket) bool { return !w.Call && c.compareRank(now, &w, call) < 0 })
}

// slotsFor returns the number of slots, at least one, on which t can expect to run. apart is set if calls
// and callers' requests use slots of their own.
func (c *Core) slotsFor(now time.Time, t *Ticket, apart bool) int {
	switch {
	case t.Call && apart:
		return callsFloor(c.Limit(now))
	case t.Call:
		return max(c.Limit(now), 1)
	}
	return int(math.Round(c.leftByCalls(now, t.Priority)))
}

// compareCall ranks calls before callers' requests of the same priority.
func compareCall(a, b *Ticket) int {
	switch {
	case a.Call == b.Call:
		return 0
	case a.Call:
		return -1
	}
	return 1
}

// refuseCall returns the refusal of a call that waits, if its answer is not expected before its
// deadline.
func (c *Core) refuseCall(now time.Time, t *Ticket, wait time.Duration) (Decision, bool) {
	if !t.Call {
		return Decision{}, false
	}
	if c.isOutranked(now, t) && wait > c.expectedTime(now, t.Kind) {
		// The slots of its run are of more use to others meanwhile.
		return c.refuse(now, *t, result.Overloaded, Late), true
	}
	untilSlot := time.Duration(0) // by kind, wait includes it
	if c.times == nil {
		untilSlot = c.limit.serviceTime / time.Duration(max(c.Limit(now), 1))
	}
	if wait+untilSlot+c.expectedTime(now, t.Kind) <= t.Deadline.Sub(now) {
		return Decision{}, false
	}
	return c.refuse(now, *t, result.DeadlineTooShort, BeyondDeadline), true
}
