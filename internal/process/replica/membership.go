package replica

import (
	"cmp"
	"slices"
)

// A member is identified by its name and by the disk that stores its vote. The disk ID
// is a random number assigned to the data directory when it is created.
//
//   - A member with a new data directory probes all other members. If each of
//     them is new too, or knows the member under this disk, this is the first
//     start and the member gets its vote. All members must therefore be up once,
//     at the first start.
//   - If one of them knows the member under another disk, that disk is lost. The
//     member becomes a learner: it receives the log, but neither votes nor counts
//     toward a majority, because the lost disk may have acknowledged entries that
//     are missing on the new one.
//   - When a learner appears, the leader records its own last index, which is at
//     least what was committed at that time. Once the learner has the log up to
//     that index, the leader appends a voter list with the new disk. The learner
//     votes as soon as it knows that this entry is committed, because it then has
//     everything that was committed before.
//
// A vote or an acknowledgement counts only if its sender considers itself a voter and
// its disk is in the newest voter list in the log.

// abstained is stored as the vote of a member that is admitted in a term whose leader
// it does not know.
const abstained = "(abstained)"

// Membership returns what this member knows about the voters of its group.
func (c *Core) Membership() Membership { return c.membership }

// Repair reports the progress of a member that is getting a vote for its disk.
type Repair struct {
	// State is one of the Repair constants.
	State string `json:"state"`
	// Have is the last index in the log of the member. Need is the index that was
	// committed when the member started to receive the log; the member gets its vote
	// at a slightly higher index.
	Have uint64 `json:"have"`
	Need uint64 `json:"need"`
}

// The values of Repair.State.
const (
	// RepairNone means that the member had a vote when the process started.
	RepairNone = "none"
	// RepairAsking means that the data directory is new and the member waits for all
	// other members to answer its probes.
	RepairAsking = "asking"
	// RepairLearning means that the member receives the log but has no vote.
	RepairLearning = "learning"
	// RepairDone means that the member got its vote after the process started.
	RepairDone = "done"
)

// Repair returns the progress of the repair.
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

// fresh reports whether this member is new: it has no vote and has not been made a
// learner.
func (c *Core) fresh() bool { return !c.membership.Voting && !c.membership.Learning }

// mayBootstrap reports whether this member, as long as it is new, may bootstrap the group.
func (c *Core) mayBootstrap() bool { return !c.cfg.JoinExisting || c.membership.MayBootstrap }

// bootstrap gives a new member its vote once all peers have confirmed its disk; at
// once if it has no peers.
func (c *Core) bootstrap() {
	if (c.mayBootstrap() || c.knownToVoter) && c.fresh() && len(c.confirmedDisks) == len(c.peers) {
		c.membership.Voters = c.initialVoters()
		c.membership.Voting = true
		c.membershipChanged = true
		c.setGroup(c.group)
		c.updatePeers()
	}
}

// initMembership records that a new member may bootstrap the group. That is persisted,
// because the member may be restarted before the group is bootstrapped.
func (c *Core) initMembership() {
	if c.fresh() && !c.cfg.JoinExisting && !c.membership.MayBootstrap {
		c.membership.MayBootstrap, c.membershipChanged = true, true
	}
}

func (c *Core) initialVoters() []Voter {
	voters := []Voter{{Member: c.cfg.ID, Disk: c.membership.Disk}}
	for id, disk := range c.confirmedDisks {
		voters = append(voters, Voter{Member: id, Disk: disk})
	}
	slices.SortFunc(voters, func(a, b Voter) int { return cmp.Compare(a.Member, b.Member) })
	return voters
}

// tickLearner probes the peers while this member is new or, where newcomers are
// admitted, while it is a learner that knows no leader.
func (c *Core) tickLearner() {
	if c.electionElapsed >= c.electionTimeout {
		c.lead = ""
	}
	idle := c.membership.Learning && (c.cfg.ReplaceTicks == 0 || c.lead != "")
	if idle || c.heartbeatElapsed < c.cfg.HeartbeatTicks {
		return
	}
	c.heartbeatElapsed = 0
	for _, id := range c.peers {
		c.send(Message{Type: MsgProbe, To: id})
	}
}

// stepProbe replies to a probe. Hint echoes the disk of the probing member, so that it
// can ignore replies to probes that were sent with an earlier disk.
func (c *Core) stepProbe(m Message) {
	c.send(Message{
		Type: MsgProbeReply, To: m.From, Hint: m.Disk,
		Fresh: !c.membership.Voting, Known: c.diskOf(m.From), Commit: c.log.commit, Lead: c.lead,
		Placed: diskIn(c.membership.Voters, m.From) == m.Disk,
	})
	if c.membership.Voting && !m.Voting && c.diskOf(m.From) == 0 {
		c.addNewcomer(m.From, m.Disk)
	}
}

// setLeaderHint makes a member without a vote also probe the member id.
func (c *Core) setLeaderHint(id string) {
	if !slices.Contains(c.peers, id) {
		c.leaderHint = id
		c.updatePeers()
	}
}

func (c *Core) stepProbeReply(m Message) {
	if m.Hint != c.membership.Disk {
		return
	}
	if !c.membership.Voting && m.Lead != "" {
		c.setLeaderHint(m.Lead)
	}
	if c.membership.Voting {
		if m.Group == c.group {
			c.checkRemoved(m)
		}
		return
	}
	if c.membership.Learning {
		return
	}
	if m.Newcomer {
		// The sender is a newcomer and cannot take part in bootstrapping a group. Its
		// voter list may also be too old to tell whether another disk of this member
		// has voted.
		return
	}
	if !m.Fresh && m.Known != c.membership.Disk {
		c.membership.Learning = true
		c.membership.Newcomer = m.Known == 0
		c.membershipChanged = true
		return
	}
	c.knownToVoter = c.knownToVoter || !m.Fresh
	c.confirmedDisks[m.From] = m.Disk
	c.bootstrap()
}

// diskOf returns the disk of a member according to the newest voter list in the log,
// committed or not, or 0 if the list does not contain the member.
func (c *Core) diskOf(id string) uint64 {
	if pending := c.log.pendingVoters(); pending != nil {
		return diskIn(pending, id)
	}
	return diskIn(c.membership.Voters, id)
}

// diskIn returns the disk of a member in a voter list, or 0 if the list does not
// contain the member.
func diskIn(voters []Voter, id string) uint64 {
	for _, v := range voters {
		if v.Member == id {
			return v.Disk
		}
	}
	return 0
}

// fromVoter reports whether m was sent by a voter with the disk known to this member.
func (c *Core) fromVoter(m Message) bool {
	return m.Voting && m.Disk == c.diskOf(m.From)
}

// commitTo raises the commit index and applies the voter lists in the newly committed
// entries.
func (c *Core) commitTo(index uint64) {
	if index <= c.log.commit {
		return
	}
	entries := c.log.entriesFrom(c.log.commit+1, int(index-c.log.commit))
	c.log.commit = index
	for _, e := range entries {
		if e.Voters != nil && e.Index > c.membership.VotersAt {
			c.setVoters(e.Voters, e.Index)
		}
	}
}

// setVoters applies a committed voter list from the entry at index at. A learner in
// the list gets its vote, but not for the current term, in which its lost disk may
// already have voted. A member whose disk was replaced by another one loses its vote.
func (c *Core) setVoters(voters []Voter, at uint64) {
	c.membership.Voters, c.membership.VotersAt = slices.Clone(voters), at
	c.membershipChanged = true
	defer c.updatePeers()
	own := slices.IndexFunc(voters, func(v Voter) bool { return v.Member == c.cfg.ID })
	if own < 0 {
		if c.membership.Voting {
			c.membership.demote()
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

// admit appends a voter list that includes the disk of the learner, once the learner
// has everything that was committed when it appeared. Only one list may be pending at
// a time, so that voter changes are committed in order.
func (c *Core) admit(id string, p *progress) {
	ownTerm, _ := c.log.term(c.log.commit)
	if !p.learner || p.admitIndex > 0 || p.match < p.catchUpTarget || ownTerm != c.term || c.log.pendingVoters() != nil {
		return
	}
	replaced := id
	if diskIn(c.membership.Voters, id) == 0 {
		if replaced = c.longestSilentVoter(); replaced == "" && len(c.membership.Voters) >= c.cfg.TargetVoters {
			return
		}
	}
	voters := slices.DeleteFunc(slices.Clone(c.membership.Voters), func(v Voter) bool { return v.Member == replaced })
	voters = append(voters, Voter{Member: id, Disk: p.disk})
	slices.SortFunc(voters, func(a, b Voter) int { return cmp.Compare(a.Member, b.Member) })
	p.admitIndex = c.append(Entry{Voters: voters})
	p.newcomer = false
	c.updatePeers()
}
