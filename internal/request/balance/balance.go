// Package balance picks the backend server for one attempt: beside this daemon
// when it has room, then in the same failure domain, then in the same region,
// then anywhere; within such a tier the less loaded of two random servers
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).
//
// The load of a server is what this daemon has in progress there; of one beside
// it, what its gate counts. Load riding on answers was measured and left out: a
// daemon of a large fleet hears of one server too seldom. A server that cannot
// be reached or fails is ejected for a while that grows.
//
// The package does no I/O and reads no clock.
package balance

import (
	"time"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/version/directory"
)

const (
	// full is the load from which a near server is passed over for a farther
	// one.
	full = 0.9
	// coldShare is the share of its work that a server begins with.
	coldShare = 0.1
	// draws is how often a tier is drawn from before it is searched.
	draws = 4
)

// Input is what one pick depends on.
type Input struct {
	Now time.Time
	// Seed is a random number.
	Seed uint64
	// Tried are the servers that this request was sent to already; their
	// failure domains come last.
	Tried []*directory.Candidate
	// Pin, if not 0, picks by it alone.
	Pin uint64
}

// Local tells the load of the servers beside this daemon, which its own gates
// know exactly.
type Local interface {
	// LocalLoad returns requests per slot, and whether the server is known.
	LocalLoad(addr string) (float64, bool)
}

// Place is where a daemon stands.
type Place struct {
	Node, Domain, Region string
}

// tier is a group of candidates at the same distance, nearest first.
const (
	beside = iota
	sameDomain
	sameRegion
	anywhere
	tiers
)

// Table holds what one daemon knows of the servers of one service. It is not
// safe for concurrent use.
type Table struct {
	self       Place
	local      Local
	slowStart  time.Duration
	candidates []*directory.Candidate
	tiers      [tiers][]*directory.Candidate
	// servers has exactly one entry for each candidate.
	servers map[string]*server
}

// NewTable returns an empty table.
func NewTable(self Place, local Local) *Table {
	return &Table{self: self, local: local, servers: map[string]*server{}}
}

// Update takes in who serves now. A slice that it already has costs nothing.
func (t *Table) Update(candidates []*directory.Candidate, slowStart time.Duration) {
	t.slowStart = slowStart
	if len(candidates) == len(t.candidates) && (len(candidates) == 0 || &candidates[0] == &t.candidates[0]) {
		return
	}
	t.candidates = candidates
	t.tiers = [tiers][]*directory.Candidate{}
	servers := make(map[string]*server, len(candidates))
	for _, c := range candidates {
		servers[c.Server.Addr] = t.serverOf(c.Server.Addr)
		for i := t.distance(c); i < tiers; i++ {
			t.tiers[i] = append(t.tiers[i], c)
		}
	}
	t.servers = servers
}

func (t *Table) serverOf(addr string) *server {
	if s := t.servers[addr]; s != nil {
		return s
	}
	return &server{}
}

func (t *Table) distance(c *directory.Candidate) int {
	switch {
	case c.Node.Name == t.self.Node:
		return beside
	case c.Node.Domain == t.self.Domain:
		return sameDomain
	case c.Node.Region == t.self.Region:
		return sameRegion
	}
	return anywhere
}

// Pick returns the candidate to use, or nil when every one was tried. An
// ejected server is used only when nothing else is left.
func (t *Table) Pick(in Input) *directory.Candidate {
	if in.Pin != 0 {
		return t.pinned(in)
	}
	p := picker{table: t, in: in, random: in.Seed}
	for i := beside; i < anywhere; i++ {
		if c := p.twoChoices(t.tiers[i]); c != nil && t.load(in.Now, c) < full {
			return c
		}
	}
	for _, p.leave = range [...]leave{strict, anyDomain, anyUntried} {
		if c := p.twoChoices(t.tiers[anywhere]); c != nil {
			return c
		}
	}
	return nil
}

// load is requests per slot that may be used now.
func (t *Table) load(now time.Time, c *directory.Candidate) float64 {
	if t.local != nil && c.Node.Name == t.self.Node {
		if load, ok := t.local.LocalLoad(c.Server.Addr); ok {
			return load
		}
	}
	return t.servers[c.Server.Addr].load(now, c.Server.Slots) / t.warmth(now, c)
}

// warmth grows from coldShare to 1 while a server starts slowly.
func (t *Table) warmth(now time.Time, c *directory.Candidate) float64 {
	if c.Server.State == presence.Warming {
		return coldShare
	}
	if t.slowStart <= 0 || c.Server.Since == 0 {
		return 1
	}
	age := now.Sub(time.UnixMilli(c.Server.Since))
	return min(1, max(coldShare, float64(age)/float64(t.slowStart)))
}

// picker is one pick.
type picker struct {
	table  *Table
	in     Input
	random uint64
	leave  leave
}

// leave is what a pick may make do with.
type leave uint8

const (
	// strict passes over ejected servers and failure domains that were tried.
	strict leave = iota
	// anyDomain passes over ejected servers.
	anyDomain
	// anyUntried takes every server that was not tried.
	anyUntried
)

// next is the generator splitmix64.
func (p *picker) next(n int) int {
	p.random += 0x9e3779b97f4a7c15
	z := p.random
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	z ^= z >> 31
	return int(z % uint64(n))
}

func (p *picker) twoChoices(tier []*directory.Candidate) *directory.Candidate {
	a := p.draw(tier, nil)
	if a == nil {
		return nil
	}
	b := p.draw(tier, a)
	if b == nil || p.table.load(p.in.Now, a) <= p.table.load(p.in.Now, b) {
		return a
	}
	return b
}

// draw returns a random candidate that may be used, or nil without one.
func (p *picker) draw(tier []*directory.Candidate, except *directory.Candidate) *directory.Candidate {
	if len(tier) == 0 {
		return nil
	}
	for range draws {
		if c := tier[p.next(len(tier))]; c != except && p.usable(c) {
			return c
		}
	}
	begin := p.next(len(tier))
	for i := range tier {
		if c := tier[(begin+i)%len(tier)]; c != except && p.usable(c) {
			return c
		}
	}
	return nil
}

func (p *picker) usable(c *directory.Candidate) bool {
	for _, tried := range p.in.Tried {
		if tried.Server.Addr == c.Server.Addr || (p.leave == strict && tried.Node.Domain == c.Node.Domain) {
			return false
		}
	}
	return p.leave == anyUntried || !p.table.servers[c.Server.Addr].ejected(p.in.Now)
}
