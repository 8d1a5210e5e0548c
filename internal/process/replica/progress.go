package replica

import "slices"

// The bounds of one append message: it carries at least one entry.
const (
	maxEntries = 256
	maxBytes   = 1 << 20
)

// snapshotBeats is how many heartbeats a leader waits before it sends a
// snapshot again.
const snapshotBeats = 10

// progress is what a leader knows about one other member.
type progress struct {
	// match is the highest index known to be durable there; match < next.
	match uint64
	// next is the index to send next.
	next uint64
	// disk is the disk that match speaks of.
	disk uint64
	// learner members take in the log and do not count.
	learner bool
	// ballot says in which lists its acknowledgements count while a member is
	// being replaced.
	ballot ballot
	// newcomer members are in no list of voters yet.
	newcomer bool
	// askedAt is the leader's last index when the learner turned up.
	askedAt uint64
	// admitAt is the index of the list of voters that admits it, or 0.
	admitAt uint64
	// active is whether it answered since the last check of the quorum.
	active bool
	// probing sends one append and waits for its answer before the next.
	probing bool
	// told is the commit index last sent.
	told uint64
	// silent counts ticks since the last answer.
	silent int
	// snapshotWait counts heartbeats down after a snapshot was sent.
	snapshotWait int
}

// quorumActive tells whether a majority answered since the last check, and
// begins the next check. Silent members are only probed from then on.
func (c *Core) quorumActive() bool {
	active := 1
	for _, p := range c.progress {
		if p.active && (!p.learner || p.ballot.committed) {
			active++
		}
		p.probing = p.probing || !p.active
		p.active = false
	}
	return active >= c.majority()
}

// flush sends entries and commit indices that others were not sent yet.
func (c *Core) flush() {
	if c.role != Leader {
		return
	}
	for _, id := range c.others {
		p := c.progress[id]
		for !p.probing && p.next <= c.log.last() {
			c.sendAppend(id, p)
		}
		if !p.probing && p.told < c.log.commit {
			c.sendAppend(id, p)
		}
	}
}

func (c *Core) heartbeat() {
	for _, id := range c.others {
		p := c.progress[id]
		p.snapshotWait = max(0, p.snapshotWait-1)
		c.sendAppend(id, p)
	}
}

func (c *Core) sendAppend(to string, p *progress) {
	prev := p.next - 1
	prevTerm, held := c.log.term(prev)
	if !held {
		c.sendSnapshot(to, p)
		return
	}
	entries := c.log.batch(p.next)
	c.send(Message{
		Type: MsgAppend, To: to, Term: c.term, Index: prev, LogTerm: prevTerm,
		Commit: c.log.commit, Entries: entries,
	})
	p.told = c.log.commit
	if !p.probing {
		p.next += uint64(len(entries))
	}
}

// sendSnapshot sends the snapshot, and while its answer is out empty appends
// that keep the member from campaigning.
func (c *Core) sendSnapshot(to string, p *progress) {
	snap := c.log.snapshot
	p.probing = true
	if p.snapshotWait > 0 {
		c.send(Message{Type: MsgAppend, To: to, Term: c.term, Index: snap.Index, LogTerm: snap.Term, Commit: c.log.commit})
		return
	}
	p.snapshotWait = snapshotBeats
	c.send(Message{Type: MsgSnapshot, To: to, Term: c.term, Snapshot: &snap})
}

func (c *Core) stepAppend(m Message) {
	c.noteRepair(m.Commit)
	if m.Index < c.log.snapshot.Index {
		c.send(Message{Type: MsgAppendReply, To: m.From, Term: c.term, Index: c.log.commit})
		return
	}
	term, held := c.log.term(m.Index)
	if !held || term != m.LogTerm {
		c.send(Message{Type: MsgAppendReply, To: m.From, Term: c.term, Reject: true, Index: m.Index, Hint: c.hint(m.Index)})
		return
	}
	c.log.merge(m.Entries)
	c.handed = min(c.handed, c.log.stable)
	match := m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, match))
	c.send(Message{Type: MsgAppendReply, To: m.From, Term: c.term, Index: match})
}

// hint is where the leader should go on: behind a gap the own last index, in a
// conflict the commit index, up to which all logs are the same.
func (c *Core) hint(refused uint64) uint64 {
	if refused > c.log.last() {
		return c.log.last()
	}
	return c.log.commit
}

func (c *Core) noteRepair(commit uint64) {
	if !c.membership.Voting && c.repairTarget == 0 {
		c.repairTarget = commit
	}
}

func (c *Core) stepSnapshot(m Message) {
	c.noteRepair(m.Snapshot.Index)
	switch term, held := c.log.term(m.Snapshot.Index); {
	case m.Snapshot.Index <= c.log.commit:
	case held && term == m.Snapshot.Term:
		// The snapshot comes late. What the log holds behind it may have been
		// acknowledged, and committed by that: it must be kept.
		c.commitTo(m.Snapshot.Index)
	default:
		c.log.restore(*m.Snapshot)
		c.handed = c.log.stable
		c.newSnapshot = m.Snapshot
		c.setVoters(m.Snapshot.Voters, m.Snapshot.Index)
	}
	c.send(Message{Type: MsgAppendReply, To: m.From, Term: c.term, Index: c.log.commit})
}

func (c *Core) stepAppendReply(m Message) {
	p := c.progress[m.From]
	c.identify(p, m)
	p.active = true
	p.silent = 0
	if m.Reject {
		c.backOff(m, p)
		return
	}
	if m.Index >= p.next {
		p.next = m.Index + 1
	}
	if m.Index >= c.log.snapshot.Index && m.Index+1 >= p.next {
		p.probing = false
		p.snapshotWait = 0
	}
	if m.Index > p.match {
		p.match = m.Index
		c.advanceCommit()
	}
	c.admit(m.From, p)
}

// identify notes which disk an answer speaks for. One that is not in the list of
// voters is a learner's, also if it holds that it votes: two members may have
// seen different disks of a third that was lost during the first start.
func (c *Core) identify(p *progress, m Message) {
	votes := c.counts(m)
	if p.disk != m.Disk {
		*p = progress{disk: m.Disk, next: c.log.last() + 1, probing: true, active: p.active, newcomer: p.newcomer}
	}
	if !votes && !p.learner {
		p.askedAt = c.log.last()
	}
	p.learner = !votes
	p.ballot = c.ballotOf(m)
}

// backOff goes back to where the logs may match. Refusals of anything but the
// newest append are stale. A member that refuses what it had acknowledged lost
// the end of its log: it is sent that again, and counts with what it has.
func (c *Core) backOff(m Message, p *progress) {
	if m.Index < p.match || p.probing && m.Index != p.next-1 {
		return
	}
	p.match = min(p.match, m.Hint)
	p.next = max(p.match, min(m.Hint, m.Index-1)) + 1
	p.probing = true
	c.sendAppend(m.From, p)
}

// advanceCommit commits what a majority holds durably, if it is of this term.
func (c *Core) advanceCommit() {
	var index uint64
	if replacing := c.replacing(); replacing == nil {
		index = c.heldBy(c.majority(), func(p *progress) bool { return !p.learner })
	} else {
		index = min(c.heldBy(c.majority(), func(p *progress) bool { return p.ballot.committed }),
			c.heldBy(majorityOf(replacing), func(p *progress) bool { return p.ballot.pending }))
	}
	term, held := c.log.term(index)
	if index > c.log.commit && held && term == c.term {
		c.commitTo(index)
	}
}

// heldBy returns the highest index that so many members hold durably, of this one
// and those that count.
func (c *Core) heldBy(members int, counts func(*progress) bool) uint64 {
	matches := []uint64{c.log.stable}
	for _, p := range c.progress {
		if counts(p) {
			matches = append(matches, p.match)
		}
	}
	if len(matches) < members {
		return 0
	}
	slices.Sort(matches)
	return matches[len(matches)-members]
}
