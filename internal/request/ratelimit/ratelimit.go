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
	// minPerSecond is the least rate that is applied: without any request, no response would
	// state a higher limit.
	minPerSecond = 0.5
)

// Limiter holds the rate limit of one boot of a backend server, as a token bucket. The zero
// Limiter has no limit. It is not safe for concurrent use.
type Limiter struct {
	// bucket is nil if there is no limit. It begins empty, because the requests before the
	// limit was known are not in it.
	bucket *rate.Limiter
	// perSecond is the limit as the server stated it.
	perSecond float64
	// statedAt is when the last response that stated the limit in force arrived.
	statedAt time.Time
}

// Limit returns the limit in requests per second, and whether there is one.
func (l *Limiter) Limit() (perSecond float64, limited bool) { return l.perSecond, l.bucket != nil }

// Observe applies the statement of a response that arrived now to a request that was sent at
// sent, and reports whether the limit changed.
//
// Responses may arrive in another order than the server made them. A lower limit applies at
// once. A higher one, or none, applies only if the request was sent after the limit in force was
// last stated, so that the response is certainly newer.
func (l *Limiter) Observe(sent, now time.Time, s Statement) (changed bool) {
	limited := l.bucket != nil
	switch {
	case s.Kind == Unreadable:
		return false
	case s.Kind == Limited && (!limited || s.PerSecond <= l.perSecond):
	case !limited || !sent.After(l.statedAt):
		return false
	}
	l.statedAt = now
	return l.set(now, s)
}

// set puts the limit of a readable statement in force and reports whether it changed.
func (l *Limiter) set(now time.Time, s Statement) (changed bool) {
	if s.Kind == Unlimited {
		changed = l.bucket != nil
		l.bucket, l.perSecond = nil, 0
		return changed
	}
	if l.bucket != nil && l.perSecond == s.PerSecond {
		return false
	}
	l.perSecond = s.PerSecond
	limit, burst := parameters(s.PerSecond)
	if l.bucket == nil {
		l.bucket = rate.NewLimiter(limit, burst)
		l.bucket.AllowN(now, burst)
		return true
	}
	l.bucket.SetLimitAt(now, limit)
	l.bucket.SetBurstAt(now, burst)
	return true
}

// parameters returns the rate and the size of the token bucket for a limit.
func parameters(perSecond float64) (rate.Limit, int) {
	perSecond = max(perSecond, minPerSecond)
	burst := min(math.Ceil(perSecond*burstTime.Seconds()), math.MaxInt32)
	return rate.Limit(perSecond), int(burst)
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

// Take counts a request that starts now. The caller must have checked that Wait returns 0.
func (l *Limiter) Take(now time.Time) {
	if l.bucket != nil {
		l.bucket.AllowN(now, 1)
	}
}
