package main

import (
	"slices"
	"strings"
	"time"
)

const (
	// deadlineMargin is how long after its deadline a call may get its answer.
	deadlineMargin = 400 * time.Millisecond
	// In each floorWindow in which at least floorRequests requests are sent on a route, at least
	// one of them must be served, from floorBefore the steady phase.
	floorWindow   = 2 * time.Second
	floorRequests = 20
	floorBefore   = 2 * time.Second
)

// checkCalls checks that calls of runs are answered or refused before their deadline, unless the
// daemon that they were sent to has a fault.
func (c *checker) checkCalls() {
	for i := range c.h.Sent {
		s := &c.h.Sent[i]
		if !strings.HasPrefix(s.Path, pathCalled) || s.Status != 0 && s.Ended.Sub(s.At) <= s.Deadline+deadlineMargin {
			continue
		}
		if !slices.ContainsFunc(c.h.Faults, func(f Fault) bool {
			return f.Target == s.Daemon && f.At.Before(s.Ended) && f.Until.Add(faultMargin).After(s.At)
		}) {
			c.violation("CALL", s.At, "%s got status %d (code %s) after %s, its deadline was %s", s.ID, s.Status, s.Code, s.Ended.Sub(s.At), s.Deadline)
		}
	}
}

// checkFloor checks that requests on every route are served after the faults, also in a burst.
func (c *checker) checkFloor() {
	type window struct {
		prefix string
		number int64
	}
	begin := c.h.SteadyFrom.Add(-floorBefore)
	sent, served := map[window]int{}, map[window]int{}
	for i := range c.h.Sent {
		s := &c.h.Sent[i]
		if s.At.Before(begin) {
			continue
		}
		prefix, _, _ := strings.Cut(strings.TrimPrefix(s.Path, "/"), "/")
		w := window{prefix: prefix, number: int64(s.At.Sub(begin) / floorWindow)}
		if sent[w]++; s.Status/100 == 2 {
			served[w]++
		}
	}
	for w, n := range sent {
		if n >= floorRequests && served[w] == 0 {
			c.violation("FLOOR", begin.Add(time.Duration(w.number)*floorWindow), "none of %d requests on route %s was served", n, w.prefix)
		}
	}
}
