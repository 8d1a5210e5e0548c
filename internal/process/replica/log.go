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

// after returns the entries above index.
func (l *raftLog) after(index uint64) []Entry { return l.from(index+1, len(l.entries)) }

// committed returns what is committed and not yet applied.
func (l *raftLog) committed() []Entry { return l.from(l.applied+1, int(l.commit-l.applied)) }

// batch returns entries beginning at index that fit one append message.
func (l *raftLog) batch(index uint64) []Entry {
	entries := l.from(index, maxEntries)
	size := 0
	for i := range entries {
		size += entries[i].size()
		if i > 0 && size > maxBytes {
			return entries[:i]
		}
	}
	return entries
}

// pendingVoters returns the newest list of voters that is not yet committed.
func (l *raftLog) pendingVoters() []Voter {
	for i := l.last(); i > l.commit; i-- {
		if voters := l.entries[i-l.first()].Voters; voters != nil {
			return voters
		}
	}
	return nil
}

// cut drops the entries from index on.
func (l *raftLog) cut(index uint64) {
	l.entries = l.entries[:index-l.first()]
	l.stable = min(l.stable, index-1)
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
			l.cut(e.Index)
		}
		l.entries = append(l.entries, entries[i:]...)
		return
	}
}

// restore replaces everything by a snapshot.
func (l *raftLog) restore(s Snapshot) {
	*l = raftLog{snapshot: s, stable: s.Index, commit: s.Index, applied: s.Index}
}

// compact drops entries up to the snapshot's index, which is applied.
func (l *raftLog) compact(s Snapshot) {
	kept := l.from(s.Index+1, len(l.entries))
	l.snapshot = s
	l.entries = kept
}
