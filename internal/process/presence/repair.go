package presence

import (
	"slices"
	"time"
)

// pull is the state of catching up with a complete table: the leaves are requested
// page by page from one neighbour at a time.
type pull struct {
	// done is set once all leaves were received.
	done        bool
	from        string
	next        uint16
	requestedAt time.Time
}

const (
	pullTimeout = 2 * time.Second
	// maxPageStamps limits the stamps in one page; the last leaf in the page may
	// exceed it.
	maxPageStamps = 128
	// maxPartsPerMessage limits the differing parts that are compared further for one
	// message.
	maxPartsPerMessage = 16
	// pullThreshold is the number of differing parts above which the whole table is
	// pulled instead, because stamps are then cheaper than digests.
	pullThreshold = 48
)

// startPull starts a pull if one is needed and none is in progress.
func (c *Core) startPull(now time.Time) []Action {
	if c.pull.done || c.pull.from != "" || len(c.links) == 0 {
		return nil
	}
	c.pull.from = c.pullSource()
	return c.pullPage(now)
}

// pullSource returns a random neighbour, within the failure domain if there is one.
func (c *Core) pullSource() string {
	var near []string
	for _, name := range c.linkNames {
		if c.links[name] {
			near = append(near, name)
		}
	}
	if len(near) == 0 {
		near = c.linkNames
	}
	return near[c.rand.IntN(len(near))]
}

func (c *Core) pullPage(now time.Time) []Action {
	c.pull.requestedAt = now
	return []Action{c.send(c.pull.from, Message{Type: MsgPull, From: c.pull.next})}
}

// retryPull restarts a pull with a random neighbour after a timeout.
func (c *Core) retryPull(now time.Time) []Action {
	if c.pull.from != "" && now.Sub(c.pull.requestedAt) > pullTimeout {
		c.pull.from = ""
	}
	return c.startPull(now)
}

// receivePull replies with a page of stamps. Tombstones are included unless this
// daemon may have been cut off itself.
func (c *Core) receivePull(now time.Time, from string, first uint16) []Action {
	page := Message{Type: MsgStamps, From: first, To: first, Pull: true}
	for page.To < leaves && len(page.Stamps) < maxPageStamps {
		c.addLeaf(now, &page, page.To)
		page.To++
	}
	if c.likelyCutOff() {
		page.Claims = nil
	}
	return []Action{c.send(from, page)}
}

func (c *Core) addLeaf(now time.Time, page *Message, leaf uint16) {
	for _, id := range c.table.idsByLeaf[leaf] {
		switch e := c.table.entries[id]; e.state {
		case alive:
			page.Stamps = append(page.Stamps, e.stamp)
		case dropped:
			page.Claims = append(page.Claims, c.claimFor(now, e))
		}
	}
}

func (c *Core) sendDigest(to string) Action {
	root, _ := c.table.tree.digest(0, 0)
	return c.send(to, Message{Type: MsgDigest, Digest: []Digest{root}})
}

// receiveDigests compares the parts that differ: it replies with the digests one level
// below, or with the stamps of a leaf. If too many parts differ it starts a pull.
func (c *Core) receiveDigests(now time.Time, from string, digests []Digest) []Action {
	if !c.pull.done {
		return nil
	}
	differing := c.differing(digests)
	if len(differing) > pullThreshold {
		c.pull = pull{from: from}
		return c.pullPage(now)
	}
	var below []Digest
	var actions []Action
	for _, d := range differing[:min(len(differing), maxPartsPerMessage)] {
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
	for _, id := range c.table.idsByLeaf[leaf] {
		if e := c.table.entries[id]; e.state == alive {
			m.Stamps = append(m.Stamps, e.stamp)
		}
	}
	return m
}

// receiveStamps compares a range of leaves: it processes each stamp and offers what
// the sender lacks.
func (c *Core) receiveStamps(now time.Time, from string, m Message) []Action {
	if m.From > m.To || m.To > leaves {
		return nil
	}
	actions := c.receiveClaims(now, from, m.Claims)
	actions = append(actions, c.compareStamps(now, from, m.Stamps)...)
	actions = append(actions, c.offer(from, m)...)
	return append(actions, c.continuePull(now, from, m)...)
}

// compareStamps requests records that are newer on a neighbour, revives dormant ones,
// and sends claims for those that were dropped here.
func (c *Core) compareStamps(now time.Time, from string, stamps []Stamp) []Action {
	var actions []Action
	var want []ID
	var claims []Claim
	for _, s := range stamps {
		e := c.table.entries[s.ID]
		c.noteContradiction(now, e)
		switch {
		case s.ID == c.id:
			actions = append(actions, c.supersede(now, s, nil)...)
		case e == nil || s.newer(e.stamp) || (e.state == dormant && e.record == nil):
			want = append(want, s.ID)
		case e.state == dormant && s == e.stamp:
			actions = append(actions, c.revive(e, s)...)
		case e.state != alive:
			claims = append(claims, c.claimFor(now, e))
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

// offer sends the stamps that the other side lacks in a range of leaves. The receiver
// may have the content already and request nothing.
func (c *Core) offer(to string, m Message) []Action {
	theirs := make(map[ID]Stamp, len(m.Stamps))
	for _, s := range m.Stamps {
		theirs[s.ID] = s
	}
	var stamps []Stamp
	for leaf := m.From; leaf < m.To; leaf++ {
		for _, id := range c.table.idsByLeaf[leaf] {
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

// maxBatchRecords is the maximum number of records in one message.
const maxBatchRecords = 64

func (c *Core) sendRecords(to string, records []Record, repair bool) []Action {
	var actions []Action
	for batch := range slices.Chunk(records, maxBatchRecords) {
		actions = append(actions, c.send(to, Message{Type: MsgRecords, Repair: repair, Records: batch}))
	}
	return actions
}

// continuePull requests the next page.
func (c *Core) continuePull(now time.Time, from string, m Message) []Action {
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
			records = append(records, e.currentRecord())
		}
	}
	return c.sendRecords(from, records, true)
}
