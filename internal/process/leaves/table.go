package leaves

import (
	"container/list"
	"slices"
	"time"
)

// Limits of a Table. They must be the same on every source of a group.
const (
	// Retention is how long a leave is retained. Servers that leave stop within minutes, and
	// announcements are delayed by seconds.
	Retention = time.Hour
	// MaxPerNode is the maximum number of leaves of one daemon; the oldest are evicted.
	MaxPerNode = 64
)

// Record is a retained leave.
type Record struct {
	// Node is the name of the daemon that acknowledges the leave.
	Node  string `cbor:"1,keyasint"`
	Leave Leave  `cbor:"2,keyasint"`
	// At is when the leave was added, in Unix milliseconds.
	At int64 `cbor:"3,keyasint"`
}

// Table retains the leaves acknowledged by all daemons. It is deterministic: its time is the
// latest that a command carried. It is not safe for concurrent use.
//
// Invariant: it contains at most one leave of a boot ID for each daemon.
type Table struct {
	// now is the latest time of any command, in Unix milliseconds.
	now int64
	// records contains *Record, oldest first.
	records *list.List
	// byNode contains the elements of records by daemon, oldest first.
	byNode map[string][]*list.Element
}

// NewTable returns a table with the records of another one, oldest first.
func NewTable(records []Record) *Table {
	t := &Table{records: list.New(), byNode: map[string][]*list.Element{}}
	for _, r := range records {
		t.now = max(t.now, r.At)
		t.insert(r)
	}
	return t
}

// Add retains a leave acknowledged by a daemon. now is the time of the command in Unix
// milliseconds.
func (t *Table) Add(now int64, node string, l Leave) {
	t.now = max(t.now, now)
	t.expire()
	for _, e := range t.byNode[node] {
		if known := e.Value.(*Record).Leave; known.Boot == l.Boot {
			l = l.Merge(known)
			t.remove(e)
			break
		}
	}
	if elements := t.byNode[node]; len(elements) >= MaxPerNode {
		t.remove(elements[0])
	}
	t.insert(Record{Node: node, Leave: l, At: t.now})
}

// Of returns the leaves acknowledged by a daemon, oldest first.
func (t *Table) Of(node string) []Leave {
	var all []Leave
	for _, e := range t.byNode[node] {
		all = append(all, e.Value.(*Record).Leave)
	}
	return all
}

// Records returns all records, oldest first.
func (t *Table) Records() []Record {
	records := make([]Record, 0, t.records.Len())
	for e := t.records.Front(); e != nil; e = e.Next() {
		records = append(records, *e.Value.(*Record))
	}
	return records
}

// Len returns the number of records.
func (t *Table) Len() int { return t.records.Len() }

func (t *Table) insert(r Record) {
	t.byNode[r.Node] = append(t.byNode[r.Node], t.records.PushBack(&r))
}

func (t *Table) remove(e *list.Element) {
	node := t.records.Remove(e).(*Record).Node
	t.byNode[node] = slices.DeleteFunc(t.byNode[node], func(o *list.Element) bool { return o == e })
	if len(t.byNode[node]) == 0 {
		delete(t.byNode, node)
	}
}

func (t *Table) expire() {
	for e := t.records.Front(); e != nil && t.now-e.Value.(*Record).At >= Retention.Milliseconds(); e = t.records.Front() {
		t.remove(e)
	}
}
