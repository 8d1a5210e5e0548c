package view

import (
	"slices"
	"time"
)

const (
	// joinTimeout limits the wait for the reply to a join.
	joinTimeout = 2 * time.Second
	// maxParallelJoins is how many nodes a daemon asks at once when all its links
	// fail. If half of the fleet has lost power, a join to an instance without power
	// takes a second to fail, and three joins at once all fail one time in eight.
	maxParallelJoins = 3
)

// attempt is a join that waits for its reply.
type attempt struct {
	// name is empty if a seed is asked.
	name, addr string
	deadline   time.Time
}

// attempts are the pending joins: at most one, or maxParallelJoins while all links
// fail.
type attempts []attempt

// pending reports whether a join to the named node is pending.
func (as attempts) pending(name string) bool {
	return slices.ContainsFunc(as, func(a attempt) bool { return a.name == name })
}

// remove removes the first matching attempt and returns it, or nil if there is none.
func (as *attempts) remove(match func(attempt) bool) *attempt {
	i := slices.IndexFunc(*as, match)
	if i < 0 {
		return nil
	}
	a := (*as)[i]
	*as = slices.Delete(*as, i, i+1)
	return &a
}

// expire removes and returns the attempts whose deadline has passed.
func (as *attempts) expire(now time.Time) []attempt {
	var expired []attempt
	timedOut := func(a attempt) bool { return now.After(a.deadline) }
	for a := as.remove(timedOut); a != nil; a = as.remove(timedOut) {
		expired = append(expired, *a)
	}
	return expired
}

// joinAnswered removes the attempt that a message from a node replies to.
func (c *Core) joinAnswered(from Node) {
	a := c.attempts.remove(func(a attempt) bool { return a.name == from.Name || a.addr == from.Addr })
	if a != nil && a.name == "" {
		c.seedFailures = 0
	}
}

// attemptFailed schedules the next attempt after a join ended without a reply.
func (c *Core) attemptFailed(now time.Time, a attempt) {
	if a.name != "" {
		c.candidates.markFailed(now, a.name)
		return
	}
	c.seedFailures++
	if c.noWorkingLink() {
		c.seedNext = now.Add(backoff(c.rand, c.cfg.Backoff, c.seedFailures))
	}
}
