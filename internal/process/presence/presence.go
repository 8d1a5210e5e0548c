// Package presence maintains the soft state of the fleet: the daemons, and the backend
// servers on the instance of each. Every record is owned by one daemon, which alone
// raises its Incarnation, Seq and Life; the newer record wins.
//
// A daemon that falls silent is suspected by its neighbours, or by a daemon whose probe
// of it fails. It refutes the suspicion by raising Life; otherwise its record is
// dropped after a delay, as in Das, Gupta and Motivala, "SWIM: scalable
// weakly-consistent infection-style process group membership protocol" (2002). Updates
// are sent once over every link; a digest tree finds missed ones.
//
// The package does no I/O: messages and the time are passed in, actions are returned.
package presence

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/daisygate/daisygate/internal/process/view"
)

// Core is the presence table with its protocol state. It is not safe for concurrent
// use.
//
// Invariants: the stamp of an entry never decreases. A dropped record becomes alive
// again only with a newer stamp or, on a daemon that was cut off itself, when another
// daemon reports it as alive.
type Core struct {
	cfg   Config
	id    ID
	rand  *rand.Rand
	self  Record
	table *table
	// links maps the names of the links to whether they are within the failure domain.
	links map[string]bool
	// linkNames are the names of the links, sorted.
	linkNames []string
	// isBorderNode reports whether a daemon passes updates on to other failure domains.
	isBorderNode func(name string) bool

	// suspectedIDs are the IDs of the entries with suspected set.
	suspectedIDs map[ID]bool
	nextDigest   time.Time
	updates      updateQueue
	pull         pull
	prober       prober
	takeover     takeover
	// ownSuspects are the suspects of this process.
	ownSuspects []Suspect
	// inheritedSuspects are the suspects published by earlier processes of this
	// daemon.
	inheritedSuspects []Suspect
	// inheritedFrom is the stamp of the newest record in inheritedSuspects.
	inheritedFrom Stamp
	// nextForget is when expired tombstones are removed next.
	nextForget time.Time
}

// New returns a Core that only knows this daemon.
func New(cfg Config) *Core {
	c := &Core{
		cfg: cfg, id: IDOf(cfg.Self.Name), rand: rand.New(rand.NewPCG(cfg.Seed, 3)),
		table: newTable(), links: map[string]bool{}, suspectedIDs: map[ID]bool{},
		updates: newUpdateQueue(), isBorderNode: func(string) bool { return true },
		inheritedSuspects: limitSuspects(cfg.Suspects),
	}
	c.self = Record{Node: cfg.Self, Incarnation: cfg.Incarnation, Seq: 1, Suspects: c.inheritedSuspects}
	c.storeSelf()
	return c
}

// Records returns the alive records, sorted by name.
func (c *Core) Records() []Record {
	records := make([]Record, 0, len(c.table.alive))
	for _, r := range c.table.alive {
		records = append(records, *r)
	}
	slices.SortFunc(records, func(a, b Record) int { return compareNames(a.Node.Name, b.Node.Name) })
	return records
}

func compareNames(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// All returns the alive records in no particular order. The records must not be
// modified; the slice belongs to the caller.
func (c *Core) All() []*Record { return slices.Clone(c.table.alive) }

// Len returns the number of alive records.
func (c *Core) Len() int { return len(c.table.alive) }

// Node returns the named daemon if its record is alive.
func (c *Core) Node(name string) (view.Node, bool) {
	if e := c.table.entries[IDOf(name)]; e != nil && e.state == alive {
		return e.record.Node, true
	}
	return view.Node{}, false
}

// Pick returns a random daemon in a scope as seen from this one.
func (c *Core) Pick(s view.Scope) (view.Node, bool) {
	e := c.table.pickWhere(c.rand, func(r *Record) bool {
		return r.Node.Name != c.cfg.Self.Name && c.cfg.Self.ScopeOf(r.Node) == s
	})
	if e == nil {
		return view.Node{}, false
	}
	return e.record.Node, true
}

// SetServers replaces the backend servers of this daemon. Those beyond MaxServers are
// omitted.
func (c *Core) SetServers(servers []Server) []Action {
	c.self.Servers = slices.Clone(servers[:min(len(servers), MaxServers)])
	return c.publishSelf()
}

// SetSuspects replaces the suspects of this daemon. Of more than MaxSuspects, those of the
// fewest crashes are omitted.
func (c *Core) SetSuspects(suspects []Suspect) []Action {
	c.ownSuspects = slices.Clone(suspects)
	return c.publishSuspects()
}

func (c *Core) publishSuspects() []Action {
	c.self.Suspects = limitSuspects(mergeSuspects(c.ownSuspects, c.inheritedSuspects))
	return c.publishSelf()
}

// inherit adopts the suspects of an earlier process of this daemon, because these
// requests still crash servers.
func (c *Core) inherit(earlier *Record) []Action {
	if earlier.Incarnation >= c.self.Incarnation || len(earlier.Suspects) == 0 {
		return nil
	}
	preferred, other := c.inheritedSuspects, earlier.Suspects
	if s := earlier.stamp(); s.newer(c.inheritedFrom) {
		preferred, other, c.inheritedFrom = other, preferred, s
	}
	inherited := limitSuspects(mergeSuspects(preferred, other))
	if slices.Equal(inherited, c.inheritedSuspects) {
		return nil
	}
	c.inheritedSuspects = inherited
	return c.publishSuspects()
}

// Leave marks this daemon as leaving.
func (c *Core) Leave() []Action {
	c.self.Leaving = true
	return c.publishSelf()
}

// publishSelf broadcasts new content of this daemon's record.
func (c *Core) publishSelf() []Action {
	c.self.Seq++
	c.self.Life = 0
	change := c.storeSelf()
	update := Message{Type: MsgRecords, Records: []Record{c.self}}
	return append([]Action{{Change: change}}, c.broadcast(update, "")...)
}

func (c *Core) storeSelf() *Change {
	r := c.self
	return c.table.set(&r, r.stamp())
}

// broadcast sends m on all links except one.
func (c *Core) broadcast(m Message, except string) []Action {
	var actions []Action
	for _, name := range c.linkNames {
		if name != except {
			actions = append(actions, c.send(name, m))
		}
	}
	return actions
}

func (c *Core) send(to string, m Message) Action {
	return Action{Send: &Send{To: to, Message: m}}
}

// LinkUp adds a link and starts to compare the tables. near is set if the node is in the failure
// domain of this daemon.
func (c *Core) LinkUp(now time.Time, node string, near bool) []Action {
	if len(c.links) == 0 {
		c.clearSuspicions()
	}
	c.links[node] = near
	c.linkNames = slices.Sorted(maps.Keys(c.links))
	var actions []Action
	if !c.pull.done {
		actions = append(actions, c.send(node, Message{Type: MsgRecords, Records: []Record{c.self}}))
	}
	if pull := c.startPull(now); pull != nil {
		return append(actions, pull...)
	}
	return append(actions, c.sendDigest(node))
}

// LinkDown removes a link. If it failed, the node becomes suspected.
func (c *Core) LinkDown(now time.Time, node string, failed bool) []Action {
	delete(c.links, node)
	c.linkNames = slices.Sorted(maps.Keys(c.links))
	var actions []Action
	if c.pull.from == node {
		c.pull.from = ""
		actions = c.startPull(now)
	}
	e := c.table.entries[IDOf(node)]
	if !failed || e == nil || e.state != alive {
		return actions
	}
	c.prober.searchNear(e.record.Node)
	return append(actions, c.suspect(now, e.stamp, "")...)
}

// Receive processes a message from a linked node.
func (c *Core) Receive(now time.Time, from string, m Message) []Action {
	if m.Type == MsgDigest || m.Type == MsgStamps || m.Type == MsgPull {
		c.noteNeighbourAlive(now, from)
	}
	switch m.Type {
	case MsgRecords:
		return c.receiveRecords(now, from, m)
	case MsgRefute:
		return c.receiveRefutes(now, from, m.Stamps)
	case MsgSuspect:
		return c.receiveClaims(now, from, m.Claims)
	case MsgDigest:
		return c.receiveDigests(now, from, m.Digest)
	case MsgStamps:
		return c.receiveStamps(now, from, m)
	case MsgPull:
		return c.receivePull(now, from, m.From)
	case MsgOffer:
		return c.compareStamps(now, from, m.Stamps)
	case MsgWant:
		return c.receiveWant(from, m.Want)
	}
	return nil
}

// maxForwardedRepairs is the maximum number of repaired records in a message that are
// forwarded. A few are probably new to the neighbours too; many mean that only this
// daemon is catching up.
const maxForwardedRepairs = 8

func (c *Core) receiveRecords(now time.Time, from string, m Message) []Action {
	var changes []*Change
	var actions []Action
	for i := range m.Records {
		r := &m.Records[i]
		change, reply := c.merge(now, from, r)
		if change != nil {
			actions = append(actions, Action{Change: change})
			changes = append(changes, change)
		}
		actions = append(actions, reply...)
	}
	if m.Repair && (len(changes) > maxForwardedRepairs || !c.pull.done) {
		return actions
	}
	var immediate []Record
	for _, change := range changes {
		if urgent(change) {
			immediate = append(immediate, *change.New)
			continue
		}
		c.updates.add(IDOf(change.New.Node.Name), from, false)
	}
	if len(immediate) == 0 {
		return actions
	}
	return append(actions, c.broadcast(Message{Type: MsgRecords, Records: immediate}, from)...)
}

// merge stores a record if it is newer than the known one. Otherwise it replies if the
// sender may lack what is known here.
func (c *Core) merge(now time.Time, from string, r *Record) (*Change, []Action) {
	s := r.stamp()
	if s.ID == c.id {
		return nil, append(c.inherit(r), c.supersede(now, s, &r.Node)...)
	}
	e := c.table.entries[s.ID]
	c.noteNewerStamp(now, s)
	c.noteContradiction(now, e)
	if e == nil || s.newer(e.stamp) || (e.state == dormant && s == e.stamp) {
		r.normalize()
		delete(c.suspectedIDs, s.ID)
		reply := c.sendPreviousRecord(from, e, s)
		return c.table.set(r, s), reply
	}
	if s == e.stamp {
		c.updates.markKnown(s.ID, from)
	}
	if e.state != alive {
		return nil, []Action{c.send(from, Message{Type: MsgSuspect, Claims: []Claim{c.claimFor(now, e)}})}
	}
	return nil, nil
}

// sendPreviousRecord sends a restarted daemon the record of its previous process if
// that contains suspects.
func (c *Core) sendPreviousRecord(from string, e *entry, s Stamp) []Action {
	if e == nil || e.record == nil || IDOf(from) != s.ID || s.Incarnation == e.stamp.Incarnation || len(e.record.Suspects) == 0 {
		return nil
	}
	return []Action{c.send(from, Message{Type: MsgRecords, Records: []Record{*e.record}})}
}

func (c *Core) claimFor(now time.Time, e *entry) Claim {
	age := max(int64(now.Sub(e.since)/time.Second), 1)
	return Claim{Stamp: e.stamp, Age: uint32(age)}
}

// Tick drops suspects whose time has expired, and sends queued updates, digests, pulls
// and probes when they are due.
func (c *Core) Tick(now time.Time) []Action {
	actions := append(c.expire(now), c.flushUpdates()...)
	if len(c.links) == 0 {
		return actions
	}
	actions = append(actions, c.probe(now)...)
	actions = append(actions, c.retryPull(now)...)
	if now.Before(c.nextDigest) || !c.pull.done {
		return actions
	}
	c.nextDigest = now.Add(c.cfg.DigestInterval)
	return append(actions, c.sendDigest(c.linkNames[c.rand.IntN(len(c.linkNames))]))
}

// SetBorderNodes sets which daemons exchange updates with other failure domains. Until the first call,
// all do.
func (c *Core) SetBorderNodes(isBorderNode func(name string) bool) { c.isBorderNode = isBorderNode }

// carriesUpdates reports whether updates that are not urgent are sent on a link. They are not on a
// link to another failure domain without a border node at either end, which is about to be ended.
func (c *Core) carriesUpdates(name string) bool {
	return c.links[name] || c.isBorderNode(c.cfg.Self.Name) || c.isBorderNode(name)
}

// linked reports whether there is a link to the named daemon.
func (c *Core) linked(name string) bool {
	_, linked := c.links[name]
	return linked
}
