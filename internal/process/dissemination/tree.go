package dissemination

import "time"

// unknownDepth is the depth of a node that knows no path to the leader.
const unknownDepth = 1 << 16

// updateLead records whether this node is the leader and, if so, emits a heartbeat when one
// is due.
func (c *Core) updateLead(lead *Leadership) {
	if lead == nil || lead.Term < c.heartbeat.Term {
		if c.lead != nil {
			c.lead = nil
			c.depth = unknownDepth
		}
		return
	}
	newTerm := lead.Term > c.heartbeat.Term
	c.lead = lead
	c.depth = 0
	if old := c.link(c.parent); old != nil {
		old.digestDue = true
	}
	c.parent = ""
	if !newTerm && c.now.Sub(c.heartbeatAt) < c.cfg.HeartbeatInterval {
		return
	}
	hb := Heartbeat{Term: lead.Term, Seq: 1, Version: max(lead.Version, c.state.Version)}
	if !newTerm {
		hb.Seq = c.heartbeat.Seq + 1
	}
	c.inForce = c.subtree()
	c.adoptHeartbeat(hb, "")
}

// treeGrowth is the time for which the tree of a new leader is expected to change often, because
// sources that have been restarted get their links one by one.
const treeGrowth = 5 * time.Second

// treeGrows reports whether the tree of the leader is new.
func (c *Core) treeGrows() bool { return c.now.Sub(c.termAt) < treeGrowth }

// adoptHeartbeat stores a newer heartbeat and pushes it to the children. The first heartbeat
// of a term is sent over every link, because the tree of the old leader does not necessarily
// lead from the new leader to all nodes.
func (c *Core) adoptHeartbeat(hb Heartbeat, from string) {
	newTerm := hb.Term > c.heartbeat.Term
	if newTerm {
		c.termAt = c.now
	}
	c.heartbeat = hb
	c.heartbeatAt = c.now
	c.heartbeatFrom = from
	for _, l := range c.links {
		if l.name != from && (l.child || newTerm) {
			l.digestDue = true
		}
	}
}

// receiveHeartbeat handles the heartbeat, depth and count in a digest. It chooses the sender as
// the parent if there is none yet, if the path through the sender is shorter, or if the sender
// delivers the first heartbeat of a term: the depths of the old tree say nothing about the way
// to the new leader, and a parent kept from it may be a descendant of this node in the new one.
func (c *Core) receiveHeartbeat(l *link, d *Digest) {
	l.lastHeartbeat, l.depth = d.Heartbeat, d.Depth
	newer, newTerm := d.Heartbeat.newer(c.heartbeat), d.Heartbeat.Term > c.heartbeat.Term
	if l.name == c.parent {
		c.depth = min(d.Depth+1, unknownDepth)
	}
	if newer {
		c.adoptHeartbeat(d.Heartbeat, l.name)
	}
	if d.InForce != nil && c.lead == nil && l.name == c.parent {
		c.inForce = *d.InForce
	}
	if c.lead != nil || l.name == c.parent {
		return
	}
	shorter := d.Heartbeat.Term > 0 && d.Heartbeat == c.heartbeat && d.Depth+1 < c.depth
	if newTerm || (newer && c.parent == "") || shorter {
		c.setParent(l)
	}
}

// setParent makes l the link to the parent. The next digest to the old parent contains no
// report, which ends the pushes from there.
func (c *Core) setParent(l *link) {
	if old := c.link(c.parent); old != nil {
		old.digestDue = true
	}
	c.parent = l.name
	c.depth = min(l.depth+1, unknownDepth)
	l.child = false
	l.digestDue = true
}

// checkParent replaces a parent that lacks the newest heartbeat by the node that delivered it
// first. That node had the heartbeat before this one, so it is not a descendant of this node.
// If no heartbeats arrive, the parent is dropped: without a leader there is no tree.
func (c *Core) checkParent() {
	if c.lead != nil || c.now.Sub(c.heartbeatAt) < c.cfg.ParentLagTimeout {
		return
	}
	p := c.link(c.parent)
	if c.Stale(c.now) {
		if p != nil {
			p.digestDue = true
		}
		c.parent, c.heartbeatFrom, c.depth = "", "", unknownDepth
		return
	}
	first := c.link(c.heartbeatFrom)
	if first == nil || first == p {
		return
	}
	if p == nil || c.heartbeat.newer(p.lastHeartbeat) {
		c.setParent(first)
	}
}

// replaceParent chooses a new parent among the linked nodes that are no deeper than this node,
// because a deeper one may be its descendant. If there is none, the sender of the next
// heartbeat becomes the parent.
func (c *Core) replaceParent() {
	c.parent = ""
	var best *link
	for _, l := range c.links {
		if l.child || l.depth > c.depth || l.lastHeartbeat.Term != c.heartbeat.Term {
			continue
		}
		recent := l.lastHeartbeat.Seq+1 >= c.heartbeat.Seq
		if recent && (best == nil || l.depth < best.depth) {
			best = l
		}
	}
	if best == nil {
		c.depth = unknownDepth
		return
	}
	c.setParent(best)
}

// age returns the time since t; for the zero time it is the maximum duration.
func (c *Core) age(t time.Time) time.Duration { return c.now.Sub(t) }
