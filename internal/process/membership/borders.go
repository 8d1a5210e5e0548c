package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/daisygate/daisygate/internal/process/presence"
)

// borderNodesPerDomain is the number of daemons of each failure domain that keep links to other
// domains. It bounds the traffic between domains, whatever their size, and is large enough that
// the domains stay connected when many daemons fail at once.
const borderNodesPerDomain = 6

// borderInterval is the minimum time between two selections of the border nodes.
const borderInterval = 200 * time.Millisecond

// updateBorderNodes selects the border nodes again if daemons were added or removed.
func (c *Core) updateBorderNodes(now time.Time) {
	if !c.fleetChanged || now.Before(c.nextBorderSelection) {
		return
	}
	c.fleetChanged, c.nextBorderSelection = false, now.Add(borderInterval)
	isBorderNode, all := c.selectBorderNodes()
	c.view.SetBorderNodes(isBorderNode, all)
	c.presence.SetBorderNodes(isBorderNode)
}

// selectBorderNodes returns a function that reports whether a daemon is a border node: one of
// those with the lowest IDs of its failure domain. IDs are hashes, so that daemons with the same
// table select the same border nodes, and a change of the fleet replaces few of them. all is set
// if every known daemon of this failure domain is a border node.
func (c *Core) selectBorderNodes() (isBorderNode func(name string) bool, all bool) {
	type domain struct{ region, name string }
	limits := map[domain]presence.ID{}
	ids := map[domain][]presence.ID{}
	domains := map[string]domain{}
	for _, r := range c.presence.All() {
		d := domain{r.Node.Region, r.Node.Domain}
		domains[r.Node.Name] = d
		ids[d] = append(ids[d], presence.IDOf(r.Node.Name))
	}
	for d, list := range ids {
		slices.SortFunc(list, func(a, b presence.ID) int { return cmp.Compare(a, b) })
		limits[d] = list[min(len(list), borderNodesPerDomain)-1]
	}
	isBorderNode = func(name string) bool {
		d, known := domains[name]
		return !known || presence.IDOf(name) <= limits[d]
	}
	return isBorderNode, len(ids[domains[c.self.Name]]) <= borderNodesPerDomain
}
