package membership_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
)

// settleTime is how long a fleet without faults gets to converge. Because links may be
// replaced at any moment, the fleet is then checked up to maxChecks times.
const (
	settleTime = 60 * time.Second
	maxChecks  = 20
)

// TestFaults injects random faults. After they stop, links must be symmetric, bounded and
// connect all daemons, and every daemon must hold exactly the newest record of each live
// daemon. At no time may a record be replaced by an older one.
func TestFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(3, 50).Draw(t, "size")
		regions := rapid.IntRange(1, 4).Draw(t, "regions")
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 3).Draw(t, "seeds"))
		for range size {
			s.start(s.add(regions), 0)
		}
		s.run(time.Duration(rapid.IntRange(0, 20).Draw(t, "begin")) * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			s.injectFault(t)
			s.run(time.Duration(rapid.IntRange(0, 12000).Draw(t, "ms")) * time.Millisecond)
		}
		s.heal()
		s.run(settleTime)
		if err := s.checkEventually(); err != nil {
			t.Fatal(err)
		}
	})
}

// checkEventually repeats check until it succeeds, at most maxChecks times, and returns the
// last error.
func (s *sim) checkEventually() error {
	var err error
	for range maxChecks {
		if err = s.check(); err == nil {
			return nil
		}
		s.run(250 * time.Millisecond)
	}
	return err
}

// injectFault injects one random fault at one random node.
func (s *sim) injectFault(t *rapid.T) {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	switch kind := rapid.SampledFrom([]string{
		"kill", "restart", "move", "freeze", "thaw", "servers", "leave", "cut", "isolate", "heal", "loss", "herd",
	}).Draw(t, "fault"); kind {
	case "kill":
		n.up = false
	case "restart":
		n.up = false
		s.start(n, time.Duration(rapid.IntRange(-60, 60).Draw(t, "skew"))*time.Second)
	case "move":
		if n == s.nodes[0] {
			return // the address of the first seed is configured on every node
		}
		n.up = false
		delete(s.byAddr, n.node.Addr)
		n.node.Addr = fmt.Sprintf("10.9.%d.1:%d", len(s.byAddr), 7000+s.seq)
		s.byAddr[n.node.Addr] = n
		s.start(n, 0)
	case "freeze":
		n.frozen = true
	case "thaw":
		n.frozen = false
	case "servers":
		if n.up {
			s.execute(n, n.core.SetServers(make([]presence.Server, rapid.IntRange(0, 3).Draw(t, "servers"))))
		}
	case "leave":
		if n.up {
			s.execute(n, n.core.Leave())
		}
	case "cut":
		s.partitioned = func(a, b view.Node) bool { return (a.Region == n.node.Region) != (b.Region == n.node.Region) }
	case "isolate":
		s.partitioned = func(a, b view.Node) bool { return (a.Name == n.node.Name) != (b.Name == n.node.Name) }
	case "heal":
		s.partitioned = func(_, _ view.Node) bool { return false }
	case "loss":
		s.loss = float64(rapid.IntRange(0, 30).Draw(t, "percent")) / 100
		s.duplicate = s.loss
	case "herd":
		for i, n := range s.nodes {
			if i%2 == 1 {
				n.up = false
			}
		}
	}
}

// heal ends all faults. Killed daemons stay down, except the seeds and one more daemon,
// because a daemon that is completely alone keeps its old records.
func (s *sim) heal() {
	s.partitioned = func(_, _ view.Node) bool { return false }
	s.loss, s.duplicate = 0, 0
	for i, n := range s.nodes {
		n.frozen = false
		if i <= len(s.seeds) && !n.up {
			s.start(n, 0)
		}
	}
}
