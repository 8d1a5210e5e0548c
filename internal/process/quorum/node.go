package quorum

import (
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/process/storage"
	"github.com/daisygate/daisygate/internal/result"
)

// outcome is the end of one proposal.
type outcome[R any] struct {
	result R
	err    error
}

// waiter is a proposal that was appended and is not yet applied.
type waiter[R any] struct {
	term   uint64
	answer func(R, error)
}

// A snapshot replaces the log when the log has grown by as much as the last
// snapshot and by compactAfter entries or compactBytes: so a snapshot costs each
// entry no more than its own size, however large the state is, and a member that
// starts has no more to apply than to restore.
const (
	compactAfter = 16
	compactBytes = 4 << 20
)

// Node is one member of a group, driven synchronously. It is not safe for
// concurrent use.
type Node[R any] struct {
	core    *replica.Core
	disk    Storage
	machine StateMachine[R]
	send    func(to string, messages []replica.Message)
	log     logr.Logger
	// waiters by index; each is answered exactly once.
	waiters map[uint64]waiter[R]
	// failed is set once and ends all writing, sending and accepting.
	failed error
	// observedTerm and observedLead are what a failed member hears of.
	observedTerm uint64
	observedLead string
	// compactAfter is the number of entries that may call for a snapshot.
	compactAfter uint64
	// work counts what was applied; its Time is kept by Group, which has a clock.
	work Applied
}

// NewNode joins what was restored from disk to the state machine.
func NewNode[R any](cfg replica.Config, restored replica.Restored, disk Storage, machine StateMachine[R],
	send func(to string, messages []replica.Message), log logr.Logger) (*Node[R], error) {
	if restored.Snapshot.Index > 0 {
		if err := machine.Restore(restored.Snapshot.Data); err != nil {
			return nil, err
		}
	}
	return &Node[R]{
		compactAfter: compactAfter, core: replica.New(cfg, restored), disk: disk, machine: machine, send: send, log: log,
		waiters: map[uint64]waiter[R]{}, work: Applied{SnapshotBytes: len(restored.Snapshot.Data)},
	}, nil
}

// SetCompactAfter sets the number of entries after which a snapshot may replace
// them; compactAfter unless set.
func (n *Node[R]) SetCompactAfter(entries uint64) { n.compactAfter = entries }

// Tick advances time by one unit.
func (n *Node[R]) Tick() {
	if n.failed == nil {
		n.core.Tick()
	}
}

// Step takes in messages of another member.
func (n *Node[R]) Step(messages []replica.Message) {
	for _, m := range messages {
		if n.failed != nil {
			n.observe(m)
			continue
		}
		n.core.Step(m)
	}
}

// observe keeps a failed member able to tell who leads.
func (n *Node[R]) observe(m replica.Message) {
	if m.Type == replica.MsgAppend && m.Term >= n.observedTerm {
		n.observedTerm = m.Term
		n.observedLead = m.From
	}
}

// Propose appends a command if this member leads; answer is called once, with
// the state machine's answer after the commit or with an error.
func (n *Node[R]) Propose(data []byte, answer func(R, error)) {
	var none R
	if n.failed != nil {
		answer(none, result.Errorf(failureCode(n.failed), "%v", n.failed))
		return
	}
	if len(data) > storage.MaxData {
		answer(none, result.Errorf(result.InputTooLarge, "%d bytes, at most %d", len(data), storage.MaxData))
		return
	}
	if refused := n.check(data); refused != nil {
		answer(none, refused)
		return
	}
	index, term, err := n.core.Propose(data)
	if err != nil {
		answer(none, result.Errorf(result.NoQuorum, "%v", err))
		return
	}
	n.waiters[index] = waiter[R]{term: term, answer: answer}
}

// check asks the state machine of a leader whether a command may enter the log.
func (n *Node[R]) check(data []byte) *result.Error {
	checker, checks := n.machine.(Checker)
	if !checks || n.core.Role() != replica.Leader {
		return nil
	}
	return checker.Check(data)
}

// Settle carries out what the core decided, until nothing is left. After a
// failed write nothing is persisted, sent or accepted any more.
func (n *Node[R]) Settle() {
	for n.failed == nil {
		ready := n.core.Ready()
		if ready.Empty() {
			break
		}
		n.sendAll(ready.Early)
		if err := n.disk.Save(ready); err != nil {
			n.fail(err)
			return
		}
		n.sendAll(ready.Messages)
		n.restore(ready.Snapshot)
		n.applyAll(ready.Committed)
		n.core.Advance(ready)
		n.compact()
	}
	n.machine.Applied()
	if n.core.Role() != replica.Leader {
		n.dropWaiters(errLeadLost)
	}
}

// fail stops all acceptance here, after a failed write or with a state that differs from
// the others'; what was applied stays readable.
func (n *Node[R]) fail(err error) {
	n.failed = err
	n.core.StepDown()
	n.observedTerm = n.core.Term()
	n.log.Error(err, "this source has failed: nothing is accepted here any more")
	n.dropWaiters(result.Errorf(result.CommitUnknown, "%v", err))
}

func (n *Node[R]) dropWaiters(err error) {
	var none R
	for index, w := range n.waiters {
		delete(n.waiters, index)
		w.answer(none, err)
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

func (n *Node[R]) restore(snap *replica.Snapshot) {
	if snap == nil {
		return
	}
	if err := n.machine.Restore(snap.Data); err != nil {
		n.fail(err)
	}
}

// applyAll applies a batch, lets the state machine hand out the last of its states, and
// answers then: a burst, or the log after a restart, puts one state in force and not
// each in turn.
func (n *Node[R]) applyAll(entries []replica.Entry) {
	answers := make([]R, len(entries))
	applied := 0
	for i, e := range entries {
		if n.failed != nil {
			break
		}
		applied++
		n.work.Entries++
		n.work.Bytes += uint64(len(e.Data))
		if len(e.Data) == 0 {
			continue
		}
		var err error
		if answers[i], err = n.machine.Apply(e.Index, e.Term, e.Data); err != nil {
			n.fail(errors.Wrapf(err, "entry %d", e.Index))
			applied--
		}
	}
	if applied == 0 {
		return
	}
	n.machine.Applied()
	for i, e := range entries[:applied] {
		n.answer(e, answers[i])
	}
}

func (n *Node[R]) answer(e replica.Entry, answer R) {
	w, ok := n.waiters[e.Index]
	if !ok {
		return
	}
	delete(n.waiters, e.Index)
	if w.term != e.Term {
		var none R
		w.answer(none, errLeadLost)
		return
	}
	w.answer(answer, nil)
}

// compact replaces the log by a snapshot of what is applied.
func (n *Node[R]) compact() {
	if n.failed != nil || !n.compactDue() {
		return
	}
	data, err := n.machine.Snapshot()
	if err == nil {
		err = n.disk.Rewrite(n.core.Compact(data))
	}
	if err != nil {
		n.fail(err)
		return
	}
	n.work.Snapshots++
	n.work.SnapshotBytes = len(data)
}

func (n *Node[R]) compactDue() bool {
	entries := n.core.Applied() - n.core.SnapshotIndex()
	grown := n.disk.Size() - int64(n.work.SnapshotBytes)
	if entries >= n.compactAfter {
		return grown > int64(n.work.SnapshotBytes)
	}
	return grown > compactBytes+int64(n.work.SnapshotBytes)
}

// Status returns what this member knows of its group.
func (n *Node[R]) Status() Status {
	s := Status{
		Role: n.core.Role().String(), Term: n.core.Term(), Lead: n.core.Lead(), Commit: n.core.Commit(), Last: n.core.Last(), Settled: n.failed == nil && n.core.Settled(),
		Repair: n.core.Repair(), Syncs: n.disk.Syncs(), LogBytes: n.disk.Size(), Applied: n.work,
	}
	for _, v := range n.core.Membership().Voters {
		s.Members = append(s.Members, v.Member)
	}
	if n.failed != nil {
		s.Lead = n.observedLead
		s.Failure = n.failed.Error()
		s.FailureCode = failureCode(n.failed)
	}
	return s
}
