package lineage

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestShare(t *testing.T) {
	c := qt.New(t)
	var r Runs
	c.Check(r.Share(), qt.Equals, 0.0)
	for range 9 {
		r.Begin(0)
	}
	r.Begin(1)
	c.Check(r.Share(), qt.Equals, 0.1)
	r.Begin(0.5)
	r.End(0)
	c.Check(r.Share(), qt.Equals, 0.15)
	r.End(0.5)
	r.End(1)
	c.Check(r.Share(), qt.Equals, 0.0)
}

func TestEverywhere(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	called, public := Route{"m", "called"}, Route{"m", "public"}
	two := map[string]int{"a": 7, "b": 3}
	var o Origins
	c.Check(o.IsExternal(now, public, two), qt.IsFalse)
	for range 70 {
		o.Note(now, called, "a")
		o.Note(now, public, "a")
	}
	for range 25 {
		o.Note(now, public, "b")
	}
	o.Note(now, called, "b")
	c.Check(o.IsExternal(now, called, two), qt.IsFalse, qt.Commentf("a single request of an operator does not count as a caller"))
	c.Check(o.IsExternal(now, public, two), qt.IsTrue)
	c.Check(o.IsExternal(now, public, map[string]int{"a": 7, "b": 3, "c": 1}), qt.IsFalse)
	c.Check(o.IsExternal(now, public, map[string]int{"a": 7}), qt.IsFalse, qt.Commentf("it cannot be decided with a single service"))
	later := now.Add(2 * countDecay)
	for range 30 {
		o.Note(later, public, "a")
	}
	c.Check(o.IsExternal(later, public, two), qt.IsFalse, qt.Commentf("the requests from one service have decayed"))
}

func TestOriginsAreBounded(t *testing.T) {
	c := qt.New(t)
	var o Origins
	for i := range 3 * maxRoutes {
		o.Note(time.Unix(1000, 0), Route{"m", fmt.Sprint(i)}, "a")
		o.Note(time.Unix(1000, 0), Route{"m", "r"}, fmt.Sprint(i))
	}
	c.Check(len(o.seen) <= maxRoutes, qt.IsTrue)
	c.Check(len(o.seen[Route{"m", "r"}]) <= maxOrigins, qt.IsTrue)
}
