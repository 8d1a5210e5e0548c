package gateway

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStartIsWaitedFor covers callers that reach a daemon which has just started. They
// must be answered once its first version is active, rather than be sent to other daemons
// that have none either.
func TestStartIsWaitedFor(t *testing.T) {
	c := qt.New(t)
	f, answered := newStartingFleet(c, time.Now())
	var ready atomic.Bool
	f.gateways[0].cfg.Ready = ready.Load
	time.AfterFunc(300*time.Millisecond, func() { ready.Store(true) })
	var callers sync.WaitGroup
	for range 20 {
		callers.Go(func() {
			a := f.do(0, "GET", "/first", nil)
			c.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", a))
		})
	}
	callers.Wait()
	c.Check(answered.Load(), qt.Equals, int64(20))
	c.Check(f.gateways[0].startupWaiters.Load(), qt.Equals, int64(0))
}

// TestStartIsNotWaitedForLong checks that a request is refused as not run, with a retry
// delay, once its part of the caller's time has passed. It must be refused immediately if
// the daemon has been starting for longer than maxStartupDuration, if too many requests
// wait, or if the daemon is shutting down.
func TestStartIsNotWaitedForLong(t *testing.T) {
	c := qt.New(t)
	for name, row := range map[string]struct {
		started time.Time
		prepare func(*Gateway)
		minTook time.Duration
		maxTook time.Duration
	}{
		"near":           {time.Now().Add(-maxStartupDuration + 200*time.Millisecond), nil, 100 * time.Millisecond, 700 * time.Millisecond},
		"not near":       {time.Now().Add(-maxStartupDuration), nil, 0, 90 * time.Millisecond},
		"too many wait":  {time.Now(), func(g *Gateway) { g.startupWaiters.Store(maxStartupWaiters) }, 0, 90 * time.Millisecond},
		"planned to end": {time.Now(), (*Gateway).BeginShutdown, 0, 90 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f, answered := newStartingFleet(c, row.started)
			f.gateways[0].cfg.Ready = func() bool { return false }
			if row.prepare != nil {
				row.prepare(f.gateways[0])
			}
			begin := time.Now()
			a := f.do(0, "GET", "/first", nil)
			took := time.Since(begin)
			c.Check(a.status, qt.Equals, http.StatusServiceUnavailable)
			c.Check(a.outcome, qt.Equals, "not-run")
			c.Check(a.resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			c.Check(took >= row.minTook && took < row.maxTook, qt.IsTrue, qt.Commentf("%v", took))
			c.Check(answered.Load(), qt.Equals, int64(0))
		})
	}
	c.Check(startupWait(0, 600*time.Millisecond), qt.Equals, 200*time.Millisecond)
	c.Check(startupWait(maxStartupDuration-time.Millisecond, 0), qt.Equals, time.Millisecond)
	c.Check(startupWait(time.Hour, time.Minute), qt.Equals, time.Duration(0))
}

// newStartingFleet returns one gateway that started at the given time, and the number of
// requests that its server ran.
func newStartingFleet(c *qt.C, started time.Time) (*testFleet, *atomic.Int64) {
	f := newFleet(c, 1)
	runs := &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	c.Cleanup(server.Close)
	f.addServers(32, map[int]string{0: server.Listener.Addr().String()})
	f.gateways[0].started = started
	return f, runs
}
