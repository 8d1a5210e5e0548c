// Package quorum runs one replicated group: it connects the consensus algorithm in
// package replica to a disk, a transport to the other members, and a state machine. A
// process may run several groups, each with its own data directory and transport.
//
// Node is the synchronous part, without goroutines or clocks. Group drives a Node in
// real time.
package quorum

import (
	"context"
	"slices"
	"time"

	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/result"
)

// StateMachine is the replicated state that the committed commands build; it must be
// the same on every member. Its methods are called from one goroutine and must not
// read a clock: the results may depend only on the commands. R is the answer to one
// command; it is sent over the network as CBOR.
type StateMachine[R any] interface {
	// Apply executes one committed command. An error means that the state of this
	// member differs from that of the others, or cannot follow it. The member then
	// stops taking part in the group.
	Apply(index, term uint64, data []byte) (R, error)
	// BatchApplied is called after each batch of commands, before any of them is answered,
	// and after Restore once the log entries that follow the snapshot are applied.
	BatchApplied()
	// Snapshot encodes the complete state.
	Snapshot() ([]byte, error)
	// Restore replaces the complete state with one that Snapshot encoded.
	Restore(data []byte) error
}

// Checker is an optional interface of a StateMachine that validates a command before
// the leader appends it to the log. It must reject commands that would stop every
// member that applies them.
type Checker interface {
	// Check returns why a command is rejected, or nil.
	Check(data []byte) *result.Error
}

// Transport sends messages to the other members of one group.
type Transport interface {
	// Send sends messages asynchronously; they may be lost.
	Send(to string, messages []replica.Message)
	// Propose forwards a command to the leader, which handles it with Group.Serve.
	// After an error it is unknown whether the leader received the command.
	Propose(ctx context.Context, to string, data []byte) (Reply, error)
}

// Storage persists the state of a member. After an error of Save, the content on disk is
// unknown, and Save fails until Reopen succeeds.
type Storage interface {
	// Save persists HardState, Membership, Snapshot and Entries of r.
	Save(r replica.Ready) error
	// Rewrite atomically replaces everything saved with r. After an error, either what
	// was saved remains, or Save fails.
	Rewrite(r replica.Restored) error
	// Reopen reads everything saved back from disk and makes sure that it is durable.
	// After an error it may be called again.
	Reopen() (replica.Restored, error)
	// Syncs returns the number of disk syncs since the storage was opened.
	Syncs() uint64
	// Size returns the number of bytes on disk.
	Size() int64
	// Close closes the files.
	Close() error
}

// Reply is the result of a proposal as sent over the network.
type Reply struct {
	// Code is OK if Result is set, or the reason why it is not.
	Code   result.Code
	Detail string
	// Result is the answer of the state machine in CBOR.
	Result []byte
}

// Status is the state of a group as seen by one member.
type Status struct {
	Role string `json:"role"`
	Term uint64 `json:"term"`
	Lead string `json:"lead"`
	// Members are the voters; empty before the group is bootstrapped.
	Members []string `json:"members,omitempty"`
	// Settled is set on a leader that has applied everything that earlier leaders
	// committed.
	Settled bool   `json:"settled"`
	Commit  uint64 `json:"commit"`
	// Last is the index of the newest entry, committed or not.
	Last uint64 `json:"last"`
	// Syncs is the number of disk syncs since the process started.
	Syncs uint64 `json:"syncs"`
	// Repair is the progress of a member with a new disk toward getting a vote.
	Repair replica.Repair `json:"repair"`
	// Group is the group of this member in hexadecimal; "" if it is not known yet.
	// GroupStored is set if the group is on disk, so that it outlasts a change of the
	// settings.
	Group       string `json:"group,omitempty"`
	GroupStored bool   `json:"group_stored"`
	// Rejected is the number of messages dropped because the sender belongs to another
	// group.
	Rejected uint64 `json:"rejected"`
	// LogBytes is the size of the log on disk.
	LogBytes int64 `json:"log_bytes"`
	// Applied counts the work of applying the log since the process started.
	Applied Applied `json:"applied"`
	// Failure is the reason why this member accepts nothing, or "".
	Failure string `json:"failure,omitempty"`
	// FailureCode is StorageFailed, StateDiverged or FormatUnknown if Failure is set.
	FailureCode result.Code `json:"failure_code,omitempty"`
}

// Applied counts the work of applying the log on one member since the process started.
type Applied struct {
	// Entries and Bytes count the applied entries and their data.
	Entries uint64 `json:"entries"`
	Bytes   uint64 `json:"bytes"`
	// Time is the total duration of the processing rounds in which entries were
	// applied, including disk syncs.
	Time time.Duration `json:"time_ns"`
	// Snapshots is the number of snapshots written, FailedSnapshots the number of those
	// that the disk refused. SnapshotBytes is the size of the latest one written.
	Snapshots       uint64 `json:"snapshots"`
	FailedSnapshots uint64 `json:"failed_snapshots"`
	SnapshotBytes   int    `json:"snapshot_bytes"`
	// StorageFailures is the number of times that this member stopped taking part in the
	// group because of its disk.
	StorageFailures uint64 `json:"storage_failures"`
}

// differs reports whether the leader, the term, the voters, the repair state or the group
// of this member, or its failure, changed since before.
func (s *Status) differs(before *Status) bool {
	return s.Lead != before.Lead || s.Term != before.Term || s.Repair.State != before.Repair.State || s.Failure != before.Failure ||
		s.Group != before.Group || s.GroupStored != before.GroupStored || !slices.Equal(s.Members, before.Members)
}

// errLeadershipLost is returned for proposals that another leader may have
// overwritten.
var errLeadershipLost = result.Errorf(result.CommitUnknown, "the leader changed before the commit was seen")

var errNoLeader = result.Errorf(result.NoQuorum, "no leader is known")
