package gateway

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/request/ratelimit"
	"github.com/daisygate/daisygate/internal/version/directory"
)

// TestLoadIsReadWhileServerLeaves guards against a data race between reading a server's
// load and removing the server.
func TestLoadIsReadWhileServerLeaves(t *testing.T) {
	g := New(Config{Directory: func() *directory.Directory { return &directory.Directory{} }}, logr.Discard())
	const addr = "127.0.0.1:1"
	var wait sync.WaitGroup
	wait.Go(func() {
		for range 1000 {
			g.LocalLoad(addr)
		}
	})
	for range 1000 {
		g.SetServers([]presence.Server{{Addr: addr, Slots: 1, Connections: 1, State: presence.Serving}})
		g.SetServers(nil)
	}
	wait.Wait()
}

// TestReportAfterHealthCheckForgetsLimit guards against a daemon that takes the first report of
// a server, which it knows from a health check, for another start of it, and forgets its rate
// limit and what runs there.
func TestReportAfterHealthCheckForgetsLimit(t *testing.T) {
	c := qt.New(t)
	g := New(Config{Directory: func() *directory.Directory { return &directory.Directory{} }}, logr.Discard())
	server := presence.Server{Addr: "127.0.0.1:1", Slots: 1, Connections: 1, State: presence.Serving, Boot: "one"}
	g.SetServers([]presence.Server{server})
	g.AdoptRateLimit(server.Addr, "other", ratelimit.Statement{Kind: ratelimit.Limited, PerSecond: 1})
	g.AdoptRateLimit(server.Addr, server.Boot, ratelimit.Statement{Kind: ratelimit.Limited, PerSecond: 3})
	limit := func() float64 { load, _ := g.LocalLoad(server.Addr); return load.RateLimit }
	c.Assert(limit(), qt.Equals, 3.0)
	server.Started = 5
	g.SetServers([]presence.Server{server})
	c.Assert(limit(), qt.Equals, 3.0)
	server.Started = 6
	g.SetServers([]presence.Server{server})
	c.Assert(limit(), qt.Equals, 0.0)
}

// TestServerReturnsWhileRequestsRun guards against a data race between sending a request to a
// server and the return of the server after its announcement has lapsed.
func TestServerReturnsWhileRequestsRun(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 1)
	addr, _ := rawServer(c, func(_ int64, _ *http.Request, conn net.Conn) bool {
		time.Sleep(time.Millisecond)
		return writeRaw(conn, okAnswer+"ok")
	})
	f.addServers(64, map[int]string{0: addr})
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			for range 50 {
				f.do(0, "GET", "/again", nil)
			}
		})
	}
	done := make(chan struct{})
	go func() { wait.Wait(); close(done) }()
	for {
		select {
		case <-done:
			return
		default:
			f.gateways[0].SetServers(nil)
			f.gateways[0].SetServers(f.records[0].Servers)
		}
	}
}
