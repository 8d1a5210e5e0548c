package replica

import (
	"maps"
	"slices"
)

// A newcomer is a member without a vote that the group does not know. A member that is
// permanently lost is replaced by a newcomer with another name in the same way as a
// lost disk by a new one (membership.go). The newcomer probes the members, and the
// leader sends it the log as to a learner. Once the newcomer has caught up and a voter
// has been silent for ReplaceTicks, the leader appends a voter list with the newcomer
// instead of that voter.
//
// A group that is smaller than configured admits newcomers without removing a voter.
// It adds one voter at a time, so that any majority of the old list and any majority
// of the new list have a member in common.
//
// Until the new list is known to be committed, elections and commits need majorities
// of both lists, because either of them may already have made decisions. A replaced
// member that returns finds that it is no longer a voter and asks to be admitted like
// a newcomer.

// updatePeers recomputes the peers from the committed and the pending voter list. A
// member without a vote, or without a list, adds the configured members and the leader
// named to it; a leader adds newcomers.
func (c *Core) updatePeers() {
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
	if c.leaderHint != "" && !c.membership.Voting {
		names[c.leaderHint] = true
	}
	delete(names, c.cfg.ID)
	c.peers = slices.Sorted(maps.Keys(names))
	if c.role != Leader || c.progress == nil {
		return
	}
	for _, id := range c.peers {
		if c.progress[id] == nil {
			c.progress[id] = &progress{next: c.log.last() + 1, disk: c.diskOf(id), recentActive: true}
		}
	}
	maps.DeleteFunc(c.progress, func(id string, _ *progress) bool { return !names[id] })
}

// tickPeerSilence counts the ticks since the last reply of each peer and removes
// newcomers that have been silent too long.
func (c *Core) tickPeerSilence() {
	removed := false
	for id, p := range c.progress {
		p.silentTicks++
		if p.newcomer && p.silentTicks > newcomerTimeoutTicks {
			delete(c.progress, id)
			removed = true
		}
	}
	if removed {
		c.updatePeers()
	}
}

// newcomerTimeoutTicks is how long a newcomer may be silent before the leader removes
// it.
const newcomerTimeoutTicks = 100

// addNewcomer starts to replicate the log to a newcomer.
func (c *Core) addNewcomer(id string, disk uint64) {
	if c.role != Leader || c.cfg.ReplaceTicks == 0 || c.progress[id] != nil {
		return
	}
	c.progress[id] = &progress{next: c.log.last() + 1, disk: disk, learner: true, newcomer: true, catchUpTarget: c.log.last(), probing: true}
	c.updatePeers()
	c.sendAppend(id, c.progress[id])
}

// longestSilentVoter returns the voter that has been silent for longest, or "" if none
// has been silent for ReplaceTicks.
func (c *Core) longestSilentVoter() string {
	longest, name := c.cfg.ReplaceTicks, ""
	for _, id := range c.peers {
		p := c.progress[id]
		if p != nil && diskIn(c.membership.Voters, id) != 0 && p.silentTicks >= longest {
			longest, name = p.silentTicks, id
		}
	}
	return name
}

// probeMembership makes a voter that finds no leader ask the other members whether it
// is still a voter.
func (c *Core) probeMembership() {
	if c.cfg.ReplaceTicks == 0 {
		return
	}
	targets := slices.Concat(c.peers, c.cfg.Members)
	slices.Sort(targets)
	for _, id := range slices.Compact(targets) {
		if id != c.cfg.ID {
			c.send(Message{Type: MsgProbe, To: id})
		}
	}
}

// checkRemoved revokes the vote of this member if the sender of m no longer knows it
// under this disk and has a commit index above the newest voter list of this member. A
// sender that knows less may have a state from before this member became a voter; if
// it were trusted, the group could lose its majority when other disks are lost.
func (c *Core) checkRemoved(m Message) {
	if c.cfg.ReplaceTicks == 0 || m.Fresh || m.Placed || m.Commit <= c.latestVotersIndex() || c.role == Leader {
		return
	}
	c.membership.demote()
	c.membershipChanged = true
	c.becomeFollower(c.term, "")
	c.updatePeers()
}

// latestVotersIndex returns the index of the newest voter list known to this member,
// committed or not.
func (c *Core) latestVotersIndex() uint64 {
	for i := c.log.last(); i > max(c.log.snapshot.Index, c.membership.VotersAt); i-- {
		if c.log.entries[i-c.log.first()].Voters != nil {
			return i
		}
	}
	return c.membership.VotersAt
}

// jointVoters returns the pending voter list if it contains members that the committed
// list does not, or nil. Both lists are then in effect (joint consensus).
func (c *Core) jointVoters() []Voter {
	pending := c.log.pendingVoters()
	for _, v := range pending {
		if diskIn(c.membership.Voters, v.Member) == 0 {
			return pending
		}
	}
	return nil
}
