package sample

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBound holds that a flood of lines stays under the cap in each second and
// settles at about what is wanted, that what was left out is counted, and that
// all are kept again when the flood is over.
func TestBound(t *testing.T) {
	c := qt.New(t)
	s := New(20)
	now := time.Unix(1000, 0)
	kept, told := 0, 0
	for second := range 30 {
		inSecond := 0
		for i := range 5000 {
			heldBack, keep := s.Keep(now.Add(time.Duration(i)*200*time.Microsecond), fmt.Sprintf("%d-%d", second, i))
			if told += heldBack; keep {
				inSecond++
			}
		}
		c.Check(inSecond <= hardCap*20, qt.IsTrue, qt.Commentf("second %d: %d", second, inSecond))
		kept += inSecond
		now = now.Add(time.Second)
	}
	c.Check(kept > 30*5, qt.IsTrue, qt.Commentf("%d", kept))
	c.Check(told+kept+s.heldBack, qt.Equals, 30*5000)
	for range 20 {
		now = now.Add(time.Second)
		s.Keep(now, "a")
	}
	for i := range 15 {
		_, keep := s.Keep(now, fmt.Sprint("calm", i))
		c.Check(keep, qt.IsTrue)
	}
}

// TestSharesNest holds that a request which a busy daemon tells of is told of by
// a less busy one too.
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
