package allowance

import "time"

// bucket is a token bucket whose rate and capacity may change.
type bucket struct {
	rate, capacity float64
	tokens         float64
	refilledAt     time.Time
	// threshold is the number of tokens needed for the next request. It is random in [0, 1) for
	// small shares: if many daemons each have a fraction of a token, some of them admit a
	// request, so that together they use the sum of their tokens.
	threshold float64
	// nextSlot is when the next refused caller may retry. Callers are spread over time at the
	// rate of the bucket, in the order of their requests.
	nextSlot time.Time
}

// maxRetryAfter bounds the time after which a refused caller may retry.
const maxRetryAfter = 2 * time.Second

func (b *bucket) refill(now time.Time) {
	if !b.refilledAt.IsZero() {
		elapsed := max(0, now.Sub(b.refilledAt).Seconds())
		b.tokens = min(b.tokens+elapsed*b.rate, b.capacity)
	}
	b.refilledAt = now
}

// take spends a token, or returns when to retry. random is the random number for the next
// threshold.
func (b *bucket) take(now time.Time, random float64) (retryAfter time.Duration, ok bool) {
	b.refill(now)
	if b.tokens >= b.threshold {
		b.tokens--
		b.threshold = random
		return 0, true
	}
	if b.rate <= 0 {
		return maxRetryAfter, false
	}
	ready := now.Add(secondsToDuration((b.threshold - b.tokens) / b.rate))
	if b.nextSlot.Before(ready) {
		b.nextSlot = ready
	}
	if limit := now.Add(maxRetryAfter); b.nextSlot.After(limit) {
		b.nextSlot = limit
	}
	retryAfter = b.nextSlot.Sub(now)
	b.nextSlot = b.nextSlot.Add(secondsToDuration(1 / b.rate))
	return retryAfter, false
}

// restrict changes the rate and capacity. The tokens saved so far are kept up to the capacity. If
// the rate falls below half, they are reduced in proportion. Smaller changes are the noise of
// dividing a limit, which would wear away tokens that are saved up over minutes.
func (b *bucket) restrict(now time.Time, rate, capacity float64) {
	b.refill(now)
	if rate < b.rate/2 && b.tokens > 0 {
		b.tokens *= rate / b.rate
	}
	b.rate, b.capacity = rate, capacity
	b.tokens = min(b.tokens, capacity)
}

// secondsToDuration converts seconds to a duration of at most an hour.
func secondsToDuration(s float64) time.Duration {
	return time.Duration(min(s, 3600) * float64(time.Second))
}
