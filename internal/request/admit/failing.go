package admit

import "time"

// failureRateWeight is the weight of one request in the failure rate, which thus
// covers about the last ten requests.
const failureRateWeight = 0.1

// Ended records whether a request that reached the server failed there. Failures count for less
// the longer no request has ended since.
func (c *Core) Ended(now time.Time, failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	c.failureRate *= RemainingWeight(now.Sub(c.endedAt))
	c.failureRate += failureRateWeight * (sample - c.failureRate)
	c.endedAt = now
}

// FailureRate returns the smoothed fraction of requests that fail.
func (c *Core) FailureRate() float64 { return c.failureRate }
