package replica

import "github.com/cespare/xxhash/v2"

// A member belongs to one group for as long as its disk lives. The group is identified by
// a hash of the names of the members that bootstrapped it. A new member that may bootstrap
// the group takes it from the settings; a new member that may not learns it from the reply
// to a probe. Either stores it when it first hears from another member of the group:
// from then on the others may count its disk as a voter, and the settings may name other
// members at the next start.

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
	fresh := !c.membership.Voting && !c.membership.Learning
	switch {
	case c.membership.Group != 0:
		c.group = c.membership.Group
	case fresh && c.cfg.JoinExisting && !c.membership.MayBootstrap:
		c.group = 0
	default:
		c.group = groupHash(c.cfg.Members)
	}
}

// learnGroup takes the group from a message if this member does not know it yet, and
// stores it.
func (c *Core) learnGroup(m Message) {
	learns := c.group == 0 && !c.membership.Voting && m.Type == MsgProbeReply && m.Hint == c.membership.Disk
	if m.Group != 0 && (m.Group == c.group || learns) {
		c.setGroup(m.Group)
	}
}

// setGroup sets and stores the group of this member.
func (c *Core) setGroup(group uint64) {
	c.group = group
	if c.membership.Group != group {
		c.membership.Group, c.membershipChanged = group, true
	}
}

// sameGroup reports whether a message may be processed. Two groups have no common
// quorum, so messages from another group are dropped, except for probes of members that
// do not belong to a group yet and the replies to them.
func (c *Core) sameGroup(m Message) bool {
	if m.Group == c.group {
		return true
	}
	probe := m.Type == MsgProbe || m.Type == MsgProbeReply
	return probe && (m.Group == 0 || c.group == 0)
}

// countRejected records a message from another group.
func (c *Core) countRejected(m Message) {
	c.rejected.Rejected++
	c.rejected.RejectedFrom, c.rejected.RejectedID = m.From, m.Group
}
