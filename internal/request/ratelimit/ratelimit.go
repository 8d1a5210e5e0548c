// Package ratelimit determines the rate of requests that a backend server accepts from what the
// server states in its responses.
//
// The package does no I/O and reads no clock.
package ratelimit

import "time"

// Limiter holds the rate limit of one boot of a backend server. The zero Limiter has no limit.
// It is not safe for concurrent use.
type Limiter struct {
	limited bool
	// perSecond is the limit in force, valid if limited is set.
	perSecond float64
	// statedAt is when the last response that stated the limit in force arrived.
	statedAt time.Time
}

// Limit returns the limit in requests per second, and whether there is one.
func (l *Limiter) Limit() (perSecond float64, limited bool) { return l.perSecond, l.limited }

// Observe applies the statement of a response that arrived now to a request that was sent at
// sent, and reports whether the limit changed.
//
// Responses may arrive in another order than the server made them. A lower limit applies at
// once. A higher one, or none, applies only if the request was sent after the limit in force was
// last stated, so that the response is certainly newer.
func (l *Limiter) Observe(sent, now time.Time, s Statement) (changed bool) {
	switch {
	case s.Kind == Unreadable:
		return false
	case s.Kind == Limited && (!l.limited || s.PerSecond <= l.perSecond):
	case !l.limited || !sent.After(l.statedAt):
		return false
	}
	changed = l.limited != (s.Kind == Limited) || l.perSecond != s.PerSecond
	l.limited, l.perSecond, l.statedAt = s.Kind == Limited, s.PerSecond, now
	return changed
}
