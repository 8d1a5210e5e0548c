package replica

// raftLog is the part of the log after the last snapshot, in memory.
// entries[i] has index snapshot.Index+1+i.
type raftLog struct {
	snapshot Snapshot
	entries  []Entry
	// stable is the last index known to be synced; stable <= last.
	stable uint64
	// commit <= last; it never falls.
	commit uint64
	// applied <= commit.
	applied uint64
}

func (l *raftLog) first() uint64 { return l.snapshot.Index + 1 }

func (l *raftLog) last() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

// term returns the term at index and whether the index is held.
func (l *raftLog) term(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.first() || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.first()].Term, true
}

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// from returns at most limit entries beginning at index.
func (l *raftLog) from(index uint64, limit int) []Entry {
	if index > l.last() || index < l.first() {
		return nil
	}
	entries := l.entries[index-l.first():]
	if len(entries) > limit {
		entries = entries[:limit]
	}
	return append([]Entry(nil), entries...)
}

// upToDate reports whether a log ending in (index, term) holds at least as
// much as this one: the election restriction.
func (l *raftLog) upToDate(index, term uint64) bool {
	last := l.lastTerm()
	return term > last || (term == last && index >= l.last())
}

// merge appends entries, cutting a conflicting tail. A committed entry is
// never cut: log matching rules that out, and a violation panics.
func (l *raftLog) merge(entries []Entry) {
	for i, e := range entries {
		term, held := l.term(e.Index)
		if held && term == e.Term {
			continue
		}
		if e.Index < l.first() {
			continue
		}
		if held {
			if e.Index <= l.commit {
				panic("replica: conflict with a committed entry")
			}
			l.entries = l.entries[:e.Index-l.first()]
			l.stable = min(l.stable, e.Index-1)
		}
		l.entries = append(l.entries, entries[i:]...)
		return
	}
}

// restore replaces everything by a snapshot.
func (l *raftLog) restore(s Snapshot) {
	l.snapshot = s
	l.entries = nil
	l.stable = s.Index
	l.commit = s.Index
	l.applied = s.Index
}

// compact drops entries up to the snapshot's index.
func (l *raftLog) compact(s Snapshot) {
	if s.Index <= l.snapshot.Index || s.Index > l.applied {
		return
	}
	l.entries = append([]Entry(nil), l.entries[s.Index-l.snapshot.Index:]...)
	l.snapshot = s
}
