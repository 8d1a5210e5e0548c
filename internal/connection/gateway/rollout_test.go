package gateway

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/request/canary"
	"github.com/daisygate/daisygate/internal/request/flow"
	"github.com/daisygate/daisygate/internal/version/directory"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// TestOlderVersionKeepsTheAccount starts a request under the version before a rollout
// order after others have started under the version with it. The budget spent so far must
// not be forgotten.
func TestOlderVersionKeepsTheAccount(t *testing.T) {
	c := qt.New(t)
	state, err := fleet.Empty().Accept(&manifest.Manifest{Mesh: "m", Version: 1, Services: []manifest.Service{{Name: "s"}}})
	c.Assert(err, qt.IsNil)
	newDirectory := func(s *fleet.State) *directory.Directory {
		snap, err := snapshot.Compile(s)
		c.Assert(err, qt.IsNil)
		return directory.Build(snap, nil)
	}
	before := newDirectory(state)
	r := &fleet.Rollout{Number: 1, Version: "v1", Target: "v2", Stage: fleet.Canary, Servers: 1, Within: time.Minute, Ordered: time.Now()}
	state, err = state.SetRollout("m", "s", r)
	c.Assert(err, qt.IsNil)
	after := newDirectory(state)
	g := New(Config{Directory: func() *directory.Directory { return after }, Rollout: RolloutConfig{Budget: canary.Budget{Share: 0.1, Slack: 50}}}, logr.Discard())
	s := &service{core: flow.NewService(balance.Location{}, nil)}
	key := snapshot.ServiceKey{Mesh: "m", Name: "s"}
	g.updateRollout(s, after, runningRollout(after.Snapshot, key))
	s.account.Sent("v2")
	g.updateRollout(s, before, runningRollout(before.Snapshot, key))
	c.Assert(s.account, qt.IsNotNil)
	c.Check(s.account.Tally().Spent, qt.Equals, uint64(1))
}

// TestAnswersOfEarlierRequestsAreMissed guards against a comparison with the base version that
// begins with its shortest requests: answers of requests that were sent before a rollout came
// into force count for the base version, but not for the exposure budget.
func TestAnswersOfEarlierRequestsAreMissed(t *testing.T) {
	forLocalAndForwarded(t, func(c *qt.C, f *testFleet, at int) {
		started, finish := make(chan bool, 1), make(chan bool)
		addr, _ := rawServer(c, func(_ int64, r *http.Request, conn net.Conn) bool {
			if r.URL.Path == "/again" {
				started <- true
				<-finish
			}
			time.Sleep(2 * time.Millisecond)
			return writeRaw(conn, okAnswer+"ok")
		})
		f.addServer(at, presence.Server{Mesh: "m", Service: "s", Addr: addr, Slots: 4, Connections: 4, State: presence.Serving, Version: "v1"})
		var wait sync.WaitGroup
		wait.Go(func() { c.Check(f.do(0, "GET", "/again", nil).status, qt.Equals, http.StatusOK) })
		<-started
		f.orderRollout(&fleet.Rollout{Number: 1, Version: "v1", Target: "v2", Stage: fleet.Canary, Servers: 1, Within: time.Minute, Ordered: time.Now()})
		c.Assert(f.do(0, "GET", "/first", nil).status, qt.Equals, http.StatusOK)
		close(finish)
		wait.Wait()
		tally := f.gateways[0].Rollouts()[0].Tally
		c.Check(tally.Reached, qt.Equals, uint64(1))
		c.Check(tally.Routes["/first"].Base.Answers, qt.Equals, uint64(1))
		c.Assert(tally.Routes["/again"], qt.IsNotNil)
		c.Check(tally.Routes["/again"].Base.Answers, qt.Equals, uint64(1))
	})
}
