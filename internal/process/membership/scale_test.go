package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
)

// Required upper bounds on the time until a change is known to the whole fleet.
const (
	drainLimit = 2 * time.Second
	deathLimit = 5 * time.Second
)

var serving = []presence.Server{{Mesh: "mesh", Service: "service", Addr: "10.0.0.9:8080", Slots: 20, Connections: 110, State: presence.Serving}}

// fleet starts a fleet in which every daemon has a backend server and waits until it
// has converged.
func fleet(c *qt.C, size int) *sim { return startAll(c, newSim(uint64(size), 1), size, min(size/3, 5)) }

// startAll adds nodes to a sim, each with a backend server, and waits until they have
// converged.
func startAll(c *qt.C, s *sim, size, regions int) *sim {
	for range size {
		n := s.add(regions)
		s.start(n, 0)
		s.execute(n, n.core.SetServers(serving))
	}
	s.run(20 * time.Second)
	c.Assert(s.checkEventually(), qt.IsNil)
	return s
}

// until runs the sim until done returns true, checked after each step, or until limit has
// passed. It returns the elapsed time.
func (s *sim) until(limit, step time.Duration, done func() bool) time.Duration {
	begin := s.now
	for !done() && s.now.Sub(begin) < limit {
		s.run(step)
	}
	return s.now.Sub(begin)
}

// noRecord returns a function that reports whether no live daemon has a record of owner that
// matches.
func (s *sim) noRecord(owner string, matches func(presence.Record) bool) func() bool {
	return func() bool {
		for _, n := range s.live() {
			for _, r := range n.core.Presence().All() {
				if r.Node.Name == owner && matches(*r) {
					return false
				}
			}
		}
		return true
	}
}

// TestJoinStorm starts all daemons at the same time with a single seed. The seed must not
// accept more links than any other daemon and must refer the other daemons elsewhere.
func TestJoinStorm(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for _, size := range []int{12, 50, 200} {
		s := newSim(1, 1)
		for range size {
			s.start(s.add(min(size/3, 5)), 0)
		}
		took := s.until(30*time.Second, 500*time.Millisecond, func() bool { return s.check() == nil })
		c.Assert(s.checkEventually(), qt.IsNil)
		seed, all := s.nodes[0].joins, 0
		for _, n := range s.nodes {
			all += n.joins
		}
		c.Logf("%d daemons agree after %s: %d joins at the seed, %d at all, %d envelopes at the seed", size, took, seed, all, s.nodes[0].received)
		c.Assert(seed < 4*size, qt.IsTrue)
		c.Assert(s.checkLinkScopes(), qt.IsNil)
	}
}

// minLinkedDaemons is the number of daemons of each failure domain that must have a link to
// another domain of the region, and to another region.
const minLinkedDaemons = 2

// checkLinkScopes checks that every daemon has a link within its failure domain, and that several
// daemons of each domain have links within the region and to other regions, as far as there are
// daemons in these scopes.
func (s *sim) checkLinkScopes() error {
	s.run(20 * time.Second)
	type domainScope struct {
		domain string
		scope  view.Scope
	}
	linked, wanted := map[domainScope]int{}, map[domainScope]int{}
	for _, n := range s.nodes {
		var counts [3]int
		for _, l := range n.core.Links() {
			counts[n.node.ScopeOf(l)]++
		}
		for scope, count := range counts {
			_, possible := n.core.Presence().Pick(view.Scope(scope))
			if possible && count == 0 && view.Scope(scope) == view.SameDomain {
				return fmt.Errorf("%s has no link within its domain: %v", n.node.Name, n.core.Links())
			}
			key := domainScope{n.node.Domain, view.Scope(scope)}
			if count > 0 {
				linked[key]++
			}
			if possible {
				wanted[key]++
			}
		}
	}
	for key, n := range wanted {
		if linked[key] < min(n, minLinkedDaemons) {
			return fmt.Errorf("domain %s: %d daemons have links in scope %d", key.domain, linked[key], key.scope)
		}
	}
	return nil
}

// TestPropagation measures how long any daemon still considers a draining backend server, or
// the backend servers of a dead daemon, as candidates for requests.
func TestPropagation(t *testing.T) {
	t.Parallel()
	for _, size := range []int{12, 50, 200} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := qt.New(t)
			s := fleet(c, size)
			n := s.nodes[size/2]
			draining := slices.Clone(serving)
			draining[0].State = presence.Draining
			s.execute(n, n.core.SetServers(draining))
			drain := s.until(drainLimit, 10*time.Millisecond, s.noRecord(n.node.Name, func(r presence.Record) bool { return r.Servers[0].State.AcceptsRequests() }))
			s.run(3 * time.Second)
			n.up = false
			death := s.until(deathLimit, 50*time.Millisecond, s.noRecord(n.node.Name, func(presence.Record) bool { return true }))
			c.Logf("%d daemons: drained everywhere after %s, dead after %s", size, drain, death)
			c.Assert(drain < drainLimit, qt.IsTrue)
			c.Assert(death < deathLimit, qt.IsTrue)
		})
	}
}

const (
	seconds  = 20
	idleTime = seconds * time.Second
)

// idleBytes bounds the bytes that a daemon of a converged fleet sends per second, without
// the overhead of net/rpc.
const idleBytes = 200

// TestIdle measures the traffic of a converged fleet.
func TestIdle(t *testing.T) {
	t.Parallel()
	for _, size := range []int{12, 50} {
		c := qt.New(t)
		s := fleet(c, size)
		s.measure = true
		s.resetCounters()
		s.run(idleTime)
		total, envelopes, links := 0, 0, 0
		for _, n := range s.nodes {
			total += n.bytes
			envelopes += n.received
			links += len(n.core.Links())
		}
		c.Assert(total/size/seconds < idleBytes, qt.IsTrue)
		c.Logf("%d daemons idle: %d B/s and %.1f envelopes/s sent by each, %.1f links", size, total/size/seconds, float64(envelopes)/float64(size*seconds), float64(links)/float64(size))
	}
}

func (s *sim) resetCounters() {
	for _, n := range s.nodes {
		n.bytes, n.received = 0, 0
	}
}

// TestHerd kills half of the fleet and restarts all of it at the same time.
func TestHerd(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const size = 100
	s := fleet(c, size)
	for i, n := range s.nodes {
		n.up = i%2 == 0
	}
	dropped := s.until(30*time.Second, 200*time.Millisecond, func() bool { return s.check() == nil })
	s.run(10 * time.Second)
	s.measure = true
	s.resetCounters()
	for i, n := range s.nodes {
		if i%2 == 1 {
			s.start(n, 0)
			s.execute(n, n.core.SetServers(serving))
		}
	}
	back := s.until(30*time.Second, 200*time.Millisecond, func() bool { return s.check() == nil })
	bytes, received := 0, 0
	for _, n := range s.nodes {
		bytes, received = max(bytes, n.bytes), max(received, n.received)
	}
	c.Logf("half of %d: dropped after %s, back after %s; seed received %d envelopes, the most was %d, the most sent %d B", size, dropped, back, s.nodes[0].received, received, bytes)
	c.Assert(s.checkEventually(), qt.IsNil)
}

// partitionTime is how long the region is partitioned. It is shorter than the hour of the
// golden file region_cut to limit the duration of the test.
const partitionTime = 2 * time.Minute

// healBytes bounds the bytes that a daemon sends per record of the fleet after a partition
// heals; a whole record takes about 139 B.
const healBytes = 80

// TestRegionCut partitions one region from the others and measures the recovery after the
// partition heals.
func TestRegionCut(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const size = 100
	s := fleet(c, size)
	s.partitioned = func(a, b view.Node) bool { return (a.Region == "r1") != (b.Region == "r1") }
	sides := func() bool {
		for _, n := range s.nodes {
			want := 80
			if n.node.Region == "r1" {
				want = 20
			}
			if n.core.Presence().Len() != want {
				return false
			}
		}
		return true
	}
	dropped := s.until(2*time.Minute, 200*time.Millisecond, sides)
	c.Assert(sides(), qt.IsTrue)
	s.run(partitionTime)
	c.Assert(sides(), qt.IsTrue)
	for _, in := range []bool{true, false} {
		side := slices.DeleteFunc(s.live(), func(n *simNode) bool { return (n.node.Region == "r1") != in })
		c.Assert(s.checkOverlay(side), qt.IsNil)
	}
	s.measure = true
	s.resetCounters()
	s.partitioned = func(_, _ view.Node) bool { return false }
	back := s.until(2*time.Minute, 200*time.Millisecond, func() bool { return s.check() == nil })
	c.Assert(s.checkEventually(), qt.IsNil)
	total := 0
	for _, n := range s.nodes {
		total += n.bytes
	}
	c.Assert(total/size < healBytes*size, qt.IsTrue, qt.Commentf("%d B sent by each", total/size))
	c.Logf("region of 20 of %d: dropped on both sides after %s, back after %s, %d B sent by each meanwhile", size, dropped, back, total/size)
}
