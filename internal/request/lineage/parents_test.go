package lineage

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCallsGetThePriorityOfTheirRun checks that calls are attributed to the kind of runs that makes
// them, although runs of another kind are in progress at the same time, and more of them.
func TestCallsGetThePriorityOfTheirRun(t *testing.T) {
	c := qt.New(t)
	for _, calling := range []int{1, 2} {
		random := rand.New(rand.NewPCG(7, uint64(calling)))
		var p Parents
		now, right, calls := time.Unix(1000, 0), 0, 0
		running := map[int]int{}
		for range 20_000 {
			now = now.Add(time.Millisecond)
			kind := 1 + random.IntN(2)
			if random.IntN(3) == 0 {
				kind = 3 - calling // two thirds of the runs make no calls
			}
			switch {
			case running[kind] > 0 && random.IntN(8) < running[1]+running[2]:
				running[kind]--
				p.End(now, strconv.Itoa(kind), time.Time{})
			default:
				running[kind]++
				p.Begin(strconv.Itoa(kind), kind, time.Time{})
			}
			if running[calling] > 0 && random.IntN(4) == 0 {
				calls++
				if parent, known := p.Called(now); known && parent.Priority == calling {
					right++
				}
			}
		}
		c.Check(float64(right) >= 0.9*float64(calls), qt.IsTrue, qt.Commentf("%d of %d calls of kind %d", right, calls, calling))
	}
}

// TestCallWithoutRun checks that a call has no priority of a run if none is in progress.
func TestCallWithoutRun(t *testing.T) {
	c := qt.New(t)
	var p Parents
	now := time.Unix(1000, 0)
	_, known := p.Called(now)
	c.Check(known, qt.IsFalse)
	soon, later := now.Add(100*time.Millisecond), now.Add(300*time.Millisecond)
	p.Begin("a", 2, soon)
	p.Begin("a", 2, later)
	parent, _ := p.Called(now)
	c.Check(parent, qt.Equals, Parent{Priority: 2, Useful: now.Add(200 * time.Millisecond)})
	p.End(now, "a", soon)
	parent, _ = p.Called(now)
	c.Check(parent, qt.Equals, Parent{Priority: 2, Useful: later})
	p.End(now, "a", later)
	p.End(now, "a", later)
	_, known = p.Called(now)
	c.Check(known, qt.IsFalse)
	for i := range 2 * maxParentKinds {
		p.Begin(strconv.Itoa(i), 1, time.Time{})
	}
	c.Check(len(p.kinds) <= maxParentKinds, qt.IsTrue)
}
