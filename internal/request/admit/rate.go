package admit

import (
	"time"

	"github.com/daisygate/daisygate/internal/request/ratelimit"
)

// RateLimit returns the server's rate limit in requests per second; 0 if it has none.
func (c *Core) RateLimit() float64 {
	perSecond, limited := c.rate.Limit()
	if !limited {
		return 0
	}
	return perSecond
}

// ObserveRateLimit applies the rate limit stated in a response that arrived now to a request
// that was sent at sent, and reports whether the limit changed.
func (c *Core) ObserveRateLimit(sent, now time.Time, s ratelimit.Statement) (changed bool) {
	return c.rate.Observe(sent, now, s)
}
