package spread

import "time"

// told is a version, and the count of a version.
type told struct {
	version        uint64
	counted, count uint64
}

// digestInterval spares a child the digest that the next heartbeat makes
// redundant.
func (c *Core) digestInterval(l *link) time.Duration {
	if l.child && !c.Stale(c.now) {
		return c.cfg.DigestInterval + c.cfg.BeatInterval/2
	}
	return c.cfg.DigestInterval
}

func (c *Core) receiveDigest(l *link, d *Digest) {
	l.heard = true
	if d.Heartbeat.Term == 0 && c.heartbeat.Term > 0 {
		// It has just started, maybe before its end was noticed here.
		l.due = true
	}
	c.compare(l, d.Version, d.Hash)
	c.takeBeat(l, d)
	c.takeReport(l, d)
	if d.Confirmed != nil {
		c.takeConfirmed(*d.Confirmed)
	}
	c.catchUp()
}

// compare notes the version of a linked node.
func (c *Core) compare(l *link, version, hash uint64) {
	l.version = version
	l.sent = max(l.sent, version)
	c.noteAhead(l)
	if hash == 0 && version == c.state.Version {
		return
	}
	differs := version == c.state.Version && hash != c.state.Hash()
	if differs && !l.diverged {
		c.out = append(c.out, Action{Diverged: &Diverged{Node: l.name, Version: version, Own: c.state.Hash(), Other: hash}})
	}
	l.diverged = differs
}

func (c *Core) noteAhead(l *link) {
	switch {
	case l.version <= c.state.Version:
		l.ahead = time.Time{}
	case l.ahead.IsZero():
		l.ahead = c.now
	}
}

// retell is the number of digests after which one tells again what has not
// changed since it was told.
const retell = 16

func (c *Core) digest(l *link) *Digest {
	d := &Digest{Version: c.state.Version, Heartbeat: c.heartbeat, Depth: c.depth}
	again := l.digests%retell == 0
	l.digests++
	if again || l.told.version != d.Version {
		d.Hash = c.state.Hash()
		l.told.version = d.Version
	}
	changed := l.told.counted != c.inForce.Version || l.told.count != c.inForce.Sum
	if l.child && c.inForce.Count > 0 && (again || changed) {
		inForce := c.inForce
		d.InForce = &inForce
		l.told.counted, l.told.count = inForce.Version, inForce.Sum
	}
	if l.name == c.parent {
		d.Report = &Report{InForce: c.subtree(), Ask: c.confirm.outstanding()}
	}
	d.Confirmed = l.asks.answer
	return d
}
