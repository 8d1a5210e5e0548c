package replica

import (
	"maps"
	"slices"
)

// A member that is gone for good is replaced by a newcomer of another name in
// the same way as a lost disk by a new one (membership.go). The newcomer asks;
// the leader sends it the log as to a learner, and once it has caught up and a
// voter was silent for long, appends the list in which the newcomer stands in the
// voter's place.
//
// A group that is smaller than it should be takes newcomers in without anyone
// leaving. One more takes its place at a time, so that any majority of the list
// before and any of the list after have a member in common.
//
// Until that list is known to be committed, elections and commits need a majority
// of both lists, for nobody knows which of the two has decided something. One
// that comes back finds that it has no place any more, and asks for one like a
// newcomer.

// refreshOthers brings the other members in step with the newest lists of
// voters. A leader also sends to newcomers.
func (c *Core) refreshOthers() {
	names := map[string]bool{}
	for _, list := range [][]Voter{c.membership.Voters, c.log.pendingVoters()} {
		for _, v := range list {
			names[v.Member] = true
		}
	}
	if len(names) == 0 || !c.membership.Voting {
		for _, id := range c.cfg.Members {
			names[id] = true
		}
	}
	for id, p := range c.progress {
		if p.newcomer {
			names[id] = true
		}
	}
	if c.guide != "" && !c.membership.Voting {
		names[c.guide] = true
	}
	delete(names, c.cfg.ID)
	c.others = slices.Sorted(maps.Keys(names))
	if c.role != Leader || c.progress == nil {
		return
	}
	for _, id := range c.others {
		if c.progress[id] == nil {
			c.progress[id] = &progress{next: c.log.last() + 1, disk: c.diskOf(id), active: true}
		}
	}
	maps.DeleteFunc(c.progress, func(id string, _ *progress) bool { return !names[id] })
}

// tickSilence counts the silence of the other members; a silent newcomer is
// forgotten.
func (c *Core) tickSilence() {
	gone := false
	for id, p := range c.progress {
		p.silent++
		if p.newcomer && p.silent > newcomerTicks {
			delete(c.progress, id)
			gone = true
		}
	}
	if gone {
		c.refreshOthers()
	}
}

// newcomerTicks is how long a newcomer may be silent before the leader forgets
// it.
const newcomerTicks = 100

// welcome begins to send the log to a newcomer.
func (c *Core) welcome(id string, disk uint64) {
	if c.role != Leader || c.cfg.ReplaceTicks == 0 || c.progress[id] != nil {
		return
	}
	c.progress[id] = &progress{next: c.log.last() + 1, disk: disk, learner: true, newcomer: true, askedAt: c.log.last(), probing: true}
	c.refreshOthers()
	c.sendAppend(id, c.progress[id])
}

// silentVoter returns the voter that was silent for longest, if for long enough
// to be replaced, or "".
func (c *Core) silentVoter() string {
	longest, name := c.cfg.ReplaceTicks, ""
	for _, id := range c.others {
		p := c.progress[id]
		if p != nil && diskIn(c.membership.Voters, id) != 0 && p.silent >= longest {
			longest, name = p.silent, id
		}
	}
	return name
}

// askPlace has a voter that finds no leader ask whether it still has its place.
func (c *Core) askPlace() {
	if c.cfg.ReplaceTicks == 0 {
		return
	}
	asked := slices.Concat(c.others, c.cfg.Members)
	slices.Sort(asked)
	for _, id := range slices.Compact(asked) {
		if id != c.cfg.ID {
			c.send(Message{Type: MsgProbe, To: id})
		}
	}
}

// losePlace takes the vote from a member that others do not know any more under
// this disk, though they know what was committed up to the newest list that it
// has. One that knows less may be from before this member got its place: to believe
// it would leave the group without a majority when other disks are lost.
func (c *Core) losePlace(m Message) {
	if c.cfg.ReplaceTicks == 0 || m.Fresh || m.Placed || m.Commit <= c.newestList() || c.role == Leader {
		return
	}
	c.membership.loseVote()
	c.membershipChanged = true
	c.becomeFollower(c.term, "")
	c.refreshOthers()
}

// newestList is the index of the newest list of voters that this member has,
// committed or not.
func (c *Core) newestList() uint64 {
	for i := c.log.last(); i > max(c.log.snapshot.Index, c.membership.VotersAt); i-- {
		if c.log.entries[i-c.log.first()].Voters != nil {
			return i
		}
	}
	return c.membership.VotersAt
}

// replacing returns the list of voters in the log that is not committed and has
// other members than the one that is; nil without one.
func (c *Core) replacing() []Voter {
	pending := c.log.pendingVoters()
	for _, v := range pending {
		if diskIn(c.membership.Voters, v.Member) == 0 {
			return pending
		}
	}
	return nil
}
