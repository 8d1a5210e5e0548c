package view

import (
	"slices"
	"time"
)

const (
	// joinTimeout bounds the wait for the answer to a join.
	joinTimeout = 2 * time.Second
	// severedJoins is how many nodes a daemon asks at once whose links all fail. Where
	// half of the fleet has lost power, a join to an instance without power takes a
	// second to fail, and three at once are all in vain one time in eight.
	severedJoins = 3
)

// attempt is a join that waits for its answer.
type attempt struct {
	// name is empty when a seed is asked.
	name, addr string
	until      time.Time
}

// attempts are the joins under way: at most one, or severedJoins while every link
// fails.
type attempts []attempt

// asks reports whether a join to the node named is under way.
func (as attempts) asks(name string) bool {
	return slices.ContainsFunc(as, func(a attempt) bool { return a.name == name })
}

// end takes out the first attempt that is meant, and returns it or nil.
func (as *attempts) end(meant func(attempt) bool) *attempt {
	i := slices.IndexFunc(*as, meant)
	if i < 0 {
		return nil
	}
	a := (*as)[i]
	*as = slices.Delete(*as, i, i+1)
	return &a
}

// expire takes out the attempts whose time is over.
func (as *attempts) expire(now time.Time) []attempt {
	var over []attempt
	late := func(a attempt) bool { return now.After(a.until) }
	for a := as.end(late); a != nil; a = as.end(late) {
		over = append(over, *a)
	}
	return over
}

// answered ends the attempt that a message of from answers.
func (c *Core) answered(from Node) {
	a := c.attempts.end(func(a attempt) bool { return a.name == from.Name || a.addr == from.Addr })
	if a != nil && a.name == "" {
		c.seedFailures = 0
	}
}

// attemptFailed draws the consequences of a join that is over without an answer.
func (c *Core) attemptFailed(now time.Time, a attempt) {
	if a.name != "" {
		c.candidates.fail(now, a.name)
		return
	}
	c.seedFailures++
	if c.alone() {
		c.seedNext = now.Add(backoff(c.rand, c.cfg.Backoff, c.seedFailures))
	}
}
