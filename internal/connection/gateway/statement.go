package gateway

import (
	"time"

	"github.com/daisygate/daisygate/internal/request/ratelimit"
)

// Log messages about what a backend server states in its responses.
const (
	logRateLimit           = "rate limit of a backend server changed"
	logRateLimitUnreadable = "rate limit of a backend server is not a number of requests per second"
	logLeaving             = "backend server states that it is leaving"
)

// recordStatements records what the server states about itself in a response to a request that
// was sent at sent.
func (g *Gateway) recordStatements(b *backend, req *backendRequest, sent time.Time, m *ResponseMetadata) {
	g.recordRateLimit(b, req, sent, m)
	if m.Leaving && b.leaving.CompareAndSwap(false, true) {
		g.log.Info(logLeaving, "server", req.addr, "boot", req.boot)
	}
}

// recordRateLimit applies the rate limit that the response states. A response without a limit
// to a request that was not run is ignored: it may come from a part of the server that does not
// know the limit.
func (g *Gateway) recordRateLimit(b *backend, req *backendRequest, sent time.Time, m *ResponseMetadata) {
	if m.RateLimit.Kind == ratelimit.Unreadable {
		g.log.Info(logRateLimitUnreadable, "server", req.addr, "boot", req.boot)
	}
	if m.NotRun && m.RateLimit.Kind == ratelimit.Unlimited {
		return
	}
	if before, after, changed := b.gate.ObserveRateLimit(sent, m.RateLimit); changed {
		g.log.Info(logRateLimit, "server", req.addr, "boot", req.boot, "per_second", after, "before", before)
	}
}
