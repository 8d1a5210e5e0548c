// Package balance picks the backend server for one attempt: the one that is
// expected to answer soonest, with a handicap for servers in other failure
// domains and regions. Of many servers a random few are compared (Mitzenmacher,
// "The Power of Two Choices in Randomized Load Balancing", 2001).
//
// What is expected of a server follows from what the daemon beside it told with
// its last answer, as long as that is fresh, and from what this daemon has in
// progress there since; of one beside this daemon, from its gate. A server that
// cannot be reached or fails is ejected for a while that grows.
//
// The package does no I/O and reads no clock.
package balance

import (
	"time"

	"github.com/daisygate/daisygate/internal/version/directory"
)

const (
	// draws is how often a tier is drawn from before it is searched.
	draws = 4
	// compared is the most servers that one pick compares.
	compared = 16
	// noise keeps daemons that know the same from picking the same.
	noise = 0.1
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
	// Target is the time within which an answer is worth most; 0 is not known.
	Target time.Duration
	// Bytes is the length of a large body, 0 of a small one.
	Bytes int64
	// Answer is the expected length of a large answer, 0 of a small one.
	Answer int64
	// Arm bounds the choice while a roll-out runs.
	Arm Arm
}

// Arm is the part of a service's servers that requests may go to. The zero Arm is all.
type Arm struct {
	// Version is the software version of its servers; "" with Bound unset is any.
	Version string
	Bound   bool
	// First, if not 0, takes only so many of them: the same ones at each daemon that knows
	// the same servers.
	First int
}

// Load is how full a backend server is, as its gate counts.
type Load struct {
	// Running and Queued are requests, Limit the most that may run now.
	Running, Queued, Limit int
	// Service is the smoothed time from the start of a request to its answer; 0
	// is not known.
	Service time.Duration
	// Idle is how long ago Service was measured.
	Idle time.Duration
	// Failing is the smoothed share of the requests there that fail.
	Failing float64
	// Inflow is the bytes of large bodies on their way there over the link, Outflow
	// those of large answers that have to leave it.
	Inflow, Outflow int64
}

// Local tells the load of the servers beside this daemon, which its own gates
// know exactly.
type Local interface {
	// LocalLoad returns the load, and whether the server is known.
	LocalLoad(addr string) (Load, bool)
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
	// usual is the smoothed time to answer of all servers; 0 is not known. failing is
	// the smoothed share of the requests at all servers that fail.
	usual   time.Duration
	failing float64
	// servers has exactly one entry for each candidate.
	servers map[string]*server
	// ranks order the servers of each software version, for arms that take ranked of them;
	// nil until one asks.
	ranks  map[string]int
	ranked int
	// LinkBytes is what the link of an instance carries, in bytes a second; 0 is
	// not known.
	LinkBytes float64
	// Ejected is told of each server that is passed over for a while; nil tells
	// nobody.
	Ejected func(c *directory.Candidate, end End, d time.Duration)
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
	t.candidates, t.ranks = candidates, nil
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
	levels := []leave{strict, anyDomain, anyUntried}
	if in.Answer > 0 {
		// A large answer costs more on the way from another failure domain than a
		// further question here: the links of all of them are asked for first.
		levels = levels[1:]
	}
	for _, p.leave = range levels {
		if c := p.soonest(); c != nil {
			return c
		}
	}
	return nil
}

// soonest returns the candidate with the least expected time, or nil without
// one that may be used.
func (p *picker) soonest() *directory.Candidate {
	var best *directory.Candidate
	var least float64
	for _, c := range p.sample() {
		if cost := p.table.expected(&p.in, c) * (1 + noise*p.unit()); best == nil || cost < least {
			best, least = c, cost
		}
	}
	return best
}

// sample returns the usable candidates if they are few; else the nearest and a
// random few of each tier.
func (p *picker) sample() []*directory.Candidate {
	all := p.table.tiers[anywhere]
	list := p.room[:0]
	if len(all) <= compared {
		for _, c := range all {
			if p.usable(c) {
				list = append(list, c)
			}
		}
		return list
	}
	for i := range tiers {
		var first *directory.Candidate
		for range 2 {
			if c := p.draw(p.table.tiers[i], first); c != nil {
				first = c
				list = append(list, c)
			}
		}
	}
	return list
}

// picker is one pick.
type picker struct {
	table  *Table
	in     Input
	random uint64
	leave  leave
	// room keeps the sample off the heap.
	room [compared]*directory.Candidate
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

// unit is a random number in [0, 1).
func (p *picker) unit() float64 { return float64(p.next(1<<20)) / (1 << 20) }

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
	if !p.table.holds(&p.in.Arm, c) {
		return false
	}
	for _, tried := range p.in.Tried {
		if tried.Server.Addr == c.Server.Addr || (p.leave == strict && tried.Node.Domain == c.Node.Domain) {
			return false
		}
	}
	return p.leave == anyUntried || !p.table.servers[c.Server.Addr].ejected(p.in.Now)
}
