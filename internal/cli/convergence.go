package cli

import (
	"fmt"
	"strings"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/result"
)

// maxNamedLaggards is the maximum number of daemons named in an error.
const maxNamedLaggards = 5

// tally counts the daemons that have a version in force.
type tally struct {
	// version is the fleet version for which the daemons are counted.
	version uint64
	// inForce is the number of daemons that have it in force, out of daemons.
	inForce, daemons int
	// onAll reports whether every daemon has it in force.
	onAll bool
	// lagging lists daemons known not to have it in force; in a large fleet not
	// all of them.
	lagging []operator.FleetNode
}

// countInForce counts the daemons that have a version in force. It uses the
// list of daemons if that is complete, and otherwise the count that the daemons
// aggregate along the distribution tree.
func countInForce(f *operator.Fleet, version uint64) tally {
	t := tally{version: version, daemons: f.Daemons, lagging: laggingNodes(f.Nodes, version)}
	if f.Complete {
		t.inForce = len(f.Nodes) - len(t.lagging)
		t.onAll = t.daemons > 0 && t.inForce == t.daemons
		return t
	}
	if f.InForce.Version >= version {
		t.inForce, t.onAll = f.InForce.Count, f.InForce.All
	}
	return t
}

// laggingNodes returns the daemons that do not have the version in force. This
// includes daemons that are not ready: they may have received it, but do not
// serve requests with it.
func laggingNodes(nodes []operator.FleetNode, version uint64) []operator.FleetNode {
	list := []operator.FleetNode{}
	for _, n := range nodes {
		if n.Version < version || !n.Ready {
			list = append(list, n)
		}
	}
	return list
}

// newestVersion returns the highest version known to be in force in the fleet.
func newestVersion(f *operator.Fleet) uint64 {
	version := f.InForce.Version
	for _, n := range f.Nodes {
		version = max(version, n.Version)
	}
	return version
}

// notInForceError returns an error that names the daemons on which an accepted
// version is not in force, and why.
func (t *tally) notInForceError() error {
	var reasons []string
	for _, n := range t.lagging[:min(len(t.lagging), maxNamedLaggards)] {
		reasons = append(reasons, fmt.Sprintf("\n  %s (%s): %s", n.Node, n.Domain, lagReason(n, t.version)))
	}
	if more := t.daemons - t.inForce - len(reasons); more > 0 && len(reasons) > 0 {
		reasons = append(reasons, fmt.Sprintf("\n  and %d more", more))
	}
	text := fmt.Sprintf("accepted as fleet version %d, in force on %d of %d daemons so far", t.version, t.inForce, t.daemons)
	if len(reasons) > 0 {
		text += "; not on" + strings.Join(reasons, "")
	}
	return result.Errorf(result.NotInForce, "%s", text)
}
