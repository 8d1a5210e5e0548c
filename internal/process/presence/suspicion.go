package presence

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/daisygate/daisygate/internal/process/view"
)

// Suspect starts the suspicion of the named daemon, which has SuspectFor to refute it.
func (c *Core) Suspect(now time.Time, name string) []Action {
	e := c.table.entries[IDOf(name)]
	if e == nil || e.state != alive || name == c.cfg.Self.Name {
		return nil
	}
	return c.suspect(now, e.stamp, "")
}

// suspect marks an alive entry as suspected, unless it is newer than s, and broadcasts
// the suspicion.
func (c *Core) suspect(now time.Time, s Stamp, from string) []Action {
	e := c.table.entries[s.ID]
	if e == nil || e.state != alive || e.suspected || e.stamp.newer(s) {
		return nil
	}
	if s.newer(e.stamp) {
		c.table.setStamp(e, s)
	}
	e.suspected, e.since = true, now
	c.suspectedIDs[s.ID] = true
	return c.broadcast(Message{Type: MsgSuspect, Claims: []Claim{{Stamp: s}}}, from)
}

func (c *Core) receiveClaims(now time.Time, from string, claims []Claim) []Action {
	var actions []Action
	for _, claim := range claims {
		actions = append(actions, c.receiveClaim(now, from, claim)...)
	}
	return actions
}

func (c *Core) receiveClaim(now time.Time, from string, claim Claim) []Action {
	s := claim.Stamp
	e := c.table.entries[s.ID]
	switch {
	case s.ID == c.id:
		return c.refute(now, from, s)
	case e == nil:
		if claim.Age > 0 {
			c.table.addTombstone(now.Add(-time.Duration(claim.Age)*time.Second), s)
		}
	case e.state == alive && e.stamp.newer(s):
		return []Action{c.send(from, Message{Type: MsgRefute, Stamps: []Stamp{e.stamp}})}
	case e.state == alive:
		return c.suspect(now, s, from)
	case s.newer(e.stamp):
		e.stamp = s
	}
	return nil
}

// refute replies to a claim that this daemon has failed.
func (c *Core) refute(now time.Time, from string, s Stamp) []Action {
	if c.self.stamp().newer(s) {
		return []Action{c.send(from, Message{Type: MsgRefute, Stamps: []Stamp{c.self.stamp()}})}
	}
	if !s.sameContent(c.self.stamp()) {
		return c.supersede(now, s, nil)
	}
	c.self.Life = s.Life + 1
	c.storeSelf()
	return c.broadcast(Message{Type: MsgRefute, Stamps: []Stamp{c.self.stamp()}}, "")
}

// receiveRefutes revives entries whose content is known and requests the content of
// the others.
func (c *Core) receiveRefutes(now time.Time, from string, stamps []Stamp) []Action {
	var actions []Action
	var refutations []Stamp
	var want []ID
	for _, s := range stamps {
		e := c.table.entries[s.ID]
		switch {
		case s.ID == c.id:
			actions = append(actions, c.supersede(now, s, nil)...)
		case e != nil && s == e.stamp:
			c.updates.markKnown(s.ID, from)
		case e != nil && !s.newer(e.stamp):
		case e == nil || e.record == nil || !s.sameContent(e.record.stamp()):
			want = append(want, s.ID)
		default:
			if e.state == alive {
				refutations = append(refutations, s)
			} else {
				c.updates.add(s.ID, from, true)
			}
			c.noteNewerStamp(now, s)
			actions = append(actions, c.revive(e, s)...)
		}
	}
	if len(want) > 0 {
		actions = append(actions, c.send(from, Message{Type: MsgWant, Want: want}))
	}
	if len(refutations) == 0 {
		return actions
	}
	return append(actions, c.broadcast(Message{Type: MsgRefute, Stamps: refutations}, from)...)
}

// revive makes an entry alive with the content it has.
func (c *Core) revive(e *entry, s Stamp) []Action {
	delete(c.suspectedIDs, s.ID)
	if e.state == alive {
		e.suspected = false
		c.table.setStamp(e, s)
		return nil
	}
	return []Action{{Change: c.table.set(e.record, s)}}
}

// expire drops suspected daemons whose time to refute has expired. A daemon without
// links drops none, because it was probably cut off itself.
func (c *Core) expire(now time.Time) []Action {
	if len(c.links) == 0 {
		return nil
	}
	c.forgetTombstones(now)
	if len(c.suspectedIDs) == 0 {
		return nil
	}
	var actions []Action
	for _, id := range slices.SortedFunc(maps.Keys(c.suspectedIDs), cmp.Compare[ID]) {
		if now.Sub(c.table.entries[id].since) <= c.cfg.SuspectFor {
			continue
		}
		delete(c.suspectedIDs, id)
		actions = append(actions, Action{Change: c.table.drop(now, id, dropped)})
	}
	return actions
}

// clearSuspicions cancels the suspicions of a daemon that had no links, since nobody
// could refute them.
func (c *Core) clearSuspicions() {
	for id := range c.suspectedIDs {
		c.table.entries[id].suspected = false
	}
	clear(c.suspectedIDs)
}

// forgetScansPerPeriod is the number of scans for expired tombstones per ForgetAfter.
const forgetScansPerPeriod = 16

func (c *Core) forgetTombstones(now time.Time) {
	if now.Before(c.nextForget) {
		return
	}
	c.nextForget = now.Add(c.cfg.ForgetAfter / forgetScansPerPeriod)
	for id, e := range c.table.entries {
		if e.state != alive && now.Sub(e.since) > c.cfg.ForgetAfter {
			c.table.forget(id)
		}
	}
}

// cutOffFraction defines when a daemon assumes that it was cut off itself: if it
// dropped more than 1 in cutOffFraction of all records.
const cutOffFraction = 3

// noteNewerStamp handles a stamp that is newer than a tombstone of the same
// incarnation: that daemon was alive all the time.
func (c *Core) noteNewerStamp(now time.Time, s Stamp) {
	e := c.table.entries[s.ID]
	if e != nil && e.state == dropped && s.newer(e.stamp) && s.Incarnation == e.stamp.Incarnation {
		c.makeTombstonesDormant(now)
	}
}

// noteNeighbourAlive handles a message from a neighbour whose record was dropped. It is
// not a new process, which would have sent its own record first.
func (c *Core) noteNeighbourAlive(now time.Time, from string) {
	if e := c.table.entries[IDOf(from)]; e != nil && e.state == dropped {
		c.makeTombstonesDormant(now)
	}
}

// makeTombstonesDormant makes all tombstones dormant if so many records were dropped
// that this daemon was probably cut off. The records then become alive again as soon
// as a neighbour reports them.
func (c *Core) makeTombstonesDormant(now time.Time) {
	if !c.likelyCutOff() {
		return
	}
	for id, e := range c.table.entries {
		if e.state != dropped {
			continue
		}
		c.table.drop(now, id, dormant)
	}
	c.pull = pull{}
}

func (c *Core) likelyCutOff() bool {
	return c.table.tombstones*cutOffFraction > c.table.tombstones+len(c.table.alive)
}

// dropPropagationTime is how long the information about a failure may take to reach
// all daemons.
const dropPropagationTime = 10 * time.Second

// noteContradiction handles a record that is alive on a neighbour but was dropped here
// longer than dropPropagationTime ago.
func (c *Core) noteContradiction(now time.Time, e *entry) {
	if e != nil && e.state == dropped && now.Sub(e.since) > dropPropagationTime {
		c.makeTombstonesDormant(now)
	}
}

// takeover counts the attempts of this daemon to supersede records under its own name
// that it did not write.
type takeover struct {
	count int
	last  time.Time
}

const (
	// takeoverWindow is the time without attempts after which the count starts again.
	takeoverWindow = time.Minute
	// maxImmediateTakeovers is the number of attempts that are made at once. An
	// earlier process of this daemon may have left several records; more attempts mean
	// that another process is alive under the same name.
	maxImmediateTakeovers = 3
	// takeoverInterval is the minimum time between further attempts.
	takeoverInterval = 10 * time.Second
)

// supersede handles a record under the name of this daemon that it did not write: one
// of an earlier process with a higher clock, or of another process with the same name.
// It raises its own incarnation above it.
func (c *Core) supersede(now time.Time, s Stamp, node *view.Node) []Action {
	if !s.newer(c.self.stamp()) {
		return nil
	}
	t := &c.takeover
	if now.Sub(t.last) > takeoverWindow {
		t.count = 0
	}
	if t.count >= maxImmediateTakeovers && now.Sub(t.last) < takeoverInterval {
		return nil
	}
	t.count++
	t.last = now
	var actions []Action
	if t.count > maxImmediateTakeovers {
		actions = append(actions, Action{Conflict: c.conflictingNode(node)})
	}
	c.self.Incarnation = s.Incarnation + 1
	c.self.Seq = 0
	return append(actions, c.publishSelf()...)
}

func (c *Core) conflictingNode(node *view.Node) *view.Node {
	if node != nil {
		return node
	}
	return &view.Node{Name: c.cfg.Self.Name}
}
