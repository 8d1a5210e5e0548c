// Package replica decides how sources agree on one log: terms, elections with
// pre-vote, log matching, commit by a majority in the leader's own term, and
// check-quorum, after Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm" (2014), and Ongaro's thesis for pre-vote.
//
// The package does no I/O and reads no clock. A driver feeds it with Tick, Step
// and Propose, then takes Ready: it persists HardState, Snapshot and Entries,
// syncs, only then sends Messages, applies Committed, and calls Advance.
package replica

// Entry is one position of the log.
type Entry struct {
	Term  uint64 `cbor:"1,keyasint"`
	Index uint64 `cbor:"2,keyasint"`
	// Data is the command; empty for the entry a leader begins its term with.
	Data []byte `cbor:"3,keyasint,omitempty"`
}

// HardState must be durable before any message that follows from it is sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	// Vote is who got this source's vote in Term; "" is nobody.
	Vote string `cbor:"2,keyasint,omitempty"`
	// Commit may lag behind on disk: it is found again from the leader.
	Commit uint64 `cbor:"3,keyasint"`
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	Data  []byte `cbor:"3,keyasint"`
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
)

// Message is what sources send one another.
type Message struct {
	Type MessageType
	From string
	To   string
	// Term is the sender's term; in a pre-vote the term it would campaign in.
	Term uint64
	// Index and LogTerm name the entry before Entries (append), the last entry
	// of the candidate (votes), or the last matching entry (append reply).
	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	// Reject refuses a vote or an append; Hint is then the refuser's last index.
	Reject   bool
	Hint     uint64
	Snapshot *Snapshot
}

// Role is what a source is in its term.
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

// Progress is what a leader knows about one other source.
type Progress struct {
	// Match is the highest index known to be durable there; Match < Next.
	Match uint64
	// Next is the index to send next.
	Next uint64
	// Active is whether it answered since the last check of the quorum.
	Active bool
}

// Ready is what the driver must do before it calls Advance.
type Ready struct {
	// HardState is set when it changed since the last Ready.
	HardState *HardState
	// Snapshot replaces the log up to its Index.
	Snapshot *Snapshot
	// Entries are to be appended; they overwrite whatever has their indices.
	Entries []Entry
	// Messages are to be sent after everything above is synced.
	Messages []Message
	// Committed are to be applied in order.
	Committed []Entry
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 &&
		len(r.Messages) == 0 && len(r.Committed) == 0
}
