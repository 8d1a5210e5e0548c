package dissemination_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/dissemination"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

const (
	proofInterval = time.Second
	// proofAge is the age that a proof may have at a daemon in contact with the leader: the
	// interval, a round of the sources, and what each hop of the tree adds.
	proofAge = 4 * time.Second
)

// newProofNetwork returns a network with proofs turned on. Every node has a clock of its own,
// with a random offset.
func newProofNetwork(seed uint64, size int) *network {
	cfg := dissemination.Config{ProofInterval: proofInterval}
	n := newNetwork(seed, size, 5, cfg)
	for _, d := range n.order {
		d.clockOffset = time.Duration(n.rand.Int64N(int64(time.Hour)))
		n.restart(d)
	}
	return n
}

// checkProofs returns an error if a node considers a version proven that is older than one
// accepted before the time of the proof.
func checkProofs(n *network, acceptedAt []time.Duration) error {
	for _, d := range n.order {
		proven := d.core.Proven()
		if d.dead || proven == 0 {
			continue
		}
		at := proven - d.clockOffset
		for version, accepted := range acceptedAt {
			if accepted < at && d.core.State().Version < uint64(version+1) {
				return fmt.Errorf("%s has version %d proven at %s, but version %d was accepted at %s", d.name, d.core.State().Version, at, version+1, accepted)
			}
		}
	}
	return nil
}

// TestProvenVersionIsNewest checks under cuts, pauses, restarts and lost messages that a proof
// never covers a version that was superseded before.
func TestProvenVersionIsNewest(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			n := newProofNetwork(seed, 24)
			n.fault = func(packet) []time.Duration {
				switch n.rand.IntN(20) {
				case 0:
					return nil
				case 1:
					return []time.Duration{0, time.Duration(n.rand.IntN(3000)) * time.Millisecond}
				}
				return []time.Duration{time.Duration(n.rand.IntN(20)) * time.Millisecond}
			}
			var acceptedAt []time.Duration
			for range 300 {
				d := n.order[n.rand.IntN(len(n.order))]
				switch n.rand.IntN(12) {
				case 0:
					n.partition[d.name] = 1 - n.partition[d.name]
				case 1:
					d.frozen = !d.frozen
				case 2:
					n.restart(d)
				case 3:
					clear(n.partition)
				}
				if n.accept(func(m *manifest.Manifest) {}) {
					acceptedAt = append(acceptedAt, n.now)
				}
				for range 4 {
					n.run(50 * time.Millisecond)
					c.Assert(checkProofs(n, acceptedAt), qt.IsNil)
				}
			}
			c.Check(len(acceptedAt) > 50, qt.IsTrue, qt.Commentf("%d versions", len(acceptedAt)))
		})
	}
}

// TestProofsStayRecent checks that daemons in contact with the leader have recent proofs, at a
// number of messages that does not grow with the fleet, and that a daemon that was cut off has
// none.
func TestProofsStayRecent(t *testing.T) {
	packets := map[int]float64{}
	for _, size := range []int{20, 200} {
		c := qt.New(t)
		n := newProofNetwork(1, size)
		n.run(10 * time.Second)
		for _, d := range n.order {
			d.packets = 0
		}
		cutOff := n.order[size-1]
		for range 100 {
			n.run(100 * time.Millisecond)
			for _, d := range n.order {
				age := n.now + d.clockOffset - d.core.Proven()
				c.Assert(age < proofAge, qt.IsTrue, qt.Commentf("%s: %s", d.name, age))
			}
		}
		total := 0
		for _, d := range n.order {
			total += d.packets
		}
		packets[size] = float64(total) / float64(size) / 10
		n.partition[cutOff.name] = 1
		n.run(2 * proofAge)
		age := n.now + cutOff.clockOffset - cutOff.core.Proven()
		c.Check(age > proofAge, qt.IsTrue, qt.Commentf("%s", age))
	}
	t.Logf("messages per daemon and second: %v", packets)
	qt.Check(t, packets[200] < 1.3*packets[20], qt.IsTrue, qt.Commentf("%v", packets))
}
