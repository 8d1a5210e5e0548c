package source

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

// TestLostRace hands two orders in on one base under one number: the second is told that its
// base has moved, and one that names no base that its number is taken.
func TestLostRace(t *testing.T) {
	c := qt.New(t)
	m := newMachine(logr.Discard(), func(*fleet.State) {})
	order := func(service string, base Base) Answer {
		cmd, err := noBasis.revise(&Order{Manifest: *testManifest("m", 7, service), Base: base}, rolloutStart)
		c.Assert(err, qt.IsNil)
		raw, err := encodeCommand(cmd)
		c.Assert(err, qt.IsNil)
		o, err := m.Apply(1, 1, raw)
		c.Assert(err, qt.IsNil)
		return o.Answer
	}
	c.Check(order("a", On(0)).Code, qt.Equals, result.Accepted)
	c.Check(order("b", On(0)).Code, qt.Equals, result.BaseMoved)
	c.Check(order("b", Base{}).Code, qt.Equals, result.VersionConflict)
	c.Check(order("b", On(7)).Code, qt.Equals, result.VersionConflict)
	c.Check(order("a", On(0)).Code, qt.Equals, result.AlreadyAccepted)
}
