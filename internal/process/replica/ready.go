package replica

import "slices"

// Ready returns the work that the driver must do next.
func (c *Core) Ready() Ready {
	c.flush()
	r := Ready{Snapshot: c.newSnapshot}
	hard := HardState{Term: c.term, Vote: c.vote, Commit: c.log.commit}
	r.Entries = c.log.entriesAfter(c.emitted)
	elected := hard.Term != c.lastHardState.Term || hard.Vote != c.lastHardState.Vote
	if elected || len(r.Entries) > 0 && hard != c.lastHardState {
		r.HardState = &hard
		c.lastHardState = hard
	}
	if c.membershipChanged {
		copied := c.membership
		copied.Voters = slices.Clone(copied.Voters)
		r.Membership = &copied
	}
	r.Early, r.Messages = c.splitMessages(elected || c.membershipChanged)
	r.Committed = c.log.unapplied()
	c.messages = nil
	c.newSnapshot = nil
	c.membershipChanged = false
	c.emitted = c.log.last()
	return r
}

// splitMessages separates the append messages of a leader whose term is durable. They
// may be sent while the leader is still writing to its own disk, because its own copy
// counts only after Advance.
func (c *Core) splitMessages(dirty bool) (early, late []Message) {
	if dirty || c.role != Leader {
		return nil, c.messages
	}
	for _, m := range c.messages {
		if m.Type == MsgAppend && m.Term == c.term {
			early = append(early, m)
			continue
		}
		late = append(late, m)
	}
	return early, late
}

// Advance reports that everything in r is durable and applied.
func (c *Core) Advance(r Ready) {
	if n := len(r.Entries); n > 0 {
		last := r.Entries[n-1]
		if term, held := c.log.term(last.Index); held && term == last.Term {
			c.log.stable = max(c.log.stable, last.Index)
		}
	}
	if n := len(r.Committed); n > 0 {
		c.log.applied = max(c.log.applied, r.Committed[n-1].Index)
	}
	if c.role == Leader {
		c.advanceCommit()
	}
}

// Compact replaces the log up to the last applied index with a snapshot that contains
// data, and returns the remaining state. The driver must persist that state before it
// continues.
func (c *Core) Compact(data []byte) Restored {
	term, held := c.log.term(c.log.applied)
	if held {
		c.log.compact(Snapshot{Index: c.log.applied, Term: term, Data: data, Voters: slices.Clone(c.membership.Voters)})
	}
	return Restored{
		HardState:  HardState{Term: c.term, Vote: c.vote, Commit: c.log.commit},
		Membership: c.membership,
		Snapshot:   c.log.snapshot,
		Entries:    c.log.entriesFrom(c.log.first(), int(c.log.stable-c.log.snapshot.Index)),
	}
}
