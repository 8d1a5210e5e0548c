package daemon

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// TestReportsAreBounded checks the number of reports of a daemon within ten seconds. Versions
// that change no stage add no reports, a change of stage adds one, and failures cause at most
// eight reports a second.
func TestReportsAreBounded(t *testing.T) {
	c := qt.New(t)
	count := func(daemons int, stages func(i int) uint64, failed func(i int) bool) int {
		var r reporter
		sent, now := 0, time.Unix(1000, 0)
		for i := range 1000 {
			if r.due(now, daemons, stages(i), failed(i)) {
				sent++
			}
			now = now.Add(10 * time.Millisecond)
		}
		return sent
	}
	same, never := func(int) uint64 { return 1 }, func(int) bool { return false }
	c.Check(count(20, same, never) <= 41, qt.IsTrue)
	c.Check(count(200, same, never) <= 11, qt.IsTrue)
	c.Check(count(5000, same, never) <= 11, qt.IsTrue)
	c.Check(count(200, func(i int) uint64 { return uint64(i / 500) }, never) <= 13, qt.IsTrue)
	c.Check(count(200, same, func(int) bool { return true }) <= 81, qt.IsTrue)
}

// TestStagesOf checks that the hash is the same for versions with the same stages and different
// for each stage.
func TestStagesOf(t *testing.T) {
	c := qt.New(t)
	state, err := fleet.Empty().Accept(&manifest.Manifest{Mesh: "m", Version: 1, Services: []manifest.Service{{Name: "s"}}})
	c.Assert(err, qt.IsNil)
	of := func(s *fleet.State) uint64 {
		snap, err := snapshot.Compile(s)
		c.Assert(err, qt.IsNil)
		return hashStages(snap)
	}
	r := &fleet.Rollout{Number: 1, Version: "v1", Target: "v2", Stage: fleet.Canary}
	canary, err := state.SetRollout("m", "s", r)
	c.Assert(err, qt.IsNil)
	later, err := canary.Accept(&manifest.Manifest{Mesh: "m", Version: 2, Services: []manifest.Service{{Name: "s"}, {Name: "t"}}})
	c.Assert(err, qt.IsNil)
	c.Check(of(later), qt.Equals, of(canary))
	r.Stage = fleet.Proof
	proof, err := later.SetRollout("m", "s", r)
	c.Assert(err, qt.IsNil)
	c.Check(of(proof), qt.Not(qt.Equals), of(canary))
}
