// Package inflow decides which large request bodies come in over an instance's
// link now, and which wait. A link that all of them share at a time brings the
// first one no sooner than the last, and what is small waits behind all of them;
// one after the other the mean wait is about half.
//
// The package does no I/O and reads no clock.
package inflow

import (
	"slices"
	"time"
)

// usualBytes stands for a body whose length is not told.
const usualBytes = 64 << 10

// Core is the bodies of one link. It is not safe for concurrent use.
type Core struct {
	// rate is the link's bytes a second, most how many bodies come at a time.
	rate float64
	most int
	// coming are the bodies that come now, by ticket, with the bytes left; waiting
	// are the others in order of arrival.
	coming  map[uint64]int64
	waiting []ticket
	next    uint64
}

type ticket struct {
	id    uint64
	bytes int64
}

// New returns a Core. rate is in bytes a second; most bodies come at a time.
func New(rate float64, most int) *Core {
	return &Core{rate: rate, most: most, coming: map[uint64]int64{}}
}

// Ahead is the bytes that a new body waits for.
func (c *Core) Ahead() int64 {
	var bytes int64
	for _, left := range c.coming {
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
func (c *Core) Wait() time.Duration {
	return time.Duration(float64(c.Ahead()) / c.rate * float64(time.Second))
}

// Arrive takes in a body, -1 bytes if its length is not told. It returns the
// body's ticket and whether it may come now.
func (c *Core) Arrive(bytes int64) (id uint64, now bool) {
	bytes = lengthOf(bytes)
	c.next++
	if len(c.coming) < c.most {
		c.coming[c.next] = bytes
		return c.next, true
	}
	c.waiting = append(c.waiting, ticket{c.next, bytes})
	return c.next, false
}

// Came tells that a part of a body is here.
func (c *Core) Came(id uint64, bytes int) {
	if left, ok := c.coming[id]; ok {
		c.coming[id] = max(0, left-int64(bytes))
	}
}

// Leave takes a body out, whether it came or not, and returns the tickets of
// those that may come now.
func (c *Core) Leave(id uint64) []uint64 {
	delete(c.coming, id)
	c.waiting = slices.DeleteFunc(c.waiting, func(t ticket) bool { return t.id == id })
	var started []uint64
	for len(c.waiting) > 0 && len(c.coming) < c.most {
		t := c.waiting[0]
		c.waiting = c.waiting[1:]
		c.coming[t.id] = t.bytes
		started = append(started, t.id)
	}
	return started
}
