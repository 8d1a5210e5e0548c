package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/daisygate/daisygate/internal/process/presence"
)

// gatewaysPerDomain is the number of daemons of each failure domain that keep links to other
// domains. It bounds the traffic between domains, whatever their size, and is large enough that
// the domains stay connected when many daemons fail at once.
const gatewaysPerDomain = 6

// gatewayInterval is the minimum time between two selections of the gateways.
const gatewayInterval = 200 * time.Millisecond

// selectGateways returns a function that reports whether a daemon is a gateway: one of those with
// the lowest IDs of its failure domain. IDs are hashes, so that daemons with the same table select
// the same gateways, and a change of the fleet replaces few of them. all is set if every known
// daemon of this failure domain is a gateway.
func (c *Core) selectGateways() (isGateway func(name string) bool, all bool) {
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
		limits[d] = list[min(len(list), gatewaysPerDomain)-1]
	}
	isGateway = func(name string) bool {
		d, known := domains[name]
		return !known || presence.IDOf(name) <= limits[d]
	}
	return isGateway, len(ids[domains[c.self.Name]]) <= gatewaysPerDomain
}
