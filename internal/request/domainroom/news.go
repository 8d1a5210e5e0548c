package domainroom

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxPasses is how often a daemon passes on one report within its domain. Every daemon does, so
	// that nearly all daemons have a report after a few calls, while the messages of one daemon do
	// not depend on the number of daemons.
	maxPasses = 3
	// maxReporters and maxPeers bound what is kept.
	maxReporters = 64
	maxPeers     = 4096
	// bootMemory is how long reports of earlier boots of a reporter are refused after its last
	// report. After that, a boot that looks earlier is one whose clock was set back.
	bootMemory = 10 * time.Second
	// maxTickGap is the time between two calls of Tick after which this daemon has been suspended.
	// What it receives then may have waited in buffers for just as long, until settleTime after.
	maxTickGap = 750 * time.Millisecond
	settleTime = 250 * time.Millisecond
)

// News holds the newest report of each reporter. It is not safe for concurrent use.
type News struct {
	reporters map[reporterKey]*entry
	// peers holds the newest version that was passed on to a daemon.
	peers map[string]uint64
	// version counts the accepted reports.
	version      uint64
	lastTick     time.Time
	settledAfter time.Time
}

type reporterKey struct{ domain, name string }

// entry is the newest report of one reporter.
type entry struct {
	report Report
	// at is when the rooms were observed, as far as this daemon can tell.
	at, received time.Time
	version      uint64
	// from is the daemon that passed the report on to this one, "" if it came directly.
	from   string
	passes int
}

// NewNews returns a News without reports.
func NewNews() *News {
	return &News{reporters: map[reporterKey]*entry{}, peers: map[string]uint64{}}
}

// Tick records that this daemon runs. It must be called a few times a second.
func (n *News) Tick(now time.Time) {
	if n.suspended(now) {
		for _, e := range n.reporters {
			e.at = time.Time{}
		}
		n.settledAfter = now.Add(settleTime)
	}
	n.lastTick = now
}

func (n *News) suspended(now time.Time) bool {
	return !n.lastTick.IsZero() && now.Sub(n.lastTick) > maxTickGap
}

// Receive records a report and returns whether it is news. from is the daemon of this failure domain
// that passed it on, "" if it came directly. Reports that are repeated, late, from an earlier boot
// of the reporting daemon, or too old are ignored.
func (n *News) Receive(now time.Time, r Report, from string) bool {
	if r.Age < 0 || r.Age > MaxAge || n.suspended(now) || now.Before(n.settledAfter) {
		return false
	}
	key := reporterKey{r.Domain, r.From}
	last := n.reporters[key]
	switch {
	case last == nil:
		if len(n.reporters) >= maxReporters && !n.forgetOldest(now) {
			return false
		}
	case r.Boot == last.report.Boot && r.Seq <= last.report.Seq,
		r.Boot < last.report.Boot && now.Sub(last.received) <= bootMemory:
		return false
	}
	n.version++
	n.reporters[key] = &entry{report: r, at: now.Add(-r.Age), received: now, version: n.version, from: from}
	return true
}

// forgetOldest removes the reporter from which nothing has come for longest, and reports whether its
// last report was too old to be used.
func (n *News) forgetOldest(now time.Time) bool {
	var oldest reporterKey
	var at time.Time
	for key, e := range n.reporters {
		if at.IsZero() || e.received.Before(at) {
			oldest, at = key, e.received
		}
	}
	if now.Sub(at) <= MaxAge {
		return false
	}
	delete(n.reporters, oldest)
	return true
}

// PassOn returns the reports to pass on to a daemon of the same failure domain, and counts them as
// passed on.
func (n *News) PassOn(now time.Time, peer string) []Report {
	known := n.peers[peer]
	if known == n.version {
		return nil
	}
	var list []Report
	for _, e := range n.reporters {
		if e.version <= known || e.from == peer || e.report.From == peer || e.passes >= maxPasses || now.Sub(e.at) > MaxAge || len(list) == maxReports {
			continue
		}
		e.passes++
		r := e.report
		r.Age = max(0, now.Sub(e.at))
		list = append(list, r)
	}
	if len(n.peers) >= maxPeers {
		clear(n.peers)
	}
	n.peers[peer] = n.version
	return list
}

// Of returns the newest that is known of a service in the domain self and in each other one, in the
// order of their names. known is false if nothing recent is known of the service in self.
func (n *News) Of(now time.Time, self string, id ServiceID) (own Observed, known bool, others []Observed) {
	newest := map[string]Observed{}
	for key, e := range n.reporters {
		room, reported := e.report.Rooms[id]
		if reported && now.Sub(e.at) <= MaxAge && e.at.After(newest[key.domain].At) {
			newest[key.domain] = Observed{Domain: key.domain, Room: room, At: e.at}
		}
	}
	own, known = newest[self]
	delete(newest, self)
	for _, o := range newest {
		others = append(others, o)
	}
	slices.SortFunc(others, func(a, b Observed) int { return cmp.Compare(a.Domain, b.Domain) })
	return own, known, others
}
