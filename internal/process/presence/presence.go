// Package presence keeps the soft state of the fleet: which daemons there are
// and which backend servers stand beside each. Every record has one owner, its
// daemon, who alone raises Incarnation and Seq; the newer record wins.
//
// A daemon that fell silent is suspected by a neighbour; it refutes with a
// newer record, or its record is dropped after a delay.
//
// The package does no I/O: messages and time come in, actions go out.
package presence

import (
	"maps"
	"slices"
	"time"

	"github.com/daisygate/daisygate/internal/process/view"
)

// ServerState is the phase of a backend server's life.
type ServerState uint8

// The states of a backend server, in the order of its life.
const (
	Joining ServerState = iota
	Warming
	Serving
	Draining
)

// TakesWork reports whether a server in this state gets new requests.
func (s ServerState) TakesWork() bool { return s == Warming || s == Serving }

// Server is one backend server beside the record's owner.
type Server struct {
	Mesh    string
	Service string
	// Addr is the address of the backend server, "ip:port".
	Addr        string
	Slots       int
	Connections int
	State       ServerState
	// Since is when the server began to take work, by the owner's clock, in Unix
	// milliseconds: its first announcement as warming or serving after it was
	// unknown or draining. 0 while it takes none.
	Since int64
}

// Record is what a daemon says of itself.
type Record struct {
	Node view.Node
	// Incarnation is the start time of the owner's process in Unix
	// milliseconds; Seq counts its records.
	Incarnation uint64
	Seq         uint64
	// Leaving is set before a planned stop: no new work.
	Leaving bool
	Servers []Server
	// Suspects are requests in progress at crashes beside the owner; at most
	// MaxSuspects.
	Suspects []Suspect
}

// newer reports whether r follows o.
func (r *Record) newer(o *Record) bool {
	return r.Incarnation > o.Incarnation || (r.Incarnation == o.Incarnation && r.Seq > o.Seq)
}

// Stamp names one state of a record.
type Stamp struct {
	Name        string
	Incarnation uint64
	Seq         uint64
}

// MessageType tells what a Message is.
type MessageType uint8

// The message types.
const (
	// MsgRecords brings records.
	MsgRecords MessageType = iota + 1
	// MsgDigest brings a hash over all stamps.
	MsgDigest
	// MsgStamps brings every stamp, after a digest that differed.
	MsgStamps
	// MsgSuspect says that a node fell silent.
	MsgSuspect
)

// Message is what presences exchange.
type Message struct {
	Type    MessageType
	Records []Record
	Digest  uint64
	Stamps  []Stamp
	Suspect Stamp
}

// Action is what the driver must do; exactly one field is set.
type Action struct {
	Send *Send
	// Changed tells that the table changed.
	Changed bool
}

// Send delivers a message to a linked node.
type Send struct {
	To      string
	Message Message
}

// Config is fixed for the life of a Core.
type Config struct {
	Self view.Node
	// Incarnation of this process.
	Incarnation uint64
	// DigestInterval is the time between digests to one random link.
	DigestInterval time.Duration
	// SuspectFor is how long a suspect has to refute.
	SuspectFor time.Duration
	// ForgetAfter is how long a dropped record's stamp is kept, so that an old
	// copy does not come back.
	ForgetAfter time.Duration
}

type entry struct {
	record Record
	// suspected is when the suspicion began; zero when there is none.
	suspected time.Time
	// gone is when the record was dropped; zero while it counts.
	gone time.Time
}

// Core holds the table. It is not safe for concurrent use.
type Core struct {
	cfg   Config
	self  Record
	table map[string]*entry
	links map[string]bool
	next  time.Time
	turn  int
}

// New returns a Core that knows only itself.
func New(cfg Config) *Core {
	c := &Core{cfg: cfg, table: map[string]*entry{}, links: map[string]bool{}}
	c.self = Record{Node: cfg.Self, Incarnation: cfg.Incarnation, Seq: 1}
	c.table[cfg.Self.Name] = &entry{record: c.self}
	return c
}

// Records returns the records that count, in order of name.
func (c *Core) Records() []Record {
	var records []Record
	for _, name := range slices.Sorted(maps.Keys(c.table)) {
		if e := c.table[name]; e.gone.IsZero() {
			records = append(records, e.record)
		}
	}
	return records
}

// SetServers replaces the backend servers beside this daemon.
func (c *Core) SetServers(servers []Server) []Action {
	c.self.Servers = servers
	return c.renew()
}

// SetSuspects replaces the suspects of this daemon; of more than MaxSuspects
// those that expire first are left out.
func (c *Core) SetSuspects(suspects []Suspect) []Action {
	c.self.Suspects = boundSuspects(suspects)
	return c.renew()
}

// Leave marks this daemon as leaving.
func (c *Core) Leave() []Action {
	c.self.Leaving = true
	return c.renew()
}

func (c *Core) renew() []Action {
	c.self.Seq++
	c.table[c.cfg.Self.Name].record = c.self
	actions := []Action{{Changed: true}}
	return append(actions, c.broadcast(Message{Type: MsgRecords, Records: []Record{c.self}}, "")...)
}

func (c *Core) broadcast(m Message, except string) []Action {
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(c.links)) {
		if name != except {
			actions = append(actions, c.send(name, m))
		}
	}
	return actions
}

func (c *Core) send(to string, m Message) Action {
	return Action{Send: &Send{To: to, Message: m}}
}

// LinkUp adds a link and begins a comparison.
func (c *Core) LinkUp(node string) []Action {
	c.links[node] = true
	return []Action{c.send(node, Message{Type: MsgDigest, Digest: c.digest()})}
}

// LinkDown removes a link; failed begins a suspicion.
func (c *Core) LinkDown(now time.Time, node string, failed bool) []Action {
	delete(c.links, node)
	e := c.table[node]
	if !failed || e == nil || !e.gone.IsZero() {
		return nil
	}
	return c.suspect(now, Stamp{Name: node, Incarnation: e.record.Incarnation, Seq: e.record.Seq}, "")
}

func (c *Core) suspect(now time.Time, s Stamp, from string) []Action {
	if s.Name == c.cfg.Self.Name {
		if s.Incarnation == c.self.Incarnation && s.Seq >= c.self.Seq {
			c.self.Seq = s.Seq
			return c.renew()
		}
		return nil
	}
	e := c.table[s.Name]
	if e == nil || !e.gone.IsZero() || !e.suspected.IsZero() {
		return nil
	}
	if e.record.Incarnation != s.Incarnation || e.record.Seq != s.Seq {
		return nil
	}
	e.suspected = now
	return c.broadcast(Message{Type: MsgSuspect, Suspect: s}, from)
}

// Receive takes in a message of a linked node.
func (c *Core) Receive(now time.Time, from string, m Message) []Action {
	switch m.Type {
	case MsgRecords:
		return c.receiveRecords(now, from, m.Records)
	case MsgDigest:
		if m.Digest != c.digest() {
			return []Action{c.send(from, Message{Type: MsgStamps, Stamps: c.stamps()})}
		}
	case MsgStamps:
		return c.receiveStamps(from, m.Stamps)
	case MsgSuspect:
		return c.suspect(now, m.Suspect, from)
	}
	return nil
}

func (c *Core) receiveRecords(now time.Time, from string, records []Record) []Action {
	var fresh []Record
	for _, r := range records {
		if c.merge(r) {
			fresh = append(fresh, r)
		}
	}
	if len(fresh) == 0 {
		return nil
	}
	actions := []Action{{Changed: true}}
	return append(actions, c.broadcast(Message{Type: MsgRecords, Records: fresh}, from)...)
}

func (c *Core) merge(r Record) bool {
	if r.Node.Name == c.cfg.Self.Name {
		return false
	}
	e := c.table[r.Node.Name]
	if e != nil && !r.newer(&e.record) {
		return false
	}
	c.table[r.Node.Name] = &entry{record: r}
	return true
}

// receiveStamps answers with what the other side lacks, and asks for the rest
// by sending the own stamps back once.
func (c *Core) receiveStamps(from string, stamps []Stamp) []Action {
	theirs := map[string]Stamp{}
	for _, s := range stamps {
		theirs[s.Name] = s
	}
	var newer []Record
	behind := false
	for _, r := range c.Records() {
		s, ok := theirs[r.Node.Name]
		if !ok || r.newer(&Record{Incarnation: s.Incarnation, Seq: s.Seq}) {
			newer = append(newer, r)
		}
	}
	for _, s := range stamps {
		e := c.table[s.Name]
		if e == nil || (&Record{Incarnation: s.Incarnation, Seq: s.Seq}).newer(&e.record) {
			behind = true
		}
	}
	var actions []Action
	if len(newer) > 0 {
		actions = append(actions, c.send(from, Message{Type: MsgRecords, Records: newer}))
	}
	if behind {
		actions = append(actions, c.send(from, Message{Type: MsgStamps, Stamps: c.stamps()}))
	}
	return actions
}

func (c *Core) stamps() []Stamp {
	var stamps []Stamp
	for _, r := range c.Records() {
		stamps = append(stamps, Stamp{Name: r.Node.Name, Incarnation: r.Incarnation, Seq: r.Seq})
	}
	return stamps
}

// digest is an order-free hash over all stamps.
func (c *Core) digest() uint64 {
	var sum uint64
	for _, s := range c.stamps() {
		sum += s.hash()
	}
	return sum
}

// Tick drops suspects whose time is over and sends a digest when it is due.
func (c *Core) Tick(now time.Time) []Action {
	actions := c.expire(now)
	if now.Before(c.next) || len(c.links) == 0 {
		return actions
	}
	c.next = now.Add(c.cfg.DigestInterval)
	names := slices.Sorted(maps.Keys(c.links))
	c.turn++
	to := names[c.turn%len(names)]
	return append(actions, c.send(to, Message{Type: MsgDigest, Digest: c.digest()}))
}

func (c *Core) expire(now time.Time) []Action {
	changed := false
	for name, e := range c.table {
		if e.gone.IsZero() && !e.suspected.IsZero() && now.Sub(e.suspected) > c.cfg.SuspectFor {
			e.gone = now
			changed = true
		}
		if !e.gone.IsZero() && now.Sub(e.gone) > c.cfg.ForgetAfter {
			delete(c.table, name)
		}
	}
	if changed {
		return []Action{{Changed: true}}
	}
	return nil
}
