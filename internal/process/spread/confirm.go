package spread

import (
	"math/rand/v2"
	"slices"
	"time"
)

// confirm is this node's side of the question "what is committed at the
// leader?". A daemon keeps nothing over a restart; it asks after its start,
// and is not ready below the version it is told, so that it never serves one
// lower than it had: that one was committed before the question was put.
//
// The question goes up the tree to the leader and the answer comes down, as
// fields of the digests. A node has at most one question outstanding: what
// children ask meanwhile is put together in the next one.
type confirm struct {
	// base is random, so that an answer to an earlier life is not taken.
	base uint64
	// asked is the newest question put, answered the newest answered;
	// base <= answered <= asked.
	asked    uint64
	answered uint64
	// floor is the version to reach, once by is set.
	floor uint64
	by    Confirmation
	// done stays true once the floor was reached.
	done bool
}

// childAsk is a child's question.
type childAsk struct {
	// ask is the child's number for it; 0 is none.
	ask uint64
	at  time.Time
	// cover is this node's question that stands for it; 0 is none yet.
	cover  uint64
	answer *Confirmed
}

func newConfirm(r *rand.Rand) confirm {
	base := r.Uint64()>>1 + 1
	return confirm{base: base, answered: base, asked: base + 1}
}

func (f *confirm) outstanding() uint64 {
	if f.asked == f.answered {
		return 0
	}
	return f.asked
}

// Confirmed tells how the installed version was found to be no older than the
// one this daemon had before its start. Once it is not Unconfirmed it stays so.
func (c *Core) Confirmed() Confirmation {
	if !c.confirm.done {
		return Unconfirmed
	}
	return c.confirm.by
}

// Asked reports whether a question waits for the leader's answer here.
func (c *Core) Asked() bool {
	waits := func(l *link) bool { return l.asks.ask != 0 && l.asks.answer == nil }
	return c.confirm.outstanding() != 0 || slices.ContainsFunc(c.links, waits)
}

func (c *Core) takeAsk(l *link, ask uint64) {
	if ask == l.asks.ask {
		// The answer may have been lost.
		l.due = l.due || l.asks.answer != nil
		return
	}
	l.asks = childAsk{ask: ask, at: c.now}
	c.coverAsks()
}

// coverAsks puts one question for all that children asked, unless one is
// outstanding. The leader answers them itself in tickConfirm.
func (c *Core) coverAsks() {
	if c.lead != nil || c.confirm.outstanding() != 0 {
		return
	}
	covered := false
	for _, l := range c.links {
		if l.asks.ask != 0 && l.asks.cover == 0 && l.asks.answer == nil {
			l.asks.cover = c.confirm.asked + 1
			covered = true
		}
	}
	if !covered {
		return
	}
	c.confirm.asked++
	if p := c.link(c.parent); p != nil {
		p.due = true
	}
}

// takeConfirmed takes in the answer to an own question, whoever brings it.
func (c *Core) takeConfirmed(a Confirmed) {
	f := &c.confirm
	if a.Ask <= f.answered || a.Ask > f.asked {
		return
	}
	f.answered = a.Ask
	c.setFloor(a.Version, ByQuorum)
	for _, l := range c.links {
		if l.asks.cover != 0 && l.asks.cover <= a.Ask {
			c.answer(l, a.Version)
		}
	}
	c.coverAsks()
}

// Committed takes in the version that the leader told directly, asked since this
// node's start.
func (c *Core) Committed(version uint64) []Action {
	c.setFloor(version, ByQuorum)
	c.tickFloor()
	return c.flush()
}

// tickFloor notes when the floor is reached.
func (c *Core) tickFloor() {
	if c.confirm.by != Unconfirmed && c.state.Version >= c.confirm.floor {
		c.confirm.done = true
	}
}

func (c *Core) answer(l *link, version uint64) {
	if l.asks.answer == nil {
		l.asks.answer = &Confirmed{Ask: l.asks.ask, Version: version}
		l.due = true
	}
}

func (c *Core) setFloor(version uint64, by Confirmation) {
	f := &c.confirm
	if f.by == Unconfirmed || (f.by == ByPeers && by == ByQuorum) {
		f.floor, f.by = version, by
	}
}

// tickConfirm answers as the leader, goes by the peers in an outage of the
// sources, and notes when the floor is reached.
func (c *Core) tickConfirm() {
	if c.lead != nil {
		c.answerAsLeader()
	} else {
		c.coverAsks()
	}
	if c.confirm.by == Unconfirmed && c.age(c.start) > c.cfg.OutageAfter && c.Stale(c.now) {
		c.goByPeers()
	}
	c.tickFloor()
}

// answerAsLeader answers what was asked before a majority acknowledged the
// leader anew: whatever was committed when it was asked, this leader has.
func (c *Core) answerAsLeader() {
	version := max(c.lead.Version, c.state.Version)
	if c.lead.Quorum.After(c.start) && c.confirm.outstanding() != 0 {
		c.takeConfirmed(Confirmed{Ask: c.confirm.asked, Version: version})
	}
	for _, l := range c.links {
		if l.asks.ask != 0 && c.lead.Quorum.After(l.asks.at) {
			c.answer(l, version)
		}
	}
}

// minPeers is the least number of linked daemons to go by in an outage.
const minPeers = 2

// goByPeers takes the highest version among all linked daemons as the floor,
// once each of them has told its own.
func (c *Core) goByPeers() {
	floor := uint64(0)
	for _, l := range c.links {
		if !l.heard {
			return
		}
		floor = max(floor, l.version)
	}
	if len(c.links) >= minPeers {
		c.setFloor(floor, ByPeers)
	}
}
