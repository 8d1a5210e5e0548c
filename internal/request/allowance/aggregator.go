package allowance

import (
	"maps"
	"slices"
	"time"
)

const (
	// priorRequests is the number of requests, in addition to those observed, that each member is
	// assumed to have received within demandWindow if it received the mean of all members. It
	// divides a small demand almost equally, because the place of the next of a few requests
	// cannot be predicted from the last ones.
	priorRequests = 1.0
	// negligibleDemand is the demand in requests per second below which a member is forgotten.
	negligibleDemand = 0.001
)

// member is a daemon that sends reports.
type member struct {
	reportedAt time.Time
	// daemons is the number of daemons that the reports cover.
	daemons int
	// demand is the smoothed rate of requests, admitted or refused, by organisation.
	demand map[Name]float64
}

// members divides rates among daemons by their demand.
type members struct {
	byName map[string]*member
	// total is the sum of the members' demand by organisation.
	total map[Name]float64
}

func newMembers() members { return members{byName: map[string]*member{}, total: map[Name]float64{}} }

// record updates the demand of the member that sent a report.
func (s *members) record(now time.Time, r *Report, interval time.Duration) {
	m := s.byName[r.From]
	if m == nil {
		m = &member{reportedAt: now.Add(-interval), demand: map[Name]float64{}}
		s.byName[r.From] = m
	}
	elapsed := max(now.Sub(m.reportedAt), time.Millisecond)
	m.reportedAt, m.daemons = now, max(r.Members, 1)
	weight := smoothing(elapsed)
	sample := make(map[Name]float64, len(r.Usage))
	for _, u := range r.Usage {
		sample[u.Name] = float64(max(u.Admitted, 0)+u.Refused) / elapsed.Seconds()
		if _, known := m.demand[u.Name]; !known {
			m.demand[u.Name] = 0
		}
	}
	for name, demand := range m.demand {
		s.change(m, name, weight*(sample[name]-demand))
	}
}

// change adds a difference to the demand of a member.
func (s *members) change(m *member, name Name, difference float64) {
	m.demand[name] += difference
	s.total[name] = max(s.total[name]+difference, 0)
	if m.demand[name] < negligibleDemand {
		s.total[name] = max(s.total[name]-m.demand[name], 0)
		delete(m.demand, name)
	}
	if s.total[name] < negligibleDemand {
		delete(s.total, name)
	}
}

// expire removes the members that have not reported for memberTimeout.
func (s *members) expire(now time.Time) {
	for name, m := range s.byName {
		if now.Sub(m.reportedAt) <= memberTimeout {
			continue
		}
		for organisation, demand := range maps.Clone(m.demand) {
			s.change(m, organisation, -demand)
		}
		delete(s.byName, name)
	}
}

// daemons returns the number of daemons that the reports of all members cover.
func (s *members) daemons() int {
	sum := 0
	for _, m := range s.byName {
		sum += m.daemons
	}
	return sum
}

// share returns the part of a rate that a member receives.
func (s *members) share(from string, name Name, rate float64) float64 {
	count := float64(max(len(s.byName), 1))
	mean := s.total[name] / count
	if mean <= 0 {
		return rate / count
	}
	observed := s.byName[from].demand[name] * demandWindow.Seconds()
	expected := mean * demandWindow.Seconds()
	weight := (observed + priorRequests) / (expected + priorRequests)
	return rate * weight / count
}

// Aggregator sums up the reports of some daemons and divides the shares that it receives among
// them. It is not safe for concurrent use.
type Aggregator struct {
	interval time.Duration
	members  members
	// pending is the usage that was not reported yet, reported what the report in progress
	// contains.
	pending, reported map[Name]*Usage
	attachedAt        time.Time
	shares            []Share
	urgent            bool
}

// urgentSum is the number of requests of an unrestricted organisation at all members after which
// a report is urgent.
const urgentSum = 24

// NewAggregator returns an Aggregator whose members report once per interval.
func NewAggregator(interval time.Duration) *Aggregator {
	return &Aggregator{interval: interval, members: newMembers(), pending: map[Name]*Usage{}, reported: map[Name]*Usage{}}
}

// Receive handles the report of a daemon.
func (a *Aggregator) Receive(now time.Time, r *Report) Reply {
	a.members.record(now, r, a.interval)
	for _, u := range r.Usage {
		addUsage(a.pending, u)
		a.urgent = a.urgent || (a.pending[u.Name].Admitted >= urgentSum && !a.restricted(u.Name))
	}
	reply := Reply{Attached: !a.attachedAt.IsZero() && now.Sub(a.attachedAt) <= attachmentTimeout}
	for _, s := range a.shares {
		s.Rate = a.members.share(r.From, s.Name, s.Rate)
		reply.Shares = append(reply.Shares, s)
	}
	return reply
}

func addUsage(sums map[Name]*Usage, u Usage) {
	sum := sums[u.Name]
	if sum == nil {
		sum = &Usage{Name: u.Name}
		sums[u.Name] = sum
	}
	sum.Admitted += u.Admitted
	sum.Refused += u.Refused
}

func (a *Aggregator) restricted(name Name) bool {
	return slices.ContainsFunc(a.shares, func(s Share) bool { return s.Name == name })
}

// Urgent reports whether the next report should not wait for its interval.
func (a *Aggregator) Urgent() bool { return a.urgent }

// Active reports whether any daemon has reported recently.
func (a *Aggregator) Active(now time.Time) bool {
	a.members.expire(now)
	return len(a.members.byName) > 0
}

// Members returns the number of daemons that have reported recently.
func (a *Aggregator) Members() int { return len(a.members.byName) }

// Report returns the usage of all members since the last acknowledged report.
func (a *Aggregator) Report() []Usage {
	for _, u := range a.reported {
		u.dropRefunds()
	}
	for _, u := range a.pending {
		addUsage(a.reported, *u)
	}
	clear(a.pending)
	a.urgent = false
	list := make([]Usage, 0, len(a.reported))
	for _, u := range a.reported {
		list = append(list, *u)
	}
	return list
}

// Acknowledge applies the reply to the last report.
func (a *Aggregator) Acknowledge(now time.Time, r Reply) {
	clear(a.reported)
	if r.Attached {
		a.attachedAt = now
	}
	a.shares = r.Shares
}
