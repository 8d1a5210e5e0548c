package membership_test

import (
	"fmt"
	"slices"
	"strings"

	"github.com/daisygate/daisygate/internal/process/presence"
)

// check returns the first violated invariant of a fleet that is expected to have converged,
// or nil: the links form a valid overlay, and every live daemon has exactly the newest
// record of each live daemon.
func (s *sim) check() error {
	if s.violation != "" {
		return fmt.Errorf("%s", s.violation)
	}
	live := s.live()
	if err := s.checkOverlay(live); err != nil {
		return err
	}
	for _, n := range live {
		if got := n.core.Presence().Len(); got != len(live) {
			return fmt.Errorf("%s knows %d records, want %d", n.node.Name, got, len(live))
		}
	}
	want := s.expectedTable(live)
	for _, n := range live {
		if got := formatTable(n); got != want {
			return fmt.Errorf("%s knows\n%s\nwant\n%s", n.node.Name, got, want)
		}
	}
	return nil
}

// expectedTable returns the table formed by each live daemon's record of itself.
func (s *sim) expectedTable(live []*simNode) string {
	var lines []string
	for _, n := range live {
		for _, r := range n.core.Presence().All() {
			if r.Node.Name == n.node.Name {
				lines = append(lines, formatRecord(*r))
			}
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

func formatTable(n *simNode) string {
	var lines []string
	for _, r := range n.core.Presence().Records() {
		lines = append(lines, formatRecord(r))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

func formatRecord(r presence.Record) string {
	return fmt.Sprintf("%s %s %d/%d leaving=%t servers=%d", r.Node.Name, r.Node.Addr, r.Incarnation, r.Seq, r.Leaving, len(r.Servers))
}

// checkOverlay checks that all links are symmetric, lead to live daemons and connect all of
// them. The bound on the number of links is checked by sim.deliver.
func (s *sim) checkOverlay(live []*simNode) error {
	if len(live) == 0 {
		return nil
	}
	byName := map[string]*simNode{}
	for _, n := range live {
		byName[n.node.Name] = n
	}
	reached := map[string]bool{live[0].node.Name: true}
	for todo := []*simNode{live[0]}; len(todo) > 0; {
		n := todo[0]
		todo = todo[1:]
		for _, l := range n.core.Links() {
			other := byName[l.Name]
			if other == nil {
				return fmt.Errorf("%s is linked to %s, which is gone", n.node.Name, l.Name)
			}
			if _, back := other.core.Link(n.node.Name); !back {
				return fmt.Errorf("%s is linked to %s, but not vice versa", n.node.Name, l.Name)
			}
			if !reached[l.Name] {
				reached[l.Name] = true
				todo = append(todo, other)
			}
		}
	}
	if len(reached) != len(live) {
		return fmt.Errorf("%d of %d daemons are connected", len(reached), len(live))
	}
	return nil
}
