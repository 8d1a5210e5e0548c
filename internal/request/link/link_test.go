package link

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestBodiesComeInOrder(t *testing.T) {
	c := qt.New(t)
	core := New(1000, 2, InOrder)
	c.Check(core.TransferTime(500), qt.Equals, 500*time.Millisecond)
	first, now := core.Arrive(500)
	c.Check(now, qt.IsTrue)
	second, now := core.Arrive(500)
	c.Check(now, qt.IsTrue)
	third, now := core.Arrive(1000)
	c.Check(now, qt.IsFalse)
	fourth, now := core.Arrive(-1)
	c.Check(now, qt.IsFalse)
	core.RecordProgress(first, 400)
	c.Check(core.PendingBytes(), qt.Equals, int64(100+500+1000+defaultBytes))
	c.Check(core.Remove(fourth), qt.HasLen, 0)
	c.Check(core.Wait(), qt.Equals, 1600*time.Millisecond)
	c.Check(core.Remove(second), qt.DeepEquals, []uint64{third})
	c.Check(core.Remove(first), qt.HasLen, 0)
	c.Check(core.Remove(third), qt.HasLen, 0)
	c.Check(core.PendingBytes(), qt.Equals, int64(0))
}

// TestShorterGoesFirst checks that a body is preempted by one with fewer remaining
// bytes and resumes after it.
func TestShorterGoesFirst(t *testing.T) {
	c := qt.New(t)
	core := New(1000, 1, ShortestFirst)
	core.Expect(300)
	long, now := core.Arrive(1000)
	c.Check(now, qt.IsTrue)
	middle, _ := core.Arrive(700)
	short, _ := core.Arrive(200)
	c.Check(core.PendingBytes(), qt.Equals, int64(2200))
	goesOn, instead := core.RecordProgress(long, 100)
	c.Check(goesOn, qt.IsFalse)
	c.Check(instead, qt.Equals, short)
	goesOn, _ = core.RecordProgress(short, 100)
	c.Check(goesOn, qt.IsTrue)
	c.Check(core.Remove(short), qt.DeepEquals, []uint64{middle})
	c.Check(core.Remove(middle), qt.DeepEquals, []uint64{long})
	core.Expect(-300)
	c.Check(core.PendingBytes(), qt.Equals, int64(900))
}

func TestLengths(t *testing.T) {
	c := qt.New(t)
	var l Lengths
	c.Check(l.Usual("a"), qt.Equals, int64(0))
	l.Note("a", 1000)
	l.Note("a", 2000)
	l.Note("a", -1)
	c.Check(l.Usual("a"), qt.Equals, int64(1100))
	for range maxKinds {
		l.Note(string(rune(0x4e00+len(l.smoothed))), 1)
	}
	l.Note("late", 1)
	c.Check(l.Usual("late"), qt.Equals, int64(0))
}
