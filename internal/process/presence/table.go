package presence

import (
	"math/rand/v2"
	"slices"
	"time"
)

// state is the state of an entry.
type state uint8

const (
	// alive means that the record is valid.
	alive state = iota
	// dropped means that the record was dropped; the entry is a tombstone.
	dropped
	// dormant means that the record was dropped by a daemon that was cut off itself.
	// It becomes alive again as soon as any daemon reports it as alive.
	dormant
)

// entry is what is known about one daemon.
type entry struct {
	// record is nil in a tombstone without content.
	record *Record
	// stamp is the newest known stamp; its Life may be higher than that of the record.
	stamp Stamp
	state state
	// suspected is set while an alive entry waits for a refutation.
	suspected bool
	// since is when the suspicion started or the record was dropped.
	since time.Time
	// aliveIndex is the index in table.alive; -1 if the entry is not alive.
	aliveIndex int
}

// table contains all entries, the list of alive records, and the digest tree over
// them.
type table struct {
	entries map[ID]*entry
	// alive are the alive records, in no particular order.
	alive []*Record
	// idsByLeaf are the IDs of all entries, by leaf of the digest tree.
	idsByLeaf [leaves][]ID
	tree      tree
	// tombstones is the number of tombstones.
	tombstones int
}

func newTable() *table { return &table{entries: map[ID]*entry{}} }

// set makes an entry alive with a record and a stamp, and returns the change.
func (t *table) set(r *Record, s Stamp) *Change {
	e := t.entries[s.ID]
	if e == nil {
		e = t.add(s.ID)
	}
	change := &Change{Old: e.aliveRecord(), New: r}
	t.detach(s.ID, e)
	e.record, e.stamp, e.state, e.suspected = r, s, alive, false
	e.aliveIndex = len(t.alive)
	t.alive = append(t.alive, r)
	t.tree.toggle(s)
	return change
}

func (t *table) add(id ID) *entry {
	e := &entry{aliveIndex: -1, state: dormant}
	t.entries[id] = e
	t.idsByLeaf[leafOf(id)] = append(t.idsByLeaf[leafOf(id)], id)
	return e
}

// addTombstone adds a tombstone for an unknown daemon.
func (t *table) addTombstone(since time.Time, s Stamp) {
	e := t.add(s.ID)
	e.stamp, e.state, e.since = s, dropped, since
	t.tombstones++
}

// drop changes the state of an entry to dropped or dormant and returns the change.
func (t *table) drop(now time.Time, id ID, to state) *Change {
	e := t.entries[id]
	change := &Change{Old: e.aliveRecord()}
	t.detach(id, e)
	e.state, e.suspected, e.since = to, false, now
	if to == dropped {
		t.tombstones++
	}
	return change
}

// detach removes an entry from the structures that depend on its state.
func (t *table) detach(id ID, e *entry) {
	if e.state == dropped {
		t.tombstones--
	}
	if e.aliveIndex < 0 {
		return
	}
	t.tree.toggle(e.stamp)
	last := t.alive[len(t.alive)-1]
	t.alive[e.aliveIndex] = last
	t.entries[IDOf(last.Node.Name)].aliveIndex = e.aliveIndex
	t.alive[len(t.alive)-1] = nil
	t.alive = t.alive[:len(t.alive)-1]
	e.aliveIndex = -1
}

// setStamp raises the stamp of an alive entry.
func (t *table) setStamp(e *entry, s Stamp) {
	t.tree.toggle(e.stamp)
	e.stamp = s
	t.tree.toggle(s)
}

func (t *table) forget(id ID) {
	t.detach(id, t.entries[id])
	delete(t.entries, id)
	leaf := &t.idsByLeaf[leafOf(id)]
	*leaf = slices.DeleteFunc(*leaf, func(o ID) bool { return o == id })
}

// aliveRecord returns the record if the entry is alive, or nil.
func (e *entry) aliveRecord() *Record {
	if e.state == alive {
		return e.record
	}
	return nil
}

// currentRecord returns a copy of the record with the newest stamp.
func (e *entry) currentRecord() Record {
	r := *e.record
	r.Life = e.stamp.Life
	return r
}

// pick returns a random alive entry, or nil if there is none.
func (t *table) pick(r *rand.Rand) *entry {
	if len(t.alive) == 0 {
		return nil
	}
	return t.entries[IDOf(t.alive[r.IntN(len(t.alive))].Node.Name)]
}

// pickTries is the number of tries of pickWhere.
const pickTries = 64

// pickWhere returns a random alive entry that matches, or nil if pickTries tries find
// none.
func (t *table) pickWhere(r *rand.Rand, fits func(*Record) bool) *entry {
	for range pickTries {
		if e := t.pick(r); e != nil && fits(e.record) {
			return e
		}
	}
	return nil
}
