package daemon

import (
	"sync"
	"time"

	"github.com/daisygate/daisygate/internal/request/retry"
	"github.com/daisygate/daisygate/internal/version/directory"
)

const (
	// retrySlackFraction is the fraction of the fleet's retry slack that the daemons may spend
	// at once. The same amount is refilled within a window, and daemons learn late of a change
	// in the number of daemons.
	retrySlackFraction = 0.45
	// retryStartup is how long a daemon that has just started may not know the number of
	// daemons that share the slack.
	retryStartup = 5 * time.Second
)

// logRetryShare is the log message for a change of this daemon's share of the retry limits.
const logRetryShare = "share of the retry budget"

// retryShare is this daemon's share of the limits on the fleet's retries.
type retryShare struct {
	mu sync.Mutex
	// directory is the directory that known was counted in.
	directory *directory.Directory
	known     int
	fleet     retry.DaemonCounter
	limits    retry.Limits
}

// retryLimits returns the retry limits in force. It is called for each request and counts the
// daemons once per directory.
func (d *Daemon) retryLimits() retry.Limits {
	r := &d.retries
	dir := d.mesh.Directory()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.directory != dir {
		r.directory, r.known = dir, countDaemonsWithServers(dir)
	}
	sharing := r.fleet.Daemons(time.Now(), r.known)
	limits := retry.Limits{
		Ratio: d.settings.Retry.Ratio, Window: d.settings.Retry.Window, Since: d.started.Add(retryStartup),
		Slack: retrySlackFraction * float64(d.settings.Retry.Slack) / float64(sharing),
	}
	if limits != r.limits {
		d.log.Info(logRetryShare, "daemons", sharing, "known", r.known, "slack", limits.Slack, "of", d.settings.Retry.Slack)
		r.limits = limits
	}
	return limits
}

// countDaemonsWithServers counts the daemons with at least one backend server.
func countDaemonsWithServers(dir *directory.Directory) int {
	n := 0
	for _, r := range dir.Records {
		if len(r.Servers) > 0 {
			n++
		}
	}
	return n
}
