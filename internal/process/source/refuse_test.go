package source

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

// TestLostRace submits two orders with the same base and version number. The second is
// rejected with BaseMoved, or with VersionConflict if it has no base.
func TestLostRace(t *testing.T) {
	c := qt.New(t)
	m := newStateMachine(logr.Discard(), func(*fleet.State) {})
	order := func(service string, base Base) Answer {
		cmd, err := emptyDiffBase.diffCommand(&Order{Manifest: *testManifest("m", 7, service), Base: base}, rolloutStart)
		c.Assert(err, qt.IsNil)
		raw, err := encodeCommand(cmd)
		c.Assert(err, qt.IsNil)
		o, err := m.Apply(1, 1, raw)
		c.Assert(err, qt.IsNil)
		return o.Answer
	}
	c.Check(order("a", BaseVersion(0)).Code, qt.Equals, result.Accepted)
	c.Check(order("b", BaseVersion(0)).Code, qt.Equals, result.BaseMoved)
	c.Check(order("b", Base{}).Code, qt.Equals, result.VersionConflict)
	c.Check(order("b", BaseVersion(7)).Code, qt.Equals, result.VersionConflict)
	c.Check(order("a", BaseVersion(0)).Code, qt.Equals, result.AlreadyAccepted)
}
