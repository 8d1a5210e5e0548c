package lineage

import "time"

// maxCallees bounds the memory.
const maxCallees = 1024

// Calls estimates how many calls to each service the repeated runs on an instance still have
// to make. The zero value has seen none. It is not safe for concurrent use.
type Calls struct {
	// runs counts the repeated runs that ended recently.
	runs    decayingCount
	callees map[string]*callee
}

// callee holds the calls of repeated runs to one service.
type callee struct {
	calls decayingCount
	// pending is the expected number of calls that the running repeated runs have not made yet.
	pending float64
}

// Begin records the start of a run that is a repeat with the given probability.
func (c *Calls) Begin(now time.Time, repeat float64) {
	for _, s := range c.callees {
		s.pending += repeat * c.perRun(now, s)
	}
}

// End records the end of a run, with the same probability as at its Begin.
func (c *Calls) End(now time.Time, repeat float64) { c.runs.add(now, repeat) }

// Called records a call to a service that was made by a repeated run with the given probability.
func (c *Calls) Called(now time.Time, service string, repeat float64) {
	s := c.callees[service]
	if s == nil {
		if c.callees == nil || len(c.callees) >= maxCallees {
			c.callees = map[string]*callee{}
		}
		s = &callee{}
		c.callees[service] = s
	}
	s.calls.add(now, repeat)
	s.pending = max(s.pending-repeat, 0)
}

// Pending returns the expected number of calls to a service that the repeated runs in progress
// will still make; repeats is the expected number of these runs.
func (c *Calls) Pending(now time.Time, service string, repeats float64) float64 {
	s := c.callees[service]
	if s == nil {
		return 0
	}
	s.pending = min(s.pending, repeats*c.perRun(now, s))
	return s.pending
}

// perRun returns the mean number of calls that a repeated run makes to a service.
func (c *Calls) perRun(now time.Time, s *callee) float64 {
	return s.calls.valueAt(now) / max(c.runs.valueAt(now), 1)
}
