package replica

import "github.com/cespare/xxhash/v2"

// A member belongs to one group for as long as its disk lives. The group is identified by
// a hash of the names of the members that bootstrapped it. A new member that may bootstrap
// the group takes it from the settings; a new member that may not learns it from the reply
// to a probe. Either stores it when it first hears from another member of the group:
// from then on the others may count its disk as a voter, and the settings may name other
// members at the next start.
//
// Data written by older releases may lack the group of a member that has a vote. Such a
// member does not take it from the settings either. It recognizes its group by a disk: by a
// message from a disk in its own voter list, or by a reply that names its own disk.
//
// A member that has neither a vote nor entries of the log is not bound to a group. Its
// probes name no group, and it joins the group of the voter that replies, because a member
// that replied earlier may have been wrong. A new member that may bootstrap a group names
// the one of its settings, so that two groups do not mix if their settings have a member in
// common. It joins the group of a voter that knows it by name: that group was bootstrapped
// before it lost its disk.

// groupHash hashes a set of member names; the order does not matter.
func groupHash(members []string) uint64 {
	var sum uint64
	for _, id := range members {
		sum += xxhash.Sum64String(id)
	}
	return sum
}

// GroupInfo describes the group of a member. Members of different groups drop each
// other's messages.
type GroupInfo struct {
	// ID is a hash of the names of the members that bootstrapped the group; 0 if this
	// member does not know its group yet.
	ID uint64
	// Stored is set if ID is in the persisted Membership.
	Stored bool
	// Rejected is the number of messages dropped because the sender belongs to another
	// group. RejectedFrom and RejectedID are the sender of the latest one and its group.
	Rejected     uint64
	RejectedFrom string
	RejectedID   uint64
}

// GroupInfo returns what this member knows about its group.
func (c *Core) GroupInfo() GroupInfo {
	info := c.rejected
	info.ID, info.Stored = c.group, c.membership.Group != 0
	return info
}

// initGroup sets the group at startup.
func (c *Core) initGroup() {
	switch {
	case c.membership.Group != 0:
		c.group = c.membership.Group
	case c.fresh() && c.mayBootstrap():
		c.group = groupHash(c.cfg.Members)
	case !c.fresh() && (c.cfg.ReplaceTicks == 0 || c.membership.Voting && c.membership.VotersAt == 0):
		// No member was replaced since the group was bootstrapped.
		c.group = groupHash(c.originalMembers())
	}
}

// originalMembers returns the members that bootstrapped a group of which no member was
// replaced.
func (c *Core) originalMembers() []string {
	if len(c.membership.Voters) == 0 {
		return c.cfg.Members
	}
	var names []string
	for _, v := range c.membership.Voters {
		names = append(names, v.Member)
	}
	return names
}

// learnGroup stores the group at the first message from another member of it, and learns
// it from that message if it was not known.
func (c *Core) learnGroup(m Message) {
	if m.Group == 0 || m.Group == c.membership.Group {
		return
	}
	if m.Group == c.group || c.provesGroup(m) {
		c.setGroup(m.Group)
	}
}

// provesGroup reports whether m shows that this member belongs to the sender's group and
// not to the one assumed here.
func (c *Core) provesGroup(m Message) bool {
	replied := m.Type == MsgProbeReply && m.Hint == c.membership.Disk
	switch {
	case c.membership.Voting:
		return c.membership.Group == 0 && (c.listsDisk(m.From, m.Disk) || replied && m.Known == c.membership.Disk)
	case c.group == 0:
		return replied
	default:
		free := !c.bound() || c.fresh() && m.Known != 0
		return replied && free && c.lead == "" && !m.Fresh
	}
}

// bound reports whether this member must not change its group: it has a vote, it holds
// entries of the group's log, or it takes part in bootstrapping the group.
func (c *Core) bound() bool {
	return c.membership.Voting || c.log.last() > 0 || c.fresh() && c.mayBootstrap()
}

// probedGroup returns the group that the probes of this member name. A probe that names 0
// is answered by members of any group.
func (c *Core) probedGroup() uint64 {
	if c.bound() {
		return c.group
	}
	return 0
}

// listsDisk reports whether a disk is in a voter list of this member, committed or pending.
func (c *Core) listsDisk(id string, disk uint64) bool {
	return disk != 0 && (diskIn(c.membership.Voters, id) == disk || diskIn(c.log.pendingVoters(), id) == disk)
}

// setGroup sets and stores the group of this member.
func (c *Core) setGroup(group uint64) {
	c.group, c.membership.Group = group, group
	c.membershipChanged = true
}

// sameGroup reports whether a message may be processed. Two groups have no common
// quorum, so messages from another group are dropped, except for probes of members that
// do not belong to a group yet or have lost their disk, and the replies to them.
func (c *Core) sameGroup(m Message) bool {
	switch {
	case m.Group == c.group:
		return true
	case m.Type == MsgProbe:
		return m.Group == 0 || c.probedGroup() == 0 || !m.Voting && c.diskOf(m.From) != 0
	default:
		return m.Type == MsgProbeReply && (m.Group == 0 || c.probedGroup() == 0)
	}
}

// countRejected records a message from another group.
func (c *Core) countRejected(m Message) {
	c.rejected.Rejected++
	c.rejected.RejectedFrom, c.rejected.RejectedID = m.From, m.Group
}
