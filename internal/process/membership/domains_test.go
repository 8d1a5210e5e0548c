package membership_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
)

// domains is the number of failure domains of domainFleet, all in one region.
const domains = 5

// domainFleet starts a fleet in which all daemons start at once and their backend servers
// announce themselves over some seconds, and measures the bytes that cross failure domains.
func domainFleet(size int) *sim {
	s := newSim(uint64(size), 3)
	s.measure = true
	for i := range size {
		n := s.add(1)
		n.node.Domain = fmt.Sprintf("d%d", i%domains)
		s.start(n, 0)
		for _, state := range []presence.ServerState{presence.Warming, presence.Serving} {
			state := state
			s.after(time.Duration(1+s.rand.IntN(3000))*time.Millisecond, func() { s.announce(n, state) })
		}
	}
	return s
}

func (s *sim) announce(n *simNode, state presence.ServerState) {
	s.execute(n, n.core.SetServers([]presence.Server{{
		Mesh: "main", Service: "archivdienst", Addr: n.node.Addr, Slots: 13, Connections: 1700, State: state, Boot: "i-7f3a91c2", Started: 1_700_000_000_000, Version: "v1", Since: 1_700_000_000_000,
	}}))
}

func (s *sim) farBytes() int {
	total := 0
	for _, n := range s.nodes {
		total += n.farBytes
	}
	return total
}

// farLinks returns the number of links of a daemon to other failure domains.
func (n *simNode) farLinks() int {
	far := 0
	for _, l := range n.core.Links() {
		if n.node.ScopeOf(l) != view.SameDomain {
			far++
		}
	}
	return far
}

// TestDomainLosesItsBorderNodes checks that a failure domain learns of changes elsewhere soon after
// all its daemons with links to other domains have failed at once.
func TestDomainLosesItsBorderNodes(t *testing.T) {
	c := qt.New(t)
	s := domainFleet(100)
	s.run(20 * time.Second)
	lost := 0
	for _, n := range s.nodes {
		if n.node.Domain == "d0" && n.farLinks() > 0 {
			n.up = false
			lost++
		}
	}
	c.Assert(lost > 0 && lost < 20, qt.IsTrue, qt.Commentf("%d", lost))
	changed := s.nodes[1]
	s.announce(changed, presence.Draining)
	known := func() bool {
		for _, n := range s.live() {
			for _, r := range n.core.Presence().All() {
				if r.Node.Name == changed.node.Name && r.Servers[0].State != presence.Draining {
					return false
				}
			}
		}
		return true
	}
	took := s.until(deathLimit, 50*time.Millisecond, known)
	t.Logf("%d of 20 daemons of the domain lost; the others know of the change after %s", lost, took)
	c.Check(took < deathLimit, qt.IsTrue)
}

// The bounds on what a daemon of a fleet of any size sends to other failure domains: in bytes for
// the start of the whole fleet, per second while nothing changes, and for each change.
const (
	maxFarStart  = 60_000
	maxFarIdle   = 60
	maxFarChange = 400
)

// TestBytesBetweenDomains measures the bytes that a daemon sends to other failure domains at the
// start of the fleet, while nothing changes, and for each change. They must not grow with the
// fleet.
func TestBytesBetweenDomains(t *testing.T) {
	for _, size := range []int{30, 150} {
		s := domainFleet(size)
		s.run(10 * time.Second)
		start := s.farBytes()
		s.run(20 * time.Second)
		before := s.farBytes()
		s.run(20 * time.Second)
		idle := s.farBytes() - before
		before = s.farBytes()
		const changes = 40
		for i := range changes {
			s.announce(s.nodes[i*7%size], presence.Draining)
			s.run(500 * time.Millisecond)
		}
		changed := s.farBytes() - before - idle
		far, links := 0, 0
		for _, n := range s.nodes {
			links += len(n.core.Links())
			far += n.farLinks()
		}
		qt.Check(t, s.checkEventually(), qt.IsNil)
		t.Logf("%d daemons: start %d B each, idle %d B/s each, a change %d B each, %d B in all; %.2f of %.2f links", size, start/size, idle/size/20, changed/size/changes, changed/changes, float64(far)/float64(size), float64(links)/float64(size))
		qt.Check(t, start/size <= maxFarStart, qt.IsTrue)
		qt.Check(t, idle/size/20 <= maxFarIdle, qt.IsTrue)
		qt.Check(t, changed/size/changes <= maxFarChange, qt.IsTrue)
	}
}
