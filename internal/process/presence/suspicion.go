package presence

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/daisygate/daisygate/internal/process/view"
)

// Suspect begins the suspicion of the daemon named; it has SuspectFor to
// refute.
func (c *Core) Suspect(now time.Time, name string) []Action {
	e := c.table.entries[IDOf(name)]
	if e == nil || e.state != alive || name == c.cfg.Self.Name {
		return nil
	}
	return c.suspect(now, e.stamp, "")
}

// suspect marks an alive entry that is not newer than s and passes the
// suspicion on.
func (c *Core) suspect(now time.Time, s Stamp, from string) []Action {
	e := c.table.entries[s.ID]
	if e == nil || e.state != alive || e.suspected || e.stamp.newer(s) {
		return nil
	}
	if s.newer(e.stamp) {
		c.table.restamp(e, s)
	}
	e.suspected, e.since = true, now
	c.suspects[s.ID] = true
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
			c.table.bury(now.Add(-time.Duration(claim.Age)*time.Second), s)
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

// refute answers a claim that this daemon is gone.
func (c *Core) refute(now time.Time, from string, s Stamp) []Action {
	if c.self.stamp().newer(s) {
		return []Action{c.send(from, Message{Type: MsgRefute, Stamps: []Stamp{c.self.stamp()}})}
	}
	if !s.sameContent(c.self.stamp()) {
		return c.sawSelf(now, s, nil)
	}
	c.self.Life = s.Life + 1
	c.storeSelf()
	return c.broadcast(Message{Type: MsgRefute, Stamps: []Stamp{c.self.stamp()}}, "")
}

// receiveRefutes revives what it can; content that is not known is asked for.
func (c *Core) receiveRefutes(now time.Time, from string, stamps []Stamp) []Action {
	var actions []Action
	var news []Stamp
	var want []ID
	for _, s := range stamps {
		e := c.table.entries[s.ID]
		switch {
		case s.ID == c.id:
			actions = append(actions, c.sawSelf(now, s, nil)...)
		case e != nil && s == e.stamp:
			c.news.seen(s.ID, from)
		case e != nil && !s.newer(e.stamp):
		case e == nil || e.record == nil || !s.sameContent(e.record.stamp()):
			want = append(want, s.ID)
		default:
			if e.state == alive {
				news = append(news, s)
			} else {
				c.news.hold(s.ID, from, true)
			}
			c.sawAlive(now, s)
			actions = append(actions, c.revive(e, s)...)
		}
	}
	if len(want) > 0 {
		actions = append(actions, c.send(from, Message{Type: MsgWant, Want: want}))
	}
	if len(news) == 0 {
		return actions
	}
	return append(actions, c.broadcast(Message{Type: MsgRefute, Stamps: news}, from)...)
}

// revive makes an entry alive with the content that it has.
func (c *Core) revive(e *entry, s Stamp) []Action {
	delete(c.suspects, s.ID)
	if e.state == alive {
		e.suspected = false
		c.table.restamp(e, s)
		return nil
	}
	return []Action{{Change: c.table.set(e.record, s)}}
}

// expire drops the suspects whose time is over. A daemon without links drops
// nobody: it is the one that was cut off.
func (c *Core) expire(now time.Time) []Action {
	if len(c.links) == 0 {
		return nil
	}
	c.forgetOld(now)
	if len(c.suspects) == 0 {
		return nil
	}
	var actions []Action
	for _, id := range slices.SortedFunc(maps.Keys(c.suspects), cmp.Compare[ID]) {
		if now.Sub(c.table.entries[id].since) <= c.cfg.SuspectFor {
			continue
		}
		delete(c.suspects, id)
		actions = append(actions, Action{Change: c.table.drop(now, id, gone)})
	}
	return actions
}

// clearSuspicions forgets what a daemon without links suspected: nobody could
// refute.
func (c *Core) clearSuspicions() {
	for id := range c.suspects {
		c.table.entries[id].suspected = false
	}
	clear(c.suspects)
}

// forgetShare is the share of ForgetAfter between two looks for old tombstones.
const forgetShare = 16

func (c *Core) forgetOld(now time.Time) {
	if now.Before(c.forgetNext) {
		return
	}
	c.forgetNext = now.Add(c.cfg.ForgetAfter / forgetShare)
	for id, e := range c.table.entries {
		if e.state != alive && now.Sub(e.since) > c.cfg.ForgetAfter {
			c.table.forget(id)
		}
	}
}

// cutOffShare is the share of all records, 1 in so many, above which a daemon
// that dropped them takes itself for the one that was cut off.
const cutOffShare = 3

// sawAlive takes note of a newer stamp of the same incarnation as a tombstone:
// that daemon was alive all along.
func (c *Core) sawAlive(now time.Time, s Stamp) {
	e := c.table.entries[s.ID]
	if e != nil && e.state == gone && s.newer(e.stamp) && s.Incarnation == e.stamp.Incarnation {
		c.forgive(now)
	}
}

// heard takes note of a neighbour that speaks although its record was dropped.
// A new process of it would have sent its own record first.
func (c *Core) heard(now time.Time, from string) {
	if e := c.table.entries[IDOf(from)]; e != nil && e.state == gone {
		c.forgive(now)
	}
}

// forgive makes all tombstones dormant when so many were dropped that this
// daemon's side was the one cut off; the neighbours' word then counts.
func (c *Core) forgive(now time.Time) {
	if !c.cutOff() {
		return
	}
	for id, e := range c.table.entries {
		if e.state != gone {
			continue
		}
		c.table.drop(now, id, dormant)
	}
	c.pull = pull{}
}

func (c *Core) cutOff() bool {
	return c.table.dropped*cutOffShare > c.table.dropped+len(c.table.alive)
}

// dropTime is how long the news of a death may take to reach everyone.
const dropTime = 10 * time.Second

// contradict takes note of a neighbour that counts a record dropped here long
// ago.
func (c *Core) contradict(now time.Time, e *entry) {
	if e != nil && e.state == gone && now.Sub(e.since) > dropTime {
		c.forgive(now)
	}
}

// takeover is the record of this daemon's attempts to go above records of its
// own name that it did not write.
type takeover struct {
	count int
	last  time.Time
}

const (
	// takeoverWindow is how long attempts are counted together.
	takeoverWindow = time.Minute
	// takeoverFree attempts are made at once: an earlier process of this daemon
	// may have left several records. More mean that another process is alive
	// under the same name.
	takeoverFree = 3
	// takeoverPause is the time between further attempts.
	takeoverPause = 10 * time.Second
)

// sawSelf handles a record of this daemon's name that it did not write: an
// earlier process with a higher clock, or another process with the same name.
func (c *Core) sawSelf(now time.Time, s Stamp, node *view.Node) []Action {
	if !s.newer(c.self.stamp()) {
		return nil
	}
	t := &c.takeover
	if now.Sub(t.last) > takeoverWindow {
		t.count = 0
	}
	if t.count >= takeoverFree && now.Sub(t.last) < takeoverPause {
		return nil
	}
	t.count++
	t.last = now
	var actions []Action
	if t.count > takeoverFree {
		actions = append(actions, Action{Conflict: c.twin(node)})
	}
	c.self.Incarnation = s.Incarnation + 1
	c.self.Seq = 0
	return append(actions, c.renew()...)
}

func (c *Core) twin(node *view.Node) *view.Node {
	if node != nil {
		return node
	}
	return &view.Node{Name: c.cfg.Self.Name}
}
