package quorum

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/process/storage"
	"github.com/daisygate/daisygate/internal/result"
)

// outcome is the result of one proposal.
type outcome[R any] struct {
	result R
	err    error
}

// waiter is a proposal that is in the log but not applied yet.
type waiter[R any] struct {
	term     uint64
	callback func(R, error)
}

// maxRejectedGroups limits the senders of which a Node remembers that messages were
// dropped because of their group.
const maxRejectedGroups = 64

// Node is a member of a group that is driven synchronously. It is not safe for
// concurrent use.
type Node[R any] struct {
	cfg     replica.Config
	core    *replica.Core
	disk    Storage
	machine StateMachine[R]
	// applied is the index and the term of the last entry that machine has applied, or of
	// its snapshot. It is never above what is on disk.
	applied position
	send    func(to string, messages []replica.Message)
	log     logr.Logger
	// waiters holds the proposals by index. Each callback is called exactly once.
	waiters map[uint64]waiter[R]
	// failed is set while this member takes no part in the group: nothing is written, sent
	// or accepted. failureCode is StorageFailed if the disk is the reason; the member then
	// takes part again once its log can be reopened. Any other failure is permanent.
	failed      error
	failureCode result.Code
	// failedTicks is the number of ticks since the failure.
	failedTicks int
	// rejectedGroups holds, by member, the other group that was last logged for it.
	rejectedGroups map[string]uint64
	// observedTerm and observedLead are the term and the leader that a failed member
	// learns from messages.
	observedTerm uint64
	observedLead string
	// compactAfter is the number of log entries from which a snapshot may be taken.
	compactAfter uint64
	// refusedAt is the size of the log, in bytes, at which the disk refused the latest
	// snapshot; 0 if it did not.
	refusedAt int64
	// stats counts the applied entries and snapshots. Its Time is maintained by Group,
	// which has a clock.
	stats Applied
}

// position is the index and the term of a log entry.
type position struct{ index, term uint64 }

// OpenNode returns a Node with the log in dir. If the disk has no room or fails, the Node
// takes part in the group once the log can be opened.
func OpenNode[R any](cfg replica.Config, dir storage.Dir, machine StateMachine[R],
	send func(to string, messages []replica.Message), log logr.Logger) (*Node[R], error) {
	disk, restored, diskErr := storage.Open(dir)
	if diskErr != nil && !storage.MayRecover(diskErr) {
		return nil, diskErr
	}
	n, err := NewNode(cfg, restored, disk, machine, send, log)
	if err != nil {
		return nil, errors.CombineErrors(err, disk.Close())
	}
	if diskErr != nil {
		n.fail(result.StorageFailed, diskErr)
	}
	return n, nil
}

// NewNode returns a Node with the state restored from disk, and restores the state
// machine from the snapshot.
func NewNode[R any](cfg replica.Config, restored replica.Restored, disk Storage, machine StateMachine[R],
	send func(to string, messages []replica.Message), log logr.Logger) (*Node[R], error) {
	n := &Node[R]{
		cfg: cfg, compactAfter: compactMinEntries, disk: disk, machine: machine, send: send, log: log,
		waiters: map[uint64]waiter[R]{}, rejectedGroups: map[string]uint64{},
	}
	return n, n.start(restored)
}

// start begins to take part in the group with the state restored from disk. The state
// machine keeps what it has applied.
func (n *Node[R]) start(restored replica.Restored) error {
	if err := n.restore(&restored.Snapshot); err != nil {
		return err
	}
	cfg := n.cfg
	cfg.Applied = n.applied.index
	n.core = replica.New(cfg, restored)
	n.stats.SnapshotBytes = len(restored.Snapshot.Data)
	n.refusedAt = 0
	return nil
}

// restore replaces the state of the machine with that of a snapshot, unless the machine has
// applied everything that the snapshot covers.
func (n *Node[R]) restore(snap *replica.Snapshot) error {
	if snap == nil || snap.Index <= n.applied.index {
		return nil
	}
	if err := n.machine.Restore(snap.Data); err != nil {
		return err
	}
	n.applied = position{snap.Index, snap.Term}
	return nil
}

// SetCompactAfter sets the number of log entries from which a snapshot may be taken.
// The default is compactMinEntries.
func (n *Node[R]) SetCompactAfter(entries uint64) { n.compactAfter = entries }

// Tick advances the logical clock by one tick.
func (n *Node[R]) Tick() {
	if n.failed == nil {
		n.core.Tick()
		return
	}
	n.tickFailed()
}

// Step processes messages from another member.
func (n *Node[R]) Step(messages []replica.Message) {
	for _, m := range messages {
		if n.failed != nil {
			n.observeLeader(m)
			continue
		}
		rejected := n.core.GroupInfo().Rejected
		n.core.Step(m)
		if info := n.core.GroupInfo(); info.Rejected != rejected {
			n.logRejected(info)
		}
	}
}

// logRejected logs that messages are dropped because their sender belongs to another
// group, once per sender and group.
func (n *Node[R]) logRejected(info replica.GroupInfo) {
	logged, known := n.rejectedGroups[info.RejectedFrom]
	if known && logged == info.RejectedID || !known && len(n.rejectedGroups) >= maxRejectedGroups {
		return
	}
	n.rejectedGroups[info.RejectedFrom] = info.RejectedID
	n.log.Info("messages from another group are dropped", "from", info.RejectedFrom, "their_group", groupName(info.RejectedID),
		"group", groupName(info.ID), "group_stored", info.Stored)
}

// groupName returns the name of a group in logs and status, "" if it is not known.
func groupName(id uint64) string {
	if id == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", id)
}

// Propose appends a command to the log if this member is the leader. The callback is
// called once, with the answer of the state machine after the commit, or with an
// error.
func (n *Node[R]) Propose(data []byte, callback func(R, error)) {
	var zero R
	if n.failed != nil {
		callback(zero, result.Errorf(n.failureCode, "%v", n.failed))
		return
	}
	if len(data) > storage.MaxEntryBytes {
		callback(zero, result.Errorf(result.InputTooLarge, "command has %d bytes, limit is %d", len(data), storage.MaxEntryBytes))
		return
	}
	if refused := n.checkCommand(data); refused != nil {
		callback(zero, refused)
		return
	}
	index, term, err := n.core.Propose(data)
	if err != nil {
		callback(zero, result.Errorf(result.NoQuorum, "%v", err))
		return
	}
	n.waiters[index] = waiter[R]{term: term, callback: callback}
}

// checkCommand asks the state machine of a leader whether a command may be appended to
// the log.
func (n *Node[R]) checkCommand(data []byte) *result.Error {
	checker, checks := n.machine.(Checker)
	if !checks || n.core.Role() != replica.Leader {
		return nil
	}
	return checker.Check(data)
}

// ProcessReady processes the work returned by the core until there is none left. After a
// failed write nothing is persisted, sent or accepted until the log is reopened.
func (n *Node[R]) ProcessReady() {
	for n.failed == nil {
		ready := n.core.Ready()
		if ready.Empty() {
			break
		}
		n.sendAll(ready.Early)
		if err := n.disk.Save(ready); err != nil {
			n.fail(result.StorageFailed, err)
			return
		}
		n.sendAll(ready.Messages)
		if err := n.restore(ready.Snapshot); err != nil {
			n.fail(stateFailureCode(err), err)
		}
		n.applyAll(ready.Committed)
		n.core.Advance(ready)
		n.compact()
	}
	n.machine.BatchApplied()
	if n.core.Role() != replica.Leader {
		n.failWaiters(errLeadershipLost)
	}
}

func (n *Node[R]) failWaiters(err error) {
	var zero R
	for index, w := range n.waiters {
		delete(n.waiters, index)
		w.callback(zero, err)
	}
}

func (n *Node[R]) sendAll(messages []replica.Message) {
	byMember := map[string][]replica.Message{}
	var order []string
	for _, m := range messages {
		if byMember[m.To] == nil {
			order = append(order, m.To)
		}
		byMember[m.To] = append(byMember[m.To], m)
	}
	for _, to := range order {
		n.send(to, byMember[to])
	}
}

// applyAll applies a batch of entries, lets the state machine publish the resulting
// state, and then calls the callbacks. A burst of commands, or the log after a
// restart, therefore publishes one state and not every intermediate one.
func (n *Node[R]) applyAll(entries []replica.Entry) {
	answers := make([]R, len(entries))
	applied := 0
	for i, e := range entries {
		if n.failed != nil {
			break
		}
		applied++
		n.stats.Entries++
		n.stats.Bytes += uint64(len(e.Data))
		if err := n.apply(e, &answers[i]); err != nil {
			n.fail(stateFailureCode(err), errors.Wrapf(err, "entry %d", e.Index))
			applied--
		}
	}
	if applied == 0 {
		return
	}
	n.machine.BatchApplied()
	for i, e := range entries[:applied] {
		n.complete(e, answers[i])
	}
}

// apply applies one entry and stores the answer of the state machine, if there is one.
func (n *Node[R]) apply(e replica.Entry, answer *R) error {
	if len(e.Data) > 0 {
		var err error
		if *answer, err = n.machine.Apply(e.Index, e.Term, e.Data); err != nil {
			return err
		}
	}
	n.applied = position{e.Index, e.Term}
	return nil
}

func (n *Node[R]) complete(e replica.Entry, answer R) {
	w, ok := n.waiters[e.Index]
	if !ok {
		return
	}
	delete(n.waiters, e.Index)
	if w.term != e.Term {
		var zero R
		w.callback(zero, errLeadershipLost)
		return
	}
	w.callback(answer, nil)
}

// Status returns the state of the group as seen by this member.
func (n *Node[R]) Status() Status {
	s := Status{
		Role: n.core.Role().String(), Term: n.core.Term(), Lead: n.core.Lead(), Commit: n.core.Commit(), Last: n.core.Last(), Settled: n.failed == nil && n.core.LeaderCaughtUp(),
		Repair: n.core.Repair(), Syncs: n.disk.Syncs(), LogBytes: n.disk.Size(), Applied: n.stats,
	}
	group := n.core.GroupInfo()
	s.Group, s.GroupStored, s.Rejected = groupName(group.ID), group.Stored, group.Rejected
	for _, v := range n.core.Membership().Voters {
		s.Members = append(s.Members, v.Member)
	}
	if n.failed != nil {
		s.Lead = n.observedLead
		s.Failure = n.failed.Error()
		s.FailureCode = n.failureCode
	}
	return s
}
