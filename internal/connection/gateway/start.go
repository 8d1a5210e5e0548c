package gateway

import (
	"context"
	"time"
)

// Limits for requests that arrive while the daemon is starting. When a whole fleet
// starts, its daemons obtain a version one after another within seconds. A caller that is
// refused meanwhile retries once, usually at another daemon that has no version either.
// So a request waits while startup is expected to finish soon, and is refused immediately
// otherwise.
const (
	// maxStartupDuration is how long after its start a daemon still expects its first
	// version to arrive soon.
	maxStartupDuration = 2 * time.Second
	// startupPollInterval is how often a waiting request checks readiness.
	startupPollInterval = 10 * time.Millisecond
	// maxStartupWaiters bounds the requests that wait on one daemon, and the memory they
	// use.
	maxStartupWaiters = 256
	// minStartupRetryAfter is the shortest retry delay given to a refused caller.
	// typicalStartupDuration is the startup time of a daemon whose sources are running.
	minStartupRetryAfter   = 100 * time.Millisecond
	typicalStartupDuration = 600 * time.Millisecond
	// callerTimeDivisor determines the part of the caller's remaining time (one in
	// callerTimeDivisor) that it may wait or be asked to wait by Retry-After; the rest is
	// for the response.
	callerTimeDivisor = 3
)

// startupWait returns how long a request may wait for startup to finish when the daemon
// has been up for the given time. left is the caller's remaining time, or 0 if unknown.
func startupWait(up, left time.Duration) time.Duration {
	wait := maxStartupDuration - up
	if left > 0 {
		wait = min(wait, left/callerTimeDivisor)
	}
	return max(wait, 0)
}

// startupRetryAfter returns when a caller that was refused during startup may retry.
func startupRetryAfter(up, left time.Duration) time.Duration {
	retryAfter := max(minStartupRetryAfter, typicalStartupDuration-up)
	if left > 0 {
		retryAfter = min(retryAfter, left/callerTimeDivisor)
	}
	return retryAfter
}

// readyRetryAfter returns startupRetryAfter for a caller with the given time left.
func (g *Gateway) readyRetryAfter(left time.Duration) time.Duration {
	return startupRetryAfter(time.Since(g.started), left)
}

// awaitReady waits until ready returns true, at most for startupWait, and reports whether
// it did.
func (g *Gateway) awaitReady(ctx context.Context, left time.Duration, ready func() bool) bool {
	if ready() {
		return true
	}
	wait := startupWait(time.Since(g.started), left)
	if wait == 0 || g.shuttingDown.Load() {
		return false
	}
	defer g.startupWaiters.Add(-1)
	if g.startupWaiters.Add(1) > maxStartupWaiters {
		return false
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	poll := time.NewTicker(startupPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-poll.C:
			if ready() {
				return true
			}
		case <-timeout.C:
			return ready()
		case <-ctx.Done():
			return false
		}
	}
}
