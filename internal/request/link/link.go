// Package link decides which of the large bodies that share one direction of an
// instance's link go now, and which wait. A link that all of them share at a time
// brings the first one no sooner than the last, and what is small waits behind all
// of them; one after the other the mean wait is about half.
//
// The load it answers: large requests (uploads) or large answers (downloads) that
// ask for nearly all that the links carry. What comes in goes in order of arrival,
// since a sender cannot be stopped midway; what goes out goes by the bytes left,
// the shortest first (Schrage, "A Proof of the Optimality of the Shortest Remaining
// Processing Time Discipline", 1968), which lets most of them be in time where not
// all can be.
//
// The package does no I/O and reads no clock.
package link

import (
	"slices"
	"time"
)

// usualBytes stands for a body whose length is not told.
const usualBytes = 64 << 10

// Order is which of the waiting bodies goes next.
type Order uint8

// The orders.
const (
	// InOrder is by arrival.
	InOrder Order = iota
	// ShortestFirst is by the bytes left; one that goes is stopped for a shorter.
	ShortestFirst
)

// Core is the bodies of one direction of a link. It is not safe for concurrent use.
type Core struct {
	// rate is the link's bytes a second, most how many bodies go at a time.
	rate  float64
	most  int
	order Order
	// going are the bodies that go now, by ticket, with the bytes left; waiting are
	// the others in order of arrival.
	going   map[uint64]int64
	waiting []ticket
	next    uint64
	// expected is the bytes of bodies that are sure to come and have not arrived.
	expected int64
}

type ticket struct {
	id    uint64
	bytes int64
}

// New returns a Core. rate is in bytes a second; most bodies go at a time.
func New(rate float64, most int, order Order) *Core {
	return &Core{rate: rate, most: most, order: order, going: map[uint64]int64{}}
}

// Expect adds the bytes of a body to come, and takes them away again if they are
// below 0.
func (c *Core) Expect(bytes int64) { c.expected += bytes }

// Ahead is the bytes that a new body waits for if it has to let all others go first.
func (c *Core) Ahead() int64 {
	bytes := c.expected
	for _, left := range c.going {
		bytes += left
	}
	for _, t := range c.waiting {
		bytes += t.bytes
	}
	return bytes
}

// Takes is how long a body of so many bytes takes the link, -1 if they are not told.
func (c *Core) Takes(bytes int64) time.Duration {
	return time.Duration(float64(lengthOf(bytes)) / c.rate * float64(time.Second))
}

func lengthOf(bytes int64) int64 {
	if bytes < 0 {
		return usualBytes
	}
	return bytes
}

// Wait is how long a new body is expected to wait for those ahead.
func (c *Core) Wait() time.Duration { return c.Takes(c.Ahead()) }

// Arrive takes in a body, -1 bytes if its length is not told. It returns the
// body's ticket and whether it may go now.
func (c *Core) Arrive(bytes int64) (id uint64, now bool) {
	bytes = lengthOf(bytes)
	c.next++
	if len(c.going) < c.most {
		c.going[c.next] = bytes
		return c.next, true
	}
	c.waiting = append(c.waiting, ticket{c.next, bytes})
	return c.next, false
}

// Went tells that a part of a body is through. It reports whether the body goes on;
// if not it waits, and the one returned goes in its place.
func (c *Core) Went(id uint64, bytes int) (goesOn bool, instead uint64) {
	left, ok := c.going[id]
	if !ok {
		return true, 0
	}
	left = max(0, left-int64(bytes))
	c.going[id] = left
	if c.order == InOrder || len(c.waiting) == 0 || left == 0 {
		return true, 0
	}
	first := c.first()
	if c.waiting[first].bytes >= left {
		return true, 0
	}
	t := c.waiting[first]
	c.waiting[first] = ticket{id, left}
	delete(c.going, id)
	c.going[t.id] = t.bytes
	return false, t.id
}

// first is the place of the body that goes next; some must wait.
func (c *Core) first() int {
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

// Leave takes a body out, whether it is through or not, and returns the tickets of
// those that may go now.
func (c *Core) Leave(id uint64) []uint64 {
	delete(c.going, id)
	c.waiting = slices.DeleteFunc(c.waiting, func(t ticket) bool { return t.id == id })
	var started []uint64
	for len(c.waiting) > 0 && len(c.going) < c.most {
		i := c.first()
		t := c.waiting[i]
		c.waiting = slices.Delete(c.waiting, i, i+1)
		c.going[t.id] = t.bytes
		started = append(started, t.id)
	}
	return started
}
