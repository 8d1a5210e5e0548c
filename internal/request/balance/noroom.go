package balance

import (
	"time"

	"github.com/daisygate/daisygate/internal/request/admit"
	"github.com/daisygate/daisygate/internal/version/directory"
)

const (
	// maxRoomAge is the age up to which a reported load proves that a server has no room.
	maxRoomAge = 250 * time.Millisecond
	// maxRoomChecked bounds how many servers are checked for room.
	maxRoomChecked = 64
)

// NoRoom reports whether recent reports say of every server that the request may use, other than
// those tried, that it would refuse the request, which is useful for in.Target from now on. until is
// the time until the first of them is expected to accept one. With many servers, a random part of
// them is checked. Under a plan these are the servers of the selected failure domain and of the own one,
// to which the request returns.
func (t *Table) NoRoom(in Input) (until time.Duration, none bool) {
	if in.Pin != 0 || in.Target <= 0 {
		return 0, false
	}
	p := picker{table: t, in: in, random: in.Seed, relaxation: anyDomain}
	if !in.Crossing.InForce {
		until, full, checked := p.waitForRoom(t.tiers[anyRegion], maxRoomChecked)
		return until, full && checked
	}
	p.in.Crossing = Crossing{}
	until, full, checked := p.waitForRoom(t.domains[t.self.Domain], maxRoomChecked/2)
	if !full || in.Crossing.To == "" || in.Crossing.To == t.self.Domain {
		return until, full && checked
	}
	there, full, checkedThere := p.waitForRoom(t.domains[in.Crossing.To], maxRoomChecked/2)
	if checkedThere && (!checked || there < until) {
		until = there
	}
	return until, full && (checked || checkedThere)
}

// waitForRoom returns the time until the first of the usable servers of a list is expected to accept the
// request. It checks at most limit servers, beginning at a random one. full is false if one of them
// may have room now, and checked is false if none is usable.
func (p *picker) waitForRoom(list []*directory.Candidate, limit int) (until time.Duration, full, checked bool) {
	if len(list) == 0 {
		return 0, true, false
	}
	begin := p.randomInt(len(list))
	for i := range min(len(list), limit) {
		c := list[(begin+i)%len(list)]
		if !p.usable(c) {
			continue
		}
		wait, isFull := p.table.roomAfter(&p.in, c)
		if !isFull {
			return 0, false, true
		}
		if !checked || wait < until {
			until, checked = wait, true
		}
	}
	return until, true, checked
}

// roomAfter returns the time until a server is expected to accept the request. full is false if it may
// accept it now, or if no recent report says otherwise.
func (t *Table) roomAfter(in *Input, c *directory.Candidate) (wait time.Duration, full bool) {
	l, inProgress, recent := t.recentLoad(in, c.Server.Addr, c.Server.Slots)
	if !recent {
		return 0, false
	}
	limit := max(float64(l.Limit)*t.slowStartFactor(in.Now, c), 1)
	service, other := t.expectedTimes(in, l)
	queueing, rateWait := max(0, inProgress+1-limit)/limit, l.rateWait()
	excess := service.Seconds() + max(other.Seconds()*queueing, rateWait) - admit.UsefulShare*in.Target.Seconds()
	if (queueing == 0 && rateWait == 0) || excess <= 0 {
		return 0, false
	}
	return min(time.Duration(excess*float64(time.Second)), maxRoomWait), true
}

// maxRoomWait bounds the time until a server is expected to have room.
const maxRoomWait = 30 * time.Second

// recentLoad returns a server's load and the requests in progress there, and whether they are recent.
func (t *Table) recentLoad(in *Input, addr string, slots int) (l Load, inProgress float64, recent bool) {
	if t.local != nil {
		if exact, ok := t.local.LocalLoad(addr); ok {
			return exact, float64(exact.Running + exact.Queued), true
		}
	}
	s := t.servers[addr]
	age := in.Now.Sub(s.loadAt)
	if s.loadAt.IsZero() || age < 0 || age > maxRoomAge {
		return Load{}, 0, false
	}
	l, inProgress = s.estimate(in.Now, slots, t.meanOccupancy)
	// fullUntil follows from one refusal, not from a report.
	reported := max(0, float64(s.load.Running+s.load.Queued+s.sentSinceLoad))
	return l, min(inProgress, max(reported, float64(s.outstanding))), true
}
