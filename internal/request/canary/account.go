package canary

import (
	"maps"
	"math"
	"time"

	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

// Parts of the exposure budget.
const (
	// CanaryPart may be spent while a few servers are tested, and proofPart until all of
	// them have proved to sustain the load. The rest is reserved for requests in progress
	// and for requests that are counted at one daemon and run at another.
	CanaryPart = 0.75
	proofPart  = 0.8
	// creditPart is the fraction of the slack that is granted in advance.
	creditPart = 0.6
)

// surplusThreshold is the available budget from which a daemon also sends requests on routes
// that already have their part of the samples. Below it, the budget is kept because the next
// request may be on a route with few samples.
const surplusThreshold = 3

// Budget limits what all daemons together may send to the target version of a roll-out.
type Budget struct {
	// Share is a fraction of the requests; Slack is a number of requests in addition.
	Share float64
	Slack int
}

// Credit returns what a daemon may send before any of its requests has reached a server: its
// part of the slack, by its position among all daemons. Without it there would be no samples
// if there are few requests or many daemons.
func (b Budget) Credit(position, daemons int) int {
	granted := int(creditPart * float64(b.Slack))
	if daemons <= 0 || position >= granted {
		return 0
	}
	return max(1, granted/daemons)
}

// Account is one daemon's accounting of one roll-out. It is not safe for concurrent use.
//
// Invariant: before Handover, spent is at most the credit plus the stage's part of Share for
// each request that reached a server.
type Account struct {
	budget  Budget
	rollout fleet.Rollout
	// credit is what may be sent in addition to the share of the requests. It is released
	// gradually from creditStart on, because some versions turn bad late.
	credit      float64
	creditStart time.Time
	tally       Tally
	judge       Judge
	// tripped is the reason why this daemon on its own found the target version bad, or "".
	tripped string
	// targetFailures counts the failures of the target version, which the caller of the
	// package reports at once.
	targetFailures uint64
}

// NewAccount returns the account of a roll-out. credit is what the daemon may send in
// addition to the share of its own requests.
func NewAccount(r *fleet.Rollout, b Budget, credit int) *Account {
	return &Account{budget: b, rollout: *r, credit: float64(credit), tally: Tally{Routes: map[string]*Pair{}, Servers: map[string]Server{}}}
}

// IsFor reports whether the account belongs to the roll-out r.
func (a *Account) IsFor(r *fleet.Rollout) bool { return a.rollout.Number == r.Number }

// SetRollout updates the account to the current stage of the roll-out.
func (a *Account) SetRollout(r *fleet.Rollout) { a.rollout = *r }

// Choose returns the arms for the first attempt of a request on a route and for the others.
// leaderHeard tells whether the leader was heard of recently: otherwise the daemon cannot
// know whether the target version has been rolled back.
func (a *Account) Choose(now time.Time, route string, leaderHeard bool) (first, others balance.Arm) {
	base := balance.Arm{Bound: true, Version: a.rollout.Version}
	target := balance.Arm{Bound: true, Version: a.rollout.Target}
	switch a.rollout.Stage {
	case fleet.Handover:
		return target, target
	case fleet.Canary:
		target.First = a.rollout.Servers
		if target.First > 0 && leaderHeard && a.hasBudget(now, route, CanaryPart) {
			return target, base
		}
	case fleet.Proof:
		target.First = a.rollout.Servers
		if leaderHeard && a.hasBudget(now, route, proofPart) {
			return target, base
		}
	}
	return base, base
}

// hasBudget reports whether the budget allows to send a request on a route to the target version.
func (a *Account) hasBudget(now time.Time, route string, part float64) bool {
	if a.tripped != "" {
		return false
	}
	available := part*a.budget.Share*float64(a.tally.Reached) + a.releasedCredit(now) - float64(a.tally.Spent)
	return available >= 1 && (available >= surplusThreshold || a.undersampled(route))
}

// Other returns the arm of the other version.
func (a *Account) Other(arm balance.Arm) balance.Arm {
	other := balance.Arm{Bound: true, Version: a.rollout.Target}
	if arm.Version == a.rollout.Target {
		other.Version = a.rollout.Version
	}
	return other
}

// initialCreditShare of the credit is available at once, and all of it after creditTimeShare
// of the duration of the roll-out.
const (
	initialCreditShare = 0.3
	creditTimeShare    = 0.5
)

// releasedCredit returns the part of the credit that may be spent by now.
func (a *Account) releasedCredit(now time.Time) float64 {
	if a.credit == 0 {
		return 0
	}
	if a.creditStart.IsZero() {
		a.creditStart = now
	}
	elapsed := now.Sub(a.creditStart).Seconds() / (creditTimeShare * a.rollout.Within.Seconds())
	return math.Max(1, a.credit*math.Min(1, initialCreditShare+(1-initialCreditShare)*elapsed))
}

// undersampled reports whether a route has had no more than its part of the samples.
func (a *Account) undersampled(route string) bool {
	pair := a.tally.Routes[route]
	if pair == nil {
		return true
	}
	return pair.Target.Answers*uint64(len(a.tally.Routes)) <= a.tally.Spent
}

// Sent records that a request goes to a server of a software version.
func (a *Account) Sent(version string) {
	if version == a.rollout.Target {
		a.tally.Spent++
	}
}

// Answer is the outcome of a request that reached a server.
type Answer struct {
	Route string
	// Version is the software version of the server, Server its address.
	Version, Server string
	Failed          bool
	// Took is the time that the server took; 0 if unknown.
	Took time.Duration
	// Earlier is set if the request was sent before the roll-out came into force.
	Earlier bool
}

// Answered records the outcome of a request. That of an earlier request counts for the base
// version, whose first answers would otherwise be those of its shortest requests alone.
func (a *Account) Answered(n Answer) {
	if n.Earlier && n.Version == a.rollout.Target {
		return
	}
	if !n.Earlier {
		a.tally.Reached++
	}
	if n.Took == 0 && !n.Failed {
		return
	}
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
		a.targetFailures++
	}
	if a.judge.isSlow(n.Route, n.Took) {
		s.Slow++
	}
	a.tally.Servers[n.Server] = s
	if a.tripped == "" {
		a.tripped = a.judge.Update(&a.tally)
	}
}

// TargetFailures returns the number of failures of the target version.
func (a *Account) TargetFailures() uint64 { return a.targetFailures }

// StopReason returns why this daemon no longer sends requests to the target version, or "".
func (a *Account) StopReason() string { return a.tripped }

// Tally returns a copy of the counts.
func (a *Account) Tally() Tally {
	t := Tally{Routes: map[string]*Pair{}, Servers: maps.Clone(a.tally.Servers), Spent: a.tally.Spent, Reached: a.tally.Reached}
	for name, pair := range a.tally.Routes {
		t.Routes[name] = &Pair{Base: pair.Base.clone(), Target: pair.Target.clone()}
	}
	return t
}
