package gateway

import (
	"context"
	"time"
)

// What callers meet at a daemon that has just started. When a whole fleet starts, its daemons
// come by a version one after the other within seconds; a caller that is refused meanwhile
// comes back once, mostly to another daemon that has none either. So a request waits for the
// end of the start as long as that is near, and is refused at once where it is not.
const (
	// startLatest is how long after its start a daemon takes its first version for near.
	startLatest = 2 * time.Second
	// startPoll is how often a waiting request looks.
	startPoll = 10 * time.Millisecond
	// startMost bounds the requests that wait at one daemon, and the memory they take.
	startMost = 256
	// startSoon is the least time that a refused caller is told, startUsual what a
	// daemon whose sources run takes for its start.
	startSoon  = 100 * time.Millisecond
	startUsual = 600 * time.Millisecond
	// startPart is the part of a caller's time that it waits here, or is told to stay
	// away: the rest is for the answer.
	startPart = 3
)

// startWait is how long a request may wait for the end of a start, after which the daemon
// has been up for so long; left is the time that its caller has, 0 if it does not tell.
func startWait(up, left time.Duration) time.Duration {
	wait := startLatest - up
	if left > 0 {
		wait = min(wait, left/startPart)
	}
	return max(wait, 0)
}

// startBack is when a caller that was refused meanwhile may come back.
func startBack(up, left time.Duration) time.Duration {
	back := max(startSoon, startUsual-up)
	if left > 0 {
		back = min(back, left/startPart)
	}
	return back
}

// untilReady is startBack for a caller with so much time left.
func (g *Gateway) untilReady(left time.Duration) time.Duration {
	return startBack(time.Since(g.started), left)
}

// awaitStart waits until ready holds, at most as long as startWait says, and reports
// whether it does.
func (g *Gateway) awaitStart(ctx context.Context, left time.Duration, ready func() bool) bool {
	if ready() {
		return true
	}
	wait := startWait(time.Since(g.started), left)
	if wait == 0 || g.leaving.Load() {
		return false
	}
	defer g.starting.Add(-1)
	if g.starting.Add(1) > startMost {
		return false
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	look := time.NewTicker(startPoll)
	defer look.Stop()
	for {
		select {
		case <-look.C:
			if ready() {
				return true
			}
		case <-end.C:
			return ready()
		case <-ctx.Done():
			return false
		}
	}
}
