package dissemination

import "github.com/cespare/xxhash/v2"

// maxLaggards is the maximum number of names in InForce.Laggards.
const maxLaggards = 4

// NodeHash returns the summand of a node in InForce.Sum.
func NodeHash(name string) uint64 { return xxhash.Sum64String(name) }

// InForce returns the leader's newest count of the daemons that have a version. The version
// is in force on the whole fleet if Count and Sum equal those computed from the names of all
// daemons.
func (c *Core) InForce() InForce { return c.inForce }

// receiveReport handles the report in a digest. A digest with a report makes the sender a
// child, one without a report ends this.
func (c *Core) receiveReport(l *link, d *Digest) {
	if d.Report == nil {
		l.child = false
		l.childAsk, l.childProof = childAsk{}, childProof{}
		return
	}
	if !l.child {
		l.child = true
		l.digestCount = 0
		l.digestDue = true
	}
	if l.name == c.parent {
		// The two nodes chose each other as parent; this one chooses another.
		c.replaceParent()
	}
	l.report = d.Report.InForce
	c.receiveAsk(l, d.Report.Ask)
	c.receiveProofAsk(l, d.Report.ProofAsk)
	if l.sentVersion < c.state.Version && !c.pushPending {
		c.push()
	}
	c.reportWhenComplete()
}

// subtree counts the daemons of the subtree rooted at this node that have this node's
// version. The subtree of a child that reported a lower version is not counted. The count may
// therefore be too low, but never too high as long as each node has only one parent.
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

// reportWhenComplete sends a report without waiting for the interval when all children have
// reported the installed version, once per version. Later changes are sent with the next
// regular digest.
func (c *Core) reportWhenComplete() {
	if c.reportedVersion >= c.state.Version {
		return
	}
	for _, l := range c.links {
		if l.child && l.report.Version < c.state.Version {
			return
		}
	}
	c.reportedVersion = c.state.Version
	if p := c.link(c.parent); p != nil {
		p.digestDue = true
	}
}
