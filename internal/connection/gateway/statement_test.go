package gateway

import (
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/request/balance"
)

// TestStatementsReachTheFirstDaemon checks that what a server states in its responses limits the
// requests to it, reaches the daemon that a caller uses, and is hidden from the caller.
func TestStatementsReachTheFirstDaemon(t *testing.T) {
	forLocalAndForwarded(t, func(c *qt.C, f *testFleet, at int) {
		addr, runs := rawServer(c, func(_ int64, _ *http.Request, conn net.Conn) bool {
			return writeRaw(conn, "HTTP/1.1 200 OK\nDaisygate-Rate-Limit: 0.5\nDaisygate-Leaving: 1\nContent-Length: 2\n\nok")
		})
		var left []string
		f.gateways[at].cfg.OnLeaving = func(addr, boot string, _ int64) { left = append(left, addr+" "+boot) }
		f.addServer(at, presence.Server{Mesh: "m", Service: "s", Addr: addr, Slots: 4, Connections: 4, State: presence.Serving, Boot: "b 1", Started: 7})
		answered := f.do(0, "GET", "/short", nil)
		c.Assert(answered.status, qt.Equals, http.StatusOK)
		c.Check(answered.resp.Header.Get(HeaderRateLimit)+answered.resp.Header.Get(HeaderLeaving), qt.Equals, "")
		c.Check(left, qt.DeepEquals, []string{addr + " b 1"})
		route, err := f.snap.Match("GET", "", "/short")
		c.Assert(err, qt.IsNil)
		target := route.Pick(0).Key
		table := f.gateways[0].service(target).core.Table
		candidate := f.dir.Load().Candidates(target)[0]
		c.Check(table.StatementOf(candidate), qt.Equals, balance.ServerStatement{Boot: "b 1", Started: 7, RateLimit: 0.5, Leaving: true})
		refused := f.do(0, "GET", "/short", nil)
		c.Check(refused.status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(runs.Load(), qt.Equals, int64(1))
	})
}

// TestUnreadableStatementIsIgnored checks that headers which are not from this release are not
// taken for a statement.
func TestUnreadableStatementIsIgnored(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{"", "5", "x false 0 b", "5 maybe 0 b", "5 false now b", "NaN false 0 b"} {
		_, ok := parseStatement(http.Header{headerStatement: {text}})
		c.Check(ok, qt.IsFalse, qt.Commentf("%q", text))
	}
	s := balance.ServerStatement{Boot: "b 1", Started: 7, RateLimit: 2.5}
	parsed, ok := parseStatement(http.Header{headerStatement: {formatStatement(s)}})
	c.Check(ok, qt.IsTrue)
	c.Check(parsed, qt.Equals, s)
}
