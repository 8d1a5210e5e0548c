package dissemination

import "time"

// digestSummary identifies the last version hash and the last count that were sent over a
// link.
type digestSummary struct {
	version                uint64
	countVersion, countSum uint64
}

// digestInterval returns the time between digests on a link. It is longer for a child,
// because the digest with the next heartbeat makes the regular one redundant.
func (c *Core) digestInterval(l *link) time.Duration {
	if l.child && !c.Stale(c.now) {
		return c.cfg.DigestInterval + c.cfg.HeartbeatInterval/2
	}
	return c.cfg.DigestInterval
}

func (c *Core) receiveDigest(l *link, d *Digest) {
	l.digestReceived = true
	if d.Heartbeat.Term == 0 && c.heartbeat.Term > 0 {
		// The node has just restarted, possibly before this node noticed that it was
		// down.
		l.digestDue = true
	}
	c.compareVersion(l, d.Version, d.Hash)
	c.receiveHeartbeat(l, d)
	c.receiveReport(l, d)
	if d.Confirmed != nil {
		c.receiveConfirmed(*d.Confirmed)
	}
	if d.Proof != nil {
		c.receiveProof(*d.Proof)
	}
	c.catchUp()
}

// compareVersion records the version of a linked node and reports different content under the
// same version. A hash of 0 means that the hash is unchanged since the last digest with one.
func (c *Core) compareVersion(l *link, version, hash uint64) {
	l.version = version
	l.sentVersion = max(l.sentVersion, version)
	c.updateAheadSince(l)
	if hash == 0 && version == c.state.Version {
		return
	}
	differs := version == c.state.Version && hash != c.state.Hash()
	if differs && !l.diverged {
		c.actions = append(c.actions, Action{Diverged: &Diverged{Node: l.name, Version: version, Own: c.state.Hash(), Other: hash}})
	}
	l.diverged = differs
}

// updateAheadSince sets or clears aheadSince after a change of either version.
func (c *Core) updateAheadSince(l *link) {
	switch {
	case l.version <= c.state.Version:
		l.aheadSince = time.Time{}
	case l.aheadSince.IsZero():
		l.aheadSince = c.now
	}
}

// fullDigestEvery is the number of digests after which unchanged optional fields are sent
// again.
const fullDigestEvery = 16

// digest returns the next digest to send over a link.
func (c *Core) digest(l *link) *Digest {
	d := &Digest{Version: c.state.Version, Heartbeat: c.heartbeat, Depth: c.depth}
	full := l.digestCount%fullDigestEvery == 0
	l.digestCount++
	if full || l.lastSent.version != d.Version {
		d.Hash = c.state.Hash()
		l.lastSent.version = d.Version
	}
	changed := l.lastSent.countVersion != c.inForce.Version || l.lastSent.countSum != c.inForce.Sum
	if l.child && c.inForce.Count > 0 && (full || changed) {
		inForce := c.inForce
		d.InForce = &inForce
		l.lastSent.countVersion, l.lastSent.countSum = inForce.Version, inForce.Sum
	}
	if l.name == c.parent {
		d.Report = &Report{InForce: c.subtree(), Ask: c.confirm.outstanding(), ProofAsk: c.proof.outstanding()}
	}
	d.Confirmed = l.childAsk.answer
	d.Proof = l.childProof.takeProof()
	return d
}
