package quorum

import (
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/replica"
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

// compactAfter is the number of entries after which a snapshot replaces them.
const compactAfter = 256

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
}

// NewNode joins what was restored from disk to the state machine.
func NewNode[R any](cfg replica.Config, restored replica.Restored, disk Storage, machine StateMachine[R],
	send func(to string, messages []replica.Message), log logr.Logger) (*Node[R], error) {
	if len(restored.Snapshot.Data) > 0 {
		if err := machine.Restore(restored.Snapshot.Data); err != nil {
			return nil, err
		}
	}
	return &Node[R]{
		core: replica.New(cfg, restored), disk: disk, machine: machine, send: send, log: log,
		waiters: map[uint64]waiter[R]{},
	}, nil
}

// Tick advances time by one unit.
func (n *Node[R]) Tick() { n.core.Tick() }

// Step takes in messages of another member.
func (n *Node[R]) Step(messages []replica.Message) {
	for _, m := range messages {
		n.core.Step(m)
	}
}

// Propose appends a command if this member leads; answer is called once, with
// the state machine's answer after the commit or with an error.
func (n *Node[R]) Propose(data []byte, answer func(R, error)) {
	var none R
	if n.failed != nil {
		answer(none, storageFailed(n.failed.Error()))
		return
	}
	index, term, err := n.core.Propose(data)
	if err != nil {
		answer(none, noQuorum(err.Error()))
		return
	}
	n.waiters[index] = waiter[R]{term: term, answer: answer}
}

// Settle carries out what the core decided, until nothing is left. After a
// failed write nothing is persisted, sent or accepted any more.
func (n *Node[R]) Settle() {
	for n.failed == nil {
		ready := n.core.Ready()
		if ready.Empty() {
			return
		}
		if err := n.disk.Save(ready); err != nil {
			n.fail(err)
			return
		}
		n.sendAll(ready.Messages)
		n.restore(ready.Snapshot)
		n.applyAll(ready.Committed)
		n.core.Advance(ready)
		n.compact(ready.Committed)
	}
}

func (n *Node[R]) fail(err error) {
	n.failed = err
	n.log.Error(err, "data folder failed: nothing is accepted here any more")
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

func (n *Node[R]) applyAll(entries []replica.Entry) {
	for _, e := range entries {
		var answer R
		if len(e.Data) > 0 {
			answer = n.machine.Apply(e.Index, e.Term, e.Data)
		}
		n.answer(e, answer)
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

// compact makes a snapshot durable, then drops the entries it stands for.
func (n *Node[R]) compact(committed []replica.Entry) {
	if len(committed) == 0 || n.failed != nil {
		return
	}
	last := committed[len(committed)-1]
	if last.Index-n.core.SnapshotIndex() < compactAfter {
		return
	}
	data, err := n.machine.Snapshot()
	if err != nil {
		n.log.Error(err, "encode snapshot")
		return
	}
	snap := &replica.Snapshot{Index: last.Index, Term: last.Term, Data: data}
	if err := n.disk.Save(replica.Ready{Snapshot: snap}); err != nil {
		n.fail(err)
		return
	}
	n.core.Compact(last.Index, data)
}

// Status returns what this member knows of its group.
func (n *Node[R]) Status() Status {
	s := Status{
		Role: n.core.Role().String(), Term: n.core.Term(), Lead: n.core.Lead(), Commit: n.core.Commit(),
		Syncs: n.disk.Syncs(), LogBytes: n.disk.Size(),
	}
	if n.failed != nil {
		s.Failure = n.failed.Error()
	}
	return s
}
