// Package canary decides, at one daemon, which software version of a service a request goes
// to while a roll-out runs, and judges from the answers of both whether the new one is worse.
//
// What a version under roll-out may get is a budget that each daemon keeps for itself: its
// part of the requests that it has brought to a server. As the parts of all daemons add up
// to the fleet's, the bound holds without a word between them, however late they hear of
// each other.
//
// The package does no I/O and reads no clock.
package canary

import (
	"math"
	"time"
)

// buckets is the length of a histogram: quarter octaves from a millisecond up to 70 minutes.
const (
	buckets   = 90
	perOctave = 4
)

// Counts are answers of one software version on one route, since the roll-out was ordered.
type Counts struct {
	// Answers are those that came, whole and good or Failed.
	Answers, Failed uint64
	// Busy is the time that the servers worked at them.
	Busy time.Duration
	// Times counts the answers by the time that the server took, in quarter octaves of
	// milliseconds; what is missing at its end is 0.
	Times []uint32
}

// add takes in one answer.
func (c *Counts) add(failed bool, took time.Duration) {
	c.Answers++
	if failed {
		c.Failed++
	}
	c.Busy += took
	at := bucketOf(took)
	for len(c.Times) <= at {
		c.Times = append(c.Times, 0)
	}
	c.Times[at]++
}

// Merge adds the counts of another daemon.
func (c *Counts) Merge(o *Counts) {
	c.Answers += o.Answers
	c.Failed += o.Failed
	c.Busy += o.Busy
	for len(c.Times) < min(len(o.Times), buckets) {
		c.Times = append(c.Times, 0)
	}
	for i := range min(len(o.Times), buckets) {
		c.Times[i] += o.Times[i]
	}
}

func (c *Counts) clone() Counts {
	copied := *c
	copied.Times = append([]uint32(nil), c.Times...)
	return copied
}

// bucketOf is the quarter octave that a time falls into.
func bucketOf(took time.Duration) int {
	ms := float64(took) / float64(time.Millisecond)
	if ms < 1 {
		return 0
	}
	return min(1+int(perOctave*math.Log2(ms)), buckets-1)
}

// Pair is what one route's requests met at both versions.
type Pair struct {
	Base, Target Counts
}

// Server counts the answers of one server of the target version; Slow are those that took
// longer than almost all of the other version's at the daemon that counts.
type Server struct {
	Answers, Failed, Slow uint64
}

// Tally is what one daemon, or all of them together, met since a roll-out was ordered.
type Tally struct {
	// Routes by name, Servers of the target version by address.
	Routes  map[string]*Pair
	Servers map[string]Server
	// Spent are the requests that were sent to the target version, Reached those that
	// came to a server of either.
	Spent, Reached uint64
}

// Merge adds the tally of another daemon.
func (t *Tally) Merge(o *Tally) {
	if t.Routes == nil {
		t.Routes, t.Servers = map[string]*Pair{}, map[string]Server{}
	}
	for name, pair := range o.Routes {
		sum := t.Routes[name]
		if sum == nil {
			sum = &Pair{}
			t.Routes[name] = sum
		}
		sum.Base.Merge(&pair.Base)
		sum.Target.Merge(&pair.Target)
	}
	for addr, s := range o.Servers {
		sum := t.Servers[addr]
		t.Servers[addr] = Server{Answers: sum.Answers + s.Answers, Failed: sum.Failed + s.Failed, Slow: sum.Slow + s.Slow}
	}
	t.Spent += o.Spent
	t.Reached += o.Reached
}

// Target returns the counts of the target version on all routes.
func (t *Tally) Target() Counts {
	var sum Counts
	for _, pair := range t.Routes {
		sum.Merge(&pair.Target)
	}
	return sum
}

// Busy is the time that servers of both versions worked.
func (t *Tally) Busy() time.Duration {
	var sum time.Duration
	for _, pair := range t.Routes {
		sum += pair.Base.Busy + pair.Target.Busy
	}
	return sum
}
