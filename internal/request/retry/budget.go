// Package retry limits the retries of a daemon to a small fraction of its requests,
// so that retries do not add to the load of a failing service.
//
// In a large fleet, the slack of each daemon is below one retry. A daemon then saves up a
// retry from its requests; until it has, it stakes the fraction that it has saved.
//
// The package does no I/O and reads no clock.
package retry

import (
	"math"
	"time"
)

// Limits bound the retries from one daemon to one service.
type Limits struct {
	// Ratio is the number of retries earned per request.
	Ratio float64
	// Slack is the maximum number of retries saved up. If it is below 1, part of those
	// earned per request may be saved in addition, up to one retry in all.
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

// maxReservedShare is the maximum fraction of the retries earned per request that is saved.
const maxReservedShare = 0.25

// Budget is a token bucket for the retries to one service. The zero value uses the
// limits of Defaults. It is not safe for concurrent use.
type Budget struct {
	limits     Limits
	configured bool
	// tokens is the number of retries saved up, at most limits.Slack and the reserve. It is
	// negative if the budget is overdrawn.
	tokens float64
	// recent is the number of requests within about limits.Window before requestedAt.
	recent      float64
	requestedAt time.Time
	// refilledAt is when tokens was last updated; zero before the first use.
	refilledAt time.Time
	// stake holds the tokens that denied retries spent.
	stake  float64
	counts Counts
}

// SetStake sets what earlier denied retries are assumed to have staked, in [0, 1). Random values make
// the retries of many daemons with fractions of a token proportional to the sum of these.
func (b *Budget) SetStake(stake float64) { b.stake = stake }

// Counts are the numbers of retries granted and denied since the start.
type Counts struct{ Taken, Denied uint64 }

// Counts returns the counts so far.
func (b *Budget) Counts() Counts { return b.counts }

// Limits returns the current limits.
func (b *Budget) Limits() Limits { return b.limits }

// SetLimits changes the limits. An increase of Slack does not add tokens.
func (b *Budget) SetLimits(l Limits) {
	b.limits, b.configured = l, true
	b.add(0)
}

// Request records a first attempt.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	b.recent = b.recent*b.decay(now) + 1
	b.requestedAt = now
	b.add(b.limits.Ratio * (1 - b.reservedShare()))
}

// Take spends one retry and reports whether one was available. With a slack below one retry, it
// stakes a fraction of a retry if there is no whole one, and grants one retry per whole one staked.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.limits.Slack < 1 && b.tokens > 0 && b.tokens < 1 {
		b.stake += b.tokens
		b.tokens = math.Floor(b.stake)
		b.stake -= b.tokens
	}
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

func (b *Budget) add(tokens float64) { b.tokens = min(b.tokens+tokens, b.capacity()) }

// capacity returns the maximum number of retries saved up.
func (b *Budget) capacity() float64 { return b.limits.Slack + b.reservedShare()*b.earned() }

// earned returns the number of retries that the requests of the last window earned.
func (b *Budget) earned() float64 { return b.limits.Ratio * b.recent }

// reservedShare returns the fraction of the earned retries that is saved instead of spent at
// once, so that the slack together with them reaches one retry. The retries saved from one
// window and those earned in the next then stay within the ratio.
func (b *Budget) reservedShare() float64 {
	missing := 1 - b.limits.Slack
	if missing <= 0 || b.earned() == 0 {
		return 0
	}
	return min(missing/b.earned(), maxReservedShare)
}

// decay returns the remaining weight of the requests counted at requestedAt.
func (b *Budget) decay(now time.Time) float64 {
	if b.limits.Window == 0 {
		return 0
	}
	return math.Exp(-max(0, now.Sub(b.requestedAt).Seconds()) / b.limits.Window.Seconds())
}

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
