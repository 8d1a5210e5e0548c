// Package admit decides, beside a backend server, which requests run now, which
// wait in a short queue, and which are refused. It counts the server's slots
// exactly, whatever the server reports.
//
// A waiting request goes by its class, its priority less one for every
// agingStep that it waited, and within a class by its deadline; so no class
// waits for ever. A full queue refuses a newcomer, or turns away its last for
// one of a better class. What could not start before its deadline, going by the measured
// service time, is refused at once.
//
// The package does no I/O and reads no clock.
package admit

import (
	"slices"
	"time"

	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// agingStep is the waiting time that raises a ticket by one class.
const agingStep = 200 * time.Millisecond

// Ticket is one request that wants a slot.
type Ticket struct {
	ID uint64
	// Priority 0 goes first.
	Priority int
	// Deadline is when waiting has become useless.
	Deadline time.Time
	// Useful is when an answer has lost most of its worth; zero is not known. A
	// ticket that would be answered later does not wait: while a server is full
	// it answers as many requests with a short queue as with a long one, and
	// those of a short one in time.
	Useful time.Time
	// Kind groups tickets that take about the same time; "" is no group.
	Kind string
	// Alone asks to run with no other request on the server.
	Alone bool

	arrived time.Time
}

// class is the priority with the waiting time taken off.
func (t *Ticket) class(now time.Time) int {
	return max(0, t.Priority-int(now.Sub(t.arrived)/agingStep))
}

// Config is what bounds one backend server.
type Config struct {
	// Slots is the most tickets that run at a time.
	Slots int
	// QueueMax is the most tickets that wait.
	QueueMax int
	// Since is when the server began to take work, and SlowStart how long it
	// takes from then to its full slots; 0 is at once.
	Since     time.Time
	SlowStart time.Duration
	// Fixed keeps the limit at Slots however the latency climbs: for servers that
	// wait for others while they hold a slot, whose latency says little of their
	// own load.
	Fixed bool
}

// Core is the admission of one backend server. It is not safe for concurrent
// use.
type Core struct {
	cfg Config
	// running never exceeds cfg.Slots but after a Configure that lowered it.
	running int
	// alone is set while a ticket runs that asked for it; running is then 1.
	alone    bool
	queue    []Ticket // in order of arrival; len is at most cfg.QueueMax
	draining bool
	limit    limiter
	kinds    kinds
	// failing is the smoothed share of the requests that fail.
	failing float64
	// moved is when a slot was last returned, or the first was taken.
	moved time.Time
}

// New returns a Core.
func New(cfg Config) *Core {
	return &Core{cfg: cfg, limit: newLimiter(cfg.Slots)}
}

// Configure changes the bounds; running requests above them finish. It returns
// what the change starts.
func (c *Core) Configure(now time.Time, cfg Config) []Decision {
	if cfg.Slots != c.cfg.Slots {
		c.limit = newLimiter(cfg.Slots)
	}
	c.cfg = cfg
	return c.fill(now)
}

// Running is the number of slots in use.
func (c *Core) Running() int { return c.running }

// Usual is the smoothed time that tickets of a kind take.
func (c *Core) Usual(kind string) time.Duration { return c.kinds.service(kind, c.limit.service) }

// Limit is the most tickets that run now: the slots, fewer while the server is
// cold or its latency climbs; at least 1 if there are slots.
func (c *Core) Limit(now time.Time) int {
	limit := c.cfg.Slots
	if !c.cfg.Fixed {
		limit = min(limit, c.limit.value())
	}
	return min(limit, warmSlots(c.cfg, now))
}

// warmSlots grows from a quarter of the slots to all of them.
func warmSlots(cfg Config, now time.Time) int {
	age := now.Sub(cfg.Since)
	if cfg.SlowStart <= 0 || age >= cfg.SlowStart {
		return cfg.Slots
	}
	share := max(coldShare, float64(max(age, 0))/float64(cfg.SlowStart))
	return min(cfg.Slots, max(1, int(share*float64(cfg.Slots))))
}

// coldShare is the share of its slots that a server begins with.
const coldShare = 0.25

// Load is running and waiting requests per slot that may be used now; at least
// 1 while the server stalls.
func (c *Core) Load(now time.Time) float64 {
	load := float64(c.running+len(c.queue)) / float64(max(c.Limit(now), 1))
	if c.Stalled(now) {
		return max(load, 1)
	}
	return load
}

// Arrive decides on a new ticket, and with it perhaps on others: without a
// decision on it, it waits.
func (c *Core) Arrive(now time.Time, t Ticket) []Decision {
	if d, refused := c.Refuses(now, &t); refused {
		return []Decision{d}
	}
	if len(c.queue) == 0 && c.mayStart(now, &t) {
		return []Decision{c.start(now, &t)}
	}
	c.queue = append(c.queue, t)
	decisions := c.fill(now)
	if len(c.queue) > c.cfg.QueueMax {
		i := c.last(now)
		decisions = append(decisions, c.refuse(c.queue[i], result.Overloaded, Outranked))
		c.queue = slices.Delete(c.queue, i, i+1)
	}
	return decisions
}

// Refuses returns the refusal that a ticket gets if it arrives now, if there is
// one.
func (c *Core) Refuses(now time.Time, t *Ticket) (Decision, bool) {
	t.arrived = now
	switch {
	case c.draining:
		return c.refuse(*t, result.Draining, Draining), true
	case !t.Deadline.After(now):
		return c.refuse(*t, result.DeadlineTooShort, Expired), true
	case len(c.queue) == 0 && c.mayStart(now, t):
		return Decision{}, false
	case c.Stalled(now):
		return c.refuse(*t, result.Overloaded, Stalled), true
	}
	wait := c.wait(now, t)
	if wait > t.Deadline.Sub(now) {
		return c.refuse(*t, result.DeadlineTooShort, BeyondDeadline), true
	}
	if late := c.late(now, t, wait); late > 0 {
		d := c.refuse(*t, result.Overloaded, Late)
		d.RetryAfter = max(late, comeBackLeast)
		return d, true
	}
	if len(c.queue) >= c.room(t.Priority) && !c.worseWaits(now, t) {
		return c.refuse(*t, result.Overloaded, QueueFull), true
	}
	return Decision{}, false
}

// keptFree is the part of the queue that the worst class leaves free.
const keptFree = 4

// room is the queue's length from which a newcomer of the class is refused,
// unless a worse class waits. The worse the class, the more it leaves free for
// better ones: so these seldom have to turn away what has waited, and a refusal
// comes at once.
func (c *Core) room(class int) int {
	return c.cfg.QueueMax - c.cfg.QueueMax*class/(keptFree*manifest.LowestPriority)
}

func (c *Core) worseWaits(now time.Time, t *Ticket) bool {
	return slices.ContainsFunc(c.queue, func(w Ticket) bool { return w.class(now) > t.class(now) })
}

func (c *Core) mayStart(now time.Time, t *Ticket) bool {
	if c.alone || (t.Alone && c.running > 0) {
		return false
	}
	return c.running < c.Limit(now)
}

// The constants of Stalled.
const (
	stallFactor = 8
	stallMin    = 500 * time.Millisecond
)

// Stalled reports whether no slot came back for much longer than a request
// takes: the server is frozen, or works on long requests only, and waiting for
// it is useless.
func (c *Core) Stalled(now time.Time) bool {
	return c.running > 0 && now.Sub(c.moved) > max(stallMin, stallFactor*c.limit.service)
}

func (c *Core) start(now time.Time, t *Ticket) Decision {
	if c.running == 0 {
		c.moved = now
	}
	c.running++
	c.alone = t.Alone
	return Decision{ID: t.ID, Verdict: Start}
}

func (c *Core) refuse(t Ticket, code result.Code, why Reason) Decision {
	d := Decision{ID: t.ID, Verdict: Refuse, Code: code, Reason: why}
	if code != result.Draining {
		d.RetryAfter = c.limit.service * time.Duration(len(c.queue)+1) / time.Duration(max(c.cfg.Slots, 1))
	}
	return d
}

const (
	// UsefulShare is the part of the useful time within which the answer has to
	// be expected: half of the requests take longer than expected.
	UsefulShare = 0.5
	// comeBackLeast is the least that a ticket is told which would be late.
	comeBackLeast = 20 * time.Millisecond
)

// late is by how much the answer is expected after the useful time; 0 or less if
// it is in time.
func (c *Core) late(now time.Time, t *Ticket, wait time.Duration) time.Duration {
	if t.Useful.IsZero() {
		return 0
	}
	useful := time.Duration(UsefulShare * float64(t.Useful.Sub(now)))
	return wait + c.Usual(t.Kind) - useful
}

// Finish returns the slot of a ticket of a kind after took, the time to the header
// of the answer; 0 tells nothing. It decides who gets the slot.
func (c *Core) Finish(now time.Time, kind string, took time.Duration) []Decision {
	if took > 0 {
		c.kinds.sample(kind, took)
		c.limit.sample(now, took, c.running, c.cfg.Slots)
	}
	c.moved = now
	c.running--
	c.alone = false
	return c.fill(now)
}

// Cancel takes a waiting ticket out and reports whether it was waiting.
func (c *Core) Cancel(id uint64) bool {
	i := slices.IndexFunc(c.queue, func(t Ticket) bool { return t.ID == id })
	if i < 0 {
		return false
	}
	c.queue = slices.Delete(c.queue, i, i+1)
	return true
}

// Drain refuses everything that waits and everything to come.
func (c *Core) Drain() []Decision {
	c.draining = true
	var decisions []Decision
	for _, t := range c.queue {
		decisions = append(decisions, c.refuse(t, result.Draining, Draining))
	}
	c.queue = nil
	return decisions
}

// Resume ends a drain.
func (c *Core) Resume() { c.draining = false }

// fill starts waiting tickets while slots are free. A ticket that asked to run
// alone holds those behind it back until the server is empty.
func (c *Core) fill(now time.Time) []Decision {
	var decisions []Decision
	for len(c.queue) > 0 {
		i := c.first(now)
		t := c.queue[i]
		expired := !t.Deadline.After(now)
		if !expired && !c.mayStart(now, &t) {
			break
		}
		c.queue = slices.Delete(c.queue, i, i+1)
		if expired {
			decisions = append(decisions, c.refuse(t, result.DeadlineTooShort, Expired))
			continue
		}
		decisions = append(decisions, c.start(now, &t))
	}
	return decisions
}
