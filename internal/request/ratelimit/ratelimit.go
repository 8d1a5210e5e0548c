// Package ratelimit keeps the requests to one backend server within the rate that the server
// states in its responses. It runs in the daemon on the server's instance: every request to the
// server passes there, so that the limit holds for all daemons together.
//
// The package does no I/O and reads no clock.
package ratelimit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstTime is the time at the limit's rate that unused requests are saved for.
	burstTime = 500 * time.Millisecond
	// minPerSecond is the least limit that is applied: without any request, no response would
	// state a higher one.
	minPerSecond = 0.5
)

// Limiter holds the rate limit of one boot of a backend server, as a token bucket. The zero
// Limiter has no limit. It is not safe for concurrent use.
type Limiter struct {
	// bucket is nil if there is no limit. It begins empty, because the requests before the
	// limit was known are not in it.
	bucket *rate.Limiter
	// perSecond is the limit in force; 0 if there is none.
	perSecond float64
	// statedAt is when the limit in force was last stated.
	statedAt time.Time
	// observed is set once a response of the server has been observed.
	observed bool
}

// Limit returns the limit in force in requests per second, or 0 if there is none.
func (l *Limiter) Limit() float64 { return l.perSecond }

// Adopt applies a limit that the server has stated elsewhere, such as to another daemon, and
// reports whether the limit changed. It has no effect once a response of the server has been
// observed here.
func (l *Limiter) Adopt(now time.Time, s Statement) (changed bool) {
	perSecond := max(s.PerSecond, minPerSecond)
	if l.observed || s.Kind != Limited || l.bucket != nil && perSecond >= l.perSecond {
		return false
	}
	l.statedAt = now
	return l.set(now, perSecond)
}

// Observe applies the statement of a response that arrived now to a request that was sent at
// sent, and reports whether the limit changed.
//
// Responses may arrive in another order than the server made them. A lower limit applies at
// once. A higher one, or none, applies only if the request was sent after the limit in force was
// last stated, so that the response is certainly newer.
func (l *Limiter) Observe(sent, now time.Time, s Statement) (changed bool) {
	if s.Kind == Unreadable {
		return false
	}
	l.observed = true
	perSecond, limited := 0.0, l.bucket != nil
	if s.Kind == Limited {
		perSecond = max(s.PerSecond, minPerSecond)
	}
	lowers := s.Kind == Limited && (!limited || perSecond <= l.perSecond)
	if !lowers && (!limited || !sent.After(l.statedAt)) {
		return false
	}
	l.statedAt = now
	return l.set(now, perSecond)
}

// set puts a limit in force, 0 for none, and reports whether it changed.
func (l *Limiter) set(now time.Time, perSecond float64) (changed bool) {
	if perSecond == l.perSecond {
		return false
	}
	l.perSecond = perSecond
	burst := Burst(perSecond)
	switch {
	case perSecond == 0:
		l.bucket = nil
	case l.bucket == nil:
		l.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
		l.bucket.AllowN(now, burst)
	default:
		l.bucket.SetLimitAt(now, rate.Limit(perSecond))
		l.bucket.SetBurstAt(now, burst)
	}
	return true
}

// Burst returns the number of requests that may start at once under a limit.
func Burst(perSecond float64) int {
	return int(min(math.Ceil(perSecond*burstTime.Seconds()), math.MaxInt32))
}

// Wait returns the time until n requests may have started from now on; 0 if they may start now.
func (l *Limiter) Wait(now time.Time, n int) time.Duration {
	if l.bucket == nil {
		return 0
	}
	missing := float64(n) - l.bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / float64(l.bucket.Limit()) * float64(time.Second)))
}

// Tokens returns the number of requests that may start now; 0 if there is no limit.
func (l *Limiter) Tokens(now time.Time) float64 {
	if l.bucket == nil {
		return 0
	}
	return l.bucket.TokensAt(now)
}

// Take counts a request that starts now. The caller must have checked that Wait returns 0.
func (l *Limiter) Take(now time.Time) {
	if l.bucket != nil {
		l.bucket.AllowN(now, 1)
	}
}
