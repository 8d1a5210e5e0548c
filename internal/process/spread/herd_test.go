package spread_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/spread"
)

// lateAfterHerd is how long after its acceptance a version is in force at the last of the
// daemons that kept their power, when 47 of 96 lost it a second before and were back 1.2 s
// after the loss.
func lateAfterHerd(c *qt.C, seed uint64) time.Duration {
	n := newNetwork(seed, 96, 6, spread.Config{})
	for _, d := range n.sorted() {
		d.core.SetFleet(96)
	}
	n.run(3 * time.Second)
	c.Assert(n.accept(manyRoutes), qt.IsTrue)
	n.run(5*time.Second + time.Duration(n.rand.IntN(200))*step)
	var lost []*node
	for _, i := range n.rand.Perm(93)[:47] {
		d := n.order[i+3] // the sources keep theirs
		d.dead = true
		lost = append(lost, d)
	}
	n.run(time.Second)
	c.Assert(n.accept(oneRoute), qt.IsTrue)
	accepted, version := n.now, uint64(len(n.log)-1)
	n.run(200 * time.Millisecond)
	for _, d := range lost {
		n.boot(d)
	}
	n.run(6 * time.Second)
	late := time.Duration(0)
	for _, d := range n.sorted() {
		if slices.Contains(lost, d) {
			continue
		}
		c.Assert(d.highest, qt.Equals, version, qt.Commentf("%s", d.name))
		late = max(late, d.at-accepted)
	}
	return late
}

// TestHerdHoldsNoVersionBack holds that a version is in force within two seconds at all
// daemons that kept their power, as far as the tree that versions spread by goes: 0.46 s at
// most in 20 fleets.
func TestHerdHoldsNoVersionBack(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const seeds = 20
	var all []time.Duration
	for seed := range uint64(seeds) {
		all = append(all, lateAfterHerd(c, seed+1))
	}
	c.Logf("%v", all)
	c.Check(slices.Max(all) <= 2*time.Second, qt.IsTrue, qt.Commentf("%v", all))
}
