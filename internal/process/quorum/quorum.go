// Package quorum runs one replicated group: it joins the decisions of package
// replica to a disk, a transport to the group's other members and a state
// machine. A process may run several groups, each with its own data folder and
// transport.
//
// Node is the synchronous half, without goroutines or clocks; Group drives a
// Node under real time.
package quorum

import (
	"context"
	"slices"
	"time"

	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/result"
)

// StateMachine is what the committed commands build, the same on each member.
// Its methods are called from one goroutine and must not read a clock: what
// they return depends on the commands alone. R is the answer to one command;
// it crosses the wire as CBOR.
type StateMachine[R any] interface {
	// Apply carries out one committed command. An error means that this member's
	// state has come to differ from the others' or cannot follow them: it takes no
	// part any more.
	Apply(index, term uint64, data []byte) (R, error)
	// Applied is called after each batch of commands, before any of them is answered,
	// and after Restore once what the log holds behind it is applied too.
	Applied()
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by what Snapshot encoded.
	Restore(data []byte) error
}

// Checker is a state machine that checks a command before its leader puts it into the
// log. What would stop every member that applies it is turned down there.
type Checker interface {
	// Check returns why a command is refused, or nil.
	Check(data []byte) *result.Error
}

// Transport reaches the other members of one group.
type Transport interface {
	// Send delivers messages in the background; it may lose them.
	Send(to string, messages []replica.Message)
	// Propose passes a command to the member that leads, which answers with
	// Group.Serve. An error means that it is unknown whether it arrived.
	Propose(ctx context.Context, to string, data []byte) (Reply, error)
}

// Storage keeps what must survive a crash. An error of Save or Rewrite is
// final: the member accepts nothing more.
type Storage interface {
	// Save makes HardState, Snapshot and Entries of r durable.
	Save(r replica.Ready) error
	// Rewrite replaces all that was saved by r, at once or not at all.
	Rewrite(r replica.Restored) error
	// Syncs counts the syncs since the storage was opened.
	Syncs() uint64
	// Size is the number of bytes on disk.
	Size() int64
	// Close gives the files up.
	Close() error
}

// Reply is how a proposal ended, for the wire.
type Reply struct {
	// Code is OK with a Result, or why there is none.
	Code   result.Code
	Detail string
	// Result is the state machine's answer in CBOR.
	Result []byte
}

// Status is what a member tells of its group.
type Status struct {
	Role string `json:"role"`
	Term uint64 `json:"term"`
	Lead string `json:"lead"`
	// Members are those whose majority accepts; empty before the founding.
	Members []string `json:"members,omitempty"`
	// Settled is set on a leader that has applied all that earlier ones
	// committed.
	Settled bool   `json:"settled"`
	Commit  uint64 `json:"commit"`
	// Last is the index of the newest entry, committed or not.
	Last uint64 `json:"last"`
	// Syncs counts the disk syncs since the start.
	Syncs uint64 `json:"syncs"`
	// Repair is how far a member whose disk is new is from having a vote.
	Repair replica.Repair `json:"repair"`
	// LogBytes is the size of the log on disk.
	LogBytes int64 `json:"log_bytes"`
	// Applied is the work of applying the log since the start.
	Applied Applied `json:"applied"`
	// Failure is why this member accepts nothing, or "".
	Failure string `json:"failure,omitempty"`
	// FailureCode is StorageFailed, StateDiverged or FormatUnknown, with Failure.
	FailureCode result.Code `json:"failure_code,omitempty"`
}

// Applied is the work that the log gave a member since it started.
type Applied struct {
	// Entries and Bytes count what was applied.
	Entries uint64 `json:"entries"`
	Bytes   uint64 `json:"bytes"`
	// Time is what the rounds took in which something was applied, with their syncs.
	Time time.Duration `json:"time_ns"`
	// Snapshots counts the snapshots written, SnapshotBytes is the size of the newest.
	Snapshots     uint64 `json:"snapshots"`
	SnapshotBytes int    `json:"snapshot_bytes"`
}

// differs reports whether what this member believes of its group is not what it was:
// who leads, who votes, whether it has a vote itself, and whether its disk works.
func (s *Status) differs(before *Status) bool {
	return s.Lead != before.Lead || s.Term != before.Term || s.Repair.State != before.Repair.State || s.Failure != before.Failure ||
		!slices.Equal(s.Members, before.Members)
}

// errLeadLost answers proposals that another leader may have replaced.
var errLeadLost = result.Errorf(result.CommitUnknown, "the leader changed before the commit was seen")

var errNoLeader = result.Errorf(result.NoQuorum, "no leader is known")

// failureCode tells a state machine that cannot go on from a disk that failed.
func failureCode(err error) result.Code {
	if code := codeOf(err); code != result.OK {
		return code
	}
	return result.StorageFailed
}
