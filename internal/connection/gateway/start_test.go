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

// TestStartIsWaitedFor replays the callers that meet a daemon which has just started: they
// are answered once its first version is in force, and not told to come back to daemons that
// have none either.
func TestStartIsWaitedFor(t *testing.T) {
	c := qt.New(t)
	f, answered := startingFleet(c, time.Now())
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
	c.Check(f.gateways[0].starting.Load(), qt.Equals, int64(0))
}

// TestStartIsNotWaitedForLong holds that a request is refused as not run, with when to come
// back, once its part of the caller's time is over, and at once where the start has taken
// longer than starts do, where too many wait, or where the daemon leaves.
func TestStartIsNotWaitedForLong(t *testing.T) {
	c := qt.New(t)
	for name, row := range map[string]struct {
		started time.Time
		prepare func(*Gateway)
		least   time.Duration
		most    time.Duration
	}{
		"near":           {time.Now().Add(-startLatest + 200*time.Millisecond), nil, 100 * time.Millisecond, 700 * time.Millisecond},
		"not near":       {time.Now().Add(-startLatest), nil, 0, 90 * time.Millisecond},
		"too many wait":  {time.Now(), func(g *Gateway) { g.starting.Store(startMost) }, 0, 90 * time.Millisecond},
		"planned to end": {time.Now(), (*Gateway).Leave, 0, 90 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f, answered := startingFleet(c, row.started)
			f.gateways[0].cfg.Ready = func() bool { return false }
			if row.prepare != nil {
				row.prepare(f.gateways[0])
			}
			began := time.Now()
			a := f.do(0, "GET", "/first", nil)
			took := time.Since(began)
			c.Check(a.status, qt.Equals, http.StatusServiceUnavailable)
			c.Check(a.outcome, qt.Equals, "not-run")
			c.Check(a.resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			c.Check(took >= row.least && took < row.most, qt.IsTrue, qt.Commentf("%v", took))
			c.Check(answered.Load(), qt.Equals, int64(0))
		})
	}
	c.Check(startWait(0, 600*time.Millisecond), qt.Equals, 200*time.Millisecond)
	c.Check(startWait(startLatest-time.Millisecond, 0), qt.Equals, time.Millisecond)
	c.Check(startWait(time.Hour, time.Minute), qt.Equals, time.Duration(0))
}

// startingFleet is one gateway that has started at a time, and counts what its server ran.
func startingFleet(c *qt.C, started time.Time) (*fleetOf, *atomic.Int64) {
	f := newFleet(c, 1)
	runs := &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	c.Cleanup(server.Close)
	f.place(32, map[int]string{0: server.Listener.Addr().String()})
	f.gateways[0].started = started
	return f, runs
}
