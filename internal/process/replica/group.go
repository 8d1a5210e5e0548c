package replica

import "github.com/cespare/xxhash/v2"

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
