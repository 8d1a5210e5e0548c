package cli

import (
	"fmt"
	"strings"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/result"
)

// laggardsNamed bounds the daemons named in an error.
const laggardsNamed = 5

// tally is how far a version has come.
type tally struct {
	// version is the fleet version that is counted.
	version uint64
	// there is the number of daemons that have it, of all daemons.
	there, daemons int
	// everywhere tells that every daemon has it.
	everywhere bool
	// lagging are daemons known not to have it; not all of them in a large
	// fleet.
	lagging []operator.FleetNode
}

// count tells how far a version has come: by the listing where it is complete,
// else by the count of the spread's tree.
func count(f *operator.Fleet, version uint64) tally {
	t := tally{version: version, daemons: f.Daemons, lagging: behind(f.Nodes, version)}
	if f.Complete {
		t.there = len(f.Nodes) - len(t.lagging)
		t.everywhere = t.daemons > 0 && t.there == t.daemons
		return t
	}
	if f.InForce.Version >= version {
		t.there, t.everywhere = f.InForce.Count, f.InForce.All
	}
	return t
}

// behind are the daemons that do not have the version in force: one that is not
// ready holds it, but answers no call by it.
func behind(nodes []operator.FleetNode, version uint64) []operator.FleetNode {
	list := []operator.FleetNode{}
	for _, n := range nodes {
		if n.Version < version || !n.Ready {
			list = append(list, n)
		}
	}
	return list
}

// newestVersion is the highest version that the fleet is known to have.
func newestVersion(f *operator.Fleet) uint64 {
	version := f.InForce.Version
	for _, n := range f.Nodes {
		version = max(version, n.Version)
	}
	return version
}

// pending says which daemons an accepted version is still missing on, and why.
func (t *tally) pending() error {
	var reasons []string
	for _, n := range t.lagging[:min(len(t.lagging), laggardsNamed)] {
		reasons = append(reasons, fmt.Sprintf("\n  %s (%s): %s", n.Node, n.Domain, lagReason(n, t.version)))
	}
	if more := t.daemons - t.there - len(reasons); more > 0 && len(reasons) > 0 {
		reasons = append(reasons, fmt.Sprintf("\n  and %d more", more))
	}
	text := fmt.Sprintf("accepted as fleet version %d, in force on %d of %d daemons so far", t.version, t.there, t.daemons)
	if len(reasons) > 0 {
		text += "; not on" + strings.Join(reasons, "")
	}
	return result.Errorf(result.NotInForce, "%s", text)
}
