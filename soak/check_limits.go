package main

import (
	"slices"
	"strings"
	"time"
)

const (
	// limitWindow is the window in which arrivals at a server with a rate limit are counted. It
	// may get limitOverage times what the limit allows, and limitSlack more.
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	// toldDelay is the time from a response with a statement until the daemon that passed it on
	// must respect it.
	toldDelay = 500 * time.Millisecond
)

// statement identifies what one boot states.
type statement struct {
	boot, header string
}

// told returns when each daemon first passed on a statement of each boot.
func (c *checker) told() map[string]map[statement]time.Time {
	told := map[string]map[statement]time.Time{}
	for i := range c.h.Sent {
		s := &c.h.Sent[i]
		for _, header := range s.Stated {
			key := statement{boot: s.StatedBy, header: header}
			if told[s.Daemon] == nil {
				told[s.Daemon] = map[statement]time.Time{}
			}
			if first, known := told[s.Daemon][key]; !known || s.Ended.Before(first) {
				told[s.Daemon][key] = s.Ended
			}
		}
	}
	return told
}

// knows reports whether a daemon that was told at a time must still know it: a restart or a
// freeze of it excuses it.
func (c *checker) knows(daemon string, told, at time.Time) bool {
	if told.IsZero() || at.Before(told) {
		return false
	}
	return !slices.ContainsFunc(c.h.Faults, func(f Fault) bool {
		return f.Target == daemon && f.Until.After(told.Add(-faultMargin)) && f.At.Before(at)
	})
}

// checkStatements checks that servers get no more requests than the rate limits that they state
// allow, and none once they have stated that they are leaving, from daemons that were told. A
// request for another boot, which the leaving server answers with 421, is none for it.
func (c *checker) checkStatements() {
	told := c.told()
	arrivals := map[string][]time.Time{}
	for _, a := range c.h.Arrivals {
		s := c.sent[a.ID]
		if s == nil {
			continue
		}
		if at := told[s.Daemon][statement{a.Boot, headerLimit}]; c.knows(s.Daemon, at, a.At) && a.At.After(at.Add(toldDelay)) {
			arrivals[a.Boot] = append(arrivals[a.Boot], a.At)
		}
		if at := told[s.Daemon][statement{a.Boot, headerLeaving}]; !a.Misdirected && c.knows(s.Daemon, at, a.At) && s.At.After(at.Add(drainGrace)) {
			c.violation("DRAIN", a.At, "%s arrived at %s, %s after %s had passed on that it is leaving", a.ID, a.Boot, s.At.Sub(at), s.Daemon)
		}
	}
	for boot, times := range arrivals {
		c.checkRateLimit(boot, times)
	}
}

// checkRateLimit checks the arrivals at a boot in each window in which it stated a limit
// throughout, from faultMargin after it began to.
func (c *checker) checkRateLimit(boot string, times []time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	for i, from := range times {
		until := from.Add(limitWindow)
		allowed, limited := c.allowedBetween(boot, from, until)
		if !limited || c.networkFault(boot, from.Add(-limitWindow), until) {
			continue
		}
		n := 0
		for _, at := range times[i:] {
			if !at.After(until) {
				n++
			}
		}
		if limit := limitOverage*allowed + limitSlack; float64(n) > limit {
			c.violation("LIMIT", from, "%d requests arrived at %s in %s, %.1f allowed", n, boot, limitWindow, limit)
			return
		}
	}
}

// allowedBetween returns the requests that a boot's limit allows in a time, and whether there
// was one from faultMargin before it. A lower limit counts only toldDelay after it was stated.
func (c *checker) allowedBetween(boot string, from, until time.Time) (requests float64, limited bool) {
	const step = 100 * time.Millisecond
	for at := from.Add(-faultMargin); at.Before(until); at = at.Add(step) {
		perSecond, ok := c.limitAt(boot, at)
		before, okBefore := c.limitAt(boot, at.Add(-toldDelay))
		if !ok || !okBefore {
			return 0, false
		}
		if !at.Before(from) {
			requests += max(perSecond, before) * step.Seconds()
		}
	}
	return requests, true
}

func (c *checker) limitAt(boot string, at time.Time) (perSecond float64, limited bool) {
	for _, change := range c.h.Limits {
		if change.Boot == boot && !change.At.After(at) {
			perSecond, limited = change.PerSecond, change.Limited
		}
	}
	return perSecond, limited
}

// networkFault reports whether the connection to a boot's server was impaired within a time:
// then its daemon may learn of a change late.
func (c *checker) networkFault(boot string, from, until time.Time) bool {
	return slices.ContainsFunc(c.h.Faults, func(f Fault) bool {
		return slices.Contains(impairments[:], f.Kind) && f.Until.After(from) && f.At.Before(until) && strings.HasPrefix(boot, bootPrefix(f.Target))
	})
}
