package presence

import "time"

// probing asks random daemons, linked or not, whether they can be reached: a
// daemon whose neighbours are all lost with it, or on the far side of a
// partition, is found this way.
type probing struct {
	next time.Time
	// domain is where one daemon was lost; others there are probed at each tick
	// until one answers.
	domain string
	active bool
}

// hunt looks for further losses in a failure domain.
func (p *probing) hunt(domain string) { p.domain, p.active = domain, true }

func (c *Core) probe(now time.Time) []Action {
	if !c.probing.active && now.Before(c.probing.next) {
		return nil
	}
	c.probing.next = now.Add(c.cfg.ProbeInterval/2 + time.Duration(c.rand.Int64N(int64(c.cfg.ProbeInterval))))
	e := c.target()
	if e == nil {
		c.probing.active = false
		return nil
	}
	node := e.record.Node
	return []Action{{Probe: &node}}
}

// target picks a daemon that is neither suspected nor linked, first in the
// domain of a loss.
func (c *Core) target() *entry {
	free := func(r *Record) bool {
		return r.Node.Name != c.cfg.Self.Name && !c.links[r.Node.Name] && !c.suspects[IDOf(r.Node.Name)]
	}
	if c.probing.active {
		near := func(r *Record) bool { return r.Node.Domain == c.probing.domain && free(r) }
		if e := c.table.pickWhere(c.rand, near); e != nil {
			return e
		}
	}
	return c.table.pickWhere(c.rand, free)
}

// Probed takes in the outcome of a probe.
func (c *Core) Probed(now time.Time, name string, reached bool) []Action {
	e := c.table.entries[IDOf(name)]
	if reached {
		c.probing.active = false
		return nil
	}
	if e == nil || e.state != alive || len(c.links) == 0 {
		return nil
	}
	c.probing.hunt(e.record.Node.Domain)
	return c.Suspect(now, name)
}
