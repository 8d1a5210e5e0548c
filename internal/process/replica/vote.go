package replica

// voteScope says in which voter lists a vote or an acknowledgement counts: the
// committed one, the pending one, or both.
type voteScope struct{ committed, pending bool }

// voteScopeOf returns the lists in which a vote sent with m counts. A newcomer's vote
// counts in the lists that contain its disk, even if the newcomer does not know yet
// that it may vote. This is safe because its disk has not lost anything, and necessary
// because the members that know the list to be committed may not form a majority
// without it.
func (c *Core) voteScopeOf(m Message) voteScope {
	pending := c.jointVoters()
	if pending == nil {
		return voteScope{committed: (m.Voting || m.Newcomer) && m.Disk == c.diskOf(m.From)}
	}
	newcomer := m.Newcomer || diskIn(c.membership.Voters, m.From) == 0
	return voteScope{
		committed: (m.Voting || m.Newcomer) && m.Disk == diskIn(c.membership.Voters, m.From),
		pending:   (m.Voting || newcomer) && m.Disk == diskIn(pending, m.From),
	}
}

// elected reports whether the votes received suffice: a majority of the committed list
// and, while a list with new members is pending, also a majority of that one (Ongaro
// and Ousterhout, section 6). Until the pending list is known to be committed, either
// list may already have made decisions.
func (c *Core) elected() bool {
	var committed, pending int
	for _, b := range c.votes {
		if b.committed {
			committed++
		}
		if b.pending {
			pending++
		}
	}
	joint := c.jointVoters()
	return committed >= c.majority() && (joint == nil || pending >= majorityOf(joint))
}

// canGrantVote reports whether this member replies to candidates. Voters do, and so do
// newcomers, whose disk has not lost anything that it acknowledged.
func (c *Core) canGrantVote() bool {
	return c.membership.Voting || c.membership.Newcomer && c.cfg.ReplaceTicks > 0
}
