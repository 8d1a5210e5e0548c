package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBudget checks that in any window the retries stay within the ratio of the requests
// plus twice the slack: what was saved up and what is earned within the window.
func TestBudget(t *testing.T) {
	c := qt.New(t)
	limits := Limits{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}
	var b Budget
	b.SetLimits(limits)
	begin := time.Unix(1000, 0)
	var taken []time.Time
	const perSecond, seconds = 50, 60
	for i := range perSecond * seconds {
		now := begin.Add(time.Duration(i) * time.Second / perSecond)
		b.Request(now)
		for b.Take(now) {
			taken = append(taken, now)
		}
	}
	requests := perSecond * limits.Window.Seconds()
	for i, from := range taken {
		n := 0
		for _, at := range taken[i:] {
			if at.Sub(from) <= limits.Window {
				n++
			}
		}
		c.Assert(float64(n) <= limits.Ratio*requests+2*limits.Slack+1, qt.IsTrue, qt.Commentf("%d in a window", n))
	}
	c.Check(len(taken) > perSecond*seconds/10, qt.IsTrue)
}

// TestRestartBringsNoSecondBudget guards against exceeding the retry limit when a daemon is
// killed and restarted repeatedly: each process must start without the slack that its
// predecessor may have spent.
func TestRestartBringsNoSecondBudget(t *testing.T) {
	c := qt.New(t)
	const perSecond, seconds, requestsPerLife = 50, 60, 125
	// Window and slack are those of one daemon. For a moment after its start it knows no
	// other daemon and assumes ten times its part of the slack.
	const slack, startupRequests, window = 2.6, 25, 10 * time.Second
	begin := time.Unix(1000, 0)
	var b Budget
	var startedAt time.Time
	var taken []time.Time
	for i := range perSecond * seconds {
		now := begin.Add(time.Duration(i) * time.Second / perSecond)
		if i%requestsPerLife == 0 {
			b, startedAt = Budget{}, now
		}
		l := Limits{Ratio: 0.2, Slack: slack, Window: window, Since: startedAt.Add(5 * time.Second)}
		if i%requestsPerLife < startupRequests {
			l.Slack *= 10
		}
		b.SetLimits(l)
		b.Request(now)
		for b.Take(now) {
			taken = append(taken, now)
		}
	}
	for i, from := range taken {
		n := 0
		for _, at := range taken[i:] {
			if at.Sub(from) <= window {
				n++
			}
		}
		c.Assert(float64(n) <= 0.2*perSecond*window.Seconds()+2*slack, qt.IsTrue, qt.Commentf("%d in a window", n))
	}
	c.Check(len(taken) > perSecond*seconds/10, qt.IsTrue, qt.Commentf("%d", len(taken)))
}

// TestCutOffDaemonKeepsItsPart guards against exceeding the retry limit when daemons are
// partitioned from each other: none may use the whole slack.
func TestCutOffDaemonKeepsItsPart(t *testing.T) {
	c := qt.New(t)
	var f DaemonCounter
	now := time.Unix(1000, 0)
	c.Check(f.Daemons(now, 0), qt.Equals, 1)
	c.Check(f.Daemons(now, 10), qt.Equals, 10)
	for range 30 {
		now = now.Add(time.Second)
		c.Assert(f.Daemons(now, 1), qt.Equals, 10)
	}
	for range 60 {
		now = now.Add(time.Second)
		f.Daemons(now, 4)
	}
	c.Check(f.Daemons(now, 4), qt.Equals, 4)
	c.Check(f.Daemons(now.Add(time.Hour), 2), qt.Equals, 2)
}

// TestOverdrawn checks that retries are denied until an overdraft has been earned back.
func TestOverdrawn(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var b Budget
	b.SetLimits(Limits{Ratio: 0.2, Slack: 2, Window: 10 * time.Second})
	b.Request(now)
	b.Charge(now, 1.5)
	c.Check(b.Tokens(now) < 0, qt.IsFalse)
	c.Check(b.Take(now), qt.IsFalse, qt.Commentf("half a retry is left"))
	b.Charge(now, 1)
	c.Check(b.Tokens(now) < 0, qt.IsTrue)
	for range 3 {
		b.Request(now)
	}
	c.Check(b.Tokens(now) < 0, qt.IsFalse)
	now = now.Add(10 * time.Second)
	c.Check(b.Take(now), qt.IsTrue)
	c.Check(b.Take(now), qt.IsTrue)
	c.Check(b.Take(now), qt.IsFalse)
}
