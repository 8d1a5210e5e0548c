package view

import "time"

const (
	// joinTimeout bounds the wait for the answer to a join.
	joinTimeout = 2 * time.Second
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
	if c.attempt != nil && now.After(c.attempt.until) {
		c.attemptFailed(now)
	}
	return append(actions, c.seek(now)...)
}

func (c *Core) attemptFailed(now time.Time) {
	if c.attempt.name == "" {
		c.seedFailures++
		if len(c.links) == 0 {
			c.seedNext = now.Add(backoff(c.rand, c.cfg.Backoff, c.seedFailures))
		}
	} else {
		c.candidates.fail(now, c.attempt.name)
	}
	c.attempt = nil
}

// seek asks one node for a link, if one is wanted and none was asked yet.
func (c *Core) seek(now time.Time) []Action {
	if c.attempt != nil {
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
			if n := c.candidates.pick(now, s, c.links); n != nil {
				return c.join(now, *n, len(c.links) == 0)
			}
		}
	}
	return c.askSeed(now)
}

// other picks a candidate after Seek, from far to near.
func (c *Core) other(now time.Time) *Node {
	if !c.restless {
		return nil
	}
	c.restless = false
	for s := range scopes {
		if n := c.candidates.pick(now, scopes-1-s, c.links); n != nil {
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
	return c.candidates.pick(now, s, c.links)
}

func (c *Core) join(now time.Time, to Node, urgent bool) []Action {
	c.attempt = &attempt{name: to.Name, addr: to.Addr, until: now.Add(joinTimeout)}
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
	if len(c.links) == 0 {
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
