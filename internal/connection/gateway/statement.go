package gateway

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/request/ratelimit"
)

// Log messages about what a backend server states in its responses.
const (
	logRateLimit           = "rate limit of a backend server changed"
	logRateLimitUnreadable = "rate limit of a backend server is not a number of requests per second"
	logRateLimitAdopted    = "rate limit of a backend server learned from another daemon"
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

// adoptStatement applies what the server has stated to the daemon where the request originated:
// this daemon may have restarted since.
func (g *Gateway) adoptStatement(b *backend, server *presence.Server, req *backendRequest) {
	if b == nil || req.known.RateLimit == 0 || req.known.Boot != server.Boot {
		return
	}
	if b.gate.AdoptRateLimit(req.known.RateLimit) {
		g.log.Info(logRateLimitAdopted, "server", req.addr, "boot", server.Boot, "per_second", req.known.RateLimit)
	}
}

// statementAt returns what the server at an address of this instance states, and whether there
// is one.
func (g *Gateway) statementAt(addr string) (balance.Statement, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.backends[addr]
	if b == nil || b.removed {
		return balance.Statement{}, false
	}
	return balance.Statement{Boot: b.server.Boot, RateLimit: b.gate.RateLimit()}, true
}

// writeStatement adds what the server states to the response to a forwarded request.
func (g *Gateway) writeStatement(h http.Header, req *backendRequest) {
	s, known := g.statementAt(req.addr)
	if known && (s.RateLimit > 0 || req.known.RateLimit > 0 && req.known.Boot == s.Boot) {
		h.Set(headerStatement, formatStatement(s))
	}
}

// formatStatement encodes a statement for another daemon: the rate limit, a space and the boot.
func formatStatement(s balance.Statement) string {
	return strconv.FormatFloat(s.RateLimit, 'g', -1, 64) + " " + s.Boot
}

// parseStatement parses the result of formatStatement. It returns no limit if the text cannot be
// read.
func parseStatement(text string) balance.Statement {
	limit, boot, _ := strings.Cut(text, " ")
	perSecond, err := strconv.ParseFloat(limit, 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return balance.Statement{}
	}
	return balance.Statement{Boot: boot, RateLimit: perSecond}
}
