package admit

import (
	"slices"
	"time"

	"github.com/daisygate/daisygate/internal/request/ratelimit"
	"github.com/daisygate/daisygate/internal/result"
)

// RateLimit returns the server's rate limit in requests per second; 0 if it has none.
func (c *Core) RateLimit() float64 { return c.rate.Limit() }

// Tokens returns the number of tickets that the rate limit allows to start now, less those that
// wait; 0 if there is no limit.
func (c *Core) Tokens(now time.Time) float64 {
	if c.rate.Limit() == 0 {
		return 0
	}
	return c.rate.Tokens(now) - float64(len(c.queue))
}

// AdoptRateLimit applies a limit that the server has stated elsewhere, until a response to this
// daemon states otherwise. It reports whether the limit changed, and returns the decisions that
// follow from it.
func (c *Core) AdoptRateLimit(now time.Time, s ratelimit.Statement) (changed bool, decisions []Decision) {
	if !c.rate.Adopt(now, s) {
		return false, nil
	}
	return true, c.refuseUnservable(now)
}

// ObserveRateLimit applies the rate limit stated in a response that arrived now to a request
// that was sent at sent. It reports whether the limit changed, and returns the decisions that
// follow from it.
func (c *Core) ObserveRateLimit(sent, now time.Time, s ratelimit.Statement) (changed bool, decisions []Decision) {
	if !c.rate.Observe(sent, now, s) {
		return false, nil
	}
	return true, append(c.refuseUnservable(now), c.startWaiting(now)...)
}

// refuseUnservable refuses the waiting tickets that the rate limit does not allow to start in
// time.
func (c *Core) refuseUnservable(now time.Time) []Decision {
	order := slices.Clone(c.queue)
	slices.SortFunc(order, func(a, b Ticket) int { return c.compareOrder(now, &a, &b) })
	var decisions []Decision
	ahead := 0
	for i := range order {
		t := &order[i]
		wait := c.rate.Wait(now, ahead+1)
		if wait == 0 || !c.tooLate(now, t, wait) {
			ahead++
			continue
		}
		c.Cancel(t.ID)
		decisions = append(decisions, c.refuse(now, *t, result.Overloaded, RateLimited))
	}
	return decisions
}

// NextStart returns the time until a waiting ticket may start because of the rate limit, and
// whether one waits for that. The caller must call Advance then.
func (c *Core) NextStart(now time.Time) (in time.Duration, waiting bool) {
	if len(c.queue) == 0 || c.running >= c.Limit(now) {
		return 0, false
	}
	in = c.rate.Wait(now, 1)
	return in, in > 0
}

// Advance starts the waiting tickets that the rate limit allows by now.
func (c *Core) Advance(now time.Time) []Decision { return c.startWaiting(now) }

// tooLate reports whether a ticket that starts after the given wait misses its deadline, or its
// answer is expected after its useful time.
func (c *Core) tooLate(now time.Time, t *Ticket, wait time.Duration) bool {
	return wait > t.Deadline.Sub(now) || c.lateness(now, t, wait) > 0
}
