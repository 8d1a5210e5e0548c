package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/request/canary"
	"github.com/daisygate/daisygate/internal/request/flow"
	"github.com/daisygate/daisygate/internal/version/directory"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// TestOlderVersionKeepsTheAccount has requests begin under the version before an order after
// others began under the one with it: what was spent of the budget is not forgotten.
func TestOlderVersionKeepsTheAccount(t *testing.T) {
	c := qt.New(t)
	state, err := fleet.Empty().Accept(&manifest.Manifest{Mesh: "m", Version: 1, Services: []manifest.Service{{Name: "s"}}})
	c.Assert(err, qt.IsNil)
	dirOf := func(s *fleet.State) *directory.Directory {
		snap, err := snapshot.Compile(s)
		c.Assert(err, qt.IsNil)
		return directory.Build(snap, nil)
	}
	before := dirOf(state)
	r := &fleet.Rollout{Number: 1, Version: "v1", Target: "v2", Stage: fleet.Canary, Servers: 1, Within: time.Minute, Ordered: time.Now()}
	state, err = state.SetRollout("m", "s", r)
	c.Assert(err, qt.IsNil)
	after := dirOf(state)
	g := New(Config{Directory: func() *directory.Directory { return after }, Rollout: RolloutConfig{Budget: canary.Budget{Share: 0.1, Slack: 50}}}, logr.Discard())
	s := &service{core: flow.NewService(balance.Place{}, nil)}
	key := snapshot.ServiceKey{Mesh: "m", Name: "s"}
	g.enterRollout(s, after, runningRollout(after.Snapshot, key))
	s.account.Sent("v2")
	g.enterRollout(s, before, runningRollout(before.Snapshot, key))
	c.Assert(s.account, qt.IsNotNil)
	c.Check(s.account.Tally().Spent, qt.Equals, uint64(1))
}
