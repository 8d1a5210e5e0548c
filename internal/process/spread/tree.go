package spread

import "time"

// unknownDepth is the depth of a node that knows no way to the leader.
const unknownDepth = 1 << 16

// takeLead notes whether this node leads, and beats when it is time.
func (c *Core) takeLead(lead *Lead) {
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
		old.due = true
	}
	c.parent = ""
	if !newTerm && c.now.Sub(c.beatAt) < c.cfg.BeatInterval {
		return
	}
	beat := Heartbeat{Term: lead.Term, Seq: 1, Version: max(lead.Version, c.state.Version)}
	if !newTerm {
		beat.Seq = c.heartbeat.Seq + 1
	}
	c.inForce = c.subtree()
	c.adoptBeat(beat, "")
}

// adoptBeat takes a newer heartbeat and pushes it to the children. One that
// begins a term goes to every link: the tree of the old leader may not lead
// away from the new one.
func (c *Core) adoptBeat(beat Heartbeat, from string) {
	newTerm := beat.Term > c.heartbeat.Term
	c.heartbeat = beat
	c.beatAt = c.now
	c.first = from
	for _, l := range c.links {
		if l.name != from && (l.child || newTerm) {
			l.due = true
		}
	}
}

func (c *Core) takeBeat(l *link, d *Digest) {
	l.beat, l.depth = d.Heartbeat, d.Depth
	newer := d.Heartbeat.newer(c.heartbeat)
	if l.name == c.parent {
		c.depth = min(d.Depth+1, unknownDepth)
	}
	if newer {
		c.adoptBeat(d.Heartbeat, l.name)
	}
	if d.InForce != nil && c.lead == nil && l.name == c.parent {
		c.inForce = *d.InForce
	}
	if c.lead != nil || l.name == c.parent {
		return
	}
	shorter := d.Heartbeat.Term > 0 && d.Heartbeat == c.heartbeat && d.Depth+1 < c.depth
	if (newer && c.parent == "") || shorter {
		c.setParent(l)
	}
}

// setParent moves this node's tree link; the digest to the old parent, now
// without a report, ends the push from there.
func (c *Core) setParent(l *link) {
	if old := c.link(c.parent); old != nil {
		old.due = true
	}
	c.parent = l.name
	c.depth = min(l.depth+1, unknownDepth)
	l.child = false
	l.due = true
}

// checkParent replaces a parent that is behind on the newest heartbeat by the
// link that brought it first: that link had it before this node did, so it
// does not hang below this node. Without a leader there is no tree.
func (c *Core) checkParent() {
	if c.lead != nil || c.now.Sub(c.beatAt) < c.cfg.ParentPatience {
		return
	}
	p := c.link(c.parent)
	if c.Stale(c.now) {
		if p != nil {
			p.due = true
		}
		c.parent, c.first, c.depth = "", "", unknownDepth
		return
	}
	first := c.link(c.first)
	if first == nil || first == p {
		return
	}
	if p == nil || c.heartbeat.newer(p.beat) {
		c.setParent(first)
	}
}

// loseParent chooses among the links that are no deeper than this node, for a
// deeper one may hang below it; if there is none, the next heartbeat that any
// link brings decides.
func (c *Core) loseParent() {
	c.parent = ""
	var best *link
	for _, l := range c.links {
		if l.child || l.depth > c.depth || l.beat.Term != c.heartbeat.Term {
			continue
		}
		fresh := l.beat.Seq+1 >= c.heartbeat.Seq
		if fresh && (best == nil || l.depth < best.depth) {
			best = l
		}
	}
	if best == nil {
		c.depth = unknownDepth
		return
	}
	c.setParent(best)
}

// age is how long ago t was; forever for the zero time.
func (c *Core) age(t time.Time) time.Duration { return c.now.Sub(t) }
