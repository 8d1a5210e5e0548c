package presence

import (
	"time"

	"github.com/daisygate/daisygate/internal/process/view"
)

// probing asks random daemons, linked or not, whether they can be reached: a
// daemon whose neighbours are all lost with it, or on the far side of a
// partition, is found this way.
type probing struct {
	next time.Time
	// lost is a daemon that was lost; others near it are probed at each tick
	// until one answers.
	lost   view.Node
	active bool
}

// hunt looks for further losses near a daemon.
func (p *probing) hunt(lost view.Node) { p.lost, p.active = lost, true }

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
// domain of a loss, then in its region.
func (c *Core) target() *entry {
	free := func(r *Record) bool {
		return r.Node.Name != c.cfg.Self.Name && !c.links[r.Node.Name] && !c.suspects[IDOf(r.Node.Name)]
	}
	for scope := view.SameDomain; c.probing.active && scope <= view.SameRegion; scope++ {
		near := func(r *Record) bool { return c.probing.lost.ScopeOf(r.Node) <= scope && free(r) }
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
	c.probing.hunt(e.record.Node)
	return c.Suspect(now, name)
}
