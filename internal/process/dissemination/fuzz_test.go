package dissemination_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/daisygate/daisygate/internal/process/dissemination"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// TestFuzzSpread injects random faults: kills with loss of all state, partitions, freezes,
// and delayed, duplicated and lost messages. It checks against the list of accepted versions
// that no daemon goes back to an older version, even over a restart, and that none installs a
// part of a version. After the faults stop, all daemons must converge, and the leader's count
// must show it.
func TestFuzzSpread(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.OneOf(rapid.IntRange(3, 8), rapid.IntRange(3, 50)).Draw(t, "size")
		cfg := dissemination.Config{ChunkBytes: rapid.SampledFrom([]int{128, 64 << 10}).Draw(t, "chunk"), History: rapid.SampledFrom([]int{2, 64}).Draw(t, "history")}
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), size, 4, cfg)
		n.run(3 * time.Second)
		anyNode := func() *node { return n.nodes[fmt.Sprintf("n%03d", rapid.IntRange(0, size-1).Draw(t, "node"))] }
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				for range rapid.IntRange(1, 5).Draw(t, "burst") {
					n.accept(func(m *manifest.Manifest) { randomChange(t, m) })
				}
			},
			"kill":    func(*rapid.T) { d := anyNode(); d.dead, d.frozen = true, false },
			"restart": func(*rapid.T) { n.restart(anyNode()) },
			"cut":     func(*rapid.T) { n.partition[anyNode().name] = rapid.IntRange(0, 2).Draw(t, "group") },
			"split": func(t *rapid.T) {
				for _, d := range n.order {
					n.partition[d.name] = rapid.IntRange(0, 1).Draw(t, "group")
				}
			},
			// The leader is partitioned and misses a version. A daemon that has this
			// version then restarts in the partition of the old leader.
			"failover": func(t *rapid.T) {
				old, d := n.lead, anyNode()
				if old == "" || d.name == old {
					return
				}
				n.partition[old] = 3
				n.run(time.Duration(rapid.IntRange(6, 10).Draw(t, "tenths")) * 100 * time.Millisecond)
				n.accept(func(m *manifest.Manifest) { randomChange(t, m) })
				n.run(300 * time.Millisecond)
				n.partition[d.name] = 3
				n.restart(d)
				n.run(time.Second)
			},
			"heal":   func(*rapid.T) { clear(n.partition) },
			"freeze": func(*rapid.T) { d := anyNode(); d.frozen = !d.dead },
			"thaw":   func(*rapid.T) { anyNode().frozen = false },
			"disturb": func(t *rapid.T) {
				lost, late := rapid.IntRange(0, 30).Draw(t, "lost"), rapid.IntRange(0, 30).Draw(t, "late")
				n.fault = func(packet) []time.Duration { return n.disturb(lost, late) }
			},
			"run": func(t *rapid.T) {
				n.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
			},
			"": func(t *rapid.T) { n.check(t) },
		})
		n.stopFaults()
		n.run(20 * time.Second)
		n.check(t)
		n.checkConverged(t)
	})
}

func randomChange(t *rapid.T, m *manifest.Manifest) {
	name := fmt.Sprintf("r%d", rapid.IntRange(0, 9).Draw(t, "route"))
	for i, r := range m.Routes {
		if r.Name == name {
			m.Routes = append(m.Routes[:i], m.Routes[i+1:]...)
			return
		}
	}
	service := fmt.Sprintf("s%d", len(m.Services))
	m.Services = append(m.Services, manifest.Service{Name: service})
	m.Routes = append(m.Routes, manifest.Route{Name: name, Path: "/" + name, Service: service})
}

// disturb returns the delays of the copies of one packet. lost and late are the percentages
// of packets that are lost, and that are delayed or duplicated. Delays are long enough for a
// packet to arrive after a restart of the receiver.
func (n *network) disturb(lost, late int) []time.Duration {
	delays := []time.Duration{0}
	switch p := n.rand.IntN(100); {
	case p < lost:
		return nil
	case p < lost+late:
		delays[0] = time.Duration(n.rand.IntN(3000)) * time.Millisecond
	}
	if n.rand.IntN(100) < late {
		delays = append(delays, time.Duration(n.rand.IntN(3000))*time.Millisecond)
	}
	return delays
}

func (n *network) stopFaults() {
	n.fault = nil
	clear(n.partition)
	for _, d := range n.sorted() {
		if d.dead {
			n.restart(d)
		}
		d.frozen = false
	}
}

func (n *network) check(t *rapid.T) {
	if n.failure != nil {
		t.Fatal(n.failure)
	}
}

func (n *network) checkConverged(t *rapid.T) {
	var sum uint64
	for _, d := range n.sorted() {
		sum += dissemination.NodeHash(d.name)
		parent, depth := d.core.Parent()
		at := fmt.Sprintf("%s at %d, parent %q, depth %d", d.name, d.core.State().Version, parent, depth)
		if d.core.State().Version != uint64(len(n.log)-1) {
			t.Fatalf("%s: want version %d", at, len(n.log)-1)
		}
		if d.core.Stale(epoch.Add(n.now)) || d.core.Confirmed() == dissemination.Unconfirmed {
			t.Fatalf("%s: stale or unconfirmed", at)
		}
	}
	for _, d := range n.sorted() {
		f := d.core.InForce()
		if f.Version != uint64(len(n.log)-1) || int(f.Count) != len(n.nodes) || f.Sum != sum {
			t.Fatalf("%s: count %+v of %d daemons", d.name, f, len(n.nodes))
		}
	}
}
