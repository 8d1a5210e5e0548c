package replica

import "slices"

// Ready returns what the driver must do next.
func (c *Core) Ready() Ready {
	c.flush()
	r := Ready{Snapshot: c.newSnapshot}
	hard := HardState{Term: c.term, Vote: c.vote, Commit: c.log.commit}
	r.Entries = c.log.after(c.handed)
	elected := hard.Term != c.saved.Term || hard.Vote != c.saved.Vote
	if elected || len(r.Entries) > 0 && hard != c.saved {
		r.HardState = &hard
		c.saved = hard
	}
	if c.membershipChanged {
		copied := c.membership
		copied.Voters = slices.Clone(copied.Voters)
		r.Membership = &copied
	}
	r.Early, r.Messages = c.splitMessages(elected || c.membershipChanged)
	r.Committed = c.log.committed()
	c.messages = nil
	c.newSnapshot = nil
	c.membershipChanged = false
	c.handed = c.log.last()
	return r
}

// splitMessages parts the appends of a leader whose term is durable: they may
// leave while the leader itself still writes, since its own copy is counted
// only after Advance.
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

// Advance tells that everything in r is durable and applied.
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

// Compact drops the log up to the last applied index, which data stands for,
// and returns what is left: the driver makes that durable before it goes on.
func (c *Core) Compact(data []byte) Restored {
	term, held := c.log.term(c.log.applied)
	if held {
		c.log.compact(Snapshot{Index: c.log.applied, Term: term, Data: data, Voters: slices.Clone(c.membership.Voters)})
	}
	return Restored{
		HardState:  HardState{Term: c.term, Vote: c.vote, Commit: c.log.commit},
		Membership: c.membership,
		Snapshot:   c.log.snapshot,
		Entries:    c.log.from(c.log.first(), int(c.log.stable-c.log.snapshot.Index)),
	}
}
