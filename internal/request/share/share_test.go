package share

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestStormLeavesRoom checks that a mesh that fills the daemon leaves the reserved part to
// each of the others.
func TestStormLeavesRoom(t *testing.T) {
	c := qt.New(t)
	l := New(100)
	take := func(mesh string) (n int) {
		for l.Enter(mesh) {
			n++
		}
		return n
	}
	c.Assert(take("alone"), qt.Equals, 100)
	for range 100 {
		l.Leave("alone")
	}
	c.Assert(l.Enter("quiet"), qt.IsTrue)
	l.Leave("quiet")
	c.Assert(take("storm"), qt.Equals, 100-2*16) // all but a sixth for each of the others
	c.Assert(take("quiet"), qt.Equals, 16)
	c.Assert(take("alone"), qt.Equals, 16)
}
