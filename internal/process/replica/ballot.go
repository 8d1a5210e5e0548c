package replica

// ballot is one vote for this member, by the lists in which it counts.
type ballot struct{ committed, pending bool }

// ballotOf says where a vote counts. That of a newcomer counts in the lists that
// name its disk although it does not know yet that it votes: its disk lost
// nothing, and those who know that the list is committed may be too few without
// it.
func (c *Core) ballotOf(m Message) ballot {
	pending := c.replacing()
	if pending == nil {
		return ballot{committed: (m.Voting || m.Newcomer) && m.Disk == c.diskOf(m.From)}
	}
	newcomer := m.Newcomer || diskIn(c.membership.Voters, m.From) == 0
	return ballot{
		committed: (m.Voting || m.Newcomer) && m.Disk == diskIn(c.membership.Voters, m.From),
		pending:   (m.Voting || newcomer) && m.Disk == diskIn(pending, m.From),
	}
}

// elected reports whether the votes are enough: a majority, and while a member is
// being replaced one of both lists (Ongaro and Ousterhout, section 6), for
// nobody knows yet which of the two has decided something.
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
	replacing := c.replacing()
	return committed >= c.majority() && (replacing == nil || pending >= majorityOf(replacing))
}

// mayVote reports whether this member answers candidates: a voter, or a newcomer,
// whose disk never lost anything that it acknowledged.
func (c *Core) mayVote() bool {
	return c.membership.Voting || c.membership.Newcomer && c.cfg.ReplaceTicks > 0
}
