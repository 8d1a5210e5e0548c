// Package sample selects the requests to log if there are too many to log them all.
// The sampled fraction is halved while lines come too fast, and doubled when there
// is room again.
//
// The selection depends only on the request's id, and a smaller sample is a subset
// of a larger one. So daemons with different fractions still log the same requests,
// and the path of a request can be found on all of them.
//
// The package does no I/O and reads no clock.
package sample

import (
	"hash/fnv"
	"time"
)

const (
	// maxHalvings bounds the sampled fraction from below: one request in 65,536.
	maxHalvings = 16
	// burstFactor bounds the lines in any second, in multiples of the configured rate,
	// because the sampled fraction takes some lines to adapt.
	burstFactor = 2
)

// Sampler selects requests. The zero value selects all of them. It is not safe for
// concurrent use.
type Sampler struct {
	perSecond   int
	halvings    int
	secondStart time.Time
	// offered and kept count the lines of the current second.
	offered, kept int
	suppressed    int
}

// New returns a Sampler for perSecond lines a second; 0 keeps every line.
func New(perSecond int) *Sampler { return &Sampler{perSecond: perSecond} }

// Keep reports whether to write a line about a request, and how many lines were
// suppressed since the last one that was written.
func (s *Sampler) Keep(now time.Time, id string) (suppressed int, keep bool) {
	if s.perSecond == 0 {
		return 0, true
	}
	if now.Sub(s.secondStart) >= time.Second {
		s.startSecond(now)
	}
	s.offered++
	if !s.chosen(id) || s.kept >= burstFactor*s.perSecond {
		s.suppressed++
		return 0, false
	}
	s.kept++
	if s.kept%s.perSecond == 0 && s.halvings < maxHalvings {
		s.halvings++
	}
	suppressed, s.suppressed = s.suppressed, 0
	return suppressed, true
}

// startSecond begins a new second. It doubles the sampled fraction if twice the lines
// of the last second would have fitted.
func (s *Sampler) startSecond(now time.Time) {
	if s.halvings > 0 && (s.offered>>(s.halvings-1)) < s.perSecond {
		s.halvings--
	}
	s.secondStart, s.offered, s.kept = now, 0, 0
}

// chosen reports whether a request is sampled. Requests without an id always are.
func (s *Sampler) chosen(id string) bool {
	if id == "" {
		return true
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash does not fail
	return h.Sum32()&(1<<s.halvings-1) == 0
}
