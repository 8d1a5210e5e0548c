package gateway

import (
	"fmt"
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
	logRateLimitAdopted    = "rate limit of a backend server learned from another daemon or a health check"
	logLeaving             = "backend server states that it is leaving"
)

// recordStatements records what the server states about itself in a response to a request that
// was sent at sent.
func (g *Gateway) recordStatements(b *backend, req *backendRequest, sent time.Time, m *ResponseMetadata) {
	g.recordRateLimit(b, req, sent, m)
	if m.Leaving && b.leaving.CompareAndSwap(false, true) {
		g.log.Info(logLeaving, "server", req.addr, "boot", req.boot)
		g.cfg.OnLeaving(req.addr, req.boot, req.started)
	}
	req.stated = b.statement(req.boot, req.started)
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
	if b == nil || req.known.RateLimit == 0 || !req.known.SameBoot(balance.ServerStatement{Boot: server.Boot, Started: server.Started}) {
		return
	}
	g.adoptRateLimit(b, server, ratelimit.Statement{Kind: ratelimit.Limited, PerSecond: req.known.RateLimit})
}

// AdoptRateLimit applies a rate limit that a boot of the server at an address of this instance
// has stated other than in a response to a request of the gateway.
func (g *Gateway) AdoptRateLimit(addr, boot string, s ratelimit.Statement) {
	if b, server := g.backendAt(addr); b != nil && server.Boot == boot {
		g.adoptRateLimit(b, &server, s)
	}
}

func (g *Gateway) adoptRateLimit(b *backend, server *presence.Server, s ratelimit.Statement) {
	if b.gate.AdoptRateLimit(s) {
		g.log.Info(logRateLimitAdopted, "server", server.Addr, "boot", server.Boot, "per_second", s.PerSecond)
	}
}

// statement returns what a boot of the server states.
func (b *backend) statement(boot string, started int64) balance.ServerStatement {
	return balance.ServerStatement{Boot: boot, Started: started, RateLimit: b.gate.RateLimit(), Leaving: b.leaving.Load()}
}

// statementFor returns what the server that handled the request states, or else the server at
// its address, and whether there is one.
func (g *Gateway) statementFor(req *backendRequest) (balance.ServerStatement, bool) {
	if req.stated != (balance.ServerStatement{}) {
		return req.stated, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.backends[req.addr]
	if b == nil || b.removed {
		return balance.ServerStatement{}, false
	}
	return b.statement(b.server.Boot, b.server.Started), true
}

// writeStatement adds what the server states to the response to a forwarded request.
func (g *Gateway) writeStatement(h http.Header, req *backendRequest) {
	s, known := g.statementFor(req)
	if !known {
		return
	}
	outdated := req.known.RateLimit > 0 && req.known.SameBoot(s)
	if s.RateLimit > 0 || s.Leaving || outdated {
		h.Set(headerStatement, formatStatement(s))
	}
}

// statementFields is the number of fields of a formatted statement. The last one, the boot, may
// contain spaces.
const statementFields = 4

// formatStatement encodes a statement for another daemon: the rate limit, whether the server is
// leaving, and when and as what it started.
func formatStatement(s balance.ServerStatement) string {
	return fmt.Sprintf("%g %t %d %s", s.RateLimit, s.Leaving, s.Started, s.Boot)
}

// parseStatement parses headerStatement and reports whether there is one that can be read.
func parseStatement(h http.Header) (balance.ServerStatement, bool) {
	fields := strings.SplitN(h.Get(headerStatement), " ", statementFields)
	if len(fields) < statementFields {
		return balance.ServerStatement{}, false
	}
	limit := ratelimit.Parse(fields[:1])
	leaving, errLeaving := strconv.ParseBool(fields[1])
	started, errStarted := strconv.ParseInt(fields[2], 10, 64)
	if limit.Kind != ratelimit.Limited || errLeaving != nil || errStarted != nil {
		return balance.ServerStatement{}, false
	}
	return balance.ServerStatement{Boot: fields[3], Started: started, RateLimit: limit.PerSecond, Leaving: leaving}, true
}
