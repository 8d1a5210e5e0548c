// Package balance picks the backend server for one attempt: the one with the
// shortest expected time to answer, plus a penalty for servers in other failure
// domains and regions. If there are many servers, a few random ones are compared
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).
//
// The expected time is derived from the load that the daemon on the server's
// instance reported with its last answer, while that is fresh, and from the
// attempts that this daemon has started there since. For servers on this
// daemon's own instance, the load comes from their admission control. A server
// that cannot be reached or that fails is ejected for an exponentially growing
// time.
//
// The package does no I/O and reads no clock.
package balance

import (
	"slices"
	"time"

	"github.com/daisygate/daisygate/internal/request/speed"
	"github.com/daisygate/daisygate/internal/version/directory"
)

const (
	// randomDraws is how many random draws from a tier precede a linear search.
	randomDraws = 4
	// maxCompared is the maximum number of servers compared by one pick.
	maxCompared = 16
	// costJitter prevents daemons with the same data from picking the same server.
	costJitter = 0.1
)

// Input is what a pick depends on.
type Input struct {
	Now time.Time
	// Seed is a random number.
	Seed uint64
	// Tried are the servers to which this request was sent already.
	Tried []*directory.Candidate
	// Failed are those of Tried that failed or could not be reached, rather than
	// refusing for lack of room. Other servers in their failure domains are used last.
	Failed []*directory.Candidate
	// Drained are those of Tried that refused the request because they were draining. One of them
	// is used again if it has been announced anew since and no other server is left.
	Drained []*directory.Candidate
	// Pin, if not 0, determines the server by rendezvous hashing alone.
	Pin uint64
	// Target is the time within which an answer has its full value; 0 if unknown.
	Target time.Duration
	// Bytes is the length of the body if it is large, else 0.
	Bytes int64
	// Answer is the expected length of the answer if it is large, else 0.
	Answer int64
	// Kind groups requests that take similar times; "" means no group.
	Kind string
	// Arm restricts the choice during a roll-out.
	Arm Arm
	// Crossing restricts the choice to one failure domain while daemons share load.
	Crossing Crossing
}

// Arm is a subset of a service's servers. The zero Arm contains all of them.
type Arm struct {
	// Version is the software version of the servers in the arm. It applies only
	// if Bound is set.
	Version string
	Bound   bool
	// First, if not 0, limits the arm to that many servers. Daemons that know the
	// same servers select the same ones.
	First int
}

// Load is the load of a backend server as counted by its admission control.
type Load struct {
	// Running and Queued count requests; Limit is how many may run now.
	Running, Queued, Limit int
	// Service is the smoothed time from the start of a request to its answer; 0
	// if unknown.
	Service time.Duration
	// Idle is the time since Service was measured.
	Idle time.Duration
	// Slowness is the usual time that the server takes for its work relative to the mean of its
	// service's servers; 0 if unknown. It is known only in meshes that share load.
	Slowness float64
	// Contention is the time that work takes on the server's instance at this moment relative
	// to the usual one, because other processes use the instance too; 0 if unknown.
	Contention float64
	// FailureRate is the smoothed fraction of requests that fail at the server.
	FailureRate float64
	// Inflow is the bytes of large bodies in transit to the server's instance;
	// Outflow is the bytes of large answers that still have to leave it.
	Inflow, Outflow int64
	// RateLimit is the number of requests per second that the server accepts; 0 means that
	// there is no limit. Tokens is the number of requests that may start now because of it,
	// less those that wait; it may be negative.
	RateLimit, Tokens float64
}

// Local provides the load of servers on this daemon's own instance, which their
// admission control knows exactly.
type Local interface {
	// LocalLoad returns the load and whether the server is known.
	LocalLoad(addr string) (Load, bool)
}

// Location is the location of a daemon.
type Location struct {
	Node, Domain, Region string
}

// The tiers group candidates by distance. Each tier includes the nearer ones.
const (
	sameNode = iota
	sameDomain
	sameRegion
	anyRegion
	tierCount
)

// Table holds what one daemon knows about the servers of one service. It is not
// safe for concurrent use.
type Table struct {
	self       Location
	local      Local
	slowStart  time.Duration
	candidates []*directory.Candidate
	tiers      [tierCount][]*directory.Candidate
	// domains holds the candidates by failure domain.
	domains map[string][]*directory.Candidate
	// meanServiceTime is the smoothed time to answer over all servers; 0 if
	// unknown. meanFailureRate is the smoothed fraction of requests that fail over
	// all servers.
	meanServiceTime time.Duration
	meanFailureRate float64
	// meanOccupancy is the smoothed number of requests at a server per request that may run
	// there, over all servers.
	meanOccupancy float64
	// servers has exactly one entry for each candidate.
	servers map[string]*server
	// statements is keyed by address.
	statements map[string]ServerStatement
	// ranks holds the position of each server in its software version's order, for
	// arms with First equal to ranksFor; nil until needed.
	ranks    map[string]int
	ranksFor int
	// means holds the usual time of each kind; nil unless the mesh shares load.
	means *speed.Means
	// LinkBytes is the capacity of an instance's link in bytes per second; 0 if
	// unknown.
	LinkBytes float64
	// SharesLoad is set if daemons pass on load reports of the service's servers.
	SharesLoad bool
	// weightedDraws is the constant of that name. newsServers are the servers returned by
	// NewsServers. picksWithNews and picksWithout count
	// the picks while SharesLoad was set.
	weightedDraws               int
	newsServers                 []*directory.Candidate
	picksWithNews, picksWithout uint64
	// Ejected, if not nil, is called for each ejection with its cause and duration.
	Ejected func(c *directory.Candidate, outcome Outcome, d time.Duration)
}

// NewTable returns an empty table.
func NewTable(self Location, local Local) *Table {
	return &Table{self: self, local: local, servers: map[string]*server{}, statements: map[string]ServerStatement{}, weightedDraws: weightedDraws}
}

// Update sets the candidates and the slow start time. If the slice is the one the
// table already has, the candidates are left as they are.
func (t *Table) Update(candidates []*directory.Candidate, slowStart time.Duration) {
	t.slowStart = slowStart
	if len(candidates) == len(t.candidates) && (len(candidates) == 0 || &candidates[0] == &t.candidates[0]) {
		return
	}
	t.candidates, t.ranks = candidates, nil
	t.tiers = [tierCount][]*directory.Candidate{}
	t.domains = map[string][]*directory.Candidate{}
	servers := make(map[string]*server, len(candidates))
	for _, c := range candidates {
		servers[c.Server.Addr] = t.serverOf(c.Server.Addr)
		t.domains[c.Node.Domain] = append(t.domains[c.Node.Domain], c)
		for i := t.distance(c); i < tierCount; i++ {
			t.tiers[i] = append(t.tiers[i], c)
		}
	}
	t.servers = servers
	t.selectNewsServers()
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
		return sameNode
	case c.Node.Domain == t.self.Domain:
		return sameDomain
	case c.Node.Region == t.self.Region:
		return sameRegion
	}
	return anyRegion
}

// Pick returns the candidate to use, or nil if every one was tried. An ejected
// server is used only if no other is left.
func (t *Table) Pick(in Input) *directory.Candidate {
	if in.Pin != 0 {
		return t.pinned(in)
	}
	if in.Crossing.InForce {
		if c := t.pickPlanned(in); c != nil {
			return c
		}
		if !t.mayLeave(&in) {
			return nil
		}
		in.Crossing = Crossing{}
	}
	p := picker{table: t, in: in, random: in.Seed}
	if c := p.pickByNews(); c != nil {
		return c
	}
	levels := []relaxation{strict, anyDomain, anyUntried}
	if in.Answer > 0 {
		// A transfer of a large answer from another failure domain costs more than
		// another attempt in this one, so all servers here are tried first.
		levels = levels[1:]
	}
	if len(in.Drained) > 0 {
		levels = append(levels, anyReturned)
	}
	for _, p.relaxation = range levels {
		if c := p.cheapest(); c != nil {
			return c
		}
	}
	return nil
}

// cheapest returns the usable candidate with the lowest expected cost, or nil if
// there is none.
func (p *picker) cheapest() *directory.Candidate { return p.cheapestOf(p.sample()) }

// cheapestOf returns the candidate of a list with the lowest expected cost, or nil if it is empty.
func (p *picker) cheapestOf(list []*directory.Candidate) *directory.Candidate {
	var best *directory.Candidate
	var least float64
	for _, c := range list {
		if cost := p.table.expectedCost(&p.in, c) * (1 + costJitter*p.randomFloat()); best == nil || cost < least {
			best, least = c, cost
		}
	}
	return best
}

// sample returns all usable candidates if there are few servers, otherwise up to
// two random ones of each tier.
func (p *picker) sample() []*directory.Candidate {
	all := p.table.tiers[anyRegion]
	list := p.buffer[:0]
	if p.news {
		return p.sampleByNews(list)
	}
	if len(all) <= maxCompared {
		for _, c := range all {
			if p.usable(c) {
				list = append(list, c)
			}
		}
		return list
	}
	for i, tier := range p.table.tiers {
		if i == sameDomain && p.table.SharesLoad && len(p.table.newsServers) > 0 {
			tier = p.table.newsServers
		}
		list = p.appendTwo(list, tier)
	}
	return list
}

// appendTwo appends up to two random usable candidates of a tier.
func (p *picker) appendTwo(list, tier []*directory.Candidate) []*directory.Candidate {
	var first *directory.Candidate
	for range 2 {
		if c := p.draw(tier, first); c != nil {
			first = c
			list = append(list, c)
		}
	}
	return list
}

// picker is the state of one pick.
type picker struct {
	table      *Table
	in         Input
	random     uint64
	relaxation relaxation
	// news is set if the pick depends on the load of all of Table.newsServers.
	news bool
	// buffer keeps the sample off the heap.
	buffer [maxNewsServers + 2*tierCount]*directory.Candidate
}

// relaxation is how far the criteria of a pick are relaxed.
type relaxation uint8

const (
	// strict excludes ejected servers and failure domains in which an attempt failed.
	strict relaxation = iota
	// anyDomain excludes ejected servers only.
	anyDomain
	// anyUntried accepts every server that was not tried.
	anyUntried
	// anyReturned also accepts those that refused while draining and were announced anew since.
	anyReturned
)

// randomInt returns a number in [0, n) from the splitmix64 generator.
func (p *picker) randomInt(n int) int {
	p.random += 0x9e3779b97f4a7c15
	z := p.random
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	z ^= z >> 31
	return int(z % uint64(n))
}

// randomFloat returns a random number in [0, 1).
func (p *picker) randomFloat() float64 { return float64(p.randomInt(1<<20)) / (1 << 20) }

// draw returns a random usable candidate other than except, or nil if there is none.
func (p *picker) draw(tier []*directory.Candidate, except *directory.Candidate) *directory.Candidate {
	if len(tier) == 0 {
		return nil
	}
	for range randomDraws {
		if c := tier[p.randomInt(len(tier))]; c != except && p.usable(c) {
			return c
		}
	}
	begin := p.randomInt(len(tier))
	for i := range tier {
		if c := tier[(begin+i)%len(tier)]; c != except && p.usable(c) {
			return c
		}
	}
	return nil
}

func (p *picker) usable(c *directory.Candidate) bool {
	if !p.table.inArm(&p.in.Arm, c) || p.table.leaving(c) || !p.table.Selected(&p.in.Crossing, c) {
		return false
	}
	for _, tried := range p.in.Tried {
		if tried.Server.Addr == c.Server.Addr && !p.returned(tried, c) {
			return false
		}
	}
	if p.relaxation == strict {
		for _, failed := range p.in.Failed {
			if failed.Node.Domain == c.Node.Domain {
				return false
			}
		}
	}
	return p.relaxation >= anyUntried || !p.table.servers[c.Server.Addr].ejected(p.in.Now)
}

// returned reports whether a tried server may be used again as the candidate c. The directory makes a
// new candidate when the record of the server's daemon changes.
func (p *picker) returned(tried, c *directory.Candidate) bool {
	return p.relaxation == anyReturned && tried != c && slices.Contains(p.in.Drained, tried)
}
