package admit

import (
	"math"
	"slices"
	"time"

	"github.com/daisygate/daisygate/internal/result"
)

const (
	// callDecay is the time in which the arrivals of calls lose two thirds of their weight.
	callDecay = 2 * time.Second
	// maxRoomShare is the largest share of the slots that is kept free for calls.
	maxRoomShare = 0.5
	// floorDivisor is the inverse of the share of the slots that calls leave to callers' requests
	// while both wait.
	floorDivisor = 4
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
	// inRow counts the calls that started since a callers' request did.
	inRow int
	// since is when the first of the recent calls arrived.
	since time.Time
	// arrivals is a decaying count, updated last at arrivedAt.
	arrivals  float64
	arrivedAt time.Time
	// serviceTime is the smoothed service time of calls; 0 if none has ended.
	serviceTime time.Duration
}

func (c *calls) arrivalsAt(now time.Time) float64 {
	return c.arrivals * math.Exp(-max(0, now.Sub(c.arrivedAt).Seconds())/callDecay.Seconds())
}

func (c *calls) arrive(now time.Time) {
	recent := c.arrivalsAt(now)
	if recent < forgottenArrivals {
		c.since, recent = now, 0
	}
	c.arrivals, c.arrivedAt = recent+1, now
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

// Room returns the number of slots that callers' requests leave to calls of backend servers: those
// that calls have used recently, without the fraction, but at most half.
func (c *Core) Room(now time.Time) int {
	slots := c.calls.slots(now)
	return min(int(slots), int(maxRoomShare*float64(c.Limit(now))))
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
	return limit - max(0, c.Room(now)-c.calls.running)
}

// startsAtOnce reports whether t starts although others may wait.
func (c *Core) startsAtOnce(now time.Time, t *Ticket) bool {
	if len(c.queue) > 0 && (!t.Call || c.callersTurn(now) || slices.ContainsFunc(c.queue, blocksCall)) {
		return false
	}
	return c.canStart(now, t)
}

// blocksCall reports whether a call that arrives starts after a waiting ticket.
func blocksCall(t Ticket) bool { return t.Call || t.Alone }

// callersTurn reports whether a callers' request waits, and calls leave fewer slots to callers'
// requests than these are entitled to.
func (c *Core) callersTurn(now time.Time) bool {
	limit := c.Limit(now)
	floor := max(1, limit/floorDivisor)
	if c.running-c.calls.running >= floor || c.calls.running < limit-floor {
		return false
	}
	if limit == 1 && c.calls.inRow < maxCallsInRow {
		return false
	}
	return slices.ContainsFunc(c.queue, func(t Ticket) bool { return !t.Call })
}

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
func (c *Core) waitBehindCalls(now time.Time, needed time.Duration) time.Duration {
	return time.Duration(float64(needed) / c.leftByCalls(now))
}

// leftByCalls returns the mean number of slots that calls leave to callers' requests, at least one.
func (c *Core) leftByCalls(now time.Time) float64 {
	limit := float64(c.Limit(now))
	return max(limit-c.calls.slots(now), limit/floorDivisor, 1)
}

// slotsFor returns the number of slots, at least one, on which t can expect to run.
func (c *Core) slotsFor(now time.Time, t *Ticket) int {
	if t.Call {
		return max(c.Limit(now), 1)
	}
	return int(math.Round(c.leftByCalls(now)))
}

// compareCall ranks calls before callers' requests.
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
	untilSlot := time.Duration(0) // by kind, wait includes it
	if c.times == nil {
		untilSlot = c.limit.serviceTime / time.Duration(max(c.Limit(now), 1))
	}
	if wait+untilSlot+c.expectedTime(now, t.Kind) <= t.Deadline.Sub(now) {
		return Decision{}, false
	}
	return c.refuse(now, *t, result.DeadlineTooShort, BeyondDeadline), true
}
