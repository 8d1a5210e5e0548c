package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// The limits that the checks use; they match the settings of the processes.
const (
	faultMargin  = 3 * time.Second
	drainGrace   = 2 * time.Second
	budgetRatio  = 0.2
	budgetSlack  = 60
	budgetWindow = 10 * time.Second
	// minServedShare is the least share of requests that must succeed after the recovery.
	minServedShare = 0.9
)

// check checks a history against the promises.
func check(h *History) *Report {
	r := &Report{history: h}
	c := &checker{h: h, report: r, sent: map[string]*SentRequest{}, runs: map[string][]Exec{}}
	for i := range h.Sent {
		c.sent[h.Sent[i].ID] = &h.Sent[i]
	}
	for _, run := range h.Runs {
		c.runs[run.ID] = append(c.runs[run.ID], run)
	}
	c.checkAnswers()
	c.checkExecutions()
	c.checkConfigurations()
	c.checkDrains()
	c.checkRetryBudget()
	for _, service := range []string{serviceA, serviceB} {
		c.checkRepeats(service)
	}
	c.checkStatements()
	c.checkCalls()
	c.checkFloor()
	c.checkCrashingRequest()
	c.checkRecovery()
	for _, f := range h.Faults {
		if f.Kind == unexpectedExit {
			c.violation("EXIT", f.At, "%s exited unexpectedly", f.Target)
		}
	}
	return r
}

type checker struct {
	h      *History
	report *Report
	sent   map[string]*SentRequest
	runs   map[string][]Exec
}

func (c *checker) violation(rule string, at time.Time, format string, args ...any) {
	c.report.Violations = append(c.report.Violations, fmt.Sprintf("%s at %.3f s: %s", rule, at.Sub(c.h.Begin).Seconds(), fmt.Sprintf(format, args...)))
}

// isNotRunStatus reports whether a status says that the request was not executed.
func isNotRunStatus(status int) bool {
	return slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}

// checkAnswers checks the answers that callers received.
func (c *checker) checkAnswers() {
	for i := range c.h.Sent {
		s := &c.h.Sent[i]
		runs := c.runs[s.ID]
		if s.Status/100 == 2 && !s.Valid {
			c.violation("MIXED", s.Ended, "%s got status %d without a valid signature", s.ID, s.Status)
		}
		if s.Signed && !s.Valid && s.Status/100 != 2 {
			c.violation("MIXED", s.Ended, "%s got a signed status %d that no server sent", s.ID, s.Status)
		}
		if s.Kind != "safe" && len(runs) > 1 {
			c.violation("TWICE", runs[1].At, "%s (%s) was executed %d times", s.ID, s.Kind, len(runs))
		}
		if s.Kind != "safe" && isNotRunStatus(s.Status) && len(runs) > 0 {
			c.violation("REFUSED", s.Ended, "%s (%s) got status %d and was executed", s.ID, s.Kind, s.Status)
		}
		if s.Kind == "safe" && s.Outcome == outcomeNotRun && len(runs) > 0 {
			c.violation("REFUSED", s.Ended, "%s (%s) got code %s, outcome %s, and was executed", s.ID, s.Kind, s.Code, s.Outcome)
		}
		if s.Status == 0 && !s.NotConnected && len(runs) > 0 && c.onlyPlannedStops(s) {
			c.violation("LOST", s.Ended, "%s was executed and got no answer during the planned stop of %s", s.ID, s.Daemon)
		}
	}
}

// onlyPlannedStops reports whether the only faults around a request are planned stops, one
// of them of its daemon.
func (c *checker) onlyPlannedStops(s *SentRequest) bool {
	planned := false
	for _, f := range c.h.Faults {
		if f.At.After(s.Ended) || f.Until.Add(faultMargin).Before(s.At) {
			continue
		}
		if !f.Planned {
			return false
		}
		planned = planned || f.Target == s.Daemon
	}
	return planned
}

// checkExecutions checks the requests that servers executed.
func (c *checker) checkExecutions() {
	for _, run := range c.h.Runs {
		s := c.sent[run.ID]
		switch {
		case s == nil:
			c.violation("UNASKED", run.At, "%s was executed and no caller sent it", run.ID)
			continue
		case s.Method != run.Method || s.Path != run.Path || s.Body != run.Body:
			c.violation("UNASKED", run.At, "%s was executed with another method, path or body", run.ID)
		case run.Origin != c.h.Services[s.Daemon]:
			c.violation("UNASKED", run.At, "%s arrived with origin %q, its caller's service is %q", run.ID, run.Origin, c.h.Services[s.Daemon])
		}
		if !c.routeAllows(run) {
			c.violation("ROUTE", run.At, "%s was executed by service %s", run.ID, run.Service)
		}
		if run.At.After(s.Ended.Add(time.Second)) && s.Status != 0 && s.Kind != "safe" {
			c.violation("REFUSED", run.At, "%s was executed after its final answer %d", run.ID, s.Status)
		}
	}
}

// routeAllows reports whether some configuration that may be in force routes the request to
// the service that executed it.
func (c *checker) routeAllows(run Exec) bool {
	switch {
	case strings.HasPrefix(run.Path, pathUpload), strings.HasPrefix(run.Path, pathCalled):
		return run.Service == serviceB
	case !strings.HasPrefix(run.Path, pathMoving):
		return run.Service == serviceA
	}
	for i := range c.h.Changes {
		if o := &c.h.Changes[i]; o.Moving == run.Service && o.At.Before(run.At) && !o.Refused {
			return true
		}
	}
	return false
}

// checkConfigurations checks that acknowledged changes persist, that no read returns a
// version older than one acknowledged before it, and that every source can be read at the end.
func (c *checker) checkConfigurations() {
	ackedByBase := map[uint64]uint64{}
	for _, o := range c.h.Changes {
		if o.RefusedAfterAck {
			c.violation("CONFIG", o.At, "version %d was acknowledged and then refused", o.Version)
		}
		if o.Acked.IsZero() {
			continue
		}
		if other := ackedByBase[o.Base]; other != 0 && other != o.Version {
			c.violation("CONFIG", o.Acked, "versions %d and %d were both acknowledged for base version %d", other, o.Version, o.Base)
		}
		ackedByBase[o.Base] = o.Version
	}
	readAtEnd := map[string]bool{}
	for _, read := range c.h.Reads {
		readAtEnd[read.Source] = readAtEnd[read.Source] || !read.At.Before(c.h.End)
		for _, o := range c.h.Changes {
			if !o.Acked.IsZero() && o.Version > read.Version && o.Acked.Before(read.At) {
				c.violation("CONFIG", read.At, "read version %d at %s, %d was acknowledged at %.3f s", read.Version, read.Source, o.Version, o.Acked.Sub(c.h.Begin).Seconds())
				break
			}
		}
	}
	for _, source := range c.h.Sources {
		if !readAtEnd[source] {
			c.violation("LOST", c.h.End, "the configuration could not be read from %s at the end", source)
		}
	}
}

// checkDrains checks that a server gets no requests after its leave was acknowledged.
func (c *checker) checkDrains() {
	left := map[string]time.Time{}
	for _, d := range c.h.Drains {
		left[d.Boot] = d.At
	}
	for _, run := range c.h.Runs {
		if at, ok := left[run.Boot]; ok && run.At.After(at.Add(drainGrace)) {
			c.violation("DRAIN", run.At, "%s was executed by %s, whose leave was acknowledged at %.3f s", run.ID, run.Boot, at.Sub(c.h.Begin).Seconds())
		}
	}
}

// checkRetryBudget checks the executions beyond the first of each request.
func (c *checker) checkRetryBudget() {
	for from := c.h.Begin; from.Before(c.h.End); from = from.Add(budgetWindow / 10) {
		until := from.Add(budgetWindow)
		first, repeated := 0, 0
		for _, runs := range c.runs {
			for i, run := range runs {
				switch {
				case run.At.Before(from) || run.At.After(until):
				case i == 0:
					first++
				default:
					repeated++
				}
			}
		}
		if float64(repeated) > budgetRatio*float64(first)+budgetSlack {
			c.violation("BUDGET", from, "%d executions beyond the first of %d requests", repeated, first)
			return
		}
	}
}

// checkRepeats checks the arrivals at a service that count as repeats, including the calls
// of repeated executions. The limit follows the largest number of requests in this window,
// the window before and the window that starts half a window earlier.
func (c *checker) checkRepeats(service string) {
	var requests, repeats []time.Time
	arrivedIDs := map[string]bool{}
	for _, a := range c.h.Arrivals {
		if a.Service != service {
			continue
		}
		arrivedIDs[a.ID] = true
		if a.Repeat {
			repeats = append(repeats, a.At)
		}
	}
	for _, s := range c.h.Sent {
		if arrivedIDs[s.ID] || fixedServiceOf(s.Path) == service {
			requests = append(requests, s.At)
		}
	}
	for from := c.h.Begin; from.Before(c.h.End); from = from.Add(budgetWindow / 10) {
		allowed := max(countInWindow(requests, from), countInWindow(requests, from.Add(-budgetWindow)), countInWindow(requests, from.Add(-budgetWindow/2)))
		if n := countInWindow(repeats, from); float64(n) > budgetRatio*float64(allowed)+budgetSlack {
			c.violation("BUDGET", from, "%d repeats arrived at %s for %d requests", n, service, allowed)
			return
		}
	}
}

// countInWindow counts the times within the window that starts at from.
func countInWindow(list []time.Time, from time.Time) int {
	n := 0
	for _, at := range list {
		if !at.Before(from) && at.Before(from.Add(budgetWindow)) {
			n++
		}
	}
	return n
}

// fixedServiceOf returns the service that a path always routes to, or "" if that depends on
// the version.
func fixedServiceOf(path string) string {
	switch {
	case strings.HasPrefix(path, pathUpload), strings.HasPrefix(path, pathCalled):
		return serviceB
	case strings.HasPrefix(path, pathMoving):
		return ""
	}
	return serviceA
}

// checkRecovery checks the share of requests served at the end of the recovery.
func (c *checker) checkRecovery() {
	served, all := 0, 0
	for i := range c.h.Sent {
		if s := &c.h.Sent[i]; s.At.After(c.h.SteadyFrom) {
			if all++; s.Status == http.StatusOK {
				served++
			}
		}
	}
	if float64(served) < minServedShare*float64(all) || all == 0 {
		c.violation("RECOVER", c.h.SteadyFrom, "%d of %d requests were served after the faults", served, all)
	}
}
