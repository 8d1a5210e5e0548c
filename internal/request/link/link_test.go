package inflow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestBodiesComeInOrder(t *testing.T) {
	c := qt.New(t)
	core := New(1000, 2)
	c.Check(core.Takes(500), qt.Equals, 500*time.Millisecond)
	first, now := core.Arrive(500)
	c.Check(now, qt.IsTrue)
	second, now := core.Arrive(500)
	c.Check(now, qt.IsTrue)
	third, now := core.Arrive(1000)
	c.Check(now, qt.IsFalse)
	fourth, now := core.Arrive(-1)
	c.Check(now, qt.IsFalse)
	core.Came(first, 400)
	c.Check(core.Ahead(), qt.Equals, int64(100+500+1000+usualBytes))
	c.Check(core.Leave(fourth), qt.HasLen, 0)
	c.Check(core.Wait(), qt.Equals, 1600*time.Millisecond)
	c.Check(core.Leave(second), qt.DeepEquals, []uint64{third})
	c.Check(core.Leave(first), qt.HasLen, 0)
	c.Check(core.Leave(third), qt.HasLen, 0)
	c.Check(core.Ahead(), qt.Equals, int64(0))
}
