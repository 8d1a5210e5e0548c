// Package sample chooses the requests that a log tells of when there are too
// many for all: a share that is halved while lines come too fast, and doubled
// when there is room again.
//
// A request is chosen by its id alone, and the requests of a smaller share are
// among those of a greater one. So daemons that chose different shares still
// tell of the same requests, and the path of one is found on all of them.
//
// The package does no I/O and reads no clock.
package sample

import (
	"hash/fnv"
	"time"
)

const (
	// halvingsMax bounds how small the share becomes: one request in 65,536.
	halvingsMax = 16
	// hardCap bounds the lines of a second, in multiples of what is wanted: the
	// share is right only after some lines.
	hardCap = 2
)

// Sampler chooses requests. The zero value chooses each. It is not safe for
// concurrent use.
type Sampler struct {
	perSecond int
	halvings  int
	second    time.Time
	// offered and kept count the lines of this second.
	offered, kept int
	heldBack      int
}

// New returns a Sampler for so many lines a second; 0 keeps every line.
func New(perSecond int) *Sampler { return &Sampler{perSecond: perSecond} }

// Keep reports whether a line about a request is written, and how many were
// held back since the last one that was.
func (s *Sampler) Keep(now time.Time, id string) (heldBack int, keep bool) {
	if s.perSecond == 0 {
		return 0, true
	}
	if now.Sub(s.second) >= time.Second {
		s.next(now)
	}
	s.offered++
	if !s.chosen(id) || s.kept >= hardCap*s.perSecond {
		s.heldBack++
		return 0, false
	}
	s.kept++
	if s.kept%s.perSecond == 0 && s.halvings < halvingsMax {
		s.halvings++
	}
	heldBack, s.heldBack = s.heldBack, 0
	return heldBack, true
}

// next begins a second. The share grows when twice as many lines as in the last
// one would have fitted.
func (s *Sampler) next(now time.Time) {
	if s.halvings > 0 && (s.offered>>(s.halvings-1)) < s.perSecond {
		s.halvings--
	}
	s.second, s.offered, s.kept = now, 0, 0
}

// chosen reports whether a request is in the share. One without an id is in each.
func (s *Sampler) chosen(id string) bool {
	if id == "" {
		return true
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash does not fail
	return h.Sum32()&(1<<s.halvings-1) == 0
}
