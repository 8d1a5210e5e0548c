// Package leaves defines the acknowledged leaves of backend servers, and the replicated table in
// which the sources retain them.
//
// A daemon acknowledges a leave only once the sources have committed it, because the instances
// of backend servers have no disk: a daemon that is restarted learns from the sources which
// servers on its instance it must send no requests to.
package leaves

// Leave states that one boot (one start of a backend server) accepts no more requests.
type Leave struct {
	// Boot is the boot ID; never empty.
	Boot string `cbor:"1,keyasint"`
	// Started is the start time of the boot in Unix milliseconds; 0 if unknown. A restarted
	// server may reuse its boot ID.
	Started int64 `cbor:"2,keyasint,omitempty"`
	// Sequence is the sequence number of the announcement that stated the leave; 0 if unknown. A
	// later announcement of the boot may take the leave back.
	Sequence uint64 `cbor:"3,keyasint,omitempty"`
	// Ended is set if the boot was deregistered. Such a leave is never taken back.
	Ended bool `cbor:"4,keyasint,omitempty"`
}

// Covers reports whether an announcement that the boot accepts requests is out of date: it is
// about the same start or an earlier one, and was sent before the leave. started and sequence
// are those of the announcement; 0 if unknown.
func (l Leave) Covers(started int64, sequence uint64) bool {
	if started != l.Started {
		return started < l.Started
	}
	return l.Ended || sequence <= l.Sequence
}

// Merge returns the leave that covers more of two leaves with the same boot ID.
func (l Leave) Merge(o Leave) Leave {
	switch {
	case l.Started != o.Started:
		if l.Started > o.Started {
			return l
		}
		return o
	case l.Ended != o.Ended:
		if l.Ended {
			return l
		}
		return o
	}
	l.Sequence = max(l.Sequence, o.Sequence)
	return l
}
