package presence

import (
	"time"

	"github.com/daisygate/daisygate/internal/process/view"
)

// prober selects daemons to probe at random, linked or not. It detects daemons that
// failed together with all their neighbours, or are on the other side of a partition.
type prober struct {
	next time.Time
	// lost is a failed daemon. While searching is set, others near it are probed at
	// each tick until one replies.
	lost      view.Node
	searching bool
}

// searchNear starts a search for further failures near a failed daemon.
func (p *prober) searchNear(lost view.Node) { p.lost, p.searching = lost, true }

func (c *Core) probe(now time.Time) []Action {
	if !c.prober.searching && now.Before(c.prober.next) {
		return nil
	}
	c.prober.next = now.Add(c.cfg.ProbeInterval/2 + time.Duration(c.rand.Int64N(int64(c.cfg.ProbeInterval))))
	e := c.probeTarget()
	if e == nil {
		c.prober.searching = false
		return nil
	}
	node := e.record.Node
	return []Action{{Probe: &node}}
}

// probeTarget picks a daemon that is neither suspected nor linked. During a search it
// first tries the failure domain of the failed daemon, then its region.
func (c *Core) probeTarget() *entry {
	eligible := func(r *Record) bool {
		return r.Node.Name != c.cfg.Self.Name && !c.linked(r.Node.Name) && !c.suspectedIDs[IDOf(r.Node.Name)]
	}
	for scope := view.SameDomain; c.prober.searching && scope <= view.SameRegion; scope++ {
		near := func(r *Record) bool { return c.prober.lost.ScopeOf(r.Node) <= scope && eligible(r) }
		if e := c.table.pickWhere(c.rand, near); e != nil {
			return e
		}
	}
	return c.table.pickWhere(c.rand, eligible)
}

// Probed processes the result of a probe.
func (c *Core) Probed(now time.Time, name string, reached bool) []Action {
	e := c.table.entries[IDOf(name)]
	if reached {
		c.prober.searching = false
		return nil
	}
	if e == nil || e.state != alive || len(c.links) == 0 {
		return nil
	}
	c.prober.searchNear(e.record.Node)
	return c.Suspect(now, name)
}
