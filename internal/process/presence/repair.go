package presence

import (
	"slices"
	"time"
)

// pull is the catch-up of a daemon that knows little: it walks through the
// leaves of one neighbour's table at a time.
type pull struct {
	// done is set once a whole table was walked through.
	done bool
	from string
	next uint16
	at   time.Time
}

const (
	pullTimeout = 2 * time.Second
	// pageStamps bounds the stamps of one page, but for the last leaf in it.
	pageStamps = 128
	// partsPerRound bounds the differing parts that one message looks into.
	partsPerRound = 16
	// pullParts is the number of differing parts above which the whole table is
	// walked through instead: stamps then cost less than digests.
	pullParts = 48
)

// startPull begins to catch up if that is due and no other pull is under way.
func (c *Core) startPull(now time.Time) []Action {
	if c.pull.done || c.pull.from != "" || len(c.links) == 0 {
		return nil
	}
	c.pull.from = c.names[c.rand.IntN(len(c.names))]
	return c.pullPage(now)
}

func (c *Core) pullPage(now time.Time) []Action {
	c.pull.at = now
	return []Action{c.send(c.pull.from, Message{Type: MsgPull, From: c.pull.next})}
}

// retryPull asks another neighbour when one does not answer.
func (c *Core) retryPull(now time.Time) []Action {
	if c.pull.from != "" && now.Sub(c.pull.at) > pullTimeout {
		c.pull.from = ""
	}
	return c.startPull(now)
}

// receivePull answers with a page of stamps, with the tombstones unless this
// daemon may be the one that was cut off.
func (c *Core) receivePull(now time.Time, from string, first uint16) []Action {
	page := Message{Type: MsgStamps, From: first, To: first, Pull: true}
	for page.To < leaves && len(page.Stamps) < pageStamps {
		c.addLeaf(now, &page, page.To)
		page.To++
	}
	if c.cutOff() {
		page.Claims = nil
	}
	return []Action{c.send(from, page)}
}

func (c *Core) addLeaf(now time.Time, page *Message, leaf uint16) {
	for _, id := range c.table.members[leaf] {
		switch e := c.table.entries[id]; e.state {
		case alive:
			page.Stamps = append(page.Stamps, e.stamp)
		case gone:
			page.Claims = append(page.Claims, c.claim(now, e))
		}
	}
}

func (c *Core) sendDigest(to string) Action {
	root, _ := c.table.tree.digest(0, 0)
	return c.send(to, Message{Type: MsgDigest, Digest: []Digest{root}})
}

// receiveDigests looks into the parts that differ: it answers with the parts
// below, or with the stamps of a leaf. Where very much differs it pulls.
func (c *Core) receiveDigests(now time.Time, from string, digests []Digest) []Action {
	if !c.pull.done {
		return nil
	}
	differing := c.differing(digests)
	if len(differing) > pullParts {
		c.pull = pull{from: from}
		return c.pullPage(now)
	}
	var below []Digest
	var actions []Action
	for _, d := range differing[:min(len(differing), partsPerRound)] {
		if d.Level < levels {
			below = append(below, c.table.tree.children(d.Level, d.Index)...)
			continue
		}
		actions = append(actions, c.send(from, c.leafStamps(d.Index)))
	}
	if len(below) > 0 {
		actions = append(actions, c.send(from, Message{Type: MsgDigest, Digest: below}))
	}
	return actions
}

func (c *Core) differing(digests []Digest) []Digest {
	var differing []Digest
	for _, d := range digests {
		if own, ok := c.table.tree.digest(d.Level, d.Index); ok && own.Hash != d.Hash {
			differing = append(differing, d)
		}
	}
	return differing
}

func (c *Core) leafStamps(leaf uint16) Message {
	m := Message{Type: MsgStamps, From: leaf, To: leaf + 1}
	for _, id := range c.table.members[leaf] {
		if e := c.table.entries[id]; e.state == alive {
			m.Stamps = append(m.Stamps, e.stamp)
		}
	}
	return m
}

// receiveStamps compares a range of leaves: it takes a position on each stamp
// and offers what the other side lacks.
func (c *Core) receiveStamps(now time.Time, from string, m Message) []Action {
	if m.From > m.To || m.To > leaves {
		return nil
	}
	actions := c.receiveClaims(now, from, m.Claims)
	actions = append(actions, c.compare(now, from, m.Stamps)...)
	actions = append(actions, c.offer(from, m)...)
	return append(actions, c.pulled(now, from, m)...)
}

// compare asks for what is newer at a neighbour, revives what was dormant here,
// and claims what was dropped here.
func (c *Core) compare(now time.Time, from string, stamps []Stamp) []Action {
	var actions []Action
	var want []ID
	var claims []Claim
	for _, s := range stamps {
		e := c.table.entries[s.ID]
		c.contradict(now, e)
		switch {
		case s.ID == c.id:
			actions = append(actions, c.sawSelf(now, s, nil)...)
		case e == nil || s.newer(e.stamp) || (e.state == dormant && e.record == nil):
			want = append(want, s.ID)
		case e.state == dormant && s == e.stamp:
			actions = append(actions, c.revive(e, s)...)
		case e.state != alive:
			claims = append(claims, c.claim(now, e))
		}
	}
	if len(claims) > 0 {
		actions = append(actions, c.send(from, Message{Type: MsgSuspect, Claims: claims}))
	}
	if len(want) > 0 {
		actions = append(actions, c.send(from, Message{Type: MsgWant, Want: want}))
	}
	return actions
}

// offer names what the other side lacks in a range of leaves; it may have the
// content and ask for nothing.
func (c *Core) offer(to string, m Message) []Action {
	theirs := make(map[ID]Stamp, len(m.Stamps))
	for _, s := range m.Stamps {
		theirs[s.ID] = s
	}
	var stamps []Stamp
	for leaf := m.From; leaf < m.To; leaf++ {
		for _, id := range c.table.members[leaf] {
			e := c.table.entries[id]
			if e.state == alive && e.stamp.newer(theirs[id]) {
				stamps = append(stamps, e.stamp)
			}
		}
	}
	if len(stamps) == 0 {
		return nil
	}
	return []Action{c.send(to, Message{Type: MsgOffer, Stamps: stamps})}
}

// batchRecords bounds the records of one message.
const batchRecords = 64

func (c *Core) sendRecords(to string, records []Record, repair bool) []Action {
	var actions []Action
	for batch := range slices.Chunk(records, batchRecords) {
		actions = append(actions, c.send(to, Message{Type: MsgRecords, Repair: repair, Records: batch}))
	}
	return actions
}

// pulled goes on with the next page.
func (c *Core) pulled(now time.Time, from string, m Message) []Action {
	if !m.Pull || c.pull.from != from || m.From != c.pull.next {
		return nil
	}
	c.pull.next = m.To
	if m.To < leaves {
		return c.pullPage(now)
	}
	c.pull = pull{done: true}
	return nil
}

func (c *Core) receiveWant(from string, want []ID) []Action {
	var records []Record
	for _, id := range want {
		if e := c.table.entries[id]; e != nil && e.state == alive {
			records = append(records, e.current())
		}
	}
	return c.sendRecords(from, records, true)
}
