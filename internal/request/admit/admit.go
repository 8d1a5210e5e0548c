// Package admit is the admission control of one backend server. It runs in the
// daemon on the server's instance and decides which requests run now, which wait
// in a short queue, and which are refused. It counts the server's slots exactly
// and does not rely on what the server reports.
//
// Waiting requests are ordered by effective priority, which improves by one for
// every agingStep of waiting so that no priority starves, then by the recent use of
// the server by their organisations, and then by their latest useful start. Calls of other backend servers go
// before the callers' requests of their priority and find some slots free. A full queue refuses a new
// request, unless the last one in the queue has a worse effective priority or an
// organisation with more recent use, and is refused instead. A request that cannot
// start before its deadline, given the measured service time, is refused at once.
//
// If the server states a rate limit, tickets start at that rate at most. A waiting ticket
// may then have to start without another event: see NextStart.
//
// The package does no I/O and reads no clock.
package admit

import (
	"slices"
	"time"

	"github.com/daisygate/daisygate/internal/request/ratelimit"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// agingStep is the waiting time that improves a ticket's priority by one.
const agingStep = 200 * time.Millisecond

// Ticket is a request for one slot.
type Ticket struct {
	ID uint64
	// Priority is the scheduling priority; 0 is the most urgent.
	Priority int
	// Deadline is the time after which the caller no longer waits.
	Deadline time.Time
	// Useful is the time after which an answer has lost most of its value; zero
	// if unknown. While the server is full, a ticket that would be answered later
	// than that is refused rather than queued: a full server has the same
	// throughput with a short queue as with a long one, but with a short queue
	// the answers are in time.
	Useful time.Time
	// Kind groups tickets with similar service times; "" means no group.
	Kind string
	// Organisation is the organisation of the caller. Of two tickets with the same effective
	// priority, that of the organisation with less recent use per Weight runs first, and one
	// without an organisation, such as a call of another backend server, before both.
	Organisation string
	// Weight is the share of the server that the organisation is entitled to, relative to the
	// others. Default 1.
	Weight float64
	// Alone requests that no other request runs on the server at the same time.
	Alone bool
	// Call marks a call that another backend server makes while it runs a request. If it is
	// refused, that run was in vain. So it starts before callers' requests that are no more urgent
	// than that run, whose priority it has, and Useful does not apply to it without
	// RunUseful. FinishCall releases its slot.
	Call bool
	// RunUseful is set if Useful is that of the run that made the call.
	RunUseful bool

	arrived time.Time
	queued  Queueing
}

// Queueing tells how a ticket waited for its slot.
type Queueing struct {
	// Expected is the wait that was expected when the ticket arrived.
	Expected time.Duration
	// Overtaken counts the tickets that arrived later and started before it.
	Overtaken int
}

// effectivePriority returns the priority improved by the time spent waiting.
func (t *Ticket) effectivePriority(now time.Time) int {
	return max(0, t.Priority-int(now.Sub(t.arrived)/agingStep))
}

// Config is the capacity of one backend server.
type Config struct {
	// Slots is the maximum number of tickets running at a time.
	Slots int
	// QueueMax is the maximum number of waiting tickets.
	QueueMax int
	// Since is when the server began to accept work, and SlowStart is how long
	// from then it takes to reach its full number of slots; 0 means at once.
	Since     time.Time
	SlowStart time.Duration
	// Fixed keeps the limit at Slots regardless of latency. It is meant for servers
	// that hold a slot while they wait for other services: their latency says
	// little about their own load.
	Fixed bool
	// Cautious bounds the queue by the useful time of tickets also while too few service times
	// were measured.
	Cautious bool
}

// Core is the admission control of one backend server. It is not safe for
// concurrent use.
type Core struct {
	cfg Config
	// running exceeds cfg.Slots only after a Configure that lowered it.
	running int
	// runningAlone is set while a ticket with Alone runs; running is then 1.
	runningAlone bool
	queue        []Ticket // in order of arrival; len is at most cfg.QueueMax
	draining     bool
	limit        limiter
	kindTimes    serviceTimes
	usages       usages
	rate         ratelimit.Limiter
	calls        calls
	// callerPriority is the priority of the callers' request that arrived last.
	callerPriority int
	// samples is the number of measured service times, up to the number of slots.
	samples int
	// failureRate is the smoothed fraction of requests that fail, measured last at endedAt.
	failureRate float64
	endedAt     time.Time
	// lateStarts counts the tickets that started after their useful time.
	lateStarts uint64
	// lastSlotChange is when a slot was last released, or taken on an idle server.
	lastSlotChange time.Time
	// times, if not nil, provides the expected times by kind. started then has an entry for each
	// ticket that has started since it was set.
	times   Times
	started []startedTicket
}

// New returns a Core with the given capacity.
func New(cfg Config) *Core {
	return &Core{cfg: cfg, limit: newLimiter(cfg.Slots)}
}

// Configure changes the capacity. Running requests in excess of it finish. It
// returns the decisions that follow from the change.
func (c *Core) Configure(now time.Time, cfg Config) []Decision {
	if cfg.Slots != c.cfg.Slots {
		c.limit = newLimiter(cfg.Slots)
	}
	c.cfg = cfg
	return c.startWaiting(now)
}

// Running returns the number of slots in use.
func (c *Core) Running() int { return c.running }

// ServiceTime returns the smoothed service time of a kind of ticket.
func (c *Core) ServiceTime(kind string) time.Duration {
	return c.kindTimes.get(kind, c.limit.serviceTime)
}

// Limit returns how many tickets may run now: the number of slots, or fewer during
// slow start or while latency is elevated. It is at least 1 if there are slots.
func (c *Core) Limit(now time.Time) int {
	limit := c.cfg.Slots
	if !c.cfg.Fixed {
		limit = min(limit, c.limit.value())
	}
	return min(limit, slowStartSlots(c.cfg, now))
}

// slowStartSlots grows from slowStartShare of the slots to all of them during slow start.
func slowStartSlots(cfg Config, now time.Time) int {
	age := now.Sub(cfg.Since)
	if cfg.SlowStart <= 0 || age >= cfg.SlowStart {
		return cfg.Slots
	}
	share := max(slowStartShare, float64(max(age, 0))/float64(cfg.SlowStart))
	return min(cfg.Slots, max(1, int(share*float64(cfg.Slots))))
}

// slowStartShare is the fraction of its slots that a server starts with.
const slowStartShare = 0.25

// Load returns the number of running and waiting requests per usable slot. It is
// at least 1 while the server is stalled.
func (c *Core) Load(now time.Time) float64 {
	load := float64(c.running+len(c.queue)) / float64(max(c.Limit(now), 1))
	if c.Stalled(now) {
		return max(load, 1)
	}
	return load
}

// Arrive decides on a new ticket; the decisions may include other tickets. If they
// do not include the new ticket, it waits.
func (c *Core) Arrive(now time.Time, t Ticket) []Decision {
	if t.Call {
		c.calls.arrive(now, t.Priority)
	} else {
		c.callerPriority = t.Priority
	}
	if d, refused := c.CheckRefusal(now, &t); refused {
		return []Decision{d}
	}
	if c.startsAtOnce(now, &t) {
		return []Decision{c.start(now, &t)}
	}
	c.queue = append(c.queue, t)
	decisions := c.startWaiting(now)
	if len(c.queue) > c.cfg.QueueMax {
		i := c.lastIndex(now)
		decisions = append(decisions, c.refuse(now, c.queue[i], result.Overloaded, Outranked))
		c.queue = slices.Delete(c.queue, i, i+1)
	}
	return decisions
}

// CheckRefusal returns the refusal that a ticket would get if it arrived now, and
// whether it would be refused.
func (c *Core) CheckRefusal(now time.Time, t *Ticket) (Decision, bool) {
	t.arrived = now
	switch {
	case c.draining:
		return c.refuse(now, *t, result.Draining, Draining), true
	case !t.Deadline.After(now):
		return c.refuse(now, *t, result.DeadlineTooShort, Expired), true
	case c.startsAtOnce(now, t):
		return Decision{}, false
	case c.Stalled(now):
		return c.refuse(now, *t, result.Overloaded, Stalled), true
	}
	slotWait, rateWait := c.expectedWait(now, t)
	t.queued = Queueing{Expected: max(slotWait, rateWait)}
	if rateWait > slotWait && c.tooLate(now, t, rateWait) {
		return c.refuse(now, *t, result.Overloaded, RateLimited), true
	}
	if slotWait > t.Deadline.Sub(now) {
		return c.refuse(now, *t, result.DeadlineTooShort, BeyondDeadline), true
	}
	if d, refused := c.refuseCall(now, t, slotWait); refused {
		return d, true
	}
	if late := c.lateness(now, t, slotWait); late > 0 {
		d := c.refuse(now, *t, result.Overloaded, Late)
		d.RetryAfter = max(late, minLateRetryAfter)
		return d, true
	}
	if len(c.queue) >= c.queueLimit(t.Priority) && !c.hasLowerRankWaiting(now, t) {
		return c.refuse(now, *t, result.Overloaded, QueueFull), true
	}
	return Decision{}, false
}

// queueReserveDivisor is the inverse of the fraction of the queue that the lowest
// priority leaves free.
const queueReserveDivisor = 4

// queueLimit returns the queue length from which a new ticket of the priority is
// refused, unless a ticket of lower rank waits. Lower priorities
// leave more of the queue free for higher ones. So a high-priority ticket rarely
// displaces one that has already waited, and low-priority ones are refused at once.
func (c *Core) queueLimit(priority int) int {
	return c.cfg.QueueMax - c.cfg.QueueMax*priority/(queueReserveDivisor*manifest.LowestPriority)
}

func (c *Core) hasLowerRankWaiting(now time.Time, t *Ticket) bool {
	return slices.ContainsFunc(c.queue, func(w Ticket) bool { return c.compareRank(now, t, &w) < 0 })
}

func (c *Core) canStart(now time.Time, t *Ticket) bool {
	if c.runningAlone || (t.Alone && c.running > 0) {
		return false
	}
	return c.running < c.limitOf(now, t) && c.rate.Wait(now, 1) == 0
}

// Parameters of Stalled.
const (
	stallFactor = 8
	stallMin    = 500 * time.Millisecond
)

// Stalled reports whether no slot was released for much longer than a request
// usually takes. The server then hangs or runs only long requests, and it is
// useless to wait for it.
func (c *Core) Stalled(now time.Time) bool {
	return c.running > 0 && now.Sub(c.lastSlotChange) > max(stallMin, stallFactor*c.limit.serviceTime)
}

func (c *Core) start(now time.Time, t *Ticket) Decision {
	if c.running == 0 {
		c.lastSlotChange = now
	}
	c.running++
	c.runningAlone = t.Alone
	if t.Call {
		c.calls.running++
		c.calls.inRow++
		c.calls.callersInRow = 0
	} else {
		c.calls.inRow = 0
		c.calls.callersInRow++
	}
	c.rate.Take(now)
	c.usages.record(now, t)
	c.recordStart(now, t)
	c.overtake(t)
	if !t.Call && !t.Useful.IsZero() && now.After(t.Useful) {
		c.lateStarts++
	}
	return Decision{ID: t.ID, Verdict: Start, Queueing: t.queued}
}

// overtake counts the start of t at the waiting tickets that arrived before it.
func (c *Core) overtake(t *Ticket) {
	for i := range c.queue {
		if w := &c.queue[i]; w.arrived.Before(t.arrived) {
			w.queued.Overtaken++
		}
	}
}

func (c *Core) refuse(now time.Time, t Ticket, code result.Code, why Reason) Decision {
	d := Decision{ID: t.ID, Verdict: Refuse, Code: code, Reason: why}
	if code != result.Draining {
		untilSlot := c.limit.serviceTime * time.Duration(len(c.queue)+1) / time.Duration(max(c.cfg.Slots, 1))
		d.RetryAfter = max(untilSlot, c.rate.Wait(now, len(c.queue)+1))
	}
	return d
}

const (
	// UsefulShare is the fraction of the remaining useful time within which the
	// answer must be expected. It is below 1 because half of the requests take
	// longer than expected.
	UsefulShare = 0.5
	// minLateRetryAfter is the minimum RetryAfter of a ticket refused as Late.
	minLateRetryAfter = 20 * time.Millisecond
)

// lateness returns by how much the expected time of the answer exceeds the useful
// time; it is 0 or negative if the answer is expected in time.
func (c *Core) lateness(now time.Time, t *Ticket, wait time.Duration) time.Duration {
	if t.Useful.IsZero() || t.Call && !t.RunUseful {
		return 0
	}
	useful := time.Duration(UsefulShare * float64(t.Useful.Sub(now)))
	return wait + c.cautiousTime(now, t, c.expectedTime(now, t.Kind)) - useful
}

// Finish releases the slot of a ticket and returns the decisions on waiting ones.
// took is the time until the header of the answer arrived; 0 if there is no sample.
func (c *Core) Finish(now time.Time, kind string, took time.Duration) []Decision {
	return c.finish(now, kind, took, false)
}

func (c *Core) finish(now time.Time, kind string, took time.Duration, call bool) []Decision {
	if took > 0 {
		c.kindTimes.record(kind, took)
		c.samples = min(c.samples+1, c.cfg.Slots)
		c.limit.record(now, took, c.running, c.cfg.Slots)
	}
	c.lastSlotChange = now
	c.running--
	c.recordEnd(kind, call)
	c.runningAlone = false
	return c.startWaiting(now)
}

// Cancel removes a waiting ticket and reports whether it was waiting.
func (c *Core) Cancel(id uint64) bool {
	i := slices.IndexFunc(c.queue, func(t Ticket) bool { return t.ID == id })
	if i < 0 {
		return false
	}
	c.queue = slices.Delete(c.queue, i, i+1)
	return true
}

// Drain refuses all waiting and all future tickets.
func (c *Core) Drain(now time.Time) []Decision {
	c.draining = true
	var decisions []Decision
	for _, t := range c.queue {
		decisions = append(decisions, c.refuse(now, t, result.Draining, Draining))
	}
	c.queue = nil
	return decisions
}

// Resume ends the drain.
func (c *Core) Resume() { c.draining = false }

// startWaiting starts waiting tickets while slots are free. A ticket with Alone
// blocks the tickets behind it until the server is idle.
func (c *Core) startWaiting(now time.Time) []Decision {
	var decisions []Decision
	for len(c.queue) > 0 {
		i := c.nextIndex(now)
		t := c.queue[i]
		expired := !t.Deadline.After(now)
		if !expired && !c.canStart(now, &t) {
			break
		}
		c.queue = slices.Delete(c.queue, i, i+1)
		if expired {
			decisions = append(decisions, c.refuse(now, t, result.DeadlineTooShort, Expired))
			continue
		}
		decisions = append(decisions, c.start(now, &t))
	}
	return decisions
}
