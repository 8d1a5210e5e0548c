package rollout_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/rollout"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/request/canary"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

func fleetWith(r *fleet.Rollout, sides map[string]rollout.VersionCapacity, daemons ...string) *rollout.Fleet {
	return &rollout.Fleet{Version: 7, Daemons: daemons, Services: []rollout.Service{{ServiceName: name, Rollout: r, Sides: sides, Timeout: time.Second}}}
}

func reportOf(node string, incarnation, reached uint64) *rollout.Report {
	return &rollout.Report{Node: node, Incarnation: incarnation, Version: 7, Services: []rollout.ServiceReport{{
		ServiceName: name, Number: 1, Tally: canary.Tally{Reached: reached, Spent: reached / 10},
	}}}
}

// TestAdmission checks that the version run by most servers becomes the initial version of a
// service after one second, and that none is set while no server is known.
func TestAdmission(t *testing.T) {
	c := qt.New(t)
	core := rollout.New(budget)
	now := time.Unix(1000, 0)
	c.Check(core.Tick(now, fleetWith(nil, map[string]rollout.VersionCapacity{})), qt.HasLen, 0)
	f := fleetWith(nil, map[string]rollout.VersionCapacity{"v1": {Servers: 3}, "v2": {Servers: 1}})
	c.Check(core.Tick(now, f), qt.HasLen, 0)
	c.Check(core.Tick(now.Add(900*time.Millisecond), f), qt.HasLen, 0)
	steps := core.Tick(now.Add(time.Second), f)
	c.Assert(steps, qt.HasLen, 1)
	c.Check(steps[0].Number, qt.Equals, uint64(0))
	c.Check(steps[0].Version, qt.Equals, "v1")
}

// TestReports checks the sum of the daemons' reports: reports from before a daemon's restart
// still count, and delayed reports do not reduce the sum.
func TestReports(t *testing.T) {
	c := qt.New(t)
	core := rollout.New(budget)
	now := time.Unix(1000, 0)
	r := &fleet.Rollout{Number: 1, Version: "v1", Target: "v2", Stage: fleet.Canary, Within: time.Minute}
	core.Tick(now, fleetWith(r, nil, "a", "b"))
	reached := func() uint64 {
		t, known := core.Tally(name, 1)
		c.Assert(known, qt.IsTrue)
		return t.Reached
	}
	for _, row := range []struct {
		node                           string
		incarnation, reported, reached uint64
	}{
		{"a", 1, 100, 100}, {"b", 1, 50, 150}, {"a", 1, 120, 170}, {"a", 1, 90, 170},
		{"a", 2, 10, 180}, {"a", 1, 130, 180}, {"a", 2, 40, 210},
	} {
		core.Report(now, reportOf(row.node, row.incarnation, row.reported))
		c.Check(reached(), qt.Equals, row.reached, qt.Commentf("%+v", row))
	}
	core.StepDown()
	_, known := core.Tally(name, 1)
	c.Check(known, qt.IsFalse, qt.Commentf("a follower keeps no sums"))
}

// TestTimeOverARestart checks that a roll-out ends in time even if all sources were down in
// between. A source that has just started uses the wall clock; one that was running uses the
// time since it first saw the roll-out and ignores the wall clock.
func TestTimeOverARestart(t *testing.T) {
	c := qt.New(t)
	ordered := time.Unix(5000, 0)
	r := &fleet.Rollout{Number: 1, Version: "v1", Target: "v2", Stage: fleet.Canary, Within: 10 * time.Second, Ordered: ordered}
	f := fleetWith(r, map[string]rollout.VersionCapacity{}, "a")
	now := time.Unix(1000, 0)
	for name, row := range map[string]struct {
		fresh bool
		wall  time.Time
		after time.Duration
		stage fleet.Stage
	}{
		"restarted near the end": {true, ordered.Add(8 * time.Second), 2 * time.Second, fleet.RolledBack},
		"restarted after it":     {true, ordered.Add(time.Hour), 0, fleet.RolledBack},
		"restarted early":        {true, ordered.Add(time.Second), 2 * time.Second, fleet.Canary},
		"day's time behind":      {true, ordered.Add(-time.Hour), 2 * time.Second, fleet.Canary},
		"there all the while":    {false, ordered.Add(time.Hour), 2 * time.Second, fleet.Canary},
		"there to the end":       {false, ordered, 10 * time.Second, fleet.RolledBack},
	} {
		c.Run(name, func(c *qt.C) {
			core := rollout.New(budget)
			core.Watch(now, row.wall, row.fresh, f.Services)
			steps := core.Tick(now.Add(row.after), f)
			if row.stage != fleet.RolledBack {
				c.Check(steps, qt.HasLen, 0)
				return
			}
			c.Assert(steps, qt.HasLen, 1)
			c.Check(steps[0].Stage, qt.Equals, fleet.RolledBack)
			c.Check(steps[0].ServiceName, qt.Equals, source.ServiceName{Mesh: "m", Service: "s"})
		})
	}
}

// TestSilentDaemons checks that the handover completes without unreachable daemons, but waits
// for daemons that have reported recently and have not confirmed the stage.
func TestSilentDaemons(t *testing.T) {
	c := qt.New(t)
	core := rollout.New(budget)
	now := time.Unix(1000, 0)
	r := &fleet.Rollout{Number: 1, Version: "v1", Target: "v2", Stage: fleet.Handover, Within: time.Minute}
	f := fleetWith(r, nil, "a", "b")
	sendReport := func(node string, running int) {
		report := reportOf(node, 1, 10)
		report.Services[0].Running = running
		core.Report(now, report)
	}
	c.Check(core.Tick(now, f), qt.HasLen, 0)
	now = now.Add(time.Second)
	sendReport("a", 1)
	sendReport("b", 0)
	c.Check(core.Tick(now, f), qt.HasLen, 0, qt.Commentf("a request is still running"))
	sendReport("a", 0)
	c.Assert(core.Tick(now, f), qt.HasLen, 1)

	core = rollout.New(budget)
	c.Check(core.Tick(now, f), qt.HasLen, 0)
	now = now.Add(time.Second)
	sendReport("a", 0)
	c.Check(core.Tick(now, f), qt.HasLen, 0, qt.Commentf("b may still be reachable"))
	now = now.Add(rollout.UnreachableAfter - time.Second)
	sendReport("a", 0)
	steps := core.Tick(now, f)
	c.Assert(steps, qt.HasLen, 1)
	c.Check(steps[0].Stage, qt.Equals, fleet.Completed)
}
