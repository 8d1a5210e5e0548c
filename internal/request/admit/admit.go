// Package admit decides, beside a backend server, which requests run now, which
// wait in a short queue, and which are refused. It counts the server's slots
// exactly, whatever the server reports.
//
// The package does no I/O and reads no clock.
package admit

import (
	"slices"
	"time"

	"github.com/daisygate/daisygate/internal/result"
)

// Ticket is one request that wants a slot.
type Ticket struct {
	ID uint64
	// Priority 0 goes first.
	Priority int
	Deadline time.Time
}

// Verdict is the decision on one ticket.
type Verdict uint8

// The verdicts.
const (
	// Wait leaves the ticket in the queue; a later call starts or refuses it.
	Wait Verdict = iota
	// Start gives the ticket a slot; Finish returns it.
	Start
	// Refuse ends the ticket; it holds nothing.
	Refuse
)

// Decision is a verdict on a ticket.
type Decision struct {
	ID      uint64
	Verdict Verdict
	// Code is set on a refusal.
	Code result.Code
}

// Core is the admission of one backend server. It is not safe for concurrent
// use.
type Core struct {
	slots    int
	queueMax int
	running  int
	queue    []Ticket
	draining bool
}

// New returns a Core with room for slots running and queueMax waiting requests.
func New(slots, queueMax int) *Core { return &Core{slots: slots, queueMax: queueMax} }

// Resize changes the slots; running requests above it finish.
func (c *Core) Resize(slots int) { c.slots = slots }

// Running is the number of slots in use.
func (c *Core) Running() int { return c.running }

// Load is running and waiting requests per slot.
func (c *Core) Load() float64 {
	return float64(c.running+len(c.queue)) / float64(max(c.slots, 1))
}

// Arrive decides on a new ticket. A full queue refuses its last in order, which
// need not be the new one.
func (c *Core) Arrive(now time.Time, t Ticket) []Decision {
	if c.draining {
		return []Decision{{ID: t.ID, Verdict: Refuse, Code: result.Draining}}
	}
	if !t.Deadline.After(now) {
		return []Decision{{ID: t.ID, Verdict: Refuse, Code: result.DeadlineTooShort}}
	}
	if c.running < c.slots {
		c.running++
		return []Decision{{ID: t.ID, Verdict: Start}}
	}
	c.queue = append(c.queue, t)
	slices.SortStableFunc(c.queue, before)
	if len(c.queue) <= c.queueMax {
		return nil
	}
	last := c.queue[len(c.queue)-1]
	c.queue = c.queue[:len(c.queue)-1]
	return []Decision{{ID: last.ID, Verdict: Refuse, Code: result.Overloaded}}
}

func before(a, b Ticket) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	return a.Deadline.Compare(b.Deadline)
}

// Finish returns a slot and decides who gets it.
func (c *Core) Finish(now time.Time) []Decision {
	c.running--
	return c.Fill(now)
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
		decisions = append(decisions, Decision{ID: t.ID, Verdict: Refuse, Code: result.Draining})
	}
	c.queue = nil
	return decisions
}

// Resume ends a drain.
func (c *Core) Resume() { c.draining = false }

// Fill starts waiting tickets while slots are free.
func (c *Core) Fill(now time.Time) []Decision {
	var decisions []Decision
	for len(c.queue) > 0 && c.running < c.slots {
		t := c.queue[0]
		c.queue = c.queue[1:]
		if !t.Deadline.After(now) {
			decisions = append(decisions, Decision{ID: t.ID, Verdict: Refuse, Code: result.DeadlineTooShort})
			continue
		}
		c.running++
		decisions = append(decisions, Decision{ID: t.ID, Verdict: Start})
	}
	return decisions
}
