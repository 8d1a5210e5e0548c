package replica

func (c *Core) becomeFollower(term uint64, lead string) {
	c.starting = c.starting && lead == ""
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
	ticks, spread := c.cfg.ElectionTicks, c.cfg.ElectionTicks
	if c.starting {
		// Members that start together campaign together, unless their few ticks differ.
		ticks, spread = c.cfg.FirstTicks, startSpread*c.cfg.FirstTicks
	}
	c.electionTimeout = ticks + c.rand.IntN(spread)
}

// startSpread is the range of the first election timeout in multiples of the least.
const startSpread = 3

// campaign asks for pre-votes, which change no state anywhere, or for votes.
func (c *Core) campaign(role Role) {
	c.role = role
	c.lead = ""
	c.votes = map[string]ballot{c.cfg.ID: c.ballotOf(Message{From: c.cfg.ID, Disk: c.membership.Disk, Voting: true})}
	c.resetElection()
	kind := MsgPreVote
	term := c.term + 1
	if role == Candidate {
		c.term = term
		c.vote = c.cfg.ID
		kind = MsgVote
	}
	if c.elected() {
		c.won()
		return
	}
	for _, id := range c.others {
		c.send(Message{Type: kind, To: id, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm()})
	}
}

func (c *Core) won() {
	if c.role == PreCandidate {
		c.campaign(Candidate)
		return
	}
	c.role = Leader
	c.lead = c.cfg.ID
	c.starting = false
	c.electionElapsed = 0
	c.heartbeatElapsed = 0
	c.progress = map[string]*progress{}
	c.refreshOthers()
	// An entry of the own term lets everything before it be committed.
	c.append(Entry{})
	c.heartbeat()
}

// leaseHeld tells that a leader was heard from lately, so that a member coming
// back from the far side of a partition deposes nobody.
func (c *Core) leaseHeld() bool {
	return c.lead != "" && (c.role == Leader || c.electionElapsed < c.cfg.ElectionTicks)
}

func (c *Core) stepPreVote(m Message) {
	if !c.mayVote() {
		return
	}
	grant := m.Term > c.term && !c.leaseHeld() && c.log.upToDate(m.Index, m.LogTerm)
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
	c.votes[m.From] = c.ballotOf(m)
	if c.elected() {
		c.won()
	}
}
