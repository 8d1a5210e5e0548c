// Package retry keeps the retries of a daemon to a small share of its requests,
// so that a failing service is not asked ever more.
//
// The package does no I/O and reads no clock.
package retry

import "time"

// The budget's constants.
const (
	// share is what each request adds: at most one retry in five requests.
	share = 0.2
	// perSecond lets a service with few requests retry all the same.
	perSecond = 2.0
	// most is the largest number of retries saved up.
	most = 20.0
)

// Budget is a token bucket for the retries to one service. The zero value is
// full. It is not safe for concurrent use.
type Budget struct {
	// spent is between 0 and most.
	spent float64
	last  time.Time
}

// Request notes a first attempt.
func (b *Budget) Request() { b.spent = max(0, b.spent-share) }

// Take spends one retry and reports whether there was one left.
func (b *Budget) Take(now time.Time) bool {
	if b.last.IsZero() {
		b.last = now
	}
	b.spent = max(0, b.spent-perSecond*max(0, now.Sub(b.last).Seconds()))
	b.last = now
	if b.spent+1 > most {
		return false
	}
	b.spent++
	return true
}
