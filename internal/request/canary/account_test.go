package canary_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/request/canary"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

var (
	start  = time.Unix(1000, 0)
	budget = canary.Budget{Share: 0.1, Slack: 50}
)

func rolloutIn(stage fleet.Stage) *fleet.Rollout {
	return &fleet.Rollout{Number: 1, Version: "v1", Target: "v2", Stage: stage, Servers: 3, Within: 10 * time.Second}
}

// TestBudget lets many accounts choose for arbitrary requests. Before the handover, all of them
// together must never send more than the share plus the slack to the target version, no matter
// which daemons receive the requests and how they end.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 80).Draw(t, "daemons")
		var accounts []*canary.Account
		for place := range daemons {
			accounts = append(accounts, canary.NewAccount(rolloutIn(fleet.Canary), budget, budget.Credit(place, daemons)))
		}
		reached, spent := 0, 0
		type sent struct {
			a      *canary.Account
			answer canary.Answer
		}
		var inProgress []sent
		for i := range rapid.IntRange(1, 3000).Draw(t, "requests") {
			n := i * 7919 % (daemons*2 + 1) % daemons
			a := accounts[n]
			if i == 1500 {
				for _, other := range accounts {
					other.SetRollout(rolloutIn(fleet.Proof))
				}
			}
			route := []string{"a", "b", "c"}[i%5%3]
			arm, _ := a.Choose(start.Add(time.Duration(i)*3*time.Millisecond), route, true)
			a.Sent(arm.Version)
			if arm.Version == "v2" {
				spent++
			}
			inProgress = append(inProgress, sent{a, canary.Answer{Route: route, Version: arm.Version, Server: "s", Took: 5 * time.Millisecond}})
			if i%3 == 0 {
				inProgress[0].a.Answered(inProgress[0].answer)
				inProgress = inProgress[1:]
				reached++
			}
			if float64(spent) > budget.Share*float64(reached)+float64(budget.Slack) {
				t.Fatalf("%d of %d requests", spent, reached)
			}
		}
	})
}

// TestTouch checks that a daemon that has not heard of the leader recently sends nothing to the
// target version before the handover stage, and everything in it.
func TestTouch(t *testing.T) {
	c := qt.New(t)
	for stage, version := range map[fleet.Stage]string{fleet.Canary: "v1", fleet.Proof: "v1", fleet.Handover: "v2"} {
		a := canary.NewAccount(rolloutIn(stage), budget, 5)
		first, then := a.Choose(start, "a", false)
		c.Check(first, qt.Equals, balance.Arm{Bound: true, Version: version}, qt.Commentf("%s", stage))
		c.Check(then.Version, qt.Equals, version)
		c.Check(a.Other(then).Version, qt.Not(qt.Equals), version)
	}
	none := rolloutIn(fleet.Canary)
	none.Servers = 0
	first, _ := canary.NewAccount(none, budget, 5).Choose(start, "a", true)
	c.Check(first.Version, qt.Equals, "v1", qt.Commentf("the leader has named no servers yet"))
}

// addAnswers records n answers of each version. Every failEach-th answer of the target version
// fails and every slowEach-th is slow; 0 means none.
func addAnswers(a *canary.Account, from, n, failEach, slowEach int, server func(i int) string) {
	for i := from; i < from+n; i++ {
		base := canary.Answer{Route: "a", Version: "v1", Server: "o", Took: time.Duration(80+i%40) * time.Millisecond}
		a.Answered(base)
		target := canary.Answer{Route: "a", Version: "v2", Server: server(i), Took: base.Took}
		target.Failed = failEach > 0 && i%failEach == 0
		if slowEach > 0 && i%slowEach == 0 {
			target.Took *= 4
		}
		a.Answered(target)
	}
}

// TestTrip checks that a daemon on its own stops sending to a target version that fails or is
// slow, also if it turns bad late, but not because of one bad server of several.
func TestTrip(t *testing.T) {
	servers := func(i int) string { return []string{"x", "y", "z", "w"}[i%4] }
	for name, row := range map[string]struct {
		good, failEach, slowEach int
		server                   func(int) string
		trips                    bool
	}{
		"good":              {400, 0, 0, servers, false},
		"fails at once":     {0, 3, 0, servers, true},
		"fails late":        {400, 3, 0, servers, true},
		"slow":              {100, 0, 3, servers, true},
		"one server":        {100, 4, 0, servers, false}, // i%4 == 0 is always the same one
		"one of one server": {100, 4, 0, func(int) string { return "x" }, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			a := canary.NewAccount(rolloutIn(fleet.Canary), budget, 0)
			addAnswers(a, 0, row.good, 0, 0, row.server)
			c.Check(a.StopReason(), qt.Equals, "")
			addAnswers(a, 0, 100, row.failEach, row.slowEach, row.server)
			c.Check(a.StopReason() != "", qt.Equals, row.trips, qt.Commentf("%s", a.StopReason()))
		})
	}
}

// TestUnknownTimeCountsAsFast guards against answers whose time is unknown, because the daemon
// beside the server has not heard of the roll-out yet, that count as answers within no time.
func TestUnknownTimeCountsAsFast(t *testing.T) {
	c := qt.New(t)
	a := canary.NewAccount(rolloutIn(fleet.Canary), canary.Budget{Share: 0.1, Slack: 50}, 0)
	a.Answered(canary.Answer{Route: "a", Version: "v1", Server: "o"})
	a.Answered(canary.Answer{Route: "a", Version: "v1", Server: "o", Failed: true})
	a.Answered(canary.Answer{Route: "a", Version: "v1", Server: "o", Took: time.Second})
	tally := a.Tally()
	c.Check(tally.Reached, qt.Equals, uint64(3))
	c.Check(tally.Routes["a"].Base.Answers, qt.Equals, uint64(2))
	c.Check(tally.Routes["a"].Base.Failed, qt.Equals, uint64(1))
}
