package replica

import "slices"

// Limits of one append message. It always carries at least one entry if there is one
// to send.
const (
	maxAppendEntries = 256
	maxAppendBytes   = 1 << 20
)

// snapshotResendHeartbeats is the number of heartbeats that a leader waits for a reply
// before it resends a snapshot.
const snapshotResendHeartbeats = 10

// progress is the state that a leader keeps for one peer.
type progress struct {
	// match is the highest index known to be durable on the peer; match < next.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// disk is the disk that match refers to.
	disk uint64
	// learner is set if the peer receives the log without counting toward a majority.
	learner bool
	// voteScope says in which voter lists the acknowledgements of the peer count while
	// a list with new members is pending.
	voteScope voteScope
	// newcomer is set if the peer is not in a voter list yet.
	newcomer bool
	// catchUpTarget is the last index of the leader when the learner appeared.
	catchUpTarget uint64
	// admitIndex is the index of the voter list that admits the learner, or 0.
	admitIndex uint64
	// recentActive is set if the peer replied since the last quorum check.
	recentActive bool
	// probing is set if the leader sends one append at a time and waits for the reply.
	probing bool
	// sentCommit is the commit index last sent.
	sentCommit uint64
	// silentTicks counts the ticks since the last reply.
	silentTicks int
	// snapshotWait is the number of heartbeats left until a snapshot may be sent
	// again.
	snapshotWait int
}

// quorumActive reports whether a majority replied since the last check, and starts a
// new check interval. Peers that did not reply switch to probing.
func (c *Core) quorumActive() bool {
	active := 1
	for _, p := range c.progress {
		if p.recentActive && (!p.learner || p.voteScope.committed) {
			active++
		}
		p.probing = p.probing || !p.recentActive
		p.recentActive = false
	}
	return active >= c.majority()
}

// flush sends pending entries and commit indices to the peers.
func (c *Core) flush() {
	if c.role != Leader {
		return
	}
	for _, id := range c.peers {
		p := c.progress[id]
		for !p.probing && p.next <= c.log.last() {
			c.sendAppend(id, p)
		}
		if !p.probing && p.sentCommit < c.log.commit {
			c.sendAppend(id, p)
		}
	}
}

func (c *Core) heartbeat() {
	for _, id := range c.peers {
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
	p.sentCommit = c.log.commit
	if !p.probing {
		p.next += uint64(len(entries))
	}
}

// sendSnapshot sends the snapshot. While it waits for the reply it sends empty
// appends, which keep the peer from campaigning.
func (c *Core) sendSnapshot(to string, p *progress) {
	snap := c.log.snapshot
	p.probing = true
	if p.snapshotWait > 0 {
		c.send(Message{Type: MsgAppend, To: to, Term: c.term, Index: snap.Index, LogTerm: snap.Term, Commit: c.log.commit})
		return
	}
	p.snapshotWait = snapshotResendHeartbeats
	c.send(Message{Type: MsgSnapshot, To: to, Term: c.term, Snapshot: &snap})
}

func (c *Core) stepAppend(m Message) {
	c.setRepairTarget(m.Commit)
	if m.Index < c.log.snapshot.Index {
		c.send(Message{Type: MsgAppendReply, To: m.From, Term: c.term, Index: c.log.commit})
		return
	}
	term, held := c.log.term(m.Index)
	if !held || term != m.LogTerm {
		c.send(Message{Type: MsgAppendReply, To: m.From, Term: c.term, Reject: true, Index: m.Index, Hint: c.hint(m.Index)})
		return
	}
	c.log.truncateAndAppend(m.Entries)
	c.emitted = min(c.emitted, c.log.stable)
	match := m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, match))
	c.send(Message{Type: MsgAppendReply, To: m.From, Term: c.term, Index: match})
}

// hint returns the index from which the leader should continue: the last index if
// there is a gap, or the commit index if entries conflict, since all logs are
// identical up to there.
func (c *Core) hint(refused uint64) uint64 {
	if refused > c.log.last() {
		return c.log.last()
	}
	return c.log.commit
}

func (c *Core) setRepairTarget(commit uint64) {
	if !c.membership.Voting && c.repairTarget == 0 {
		c.repairTarget = commit
	}
}

func (c *Core) stepSnapshot(m Message) {
	c.setRepairTarget(m.Snapshot.Index)
	switch term, held := c.log.term(m.Snapshot.Index); {
	case m.Snapshot.Index <= c.log.commit:
	case held && term == m.Snapshot.Term:
		// The snapshot arrived late. The entries after it may have been acknowledged,
		// and committed because of that, so they must be kept.
		c.commitTo(m.Snapshot.Index)
	default:
		c.log.restore(*m.Snapshot)
		c.emitted = c.log.stable
		c.newSnapshot = m.Snapshot
		c.setVoters(m.Snapshot.Voters, m.Snapshot.Index)
	}
	c.send(Message{Type: MsgAppendReply, To: m.From, Term: c.term, Index: c.log.commit})
}

func (c *Core) stepAppendReply(m Message) {
	p := c.progress[m.From]
	c.updateDisk(p, m)
	p.recentActive = true
	p.silentTicks = 0
	if m.Reject {
		c.handleReject(m, p)
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

// updateDisk records which disk an acknowledgement applies to. A peer whose disk is
// not in the voter list is a learner even if it considers itself a voter: two members
// may have seen different disks of a third one that lost its disk during the first
// start.
func (c *Core) updateDisk(p *progress, m Message) {
	votes := c.fromVoter(m)
	if p.disk != m.Disk {
		*p = progress{disk: m.Disk, next: c.log.last() + 1, probing: true, recentActive: p.recentActive, newcomer: p.newcomer}
	}
	if !votes && !p.learner {
		p.catchUpTarget = c.log.last()
	}
	p.learner = !votes
	p.voteScope = c.voteScopeOf(m)
}

// handleReject moves next back to where the logs may match. Rejections of anything but
// the latest append are stale. A peer that rejects entries it had acknowledged has
// lost the end of its log: it is sent those entries again and counts only with what it
// still has.
func (c *Core) handleReject(m Message, p *progress) {
	if m.Index < p.match || p.probing && m.Index != p.next-1 {
		return
	}
	p.match = min(p.match, m.Hint)
	p.next = max(p.match, min(m.Hint, m.Index-1)) + 1
	p.probing = true
	c.sendAppend(m.From, p)
}

// advanceCommit commits the entries that are durable on a majority, if the last of
// them is of the current term. A new voter counts also before it knows that it is one: it may
// learn that only from the commit for which it is needed.
func (c *Core) advanceCommit() {
	index := c.majorityMatch(c.majority(), func(p *progress) bool { return p.voteScope.committed })
	if joint := c.jointVoters(); joint != nil {
		index = min(index, c.majorityMatch(majorityOf(joint), func(p *progress) bool { return p.voteScope.pending }))
	}
	term, held := c.log.term(index)
	if index > c.log.commit && held && term == c.term {
		c.commitTo(index)
	}
}

// majorityMatch returns the highest index that is durable on the given number of
// members, among this member and the peers that count, or 0 if there are too few of
// them.
func (c *Core) majorityMatch(members int, counts func(*progress) bool) uint64 {
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
