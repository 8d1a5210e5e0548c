package replica

import (
	"cmp"
	"slices"
)

// A member is known by its name and by the disk that holds its vote: a random
// number that its data folder got when it was created.
//
//   - A fresh folder asks all other members. When each of them is fresh too or
//     knows the member under this very disk, it is a first start, and the member
//     votes: all members must be up once, at the first start.
//   - When one of them knows the member under another disk, the old disk is
//     lost. The member is a learner: it takes in the log but neither votes nor
//     counts, because the old disk may have acknowledged entries that are
//     missing here.
//   - The leader notes its last index when a learner turns up, which is at
//     least what was committed then. Once the learner holds all up to there the
//     leader appends the list of voters with the new disk in it. The learner
//     votes as soon as it knows that entry to be committed: it then holds all
//     that was committed before it.
//
// A vote or an acknowledgement counts only if its sender holds that it votes,
// and if its disk is the one in the newest list of voters in the log.

// abstained is the vote of a member admitted in a term without a known leader.
const abstained = "(abstained)"

// Membership returns what this member knows of who may vote.
func (c *Core) Membership() Membership { return c.membership }

// Repair tells how far a member without a vote is.
type Repair struct {
	// State is one of the Repair constants.
	State string `json:"state"`
	// Have is the last index held, Need the index that was committed when the
	// member asked; it gets its vote somewhat above Need.
	Have uint64 `json:"have"`
	Need uint64 `json:"need"`
}

// The states of a repair.
const (
	// RepairNone means that the member had its vote from the start.
	RepairNone = "none"
	// RepairAsking means a fresh folder: the member waits for all others.
	RepairAsking = "asking"
	// RepairLearning means that the member takes in the log without a vote.
	RepairLearning = "learning"
	// RepairDone means that the member got its vote since the process started.
	RepairDone = "done"
)

// Repair returns the state of the repair.
func (c *Core) Repair() Repair {
	r := Repair{State: RepairNone, Have: c.log.last(), Need: c.repairTarget}
	switch {
	case c.membership.Voting && c.admitted:
		r.State = RepairDone
	case c.membership.Voting:
	case c.membership.Learning:
		r.State = RepairLearning
	default:
		r.State = RepairAsking
	}
	return r
}

// bootstrap gives a member that has no others its vote at once.
func (c *Core) bootstrap() {
	may := !c.cfg.Joins || c.membership.Founding || c.vouched
	if may && !c.membership.Voting && !c.membership.Learning && len(c.seen) == len(c.others) {
		c.membership.Voters = c.firstVoters()
		c.membership.Voting = true
		c.membershipChanged = true
		if c.cfg.ReplaceTicks > 0 {
			// The configured members may be others at the next start.
			c.membership.Group = c.group
		}
		c.refreshOthers()
	}
}

// beginMembership readies what a member knows of its group at the start. That a
// fresh one may found the group lasts: it may be restarted meanwhile.
func (c *Core) beginMembership() {
	fresh := !c.membership.Voting && !c.membership.Learning
	if fresh && !c.cfg.Joins && c.cfg.ReplaceTicks > 0 && !c.membership.Founding {
		c.membership.Founding, c.membershipChanged = true, true
	}
	switch {
	case c.membership.Group != 0:
		c.group = c.membership.Group
	case fresh && c.cfg.Joins && !c.membership.Founding:
		c.group = 0
	}
}

func (c *Core) firstVoters() []Voter {
	voters := []Voter{{Member: c.cfg.ID, Disk: c.membership.Disk}}
	for id, disk := range c.seen {
		voters = append(voters, Voter{Member: id, Disk: disk})
	}
	slices.SortFunc(voters, func(a, b Voter) int { return cmp.Compare(a.Member, b.Member) })
	return voters
}

// tickLearner asks the others while the folder is fresh.
func (c *Core) tickLearner() {
	if c.electionElapsed >= c.electionTimeout {
		c.lead = ""
	}
	waits := c.membership.Learning && (c.cfg.ReplaceTicks == 0 || c.lead != "")
	if waits || c.heartbeatElapsed < c.cfg.HeartbeatTicks {
		return
	}
	c.heartbeatElapsed = 0
	for _, id := range c.others {
		c.send(Message{Type: MsgProbe, To: id})
	}
}

// stepProbe answers with the asker's disk in Hint, so that an answer to an
// earlier disk of the same member is told apart.
func (c *Core) stepProbe(m Message) {
	c.send(Message{
		Type: MsgProbeReply, To: m.From, Hint: m.Disk,
		Fresh: !c.membership.Voting, Known: c.diskOf(m.From), Commit: c.log.commit, Lead: c.lead,
		Placed: diskIn(c.membership.Voters, m.From) == m.Disk,
	})
	if c.membership.Voting && !m.Voting && c.diskOf(m.From) == 0 {
		c.welcome(m.From, m.Disk)
	}
}

// follow has a member without a vote ask another one, too, what it knows.
func (c *Core) follow(id string) {
	if !slices.Contains(c.others, id) {
		c.guide = id
		c.refreshOthers()
	}
}

func (c *Core) stepProbeReply(m Message) {
	if m.Hint != c.membership.Disk {
		return
	}
	if !c.membership.Voting && m.Lead != "" {
		c.follow(m.Lead)
	}
	if c.membership.Voting {
		c.losePlace(m)
		return
	}
	if c.membership.Learning {
		return
	}
	if c.group == 0 {
		c.group, c.membership.Group = m.Group, m.Group
	}
	if m.Newcomer {
		// One without a place founds no group, and its list may be too old to tell
		// whether another disk of this member has voted.
		return
	}
	if !m.Fresh && m.Known != c.membership.Disk {
		c.membership.Learning = true
		c.membership.Newcomer = m.Known == 0
		c.membershipChanged = true
		return
	}
	c.vouched = c.vouched || !m.Fresh
	c.seen[m.From] = m.Disk
	c.bootstrap()
}

// diskOf returns the disk of a member in the newest list of voters in the log,
// committed or not; 0 is unknown.
func (c *Core) diskOf(id string) uint64 {
	if pending := c.log.pendingVoters(); pending != nil {
		return diskIn(pending, id)
	}
	return diskIn(c.membership.Voters, id)
}

// diskIn returns the disk of a member in a list of voters; 0 without.
func diskIn(voters []Voter, id string) uint64 {
	for _, v := range voters {
		if v.Member == id {
			return v.Disk
		}
	}
	return 0
}

// counts reports whether a message comes from a disk that votes.
func (c *Core) counts(m Message) bool {
	return m.Voting && m.Disk == c.diskOf(m.From)
}

// commitTo raises the commit index and takes up lists of voters on the way.
func (c *Core) commitTo(index uint64) {
	if index <= c.log.commit {
		return
	}
	entries := c.log.from(c.log.commit+1, int(index-c.log.commit))
	c.log.commit = index
	for _, e := range entries {
		if e.Voters != nil && e.Index > c.membership.VotersAt {
			c.setVoters(e.Voters, e.Index)
		}
	}
}

// setVoters takes up the committed list of the entry at an index. It gives a learner its vote, except in
// the current term, in which the lost disk may have voted; and takes the vote
// from a disk that was replaced by another one.
func (c *Core) setVoters(voters []Voter, at uint64) {
	c.membership.Voters, c.membership.VotersAt = slices.Clone(voters), at
	c.membershipChanged = true
	defer c.refreshOthers()
	own := slices.IndexFunc(voters, func(v Voter) bool { return v.Member == c.cfg.ID })
	if own < 0 {
		if c.membership.Voting {
			c.membership.loseVote()
		}
		return
	}
	votes := voters[own].Disk == c.membership.Disk
	if votes && !c.membership.Voting {
		c.admitted = true
		if c.vote == "" {
			c.vote = cmp.Or(c.lead, abstained)
		}
	}
	c.membership.Voting = votes
	c.membership.Learning = !votes
	c.membership.Newcomer = false
}

// admit appends the list of voters that has the learner's disk in it, once the
// learner holds what was committed when it turned up. One list at a time is
// under way, so that none overtakes another.
func (c *Core) admit(id string, p *progress) {
	ownTerm, _ := c.log.term(c.log.commit)
	if !p.learner || p.admitAt > 0 || p.match < p.askedAt || ownTerm != c.term || c.log.pendingVoters() != nil {
		return
	}
	leaves := id
	if diskIn(c.membership.Voters, id) == 0 {
		if leaves = c.silentVoter(); leaves == "" && len(c.membership.Voters) >= c.cfg.Voters {
			return
		}
	}
	voters := slices.DeleteFunc(slices.Clone(c.membership.Voters), func(v Voter) bool { return v.Member == leaves })
	voters = append(voters, Voter{Member: id, Disk: p.disk})
	slices.SortFunc(voters, func(a, b Voter) int { return cmp.Compare(a.Member, b.Member) })
	p.admitAt = c.append(Entry{Voters: voters})
	p.newcomer = false
	c.refreshOthers()
}
