package domainroom

import (
	"cmp"
	"slices"
	"time"
)

const (
	// planInterval is the least time between two steps of a plan.
	planInterval = 100 * time.Millisecond
	// shortage is the fraction of its slots in progress, running and waiting, from which a domain
	// sends requests to others. It sends what exceeds it.
	shortage = 1.0
	// ceiling is the fraction of its slots up to which a domain receives requests from others: the
	// rest is for its own, which come first.
	ceiling = 0.95
	// stepUp and stepDown are the largest changes of a share per planInterval. A share falls faster
	// than it rises, because a request too many costs two domains.
	stepUp   = 0.1
	stepDown = 0.2
	// damping is the part of the way to its target that a share moves per planInterval.
	damping = 0.4
	// minShare is the share below which nothing crosses, so that a plan ends.
	minShare = 0.005
	// minReportedShare is the share from which a domain counts as sending.
	minReportedShare = 0.03
	// maxShare bounds the share, so that the servers of the own domain remain in use.
	maxShare = 0.9
	// historyLength covers MaxAge.
	historyLength = int(MaxAge/planInterval) + 1
	// maxCredit bounds the credit of one daemon.
	maxCredit = 2.0
	// smallWeight is the weight of one request in the smoothed fraction of small ones.
	smallWeight = 0.02
)

// Share is the share of the requests of a service that is sent to another domain.
type Share struct {
	Domain string
	Share  float64
}

// Planner determines the shares of one service at one daemon. All daemons of a domain have nearly
// the same reports, so their shares are nearly equal, and each contributes by its own requests.
// It is not safe for concurrent use.
type Planner struct {
	self    string
	inForce bool
	// short is set while the own domain is short.
	short  bool
	shares []Share
	// room holds the shares for which the other domains have room.
	room    []Share
	updated time.Time
	// history holds the shares of the last steps, oldest first: a report shows the effect of the
	// shares at the time of its observation.
	history []step
	// credit is the number of requests for which the other domains had room and that did not cross.
	credit float64
	// small is the smoothed fraction of the requests that are small.
	small float64
}

type step struct {
	at     time.Time
	shares []Share
}

// NewPlanner returns a Planner for a daemon in the failure domain self.
func NewPlanner(self string) *Planner { return &Planner{self: self, small: 1} }

// Due reports whether Update would take a step.
func (p *Planner) Due(now time.Time) bool { return now.Sub(p.updated) >= planInterval }

// EndIfUnused ends a plan that was not updated for MaxAge, because there were no requests.
func (p *Planner) EndIfUnused(now time.Time) {
	if now.Sub(p.updated) > MaxAge {
		p.Update(now, Observed{}, false, nil)
	}
}

// Shares returns the shares in force, and false if no plan is in force.
func (p *Planner) Shares() ([]Share, bool) { return p.shares, p.inForce }

// Sends returns the domains that get a share worth reporting, in the order of their names. Smaller ones
// end or grow within a few steps and keep no other domain from sending.
func (p *Planner) Sends() []string {
	var list []string
	for _, s := range p.shares {
		if s.Share >= minReportedShare {
			list = append(list, s.Domain)
		}
	}
	slices.Sort(list)
	return list
}

// Short reports whether the own domain has too few slots for its requests.
func (p *Planner) Short() bool { return p.short }

// Update adapts the shares to the known rooms. known states whether own is. Without recent knowledge
// of the own domain, or of any other one, no plan is in force.
func (p *Planner) Update(now time.Time, own Observed, known bool, others []Observed) {
	if !p.Due(now) {
		return
	}
	steps := min(now.Sub(p.updated).Seconds()/planInterval.Seconds(), 2)
	p.updated = now
	others = slices.DeleteFunc(slices.Clone(others), func(o Observed) bool { return now.Sub(o.At) > MaxAge || o.Room.Slots < 1 })
	p.short = false
	p.inForce = known && now.Sub(own.At) <= MaxAge && own.Room.Slots >= 1 && len(others) > 0
	if !p.inForce {
		p.shares, p.room, p.history, p.credit = nil, nil, nil, 0
		return
	}
	p.short = isShort(&own, now)
	p.shares = p.approach(p.targets(now, own, others), steps)
	p.history = append(p.history, step{now, p.shares})
	if len(p.history) > historyLength {
		p.history = p.history[1:]
	}
}

// targets sets the room and returns the shares at which the own domain would be at its shortage and the others at
// their ceiling, whichever takes fewer requests.
func (p *Planner) targets(now time.Time, own Observed, others []Observed) []Share {
	occupied := own.Room.occupied(now.Sub(own.At))
	before := p.sharesIn(&own)
	// demand is the requests of the domain in units of occupied slots. What is refused is not
	// visible; the steps make up for it.
	demand := max(occupied, own.Room.Slots) / (1 - min(total(before), maxShare))
	wanted := total(before)*demand + occupied - shortage*own.Room.Slots
	if receives(p.self, others) {
		wanted = 0
	}
	short := 1
	for i := range others {
		if isShort(&others[i], now) {
			short++
		}
	}
	var targets []Share
	for i := range others {
		o := &others[i]
		if isShort(o, now) || len(o.Room.To) > 0 {
			continue
		}
		free := ceiling*o.Room.Slots - o.Room.occupied(now.Sub(o.At))
		if free > 0 {
			free /= float64(short)
		}
		if part := shareOf(p.sharesIn(o), o.Domain)*demand + free; part > 0 {
			targets = append(targets, Share{o.Domain, part / demand})
		}
	}
	p.room = slices.Clone(targets)
	return fill(targets, min(max(wanted/demand, 0), maxShare))
}

// fill limits shares to a sum. The domains with the most room come first, because those with little
// may soon need it.
func fill(shares []Share, sum float64) []Share {
	slices.SortStableFunc(shares, func(a, b Share) int { return cmp.Compare(b.Share, a.Share) })
	for i := range shares {
		shares[i].Share = min(shares[i].Share, sum)
		sum -= shares[i].Share
	}
	return shares
}

func isShort(o *Observed, now time.Time) bool {
	return o.Room.occupied(now.Sub(o.At)) >= shortage*o.Room.Slots
}

// receives reports whether another domain sends requests of the service to domain.
func receives(domain string, others []Observed) bool {
	return slices.ContainsFunc(others, func(o Observed) bool { return slices.Contains(o.Room.To, domain) })
}

// approach returns the shares in force, moved towards the targets.
func (p *Planner) approach(targets []Share, steps float64) []Share {
	var next []Share
	for _, t := range targets {
		current := shareOf(p.shares, t.Domain)
		change := min(damping*steps, 1) * (t.Share - current)
		next = append(next, Share{t.Domain, current + min(max(change, -stepDown*steps), stepUp*steps)})
	}
	for _, s := range p.shares {
		if !slices.ContainsFunc(targets, func(t Share) bool { return t.Domain == s.Domain }) {
			next = append(next, Share{s.Domain, s.Share - stepDown*steps})
		}
	}
	return slices.DeleteFunc(next, func(s Share) bool { return s.Share < minShare })
}

// sharesIn returns the shares that an observation shows: on average, the requests that run at a time
// began half of their usual time before.
func (p *Planner) sharesIn(o *Observed) []Share {
	return sharesAt(p.history, o.At.Add(-o.Room.Service/2))
}

// sharesAt returns the shares that were in force at a time.
func sharesAt(history []step, at time.Time) []Share {
	for i := len(history) - 1; i >= 0; i-- {
		if !history[i].at.After(at) {
			return history[i].shares
		}
	}
	return nil
}

func shareOf(shares []Share, domain string) float64 {
	for _, s := range shares {
		if s.Domain == domain {
			return s.Share
		}
	}
	return 0
}

func total(shares []Share) float64 {
	sum := 0.0
	for _, s := range shares {
		sum += s.Share
	}
	return sum
}

// Draw returns the domain to which an attempt is sent, "" for the own one. random is a random number
// in [0, 1). The messages of a small request and of its answer are short; small requests cross
// first, large ones only with the part of the share that small ones do not cover. refused is set if
// servers of the own domain refused the request: such a request crosses if the others have room.
func (p *Planner) Draw(random float64, small, refused bool) string {
	if refused {
		return p.drawRefused(random, small)
	}
	crossing := total(p.shares)
	p.credit = min(p.credit+total(p.room), maxCredit)
	probability := p.probability(crossing, small)
	if random >= probability || p.credit <= 0 {
		return ""
	}
	p.credit--
	return pick(p.shares, random/probability*crossing)
}

// Return gives back the room of a request that Draw sent to another domain and that is not sent there.
func (p *Planner) Return() {
	if p.inForce {
		p.credit = min(p.credit+1, maxCredit)
	}
}

// drawRefused draws for a request that servers of the own domain refused. Large requests are not
// sent again.
func (p *Planner) drawRefused(random float64, small bool) string {
	if !small || p.credit < 1 || random >= 1 || len(p.room) == 0 {
		return ""
	}
	p.credit--
	return pick(p.room, random*total(p.room))
}

// probability returns the probability with which a request crosses for a share of all.
func (p *Planner) probability(crossing float64, small bool) float64 {
	weight := 0.0
	if small {
		weight = 1
	}
	p.small += smallWeight * (weight - p.small)
	fraction := min(max(p.small, smallWeight), 1)
	if small {
		return min(crossing/fraction, 1)
	}
	return max(0, crossing-fraction) / max(1-fraction, smallWeight)
}

// pick returns the domain at a position within the sum of shares.
func pick(shares []Share, position float64) string {
	for _, s := range shares {
		if position -= s.Share; position < 0 {
			return s.Domain
		}
	}
	return shares[len(shares)-1].Domain
}
