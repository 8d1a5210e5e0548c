package spread_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/spread"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

const routes = 100

func manyRoutes(m *manifest.Manifest) {
	for i := range routes {
		m.Routes = append(m.Routes, manifest.Route{Name: fmt.Sprintf("route-%d", i), Path: fmt.Sprintf("/path/%d", i), Service: "s", Timeout: 1})
	}
}

func oneRoute(m *manifest.Manifest) { m.Routes[0].Timeout++ }

// sentBytes returns the bytes of each node since the last call.
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

// TestCostPerChange holds the bytes of an idle second and of a change against
// the targets, at growing sizes: real encoded sizes, links of degree 6.
func TestCostPerChange(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	at12 := measure(c, 12)
	for _, size := range []int{12, 50, 200} {
		f := measure(c, size)
		t.Log(f)
		c.Check(f.idleBytes < 1000, qt.IsTrue)
		c.Check(f.changeBytes <= 1.5*float64(f.delta)+200, qt.IsTrue)
		c.Check(f.sourceBytes <= 1.5*at12.sourceBytes, qt.IsTrue)
	}
}

// BenchmarkCostPerChange prints the same figures for a larger fleet.
func BenchmarkCostPerChange(b *testing.B) {
	for b.Loop() {
		b.Log(measure(qt.New(b), 1000))
	}
}

// cost is per node and second when idle, and beyond that per node and change.
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
	n := newNetwork(1, size, 6, spread.Config{})
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
			f.worst = max(f.worst, d.at-begin)
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
