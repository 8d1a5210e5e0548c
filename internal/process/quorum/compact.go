package quorum

// A snapshot replaces the log once the log has grown by the size of the last snapshot,
// and by compactMinEntries entries or by compactMinBytes more. The cost of a snapshot
// per entry is then at most the size of the entry, however large the state is, and a
// member that starts has no more to apply than to restore.
const (
	compactMinEntries = 16
	compactMinBytes   = 4 << 20
)

// compact replaces the log with a snapshot of the applied state, if it has grown
// enough. If the disk refuses the snapshot, the member goes on with the old log, and tries
// again when that has grown as much once more.
func (n *Node[R]) compact() {
	if n.failed != nil || !n.shouldCompact() {
		return
	}
	data, err := n.machine.Snapshot()
	if err != nil {
		n.fail(stateFailureCode(err), err)
		return
	}
	if err := n.disk.Rewrite(n.core.Compact(data)); err != nil {
		n.log.Error(err, "log not compacted", "bytes", n.disk.Size(), "snapshot_bytes", len(data))
		n.stats.FailedSnapshots++
		n.refusedAt = n.disk.Size()
		return
	}
	n.refusedAt = 0
	n.stats.Snapshots++
	n.stats.SnapshotBytes = len(data)
}

func (n *Node[R]) shouldCompact() bool {
	entries := n.core.Applied() - n.core.SnapshotIndex()
	growth := n.disk.Size() - max(int64(n.stats.SnapshotBytes), n.refusedAt)
	if entries >= n.compactAfter {
		return growth > int64(n.stats.SnapshotBytes)
	}
	return growth > compactMinBytes+int64(n.stats.SnapshotBytes)
}
