package canary

import (
	"maps"
	"math"
	"time"

	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

// The parts of the exposure budget.
const (
	// CanaryPart is spent while a few servers are tried, proofPart until all of them have
	// shown that they bear the load. The rest is left for what is under way and for
	// requests that are counted at one daemon and run at another.
	CanaryPart = 0.75
	proofPart  = 0.8
	// slackPart of the slack is given out beforehand.
	slackPart = 0.6
)

// hoard is how many requests a daemon may have saved up before it spends one on a route that
// has had its part: the next may be of a route that few samples are known of.
const hoard = 3

// Budget is what all daemons together may send to a version under roll-out.
type Budget struct {
	// Share is the part of the requests, Slack the requests besides.
	Share float64
	Slack int
}

// Credit is what a daemon may send before it has brought a request to a server: its part of
// the slack, by its place among all daemons. Where there are few requests, or many daemons,
// there would be no samples without it.
func (b Budget) Credit(place, daemons int) int {
	given := int(slackPart * float64(b.Slack))
	if daemons <= 0 || place >= given {
		return 0
	}
	return max(1, given/daemons)
}

// Account is what one daemon keeps of one roll-out. It is not safe for concurrent use.
//
// Invariant: before Handover, spent is at most the stage's part of Share for each request
// that reached a server, and the credit.
type Account struct {
	budget  Budget
	rollout fleet.Rollout
	// credit is what may be sent on top of what follows from the requests; it becomes free
	// bit by bit from began on, for some versions turn bad late.
	credit float64
	began  time.Time
	tally  Tally
	judge  Judge
	// tripped is set once this daemon has found the target version bad by itself.
	tripped string
	// bad counts the failures of the target version, for the driver to report at once.
	bad uint64
}

// NewAccount begins the account of a roll-out. credit is what the daemon may send on top of
// what follows from its own requests.
func NewAccount(r *fleet.Rollout, b Budget, credit int) *Account {
	return &Account{budget: b, rollout: *r, credit: float64(credit), tally: Tally{Routes: map[string]*Pair{}, Servers: map[string]Server{}}}
}

// Of reports whether the account is that of a roll-out.
func (a *Account) Of(r *fleet.Rollout) bool { return a.rollout.Number == r.Number }

// Enter takes in the newest stage.
func (a *Account) Enter(r *fleet.Rollout) { a.rollout = *r }

// Choose returns where a request on a route goes first, and then. touch tells that the
// leader was heard of lately: a daemon that is out of touch cannot know whether the target
// version was rolled back meanwhile.
func (a *Account) Choose(now time.Time, route string, touch bool) (first, then balance.Arm) {
	base := balance.Arm{Bound: true, Version: a.rollout.Version}
	target := balance.Arm{Bound: true, Version: a.rollout.Target}
	switch a.rollout.Stage {
	case fleet.Handover:
		return target, target
	case fleet.Canary:
		target.First = a.rollout.Servers
		if target.First > 0 && touch && a.allows(now, route, CanaryPart) {
			return target, base
		}
	case fleet.Proof:
		target.First = a.rollout.Servers
		if touch && a.allows(now, route, proofPart) {
			return target, base
		}
	}
	return base, base
}

// allows reports whether the budget has room for a request on a route.
func (a *Account) allows(now time.Time, route string, part float64) bool {
	if a.tripped != "" {
		return false
	}
	room := part*a.budget.Share*float64(a.tally.Reached) + a.free(now) - float64(a.tally.Spent)
	return room >= 1 && (room >= hoard || a.behind(route))
}

// Other is the arm of the other version.
func (a *Account) Other(arm balance.Arm) balance.Arm {
	other := balance.Arm{Bound: true, Version: a.rollout.Target}
	if arm.Version == a.rollout.Target {
		other.Version = a.rollout.Version
	}
	return other
}

// The credit is free from firstCredit of it on, and all of it after creditTime of the time.
const (
	firstCredit = 0.3
	creditTime  = 0.5
)

// free is the part of the credit that may be spent by now.
func (a *Account) free(now time.Time) float64 {
	if a.credit == 0 {
		return 0
	}
	if a.began.IsZero() {
		a.began = now
	}
	past := now.Sub(a.began).Seconds() / (creditTime * a.rollout.Within.Seconds())
	return math.Max(1, a.credit*math.Min(1, firstCredit+(1-firstCredit)*past))
}

// behind reports whether a route has had no more than its part of the samples.
func (a *Account) behind(route string) bool {
	pair := a.tally.Routes[route]
	if pair == nil {
		return true
	}
	return pair.Target.Answers*uint64(len(a.tally.Routes)) <= a.tally.Spent
}

// Sent notes that a request goes to a server of a software version.
func (a *Account) Sent(version string) {
	if version == a.rollout.Target {
		a.tally.Spent++
	}
}

// Answer is how a request ended that reached a server.
type Answer struct {
	Route string
	// Version is the server's software, Server its address.
	Version, Server string
	Failed          bool
	// Took is how long the server took for it.
	Took time.Duration
}

// Answered takes in how a request ended.
func (a *Account) Answered(n Answer) {
	a.tally.Reached++
	pair := a.tally.Routes[n.Route]
	if pair == nil {
		pair = &Pair{}
		a.tally.Routes[n.Route] = pair
	}
	if n.Version != a.rollout.Target {
		pair.Base.add(n.Failed, n.Took)
		return
	}
	pair.Target.add(n.Failed, n.Took)
	s := a.tally.Servers[n.Server]
	s.Answers++
	if n.Failed {
		s.Failed++
		a.bad++
	}
	if a.judge.slow(n.Route, n.Took) {
		s.Slow++
	}
	a.tally.Servers[n.Server] = s
	if a.tripped == "" {
		a.tripped = a.judge.Update(&a.tally)
	}
}

// Bad is how many failures of the target version were counted.
func (a *Account) Bad() uint64 { return a.bad }

// Tripped tells why this daemon sends nothing to the target version any more, or "".
func (a *Account) Tripped() string { return a.tripped }

// Tally returns a copy of what was counted.
func (a *Account) Tally() Tally {
	t := Tally{Routes: map[string]*Pair{}, Servers: maps.Clone(a.tally.Servers), Spent: a.tally.Spent, Reached: a.tally.Reached}
	for name, pair := range a.tally.Routes {
		t.Routes[name] = &Pair{Base: pair.Base.clone(), Target: pair.Target.clone()}
	}
	return t
}
