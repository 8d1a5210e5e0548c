package replica

// raftLog is the in-memory part of the log, after the last snapshot. entries[i] has
// index snapshot.Index+1+i.
type raftLog struct {
	snapshot Snapshot
	entries  []Entry
	// stable is the last index known to be durable; stable <= last.
	stable uint64
	// commit is the commit index; commit <= last, and it never decreases.
	commit uint64
	// applied is the last applied index; applied <= commit.
	applied uint64
}

func (l *raftLog) first() uint64 { return l.snapshot.Index + 1 }

func (l *raftLog) last() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

// term returns the term of the entry at index and whether that entry is in the log or
// is the last one covered by the snapshot.
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

// entriesFrom returns at most limit entries, starting at index.
func (l *raftLog) entriesFrom(index uint64, limit int) []Entry {
	if index > l.last() || index < l.first() {
		return nil
	}
	entries := l.entries[index-l.first():]
	if len(entries) > limit {
		entries = entries[:limit]
	}
	return append([]Entry(nil), entries...)
}

// entriesAfter returns the entries after index.
func (l *raftLog) entriesAfter(index uint64) []Entry { return l.entriesFrom(index+1, len(l.entries)) }

// unapplied returns the entries that are committed but not applied.
func (l *raftLog) unapplied() []Entry { return l.entriesFrom(l.applied+1, int(l.commit-l.applied)) }

// batch returns entries starting at index that fit into one append message.
func (l *raftLog) batch(index uint64) []Entry {
	entries := l.entriesFrom(index, maxAppendEntries)
	size := 0
	for i := range entries {
		size += entries[i].size()
		if i > 0 && size > maxAppendBytes {
			return entries[:i]
		}
	}
	return entries
}

// pendingVoters returns the newest voter list that is not committed, or nil.
func (l *raftLog) pendingVoters() []Voter {
	for i := l.last(); i > l.commit; i-- {
		if voters := l.entries[i-l.first()].Voters; voters != nil {
			return voters
		}
	}
	return nil
}

// truncateFrom removes the entries from index on.
func (l *raftLog) truncateFrom(index uint64) {
	l.entries = l.entries[:index-l.first()]
	l.stable = min(l.stable, index-1)
}

// upToDate reports whether a log that ends in (index, term) is at least as up-to-date
// as this one (the election restriction).
func (l *raftLog) upToDate(index, term uint64) bool {
	last := l.lastTerm()
	return term > last || (term == last && index >= l.last())
}

// truncateAndAppend appends entries and removes a conflicting tail. Log matching
// guarantees that a committed entry never conflicts; truncateAndAppend panics if one
// does.
func (l *raftLog) truncateAndAppend(entries []Entry) {
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
			l.truncateFrom(e.Index)
		}
		l.entries = append(l.entries, entries[i:]...)
		return
	}
}

// restore replaces the whole log with a snapshot.
func (l *raftLog) restore(s Snapshot) {
	*l = raftLog{snapshot: s, stable: s.Index, commit: s.Index, applied: s.Index}
}

// compact removes the entries covered by the snapshot, all of which are applied.
func (l *raftLog) compact(s Snapshot) {
	kept := l.entriesFrom(s.Index+1, len(l.entries))
	l.snapshot = s
	l.entries = kept
}
