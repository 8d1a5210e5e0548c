// Package replica implements the consensus algorithm of one replicated log, a variant
// of Raft: terms, elections with pre-vote and check-quorum, log matching, and commit
// by a majority in the leader's own term. It follows Ongaro and Ousterhout, "In Search
// of an Understandable Consensus Algorithm" (2014), and Ongaro's thesis for pre-vote
// and for sending entries while the leader is still writing them to disk. A member
// that lost its disk rejoins as a learner, a member without a vote; see membership.go.
//
// The package does no I/O and reads no clock. A driver calls Tick, Step and Propose
// and then takes Ready. It sends the Early messages, persists HardState, Membership,
// Snapshot and Entries, and only then sends Messages, applies Committed and calls
// Advance.
package replica

// Entry is one log entry.
type Entry struct {
	Term  uint64 `cbor:"1,keyasint"`
	Index uint64 `cbor:"2,keyasint"`
	// Data is the command. It is empty in the entries that the group itself appends:
	// the first entry of a leader's term, and voter lists.
	Data []byte `cbor:"3,keyasint,omitempty"`
	// Voters, if set, is the voter list that takes effect when this entry is
	// committed.
	Voters []Voter `cbor:"4,keyasint,omitempty"`
}

// size returns the estimated size of the entry on the wire, in bytes.
func (e *Entry) size() int { return len(e.Data) + entryOverhead }

const entryOverhead = 32

// HardState is the persistent election state. It must be durable before any message
// that depends on it is sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	// Vote is the candidate this member voted for in Term, or "" if it did not vote.
	Vote string `cbor:"2,keyasint,omitempty"`
	// Commit is the commit index. The persisted value may lag behind, because the
	// member learns the current one from the leader again.
	Commit uint64 `cbor:"3,keyasint"`
}

// Voter identifies a voting member by its name and by the disk that stores its vote.
type Voter struct {
	Member string `cbor:"1,keyasint"`
	// Disk is the random ID assigned to a data directory when it was created; never 0.
	Disk uint64 `cbor:"2,keyasint"`
}

// Membership is the persistent knowledge of a member about the voters of its group.
type Membership struct {
	// Disk is the ID of this member's own disk.
	Disk uint64 `cbor:"1,keyasint"`
	// Voting is set once this member may vote with this disk.
	Voting bool `cbor:"2,keyasint,omitempty"`
	// Learning is set if another member knew this one with a different disk. At most
	// one of Voting and Learning is set. If neither is set, the member is new and
	// probes the others.
	Learning bool `cbor:"3,keyasint,omitempty"`
	// Voters holds one disk per voting member.
	Voters []Voter `cbor:"4,keyasint,omitempty"`
	// Group is a hash of the names of the members that bootstrapped the group. It is 0
	// before another member of the group was heard, and in data written by older
	// releases, which stored it only when the member took part in bootstrapping or was replacing
	// another one.
	Group uint64 `cbor:"5,keyasint,omitempty"`
	// MayBootstrap is set on a new member that may take part in bootstrapping the
	// group.
	MayBootstrap bool `cbor:"6,keyasint,omitempty"`
	// VotersAt is the index of the entry that set Voters. It is 0 before the first
	// such entry and in data written by older releases.
	VotersAt uint64 `cbor:"8,keyasint,omitempty"`
	// Newcomer is set on a learner that the group does not know, or has removed. Such
	// a disk has not lost anything that it acknowledged.
	Newcomer bool `cbor:"7,keyasint,omitempty"`
}

// demote turns a voter into a learner that the group no longer knows.
func (m *Membership) demote() { m.Voting, m.Learning, m.Newcomer = false, true, true }

// Snapshot replaces all log entries up to Index.
type Snapshot struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	Data  []byte `cbor:"3,keyasint"`
	// Voters is the voter list in effect at Index or later.
	Voters []Voter `cbor:"4,keyasint,omitempty"`
}

// Restored is the state that the driver read from disk.
type Restored struct {
	HardState  HardState
	Membership Membership
	Snapshot   Snapshot
	// Entries continue from Snapshot.Index without a gap.
	Entries []Entry
}

// Holds reports whether the log contains the entry with this index and term, or a
// snapshot that covers it.
func (r *Restored) Holds(index, term uint64) bool {
	if index <= r.Snapshot.Index {
		return index < r.Snapshot.Index || term == r.Snapshot.Term
	}
	offset := index - r.Snapshot.Index - 1
	return offset < uint64(len(r.Entries)) && r.Entries[offset].Term == term
}

// MessageType is the type of a Message.
type MessageType uint8

// The message types.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgSnapshot
	// MsgProbe asks what the receiver knows about the sender, which does not have a
	// vote yet or may have been removed.
	MsgProbe
	MsgProbeReply
)

// Message is a message between two members.
type Message struct {
	Type MessageType
	From string
	To   string
	// Disk is the ID of the sender's disk. Voting reports whether the sender considers
	// itself a voter.
	Disk   uint64
	Voting bool
	// Newcomer is set if the sender has no vote yet and its disk has not lost
	// anything.
	Newcomer bool
	// Group is the sender's group; 0 if the sender is new and does not know its group.
	Group uint64
	// Term is the sender's term. In a pre-vote it is the term that the sender would
	// campaign in.
	Term uint64
	// Index and LogTerm identify the entry before Entries (append), the last entry of
	// the candidate (votes), or the last matching entry (append reply).
	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	// Reject is set if a vote or an append is rejected. Hint is then the index from
	// which the leader should continue.
	Reject   bool
	Hint     uint64
	Snapshot *Snapshot
	// Known is set in a probe reply: the ID of the disk under which the sender knows
	// the probing member, or 0.
	Known uint64
	// Fresh is set in a probe reply if the sender has no vote.
	Fresh bool
	// Placed is set in a probe reply if the disk of the probing member is in the
	// committed voter list known to the sender.
	Placed bool
	// Lead is set in a probe reply: the leader known to the sender, or "".
	Lead string
}

// Role is the role of a member in its current term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the lower-case name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Ready is the work that the driver must complete before it calls Advance.
type Ready struct {
	// Early messages may be sent before anything is durable.
	Early []Message
	// HardState, if set, must be durable before Messages are sent.
	HardState *HardState
	// Membership is set if it changed.
	Membership *Membership
	// Snapshot, if set, replaces the whole log, including entries after its Index.
	Snapshot *Snapshot
	// Entries must be appended. They overwrite existing entries with the same or
	// higher indices.
	Entries []Entry
	// Messages must be sent after everything above is durable.
	Messages []Message
	// Committed entries must be applied in order.
	Committed []Entry
}

// Empty reports whether there is no work.
func (r *Ready) Empty() bool {
	return !r.Durable() && len(r.Early) == 0 && len(r.Messages) == 0 && len(r.Committed) == 0
}

// Durable reports whether there is anything to persist.
func (r *Ready) Durable() bool {
	return r.HardState != nil || r.Membership != nil || r.Snapshot != nil || len(r.Entries) > 0
}
