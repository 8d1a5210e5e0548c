package dissemination_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/dissemination"
)

// delayAfterPowerLoss simulates a power loss of 1.2 s at 47 of 96 daemons and accepts a version one
// second after the loss. It returns the time from the acceptance until the version is in
// force at all daemons that kept their power.
func delayAfterPowerLoss(c *qt.C, seed uint64) time.Duration {
	n := newNetwork(seed, 96, 6, dissemination.Config{})
	for _, d := range n.sorted() {
		d.core.SetFleetSize(96)
	}
	n.run(3 * time.Second)
	c.Assert(n.accept(manyRoutes), qt.IsTrue)
	n.run(5*time.Second + time.Duration(n.rand.IntN(200))*step)
	var lost []*node
	for _, i := range n.rand.Perm(93)[:47] {
		d := n.order[i+3] // the first three nodes are sources and keep their power
		d.dead = true
		lost = append(lost, d)
	}
	n.run(time.Second)
	c.Assert(n.accept(oneRoute), qt.IsTrue)
	accepted, version := n.now, uint64(len(n.log)-1)
	n.run(200 * time.Millisecond)
	for _, d := range lost {
		n.restart(d)
	}
	n.run(6 * time.Second)
	late := time.Duration(0)
	for _, d := range n.sorted() {
		if slices.Contains(lost, d) {
			continue
		}
		c.Assert(d.highest, qt.Equals, version, qt.Commentf("%s", d.name))
		late = max(late, d.installedAt-accepted)
	}
	return late
}

// TestHerdHoldsNoVersionBack checks that a version is in force within two seconds at all
// daemons that kept their power while others restart, as far as it depends on the
// distribution tree. The measured maximum in 20 fleets is 0.46 s.
func TestHerdHoldsNoVersionBack(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const seeds = 20
	var all []time.Duration
	for seed := range uint64(seeds) {
		all = append(all, delayAfterPowerLoss(c, seed+1))
	}
	c.Logf("%v", all)
	c.Check(slices.Max(all) <= 2*time.Second, qt.IsTrue, qt.Commentf("%v", all))
}
