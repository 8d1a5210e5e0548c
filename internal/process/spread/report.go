package spread

import "github.com/cespare/xxhash/v2"

// maxLaggards bounds the names in a report.
const maxLaggards = 4

// NodeHash is a node's share of InForce.Sum.
func NodeHash(name string) uint64 { return xxhash.Sum64String(name) }

// InForce is the leader's newest count of the daemons that have a version. It
// is whole if Count and Sum equal those over the names of the fleet.
func (c *Core) InForce() InForce { return c.inForce }

// takeReport makes a node a child or ends that.
func (c *Core) takeReport(l *link, d *Digest) {
	if d.Report == nil {
		l.child = false
		l.asks = childAsk{}
		return
	}
	if !l.child {
		l.child = true
		l.digests = 0
		l.due = true
	}
	if l.name == c.parent {
		// Two nodes chose each other; this one must look elsewhere.
		c.loseParent()
	}
	l.report = d.Report.InForce
	c.takeAsk(l, d.Report.Ask)
	if l.sent < c.state.Version && !c.pushDue {
		c.push()
	}
	c.reportWhole()
}

// subtree counts the daemons below and including this one that have this
// node's version. A child that reported a lower version counts for nothing:
// the count may be low, but never high while each node has one parent.
func (c *Core) subtree() InForce {
	sum := InForce{Version: c.state.Version, Count: 1, Sum: NodeHash(c.cfg.Self)}
	for _, l := range c.links {
		if !l.child {
			continue
		}
		if l.report.Version >= sum.Version {
			sum.Count += l.report.Count
			sum.Sum += l.report.Sum
			sum.addLaggards(l.report.Laggards...)
			continue
		}
		if l.version < sum.Version {
			sum.addLaggards(l.name)
		}
	}
	return sum
}

func (f *InForce) addLaggards(names ...string) {
	for _, name := range names {
		if len(f.Laggards) < maxLaggards {
			f.Laggards = append(f.Laggards, name)
		}
	}
}

// reportWhole reports at once, once for each version, when all children have
// reported it; what changes later goes with the next digest.
func (c *Core) reportWhole() {
	if c.reported >= c.state.Version {
		return
	}
	for _, l := range c.links {
		if l.child && l.report.Version < c.state.Version {
			return
		}
	}
	c.reported = c.state.Version
	if p := c.link(c.parent); p != nil {
		p.due = true
	}
}
