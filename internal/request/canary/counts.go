// Package canary selects, at one daemon, the software version of a service that a request
// goes to during a roll-out: the target version or the base version that it replaces. It
// judges from the answers of both whether the target version is worse.
//
// The exposure of the target version is limited by a budget that each daemon accounts for on
// its own: a share of the requests that it has brought to a server. The shares of all
// daemons add up to that of the fleet, so the limit holds without coordination, no matter
// how late the daemons learn of each other.
//
// The package does no I/O and reads no clock.
package canary

import (
	"math"
	"time"
)

// Histograms have bucketCount buckets of a quarter octave, from a millisecond to 70 minutes.
const (
	bucketCount      = 90
	bucketsPerOctave = 4
)

// Counts are the answers of one software version on one route since the roll-out was ordered.
type Counts struct {
	// Answers counts all answers; Failed counts those that failed.
	Answers, Failed uint64
	// Busy is the total time that the servers took.
	Busy time.Duration
	// Times is the histogram of the time that the server took, in quarter octaves of
	// milliseconds. Missing buckets at its end are 0.
	Times []uint32
}

// add counts one answer.
func (c *Counts) add(failed bool, took time.Duration) {
	c.Answers++
	if failed {
		c.Failed++
	}
	c.Busy += took
	bucket := bucketOf(took)
	for len(c.Times) <= bucket {
		c.Times = append(c.Times, 0)
	}
	c.Times[bucket]++
}

// Merge adds the counts of another daemon.
func (c *Counts) Merge(o *Counts) {
	c.Answers += o.Answers
	c.Failed += o.Failed
	c.Busy += o.Busy
	for len(c.Times) < min(len(o.Times), bucketCount) {
		c.Times = append(c.Times, 0)
	}
	for i := range min(len(o.Times), bucketCount) {
		c.Times[i] += o.Times[i]
	}
}

func (c *Counts) clone() Counts {
	copied := *c
	copied.Times = append([]uint32(nil), c.Times...)
	return copied
}

// bucketOf returns the histogram bucket of a duration.
func bucketOf(took time.Duration) int {
	ms := float64(took) / float64(time.Millisecond)
	if ms < 1 {
		return 0
	}
	return min(1+int(bucketsPerOctave*math.Log2(ms)), bucketCount-1)
}

// Pair holds the counts of one route at both versions.
type Pair struct {
	Base, Target Counts
}

// Server counts the answers of one server of the target version. Slow counts those slower
// than almost all answers of the base version at the counting daemon.
type Server struct {
	Answers, Failed, Slow uint64
}

// Tally holds the counts of one daemon, or of all daemons, since a roll-out was ordered.
type Tally struct {
	// Routes is keyed by name, Servers (of the target version) by address.
	Routes  map[string]*Pair
	Servers map[string]Server
	// Spent counts the requests sent to the target version; Reached counts those that
	// reached a server of either version.
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

// Target returns the counts of the target version over all routes.
func (t *Tally) Target() Counts {
	var sum Counts
	for _, pair := range t.Routes {
		sum.Merge(&pair.Target)
	}
	return sum
}

// Busy returns the total time that servers of both versions took.
func (t *Tally) Busy() time.Duration {
	var sum time.Duration
	for _, pair := range t.Routes {
		sum += pair.Base.Busy + pair.Target.Busy
	}
	return sum
}
