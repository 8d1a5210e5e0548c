package membership_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/view"
)

// darkness is a sim in which some nodes have no power: what is sent to them is lost, and
// its sender gives up after the time of a connection attempt.
type darkness struct {
	*sim
	dark map[string]bool
}

// reached returns the nodes that a live chain of links joins to the first one.
func (d *darkness) reached() map[string]bool {
	reached := map[string]bool{}
	for next := []*simNode{d.nodes[0]}; len(next) > 0; {
		n := next[0]
		next = next[1:]
		if reached[n.node.Name] || d.dark[n.node.Name] {
			continue
		}
		reached[n.node.Name] = true
		for _, other := range n.core.Links() {
			if o := d.byAddr[other.Addr]; o != nil && !d.dark[other.Name] && slices.Contains(o.core.Links(), n.node) {
				next = append(next, o)
			}
		}
	}
	return reached
}

// apart is how long after a loss of power at half of the fleet, 1.2 s long, the last of
// those that kept it is joined to the first node again.
func apart(c *qt.C, seed uint64) time.Duration {
	d := &darkness{sim: settle(c, newSim(seed, 3), 96, 1), dark: map[string]bool{}}
	d.unreachableAfter = time.Second
	d.cut = func(a, b view.Node) bool { return d.dark[a.Name] || d.dark[b.Name] }
	var lost []*simNode
	for _, i := range d.rand.Perm(95)[:47] {
		n := d.nodes[i+1]
		lost = append(lost, n)
		d.dark[n.node.Name], n.frozen = true, true
	}
	begin := d.now
	d.after(1200*time.Millisecond, func() {
		for _, n := range lost {
			delete(d.dark, n.node.Name)
			d.start(n, 0)
		}
	})
	last := time.Duration(0)
	for d.now.Sub(begin) < 8*time.Second {
		d.run(50 * time.Millisecond)
		reached := d.reached()
		for _, n := range d.nodes {
			if !slices.Contains(lost, n) && !reached[n.node.Name] {
				last = d.now.Sub(begin)
			}
		}
	}
	return last
}

// TestHalfWithoutPowerLeavesNobodyAlone holds that daemons whose links all lead to
// instances without power find others in time for a change that is accepted a second
// after the loss, and has to be in force two seconds after that.
func TestHalfWithoutPowerLeavesNobodyAlone(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const seeds, within = 8, 2800 * time.Millisecond
	var all []time.Duration
	for seed := range uint64(seeds) {
		all = append(all, apart(c, seed+1))
	}
	slices.Sort(all)
	c.Logf("apart for %s at the median, %s at most", all[seeds/2], all[seeds-1])
	c.Check(all[seeds-1] <= within, qt.IsTrue, qt.Commentf("%v", all))
}
