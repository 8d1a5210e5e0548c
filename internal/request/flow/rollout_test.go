package flow

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/directory"
)

func newTwoVersionService() *Service {
	s := NewService(balance.Location{Node: "n0", Domain: "d0"}, nil)
	var list []*directory.Candidate
	for i := range 40 {
		list = append(list, &directory.Candidate{
			Node:   view.Node{Name: fmt.Sprint("n", i), Domain: fmt.Sprint("d", i%3)},
			Server: presence.Server{Addr: fmt.Sprint("s", i), Slots: 4, State: presence.Serving, Version: []string{"v1", "v2"}[i%2]},
		})
	}
	s.Table.Update(list, 0)
	return s
}

// TestArms checks that the first attempt goes to its arm, on the same few servers for every
// request, and that further attempts go to the other version.
func TestArms(t *testing.T) {
	c := qt.New(t)
	s := newTwoVersionService()
	now := time.Unix(1000, 0)
	base, target := balance.Arm{Bound: true, Version: "v1"}, balance.Arm{Bound: true, Version: "v2", First: 3}
	seen := map[string]bool{}
	for seed := range uint64(200) {
		call, a := s.Begin(now, seed, Request{Deadline: now.Add(time.Second), Repeatable: true, Retries: 2, Arm: target, RetryArm: base, FallbackArm: balance.Arm{Bound: true, Version: "v2"}})
		c.Assert(a.Kind, qt.Equals, Try)
		c.Check(a.Candidate.Server.Version, qt.Equals, "v2")
		seen[a.Candidate.Server.Addr] = true
		a = call.Refused(now, seed, result.Overloaded, 0)
		c.Check(a.Candidate.Server.Version, qt.Equals, "v1")
		call.CallerLeft(now)
	}
	c.Check(len(seen), qt.Equals, 3)
}

// TestOneStageBehind covers a daemon that has not yet learned of a new roll-out stage: every
// server of the old version refuses, and the request must be answered by the new version.
func TestOneStageBehind(t *testing.T) {
	c := qt.New(t)
	s := newTwoVersionService()
	now := time.Unix(1000, 0)
	base := balance.Arm{Bound: true, Version: "v1"}
	call, a := s.Begin(now, 1, Request{Deadline: now.Add(time.Second), Arm: base, RetryArm: base, FallbackArm: balance.Arm{Bound: true, Version: "v2"}})
	c.Assert(a.Candidate.Server.Version, qt.Equals, "v1")
	a = call.Refused(now, 2, result.VersionRetired, 0)
	c.Assert(a.Kind, qt.Equals, Try)
	c.Check(a.Candidate.Server.Version, qt.Equals, "v2")
	c.Check(call.Answered().Kind, qt.Equals, Relay)
}
