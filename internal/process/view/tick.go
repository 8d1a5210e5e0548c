package view

import "time"

const (
	// seedInterval is the least time between joins at a seed while there are
	// links; seedShare is added for each daemon known, so that the fleet as a
	// whole asks about once in seedShare.
	seedInterval = 30 * time.Second
	seedShare    = 10 * time.Second
)

// Tick ends silent links, keeps the others alive and looks for new ones.
func (c *Core) Tick(now time.Time) []Action {
	var actions []Action
	for _, n := range c.Links() {
		l := c.links[n.Name]
		switch {
		case now.Sub(l.heard) > c.cfg.Silence:
			c.candidates.fail(now, n.Name)
			actions = append(actions, c.down(n.Name, true)...)
			actions = append(actions, c.send(n, Message{Type: MsgLeave}))
		case now.Sub(l.sent) >= c.cfg.Interval:
			l.sent = now
			actions = append(actions, c.send(n, Message{Type: MsgAlive}))
		}
	}
	for _, a := range c.attempts.expire(now) {
		c.attemptFailed(now, a)
	}
	return append(actions, c.seek(now)...)
}

// seek asks others for links, as far as links are wanted and were not asked for yet.
func (c *Core) seek(now time.Time) []Action {
	if c.severed() {
		return c.seekMany(now)
	}
	if len(c.attempts) > 0 {
		return nil
	}
	if n := c.other(now); n != nil {
		return c.join(now, *n, true)
	}
	counts := c.counts()
	for s := range scopes {
		if n := c.wanted(now, s, counts); n != nil {
			return c.join(now, *n, counts[s] == 0)
		}
	}
	if len(c.links) < c.cfg.Active {
		for s := range scopes {
			if n := c.pick(now, s); n != nil {
				return c.join(now, *n, len(c.links) == 0)
			}
		}
	}
	return c.askSeed(now)
}

// seekMany asks several candidates at once, from near to far, and a seed where there
// are none.
func (c *Core) seekMany(now time.Time) []Action {
	var actions []Action
	for s := range scopes {
		for len(c.attempts) < severedJoins {
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

// pick returns a candidate of a scope that is neither linked nor being asked.
func (c *Core) pick(now time.Time, s Scope) *Node {
	return c.candidates.pick(now, s, func(name string) bool { return c.links[name] != nil || c.attempts.asks(name) })
}

// other picks a candidate after Seek, from far to near.
func (c *Core) other(now time.Time) *Node {
	if !c.restless {
		return nil
	}
	c.restless = false
	for s := range scopes {
		if n := c.pick(now, scopes-1-s); n != nil {
			return n
		}
	}
	return nil
}

// wanted picks a candidate for a scope with too few links: always for a scope
// without any, else while the number of links is below the aim.
func (c *Core) wanted(now time.Time, s Scope, counts [scopes]int) *Node {
	if counts[s] >= c.want[s] || (counts[s] > 0 && len(c.links) >= c.cfg.Active) {
		return nil
	}
	return c.pick(now, s)
}

func (c *Core) join(now time.Time, to Node, urgent bool) []Action {
	c.attempts = append(c.attempts, attempt{name: to.Name, addr: to.Addr, until: now.Add(joinTimeout)})
	return []Action{c.send(to, Message{Type: MsgJoin, Node: &c.cfg.Self, Urgent: urgent})}
}

// askSeed asks a seed for a link: soon while there is no link at all, and now
// and then also later, so that parts of the fleet that lost each other meet.
func (c *Core) askSeed(now time.Time) []Action {
	if len(c.cfg.Seeds) == 0 {
		return nil
	}
	forgotten := len(c.links) == 0 && c.seedNext.Sub(now) > maxBackoff
	if c.seedNext.IsZero() || forgotten {
		c.seedNext = now.Add(jitter(c.rand, c.cfg.Backoff))
	}
	if now.Before(c.seedNext) {
		return nil
	}
	c.seedNext = now.Add(c.seedPause())
	addr := c.cfg.Seeds[c.rand.IntN(len(c.cfg.Seeds))]
	if c.linkedTo(addr) {
		return nil
	}
	return c.join(now, Node{Addr: addr}, true)
}

func (c *Core) seedPause() time.Duration {
	if c.alone() {
		return backoff(c.rand, c.cfg.Backoff, c.seedFailures)
	}
	return seedInterval + jitter(c.rand, time.Duration(2*c.fleet)*seedShare)
}

func (c *Core) linkedTo(addr string) bool {
	for _, l := range c.links {
		if l.node.Addr == addr {
			return true
		}
	}
	return false
}
