// Package retry limits the retries of a daemon to a small fraction of its requests,
// so that retries do not add to the load of a failing service.
//
// The package does no I/O and reads no clock.
package retry

import "time"

// Limits bound the retries from one daemon to one service.
type Limits struct {
	// Ratio is the number of retries earned per request.
	Ratio float64
	// Slack is the maximum number of retries saved up.
	Slack float64
	// Window is the time in which Slack retries are earned without any requests,
	// for services with few of them; 0 disables this.
	Window time.Duration
	// Since is the time from which on retries are earned by time. It lets a restarted
	// process start with an empty budget, because its predecessor may have spent its
	// slack within the last window. With the zero time, the budget starts full.
	Since time.Time
}

// Defaults returns limits of one retry per five requests, with a slack of 20 that is
// earned within ten seconds.
func Defaults() Limits { return Limits{Ratio: 0.2, Slack: 20, Window: 10 * time.Second} }

// Budget is a token bucket for the retries to one service. The zero value uses the
// limits of Defaults. It is not safe for concurrent use.
type Budget struct {
	limits     Limits
	configured bool
	// tokens is the number of retries saved up, at most limits.Slack. It is negative
	// if the budget is overdrawn.
	tokens float64
	// refilledAt is when tokens was last updated; zero before the first use.
	refilledAt time.Time
	counts     Counts
}

// Counts are the numbers of retries granted and denied since the start.
type Counts struct{ Taken, Denied uint64 }

// Counts returns the counts so far.
func (b *Budget) Counts() Counts { return b.counts }

// Limits returns the current limits.
func (b *Budget) Limits() Limits { return b.limits }

// SetLimits changes the limits. An increase of Slack does not add tokens.
func (b *Budget) SetLimits(l Limits) {
	b.limits, b.configured = l, true
	b.tokens = min(b.tokens, l.Slack)
}

// Request records a first attempt.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	b.add(b.limits.Ratio)
}

// Take spends one retry and reports whether one was available.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		b.counts.Denied++
		return false
	}
	b.counts.Taken++
	b.tokens--
	return true
}

// Charge spends retries, or a fraction of one, that can no longer be prevented. It may
// overdraw the budget; the debt has to be earned back before the next Take succeeds.
func (b *Budget) Charge(now time.Time, retries float64) {
	b.refill(now)
	b.tokens -= retries
}

// Tokens returns the number of retries saved up; it is negative if the budget is overdrawn.
func (b *Budget) Tokens(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

func (b *Budget) add(tokens float64) { b.tokens = min(b.tokens+tokens, b.limits.Slack) }

func (b *Budget) refill(now time.Time) {
	if !b.configured {
		b.SetLimits(Defaults())
	}
	from := b.refilledAt
	if from.IsZero() {
		from = b.limits.Since
	}
	b.refilledAt = now
	switch {
	case from.IsZero():
		b.tokens = b.limits.Slack
	case b.limits.Window > 0:
		if from.Before(b.limits.Since) {
			from = b.limits.Since
		}
		b.add(b.limits.Slack * max(0, now.Sub(from).Seconds()) / b.limits.Window.Seconds())
	}
}
