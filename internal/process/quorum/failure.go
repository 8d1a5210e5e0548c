package quorum

import (
	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/process/storage"
	"github.com/daisygate/daisygate/internal/result"
)

// reopenTicks is the number of ticks between attempts to reopen the log of a failed disk.
const reopenTicks = 25

// fail stops the member after a failed write, or if its state differs from that of the
// other members. The applied state remains readable.
func (n *Node[R]) fail(code result.Code, err error) {
	if code == result.StorageFailed {
		n.stats.StorageFailures++
	}
	n.failed, n.failureCode, n.failedTicks = err, code, 0
	n.core.StepDown()
	n.observedTerm, n.observedLead = n.core.Term(), ""
	n.log.Error(err, "source failed; it takes no part in its group", "code", code.String(), "applied", n.applied.index, "last", n.core.Last())
	n.failWaiters(result.Errorf(result.CommitUnknown, "%v", err))
}

// tickFailed advances the logical clock of a failed member by one tick.
func (n *Node[R]) tickFailed() {
	n.failedTicks++
	if n.failureCode == result.StorageFailed && n.failedTicks%reopenTicks == 0 {
		n.reopen()
	}
}

// reopen tries to take part in the group again after a failure of the disk, with what is read
// back from it.
func (n *Node[R]) reopen() {
	restored, err := n.disk.Reopen()
	if err == nil && !restored.Holds(n.applied.index, n.applied.term) {
		err = errors.Wrapf(storage.ErrDamaged, "entry %d of term %d was applied, but the log does not hold it", n.applied.index, n.applied.term)
	}
	if err != nil {
		n.logReopenError(err)
		return
	}
	if err := n.start(restored); err != nil {
		n.fail(stateFailureCode(err), err)
		return
	}
	n.log.Info("log reopened; the source takes part again", "cause", n.failed.Error(), "failed_ticks", n.failedTicks,
		"last", n.core.Last(), "applied", n.applied.index, "term", n.core.Term(), "bytes", n.disk.Size())
	n.failed, n.failureCode, n.failedTicks = nil, result.OK, 0
}

// logReopenError logs why the log could not be reopened. The status keeps the cause of the
// failure, unless the disk turns out to have lost data.
func (n *Node[R]) logReopenError(err error) {
	if errors.Is(err, storage.ErrDamaged) && !errors.Is(n.failed, storage.ErrDamaged) {
		n.log.Error(err, "log not reopened; the disk has lost data")
		n.failed = err
		return
	}
	n.log.V(1).Info("log not reopened", "error", err.Error(), "failed_ticks", n.failedTicks)
}

// observeLeader lets a failed member still report who is the leader.
func (n *Node[R]) observeLeader(m replica.Message) {
	if m.Type == replica.MsgAppend && m.Term >= n.observedTerm {
		n.observedTerm = m.Term
		n.observedLead = m.From
	}
}

// stateFailureCode returns the code of a state machine error, StateDiverged if it has none.
func stateFailureCode(err error) result.Code {
	if code := errorCode(err); code != result.OK {
		return code
	}
	return result.StateDiverged
}
