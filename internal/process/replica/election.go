package replica

func (c *Core) becomeFollower(term uint64, lead string) {
	c.awaitingFirstLeader = c.awaitingFirstLeader && lead == ""
	if term > c.term {
		c.term = term
		c.vote = ""
	}
	c.role = Follower
	c.lead = lead
	c.progress = nil
	c.resetElection()
}

func (c *Core) resetElection() {
	c.electionElapsed = 0
	ticks, jitter := c.cfg.ElectionTicks, c.cfg.ElectionTicks
	if c.awaitingFirstLeader {
		// Members that start together would campaign together if they drew from a
		// range of only a few ticks.
		ticks, jitter = c.cfg.FirstElectionTicks, firstTimeoutSpread*c.cfg.FirstElectionTicks
	}
	c.electionTimeout = ticks + c.rand.IntN(jitter)
}

// firstTimeoutSpread is the width of the range of the first election timeout, as a
// multiple of FirstElectionTicks.
const firstTimeoutSpread = 3

// campaign requests pre-votes, which change no state on any member, or votes.
func (c *Core) campaign(role Role) {
	c.role = role
	c.lead = ""
	c.votes = map[string]voteScope{c.cfg.ID: c.voteScopeOf(Message{From: c.cfg.ID, Disk: c.membership.Disk, Voting: true})}
	c.resetElection()
	kind := MsgPreVote
	term := c.term + 1
	if role == Candidate {
		c.term = term
		c.vote = c.cfg.ID
		kind = MsgVote
	}
	if c.elected() {
		c.winElection()
		return
	}
	for _, id := range c.peers {
		c.send(Message{Type: kind, To: id, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm()})
	}
}

func (c *Core) winElection() {
	if c.role == PreCandidate {
		c.campaign(Candidate)
		return
	}
	c.role = Leader
	c.lead = c.cfg.ID
	c.awaitingFirstLeader = false
	c.electionElapsed = 0
	c.heartbeatElapsed = 0
	c.progress = map[string]*progress{}
	c.updatePeers()
	// Entries of earlier terms can only be committed together with an entry of the
	// leader's own term.
	c.append(Entry{})
	c.heartbeat()
}

// hasLeaderLease reports whether a leader was heard from recently. It keeps a member
// that returns from a network partition from deposing the leader.
func (c *Core) hasLeaderLease() bool {
	return c.lead != "" && (c.role == Leader || c.electionElapsed < c.cfg.ElectionTicks)
}

func (c *Core) stepPreVote(m Message) {
	if !c.canGrantVote() {
		return
	}
	grant := m.Term > c.term && !c.hasLeaderLease() && c.log.upToDate(m.Index, m.LogTerm)
	term := m.Term
	if !grant {
		term = c.term
	}
	c.send(Message{Type: MsgPreVoteReply, To: m.From, Term: term, Reject: !grant})
}

func (c *Core) stepPreVoteReply(m Message) {
	if m.Reject && m.Term > c.term {
		c.becomeFollower(m.Term, "")
		return
	}
	if c.role == PreCandidate && m.Term == c.term+1 {
		c.countVote(m)
	}
}

func (c *Core) stepVote(m Message) {
	free := c.vote == "" || c.vote == m.From
	grant := free && c.log.upToDate(m.Index, m.LogTerm)
	if grant {
		c.vote = m.From
		c.resetElection()
	}
	c.send(Message{Type: MsgVoteReply, To: m.From, Term: c.term, Reject: !grant})
}

func (c *Core) countVote(m Message) {
	if m.Reject {
		return
	}
	c.votes[m.From] = c.voteScopeOf(m)
	if c.elected() {
		c.winElection()
	}
}
