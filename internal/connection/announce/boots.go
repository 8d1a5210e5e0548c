package announce

import (
	"time"

	"github.com/daisygate/daisygate/internal/process/leaves"
)

const (
	// maxDepartedBoots limits the number of boots whose leaves are remembered. A delayed
	// announcement is a few seconds old, and a server takes longer than that to start.
	maxDepartedBoots = 256
	// restoredDrainDuration is how long a restored leave of a draining server is in force. A
	// server that still drains has announced that by then; its lease takes over.
	restoredDrainDuration = 10 * time.Second
)

// departedBoots remembers which boots of servers have left, so that neither a delayed
// announcement nor a health check registers one of them again.
type departedBoots struct {
	// leaves contains the newest leave of each boot ID.
	leaves map[string]departure
	// order contains the boot IDs, oldest first.
	order []string
}

// departure is a leave and how long it is remembered.
type departure struct {
	leaves.Leave
	// until is when the leave is no longer in force; zero for never.
	until time.Time
}

// add remembers a leave until the given time, or without end if it is zero. A leave without a
// boot ID is ignored.
func (b *departedBoots) add(l leaves.Leave, until time.Time) {
	if l.Boot == "" {
		return
	}
	if known, ok := b.leaves[l.Boot]; ok {
		merged := known.Merge(l)
		if merged == known.Leave {
			return
		}
		b.leaves[l.Boot] = departure{merged, until}
		return
	}
	if b.leaves == nil {
		b.leaves = map[string]departure{}
	}
	if len(b.order) == maxDepartedBoots {
		delete(b.leaves, b.order[0])
		b.order = b.order[1:]
	}
	b.leaves[l.Boot] = departure{l, until}
	b.order = append(b.order, l.Boot)
}

// end remembers that a boot has ended.
func (b *departedBoots) end(boot string, started int64) {
	b.add(leaves.Leave{Boot: boot, Started: started, Ended: true}, time.Time{})
}

// find returns the leave of a boot ID that is in force.
func (b *departedBoots) find(now time.Time, boot string) (leaves.Leave, bool) {
	d, known := b.leaves[boot]
	if !known || !d.until.IsZero() && !now.Before(d.until) {
		return leaves.Leave{}, false
	}
	return d.Leave, true
}

// covers reports whether the announcement is out of date because its boot has left. A health
// check reveals neither the start time nor the sequence number: only an announcement of the
// server takes a leave back.
func (b *departedBoots) covers(now time.Time, a *Announcement) bool {
	l, known := b.find(now, a.Boot)
	return known && (a.Inferred || l.Covers(a.Started, a.Sequence) && (l.Ended || !a.leaving()))
}
