package dissemination_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/dissemination"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

const routes = 40

func manyRoutes(m *manifest.Manifest) {
	for i := range routes {
		m.Routes = append(m.Routes, manifest.Route{Name: fmt.Sprintf("route-%d", i), Path: fmt.Sprintf("/path/%d", i), Service: "s", Timeout: 1})
	}
}

func oneRoute(m *manifest.Manifest) { m.Routes[0].Timeout++ }

// sentBytes returns what was sent since the last call: the mean bytes and packets per node,
// and the bytes of the busiest source.
func (n *network) sentBytes() (perNode float64, source int, packets float64) {
	for _, d := range n.sorted() {
		perNode += float64(d.sent) / float64(len(n.nodes))
		packets += float64(d.packets) / float64(len(n.nodes))
		if d.source {
			source = max(source, d.sent)
		}
		d.sent, d.packets = 0, 0
	}
	return perNode, source, packets
}

// TestCostPerChange checks the bytes sent per idle second and per change against the targets
// for fleets of growing size, with encoded message sizes and links of degree 6.
func TestCostPerChange(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var at12 cost
	for _, size := range []int{12, 50, 200} {
		f := measure(c, size)
		if size == 12 {
			at12 = f
		}
		t.Log(f)
		c.Check(f.idleBytes < 1000, qt.IsTrue)
		c.Check(f.changeBytes <= 1.5*float64(f.delta)+200, qt.IsTrue)
		c.Check(f.sourceBytes <= 1.5*at12.sourceBytes, qt.IsTrue)
	}
}

// BenchmarkCostPerChange prints the same figures for larger fleets.
func BenchmarkCostPerChange(b *testing.B) {
	for _, size := range []int{1000, 10000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				b.Log(measure(qt.New(b), size))
			}
		})
	}
}

// cost holds the traffic per node and second of an idle fleet, and the additional traffic per
// node and change.
type cost struct {
	nodes                      int
	idleBytes, idlePackets     float64
	changeBytes, changePackets float64
	sourceBytes                float64 // of the busiest source, per change
	delta                      int     // encoded size of one change
	hops                       uint32
	worst                      time.Duration
}

func (f cost) String() string {
	return fmt.Sprintf("%d nodes: idle %.0f B/s in %.1f packets per node; per change %.0f B in %.1f packets per node, delta %d B; the busiest source %.0f B; hops at most %d; in force after %s",
		f.nodes, f.idleBytes, f.idlePackets, f.changeBytes, f.changePackets, f.delta, f.sourceBytes, f.hops, f.worst)
}

func measure(c *qt.C, size int) cost {
	const idle, changes = 5, 5
	f := cost{nodes: size}
	n := newNetwork(1, size, 6, dissemination.Config{})
	n.size = sizer()
	n.run(3 * time.Second)
	c.Assert(n.accept(manyRoutes), qt.IsTrue)
	n.run(5 * time.Second)
	n.sentBytes()
	n.run(idle * time.Second)
	bytes, idleSource, packets := n.sentBytes()
	f.idleBytes, f.idlePackets = bytes/idle, packets/idle
	for range changes {
		begin := n.now
		c.Assert(n.accept(oneRoute), qt.IsTrue)
		n.run(time.Second)
		for _, d := range n.nodes {
			c.Assert(d.core.State().Version, qt.Equals, uint64(len(n.log)-1))
			f.worst = max(f.worst, d.installedAt-begin)
			_, depth := d.core.Parent()
			f.hops = max(f.hops, depth)
		}
	}
	bytes, source, packets := n.sentBytes()
	f.changeBytes, f.changePackets = bytes/changes-f.idleBytes, packets/changes-f.idlePackets
	f.sourceBytes = float64(source-idleSource) / changes
	raw, err := fleet.Diff(n.log[len(n.log)-2], n.log[len(n.log)-1]).Encode()
	c.Assert(err, qt.IsNil)
	c.Assert(n.failure, qt.IsNil)
	f.delta = len(raw)
	return f
}

// TestConvergenceWhileRestarting restarts one daemon in ten, with loss of all state, while
// versions are accepted. 99 % of the installs at daemons that stay up must take less than a
// second, and every restarted daemon must become ready.
func TestConvergenceWhileRestarting(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const size, waves = 200, 10
	n := newNetwork(1, size, 6, dissemination.Config{})
	n.run(3 * time.Second)
	c.Assert(n.accept(manyRoutes), qt.IsTrue)
	n.run(3 * time.Second)
	var installTimes, readyTimes []time.Duration
	down := map[*node]time.Duration{}
	for wave := range waves {
		for i := range size / 10 / waves {
			d := n.order[3+(wave*size/10/waves+i)*9]
			d.dead = true
			down[d] = n.now + 400*time.Millisecond
		}
		c.Assert(n.accept(oneRoute), qt.IsTrue)
		version, accepted := uint64(len(n.log)-1), n.now
		late := map[*node]bool{}
		for _, d := range n.order {
			late[d] = !d.dead && down[d] == 0
		}
		for range 40 {
			n.run(step * 10)
			for _, d := range n.order {
				switch {
				case late[d] && d.core.State().Version >= version:
					late[d] = false
					installTimes = append(installTimes, d.installedAt-accepted)
				case d.dead && n.now >= down[d]:
					n.restart(d)
					down[d] = n.now
				case !d.dead && down[d] > 0 && d.core.Confirmed() == dissemination.ByQuorum:
					readyTimes = append(readyTimes, n.now-down[d])
					delete(down, d)
				}
			}
		}
		for d, is := range late {
			c.Check(is, qt.IsFalse, qt.Commentf("%s at %d", d.name, d.core.State().Version))
		}
	}
	slices.Sort(installTimes)
	slices.Sort(readyTimes)
	p99 := installTimes[len(installTimes)*99/100]
	t.Logf("%d daemons, %d restarted: in force after p50 %s, p99 %s, max %s; a restarted daemon is ready after p50 %s, max %s",
		size, len(readyTimes), installTimes[len(installTimes)/2], p99, installTimes[len(installTimes)-1], readyTimes[len(readyTimes)/2], readyTimes[len(readyTimes)-1])
	c.Check(p99 < time.Second, qt.IsTrue)
	c.Check(readyTimes, qt.HasLen, size/10)
	c.Check(n.failure, qt.IsNil)
}
