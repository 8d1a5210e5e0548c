package view

import "time"

const (
	// seedInterval is the minimum time between joins to a seed while there are links.
	// On average, seedIntervalPerNode is added for each known daemon, so that the
	// whole fleet sends about one such join per seedIntervalPerNode.
	seedInterval        = 30 * time.Second
	seedIntervalPerNode = 10 * time.Second
)

// Tick ends silent links, sends keep-alives on the others and looks for new links.
func (c *Core) Tick(now time.Time) []Action {
	var actions []Action
	for _, n := range c.Links() {
		l := c.links[n.Name]
		switch {
		case now.Sub(l.lastReceived) > c.cfg.Silence:
			c.candidates.markFailed(now, n.Name)
			actions = append(actions, c.removeLink(n.Name, true)...)
			actions = append(actions, c.send(n, Message{Type: MsgLeave}))
		case now.Sub(l.lastSent) >= c.cfg.Interval:
			l.lastSent = now
			actions = append(actions, c.send(n, Message{Type: MsgAlive}))
		}
	}
	for _, a := range c.attempts.expire(now) {
		c.attemptFailed(now, a)
	}
	actions = append(actions, c.prune(now)...)
	return append(actions, c.seek(now)...)
}

const (
	// pruneInterval is the minimum time between the ends of two surplus links.
	pruneInterval = 200 * time.Millisecond
	// minNearLinks is the number of links within the failure domain that must remain working
	// for a link to another domain to be surplus.
	minNearLinks = 2
)

// isSurplus reports whether a link to another failure domain is of no use. A young one may be the only link
// to daemons that were just restarted, until they have been told of the fleet.
func (c *Core) isSurplus(now time.Time, n Node) bool {
	return !c.isBorderNode(n.Name) && now.Sub(c.links[n.Name].since) >= c.cfg.Silence
}

// prune ends a surplus link to another failure domain if this node is not a border node.
func (c *Core) prune(now time.Time) []Action {
	if now.Before(c.pruneNext) || c.isBorderNode(c.cfg.Self.Name) {
		return nil
	}
	near := 0
	var surplus *Node
	for _, n := range c.nodes {
		switch {
		case c.cfg.Self.ScopeOf(n) != SameDomain:
			if c.isSurplus(now, n) {
				surplus = &n
			}
		case !c.links[n.Name].failing:
			near++
		}
	}
	if surplus == nil || near < minNearLinks {
		return nil
	}
	c.pruneNext = now.Add(pruneInterval)
	return append(c.removeLink(surplus.Name, false), c.send(*surplus, Message{Type: MsgLeave}))
}

// seek sends joins if more links are needed and no join for them is pending.
func (c *Core) seek(now time.Time) []Action {
	if c.allLinksFailing() {
		return c.seekParallel(now)
	}
	if len(c.attempts) > 0 {
		return nil
	}
	if n := c.pickExtra(now); n != nil {
		return c.join(now, *n, true)
	}
	counts := c.counts()
	for s := range numScopes {
		if n := c.pickForScope(now, s, counts); n != nil {
			return c.join(now, *n, counts[s] == 0)
		}
	}
	if len(c.links) < c.cfg.Active {
		for s := range numScopes {
			if n := c.pick(now, s); n != nil {
				return c.join(now, *n, len(c.links) == 0)
			}
		}
	}
	return c.askSeed(now)
}

// seekParallel asks several candidates at once, from near to far scopes, or a seed if
// there are no candidates.
func (c *Core) seekParallel(now time.Time) []Action {
	var actions []Action
	for s := range numScopes {
		for len(c.attempts) < maxParallelJoins {
			n := c.pick(now, s)
			if n == nil {
				break
			}
			actions = append(actions, c.join(now, *n, true)...)
		}
	}
	if len(c.attempts) == 0 {
		return c.askSeed(now)
	}
	return actions
}

// pick returns a candidate of a scope that is not linked and has no pending join.
func (c *Core) pick(now time.Time, s Scope) *Node {
	return c.candidates.pick(now, s, func(name string) bool { return c.links[name] != nil || c.attempts.pending(name) })
}

// pickExtra returns a candidate after a call of Seek, from far to near scopes.
func (c *Core) pickExtra(now time.Time) *Node {
	if !c.seekExtra {
		return nil
	}
	c.seekExtra = false
	for s := range numScopes {
		if n := c.pick(now, numScopes-1-s); n != nil {
			return n
		}
	}
	return nil
}

// pickForScope returns a candidate for a scope with too few links: always if the scope
// has none, or the failure domain fewer than minNearLinks, which prune waits for; otherwise
// only while the total is below cfg.Active.
func (c *Core) pickForScope(now time.Time, s Scope, counts [numScopes]int) *Node {
	enough := 1
	if s == SameDomain {
		enough = minNearLinks
	}
	if counts[s] >= c.targets[s] || (counts[s] >= enough && len(c.links) >= c.cfg.Active) {
		return nil
	}
	return c.pick(now, s)
}

func (c *Core) join(now time.Time, to Node, urgent bool) []Action {
	c.attempts = append(c.attempts, attempt{name: to.Name, addr: to.Addr, deadline: now.Add(joinTimeout)})
	return []Action{c.send(to, Message{Type: MsgJoin, Node: &c.cfg.Self, Urgent: urgent})}
}

// askSeed asks a seed for a link: soon if there is no link at all, and from time to
// time otherwise, so that parts of the fleet that lost contact with each other
// reconnect.
func (c *Core) askSeed(now time.Time) []Action {
	if len(c.cfg.Seeds) == 0 {
		return nil
	}
	tooFar := len(c.links) == 0 && c.seedNext.Sub(now) > maxBackoff
	if c.seedNext.IsZero() || tooFar {
		c.seedNext = now.Add(jitter(c.rand, c.cfg.Backoff))
	}
	if now.Before(c.seedNext) {
		return nil
	}
	c.seedNext = now.Add(c.seedDelay())
	addr := c.cfg.Seeds[c.rand.IntN(len(c.cfg.Seeds))]
	if c.linkedTo(addr) {
		return nil
	}
	return c.join(now, Node{Addr: addr}, true)
}

func (c *Core) seedDelay() time.Duration {
	if c.noWorkingLink() {
		return backoff(c.rand, c.cfg.Backoff, c.seedFailures)
	}
	return seedInterval + jitter(c.rand, time.Duration(2*c.fleetSize)*seedIntervalPerNode)
}

func (c *Core) linkedTo(addr string) bool {
	for _, l := range c.links {
		if l.node.Addr == addr {
			return true
		}
	}
	return false
}
