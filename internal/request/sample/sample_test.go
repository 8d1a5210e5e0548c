package sample

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBound checks that under a flood of lines each second stays below the cap and the
// rate approaches the configured one, that suppressed lines are counted, and that all
// lines are kept again after the flood.
func TestBound(t *testing.T) {
	c := qt.New(t)
	s := New(20)
	now := time.Unix(1000, 0)
	kept, reported := 0, 0
	for second := range 30 {
		inSecond := 0
		for i := range 5000 {
			suppressed, keep := s.Keep(now.Add(time.Duration(i)*200*time.Microsecond), fmt.Sprintf("%d-%d", second, i))
			if reported += suppressed; keep {
				inSecond++
			}
		}
		c.Check(inSecond <= burstFactor*20, qt.IsTrue, qt.Commentf("second %d: %d", second, inSecond))
		kept += inSecond
		now = now.Add(time.Second)
	}
	c.Check(kept > 30*5, qt.IsTrue, qt.Commentf("%d", kept))
	c.Check(reported+kept+s.suppressed, qt.Equals, 30*5000)
	for range 20 {
		now = now.Add(time.Second)
		s.Keep(now, "a")
	}
	for i := range 15 {
		_, keep := s.Keep(now, fmt.Sprint("calm", i))
		c.Check(keep, qt.IsTrue)
	}
}

// TestSharesNest checks that a request logged by a busy daemon is also logged by a less
// busy one.
func TestSharesNest(t *testing.T) {
	c := qt.New(t)
	few, many := New(1), New(1)
	few.halvings, many.halvings = 5, 2
	chosen := 0
	for i := range 1000 {
		id := fmt.Sprint(i)
		if few.chosen(id) {
			chosen++
			c.Check(many.chosen(id), qt.IsTrue)
		}
	}
	c.Check(chosen > 10 && chosen < 80, qt.IsTrue, qt.Commentf("%d", chosen))
}
