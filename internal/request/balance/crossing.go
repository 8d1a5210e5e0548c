package balance

import (
	"slices"
	"time"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/request/domainroom"
	"github.com/daisygate/daisygate/internal/version/directory"
)

// Crossing is the failure domain that the plan of package domainroom selects for a request. The zero
// Crossing leaves the choice to the expected cost.
type Crossing struct {
	InForce bool
	// To is the domain; "" is the daemon's own.
	To string
}

// domain returns the selected domain.
func (c *Crossing) domain(self string) string {
	if c.To == "" {
		return self
	}
	return c.To
}

// ComparesAll reports whether a pick compares all servers of the service by their expected time.
func (t *Table) ComparesAll() bool { return len(t.tiers[anyRegion]) <= maxCompared }

// Selected reports whether a candidate is in the selected domain, or none is selected.
func (t *Table) Selected(crossing *Crossing, c *directory.Candidate) bool {
	return !crossing.InForce || c.Node.Domain == crossing.domain(t.self.Domain)
}

// pickPlanned returns the best usable candidate of the planned domain, else of the own domain, or
// nil if neither has one. An attempt that failed in the own domain does not exclude its other
// servers: only the plan sends requests away.
func (t *Table) pickPlanned(in Input) *directory.Candidate {
	for {
		p := picker{table: t, in: in, random: in.Seed, relaxation: anyDomain}
		if in.Crossing.To == "" {
			if c := p.pickByNews(); c != nil {
				return c
			}
		}
		if c := p.cheapestPlanned(); c != nil || in.Crossing.To == "" {
			return c
		}
		in.Crossing.To = ""
	}
}

// mayLeave reports whether a request for which no server of the planned domain is left may go to any
// other: a server failed, or the own domain has none that can be used. Otherwise all servers there
// have refused it for lack of room.
func (t *Table) mayLeave(in *Input) bool {
	if len(in.Failed) > 0 {
		return true
	}
	own := picker{table: t, in: Input{Now: in.Now, Arm: in.Arm}, relaxation: anyDomain}
	for _, c := range t.domains[t.self.Domain] {
		if own.usable(c) {
			return false
		}
	}
	return true
}

// cheapestPlanned is cheapest for the planned domain.
func (p *picker) cheapestPlanned() *directory.Candidate {
	if p.news || len(p.table.tiers[anyRegion]) <= maxCompared {
		return p.cheapest()
	}
	tier := p.table.domains[p.in.Crossing.domain(p.table.self.Domain)]
	list := p.buffer[:0]
	var first *directory.Candidate
	for range plannedDraws {
		if c := p.draw(tier, first); c != nil {
			first = c
			list = append(list, c)
		}
	}
	for _, c := range p.table.tiers[sameNode] {
		if len(list) < maxCompared && p.usable(c) {
			list = append(list, c)
		}
	}
	return p.cheapestOf(list)
}

// plannedDraws is the number of servers that are compared in a planned domain.
const plannedDraws = 4

// roomKnowledge is the age up to which the reported load of a server counts for the room of a domain.
const roomKnowledge = time.Second

// Room returns the room of the servers of the daemon's own failure domain; Trend and To are left
// out. Servers whose load is not known are assumed to be like the others. Slots is 0 if no load is
// known; covered is the part of Slots whose load is known.
func (t *Table) Room(now time.Time) (room domainroom.Room, covered float64) {
	var slots, seconds float64
	for _, c := range t.domains[t.self.Domain] {
		s := t.servers[c.Server.Addr]
		if s.ejected(now) || t.leaving(c) || c.Server.State == presence.Draining {
			continue
		}
		l, inProgress := t.currentLoad(now, c)
		limit := max(float64(l.Limit)*t.slowStartFactor(now, c), 1)
		slots += limit
		if t.distance(c) != sameNode && now.Sub(s.loadAt) > roomKnowledge {
			continue
		}
		room.Slots += limit
		room.Running += min(inProgress, limit)
		room.Waiting += max(0, inProgress-limit)
		seconds += limit * t.expectedServiceTime(l).Seconds()
	}
	if room.Slots == 0 {
		return domainroom.Room{}, 0
	}
	room.Service = time.Duration(seconds / room.Slots * float64(time.Second))
	scale := slots / room.Slots
	room.Slots, room.Running, room.Waiting = slots, room.Running*scale, room.Waiting*scale
	return room, 1 / scale
}

// Crossed reports whether any of the candidates is in another failure domain.
func (t *Table) Crossed(candidates []*directory.Candidate) bool {
	return slices.ContainsFunc(candidates, func(c *directory.Candidate) bool { return c.Node.Domain != t.self.Domain })
}
