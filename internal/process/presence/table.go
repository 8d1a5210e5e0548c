package presence

import (
	"math/rand/v2"
	"slices"
	"time"
)

// state tells whether an entry's record counts.
type state uint8

const (
	// alive records count.
	alive state = iota
	// gone records were dropped; the entry is a tombstone.
	gone
	// dormant records were dropped by a daemon that was itself cut off: they
	// count again as soon as anyone says that they are alive.
	dormant
)

// entry is what is known of one daemon.
type entry struct {
	// record is nil in a tombstone without content.
	record *Record
	// stamp is the newest known; its Life may be above the record's.
	stamp Stamp
	state state
	// suspected is set while an alive entry waits for a refutation.
	suspected bool
	// since is when the suspicion began or the record was dropped.
	since time.Time
	// place is the index in table.alive; -1 unless alive.
	place int
}

// table holds all entries, the list of those alive, and the digest tree over
// them.
type table struct {
	entries map[ID]*entry
	// alive are the records that count, in no order.
	alive []*Record
	// members are the IDs of all entries, by leaf.
	members [leaves][]ID
	tree    tree
	// dropped is the number of tombstones.
	dropped int
}

func newTable() *table { return &table{entries: map[ID]*entry{}} }

// set makes an entry alive with a record and stamp, and returns the change.
func (t *table) set(r *Record, s Stamp) *Change {
	e := t.entries[s.ID]
	if e == nil {
		e = t.add(s.ID)
	}
	change := &Change{Old: e.counted(), New: r}
	t.leave(s.ID, e)
	e.record, e.stamp, e.state, e.suspected = r, s, alive, false
	e.place = len(t.alive)
	t.alive = append(t.alive, r)
	t.tree.toggle(s)
	return change
}

func (t *table) add(id ID) *entry {
	e := &entry{place: -1, state: dormant}
	t.entries[id] = e
	t.members[leafOf(id)] = append(t.members[leafOf(id)], id)
	return e
}

// bury adds a tombstone for a daemon that is not known.
func (t *table) bury(since time.Time, s Stamp) {
	e := t.add(s.ID)
	e.stamp, e.state, e.since = s, gone, since
	t.dropped++
}

// drop makes an entry a tombstone or dormant.
func (t *table) drop(now time.Time, id ID, to state) *Change {
	e := t.entries[id]
	change := &Change{Old: e.counted()}
	t.leave(id, e)
	e.state, e.suspected, e.since = to, false, now
	if to == gone {
		t.dropped++
	}
	return change
}

// leave takes an entry out of whatever its state put it in.
func (t *table) leave(id ID, e *entry) {
	if e.state == gone {
		t.dropped--
	}
	if e.place < 0 {
		return
	}
	t.tree.toggle(e.stamp)
	last := t.alive[len(t.alive)-1]
	t.alive[e.place] = last
	t.entries[IDOf(last.Node.Name)].place = e.place
	t.alive[len(t.alive)-1] = nil
	t.alive = t.alive[:len(t.alive)-1]
	e.place = -1
}

// restamp raises the stamp of an alive entry.
func (t *table) restamp(e *entry, s Stamp) {
	t.tree.toggle(e.stamp)
	e.stamp = s
	t.tree.toggle(s)
}

func (t *table) forget(id ID) {
	t.leave(id, t.entries[id])
	delete(t.entries, id)
	leaf := &t.members[leafOf(id)]
	*leaf = slices.DeleteFunc(*leaf, func(o ID) bool { return o == id })
}

// counted returns the record while it counts.
func (e *entry) counted() *Record {
	if e.state == alive {
		return e.record
	}
	return nil
}

// current returns a copy of the record with the newest stamp.
func (e *entry) current() Record {
	r := *e.record
	r.Life = e.stamp.Life
	return r
}

// pick returns a random alive entry; nil when there is none.
func (t *table) pick(r *rand.Rand) *entry {
	if len(t.alive) == 0 {
		return nil
	}
	return t.entries[IDOf(t.alive[r.IntN(len(t.alive))].Node.Name)]
}

// pickTries bounds the search of pickWhere.
const pickTries = 64

// pickWhere returns a random alive entry that fits; nil when a few tries find
// none.
func (t *table) pickWhere(r *rand.Rand, fits func(*Record) bool) *entry {
	for range pickTries {
		if e := t.pick(r); e != nil && fits(e.record) {
			return e
		}
	}
	return nil
}
