// Package link schedules the large bodies that share one direction of an instance's
// link: it decides which are transferred now and which wait. If all of them share the
// link at a time, the first completes no sooner than the last, and small messages wait
// behind all of them; one after the other, the mean wait is about half.
//
// It is meant for large requests (uploads) or large answers (downloads) that need
// nearly the full capacity of the links. Inbound bodies are transferred in order of
// arrival, since a sender cannot be stopped midway. Outbound ones are ordered by the
// remaining bytes, shortest first (Schrage, "A Proof of the Optimality of the Shortest
// Remaining Processing Time Discipline", 1968), so that most of them are in time if
// not all can be.
//
// The package does no I/O and reads no clock.
package link

import (
	"slices"
	"time"
)

// defaultBytes is assumed for a body of unknown length.
const defaultBytes = 64 << 10

// Order is the scheduling order of the waiting bodies.
type Order uint8

const (
	// InOrder transfers bodies in order of arrival.
	InOrder Order = iota
	// ShortestFirst transfers the body with the fewest remaining bytes first. It
	// preempts an active body for a shorter one.
	ShortestFirst
)

// Core schedules the bodies of one direction of a link. It is not safe for concurrent
// use.
type Core struct {
	// rate is the capacity of the link in bytes per second; maxActive is the maximum
	// number of bodies transferred at a time.
	rate      float64
	maxActive int
	order     Order
	// active holds the remaining bytes of the bodies being transferred, by ticket id;
	// waiting holds the other bodies in order of arrival.
	active  map[uint64]int64
	waiting []ticket
	lastID  uint64
	// expectedBytes is the total length of announced bodies that have not arrived yet.
	expectedBytes int64
}

type ticket struct {
	id    uint64
	bytes int64
}

// New returns a Core for a link of rate bytes per second that transfers at most
// maxActive bodies at a time.
func New(rate float64, maxActive int, order Order) *Core {
	return &Core{rate: rate, maxActive: maxActive, order: order, active: map[uint64]int64{}}
}

// Expect announces a body that will arrive. A negative number withdraws the
// announcement.
func (c *Core) Expect(bytes int64) { c.expectedBytes += bytes }

// PendingBytes returns the number of bytes that a new body waits for if all others go first.
func (c *Core) PendingBytes() int64 {
	bytes := c.expectedBytes
	for _, remaining := range c.active {
		bytes += remaining
	}
	for _, t := range c.waiting {
		bytes += t.bytes
	}
	return bytes
}

// TransferTime returns how long the link needs for a body of the given length, -1 if unknown.
func (c *Core) TransferTime(bytes int64) time.Duration {
	return time.Duration(float64(lengthOrDefault(bytes)) / c.rate * float64(time.Second))
}

func lengthOrDefault(bytes int64) int64 {
	if bytes < 0 {
		return defaultBytes
	}
	return bytes
}

// Wait returns how long a new body is expected to wait for those ahead.
func (c *Core) Wait() time.Duration { return c.TransferTime(c.PendingBytes()) }

// Arrive adds a body, with -1 bytes if its length is unknown. It returns the body's
// ticket id and whether its transfer may start now.
func (c *Core) Arrive(bytes int64) (id uint64, now bool) {
	bytes = lengthOrDefault(bytes)
	c.lastID++
	if len(c.active) < c.maxActive {
		c.active[c.lastID] = bytes
		return c.lastID, true
	}
	c.waiting = append(c.waiting, ticket{c.lastID, bytes})
	return c.lastID, false
}

// RecordProgress records that a part of a body was transferred. It reports whether the transfer
// proceeds. If not, the body waits, and the transfer of replacement starts instead.
func (c *Core) RecordProgress(id uint64, bytes int) (proceed bool, replacement uint64) {
	remaining, ok := c.active[id]
	if !ok {
		return true, 0
	}
	remaining = max(0, remaining-int64(bytes))
	c.active[id] = remaining
	if c.order == InOrder || len(c.waiting) == 0 || remaining == 0 {
		return true, 0
	}
	next := c.nextIndex()
	if c.waiting[next].bytes >= remaining {
		return true, 0
	}
	t := c.waiting[next]
	c.waiting[next] = ticket{id, remaining}
	delete(c.active, id)
	c.active[t.id] = t.bytes
	return false, t.id
}

// nextIndex returns the index of the next body to start; waiting must not be empty.
func (c *Core) nextIndex() int {
	if c.order == InOrder {
		return 0
	}
	best := 0
	for i, t := range c.waiting {
		if t.bytes < c.waiting[best].bytes {
			best = i
		}
	}
	return best
}

// Remove removes a body, whether it is complete or not, and returns the ticket ids of
// the bodies whose transfer may start now.
func (c *Core) Remove(id uint64) []uint64 {
	delete(c.active, id)
	c.waiting = slices.DeleteFunc(c.waiting, func(t ticket) bool { return t.id == id })
	var started []uint64
	for len(c.waiting) > 0 && len(c.active) < c.maxActive {
		i := c.nextIndex()
		t := c.waiting[i]
		c.waiting = slices.Delete(c.waiting, i, i+1)
		c.active[t.id] = t.bytes
		started = append(started, t.id)
	}
	return started
}
