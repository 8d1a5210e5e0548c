// Package replica decides how the members of a group agree on one log: terms,
// elections with pre-vote and check-quorum, log matching, commit by a majority
// in the leader's own term, after Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm" (2014), and Ongaro's thesis for pre-vote
// and for sending entries while the leader still writes them. A member whose
// disk was lost comes back as a learner: see membership.go.
//
// The package does no I/O and reads no clock. A driver feeds it with Tick, Step
// and Propose, then takes Ready: it sends the Early messages, makes HardState,
// Membership, Snapshot and Entries durable, only then sends Messages, applies
// Committed, and calls Advance.
package replica

// Entry is one position of the log.
type Entry struct {
	Term  uint64 `cbor:"1,keyasint"`
	Index uint64 `cbor:"2,keyasint"`
	// Data is the command; empty for the group's own entries: the one a leader
	// begins its term with, and lists of voters.
	Data []byte `cbor:"3,keyasint,omitempty"`
	// Voters is the list of voters from the commit of this entry on, if set.
	Voters []Voter `cbor:"4,keyasint,omitempty"`
}

// size estimates the bytes of the entry on the wire.
func (e *Entry) size() int { return len(e.Data) + entryOverhead }

const entryOverhead = 32

// HardState must be durable before any message that follows from it is sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	// Vote is who got this member's vote in Term; "" is nobody.
	Vote string `cbor:"2,keyasint,omitempty"`
	// Commit may lag behind on disk: it is found again from the leader.
	Commit uint64 `cbor:"3,keyasint"`
}

// Voter is a member together with the disk that holds its vote.
type Voter struct {
	Member string `cbor:"1,keyasint"`
	// Disk is the random number a data folder got when it was created; never 0.
	Disk uint64 `cbor:"2,keyasint"`
}

// Membership is what a member durably knows of who may vote.
type Membership struct {
	// Disk is this member's own.
	Disk uint64 `cbor:"1,keyasint"`
	// Voting is set once this disk may vote.
	Voting bool `cbor:"2,keyasint,omitempty"`
	// Learning is set when another member knew this one under another disk.
	// At most one of Voting and Learning is set; with neither the member is
	// fresh and asks the others.
	Learning bool `cbor:"3,keyasint,omitempty"`
	// Voters has one disk for each member.
	Voters []Voter `cbor:"4,keyasint,omitempty"`
	// Group identifies the group by its founders; 0 is that of the configured
	// members.
	Group uint64 `cbor:"5,keyasint,omitempty"`
	// Founding is set on a fresh member that may found the group.
	Founding bool `cbor:"6,keyasint,omitempty"`
	// VotersAt is the index of the entry that brought Voters; 0 before the first
	// and in the data of older releases.
	VotersAt uint64 `cbor:"8,keyasint,omitempty"`
	// Newcomer is set on a learner that the group does not know, or not any more:
	// its disk has lost nothing that it acknowledged.
	Newcomer bool `cbor:"7,keyasint,omitempty"`
}

// loseVote makes a voter a learner that the group does not know any more.
func (m *Membership) loseVote() { m.Voting, m.Learning, m.Newcomer = false, true, true }

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	Data  []byte `cbor:"3,keyasint"`
	// Voters is who votes at Index or later.
	Voters []Voter `cbor:"4,keyasint,omitempty"`
}

// Restored is what the driver read back from disk.
type Restored struct {
	HardState  HardState
	Membership Membership
	Snapshot   Snapshot
	// Entries follow Snapshot.Index without a gap.
	Entries []Entry
}

// MessageType tells what a Message is.
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
	// MsgProbe asks what the others know of a member that has no vote yet.
	MsgProbe
	MsgProbeReply
)

// Message is what members send one another.
type Message struct {
	Type MessageType
	From string
	To   string
	// Disk is the sender's disk, Voting whether the sender holds that it votes.
	Disk   uint64
	Voting bool
	// Newcomer is set if the sender has no vote yet, and its disk lost nothing.
	Newcomer bool
	// Group identifies the sender's group; 0 on a newcomer that knows of none.
	Group uint64
	// Term is the sender's term; in a pre-vote the term it would campaign in.
	Term uint64
	// Index and LogTerm name the entry before Entries (append), the last entry
	// of the candidate (votes), or the last matching entry (append reply).
	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	// Reject refuses a vote or an append; Hint is then the index to go on from.
	Reject   bool
	Hint     uint64
	Snapshot *Snapshot
	// Known is, in a probe's reply, the disk under which the sender knows the
	// asker, if the sender has voters at all.
	Known uint64
	// Fresh is, in a probe's reply, whether the sender has no voters yet.
	Fresh bool
	// Placed is, in a probe's reply, whether the asker's disk is in the list of
	// voters that the sender knows to be committed.
	Placed bool
	// Lead is, in a probe's reply, the leader that the sender knows, or "".
	Lead string
}

// Role is what a member is in its term.
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

// Ready is what the driver must do before it calls Advance.
type Ready struct {
	// Early may be sent before anything is durable.
	Early []Message
	// HardState is set when it must be durable before Messages leave.
	HardState *HardState
	// Membership is set when it changed.
	Membership *Membership
	// Snapshot replaces the whole log, entries after its Index included.
	Snapshot *Snapshot
	// Entries are to be appended; they overwrite whatever has their indices or
	// higher ones.
	Entries []Entry
	// Messages are to be sent after everything above is synced.
	Messages []Message
	// Committed are to be applied in order.
	Committed []Entry
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return !r.Durable() && len(r.Early) == 0 && len(r.Messages) == 0 && len(r.Committed) == 0
}

// Durable reports whether there is something to persist.
func (r *Ready) Durable() bool {
	return r.HardState != nil || r.Membership != nil || r.Snapshot != nil || len(r.Entries) > 0
}
