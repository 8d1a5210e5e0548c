// Package spread decides how accepted versions reach every daemon: eager push
// of deltas over tree links, digests on all links, and a graft where a digest
// shows a miss, after Leitão, Pereira and Rodrigues, "Epidemic Broadcast Trees"
// (2007). The leader's heartbeat travels the same way, so that a daemon that
// misses it knows its version may be stale.
//
// The package does no I/O: messages and time come in, actions go out. A Core
// never installs a version lower than the one it has.
package spread

import (
	"maps"
	"slices"
	"time"

	"github.com/daisygate/daisygate/internal/version/fleet"
)

// MessageType tells what a Message is.
type MessageType uint8

// The message types.
const (
	// MsgDelta brings a delta; sent eagerly on tree links and as the answer to
	// a graft.
	MsgDelta MessageType = iota + 1
	// MsgDigest tells the sender's version and hash.
	MsgDigest
	// MsgGraft asks for everything after Version and makes the link a tree link.
	MsgGraft
	// MsgPrune makes the link a lazy link: the delta came another way first.
	MsgPrune
	// MsgHeartbeat brings the leader's heartbeat.
	MsgHeartbeat
)

// Heartbeat is the leader's sign of life. Newer is by Term, then Seq.
type Heartbeat struct {
	Term uint64
	Seq  uint64
	// Version is the committed fleet version at the leader.
	Version uint64
}

// newer reports whether h follows o.
func (h Heartbeat) newer(o Heartbeat) bool {
	return h.Term > o.Term || (h.Term == o.Term && h.Seq > o.Seq)
}

// Message is what spreads exchange.
type Message struct {
	Type      MessageType
	Version   uint64
	Hash      uint64
	Delta     []byte
	Heartbeat Heartbeat
}

// Action is what the driver must do; exactly one field is set.
type Action struct {
	// Send delivers Message to the node named To.
	Send *Send
	// Install is a new version to put in force.
	Install *fleet.State
	// Rejected tells of a message that could not be applied.
	Rejected error
}

// Send delivers a message.
type Send struct {
	To      string
	Message Message
}

// Config is fixed for the life of a Core.
type Config struct {
	// DigestInterval is the time between digests on every link.
	DigestInterval time.Duration
	// StaleAfter is how long the leader's heartbeat may be missed.
	StaleAfter time.Duration
	// History is the number of deltas kept to serve grafts.
	History int
}

type link struct {
	eager bool
	// grafted is the version asked for last, to ask once.
	grafted time.Time
}

// Core holds the state of one daemon. It is not safe for concurrent use.
type Core struct {
	cfg   Config
	state *fleet.State
	// history are the last states, oldest first, the current one included.
	history   []*fleet.State
	links     map[string]*link
	heartbeat Heartbeat
	// beat is when the newest heartbeat came.
	beat time.Time
	next time.Time
	// from is the node that brought the installed version; "" when this node
	// learned it as a source.
	from string
}

// New returns a Core that begins with state.
func New(cfg Config, state *fleet.State) *Core {
	return &Core{cfg: cfg, state: state, history: []*fleet.State{state}, links: map[string]*link{}}
}

// State is the newest version installed.
func (c *Core) State() *fleet.State { return c.state }

// Heartbeat returns the newest heartbeat and when it came.
func (c *Core) Heartbeat() (Heartbeat, time.Time) { return c.heartbeat, c.beat }

// Stale reports whether the leader's heartbeat has been missed for too long.
func (c *Core) Stale(now time.Time) bool { return now.Sub(c.beat) > c.cfg.StaleAfter }

// Confirmed reports whether the installed version is at least the one that the
// leader's newest heartbeat names.
func (c *Core) Confirmed() bool {
	return !c.beat.IsZero() && c.state.Version >= c.heartbeat.Version
}

// LinkUp adds a link, eager at first, and offers the version.
func (c *Core) LinkUp(node string) []Action {
	if c.links[node] == nil {
		c.links[node] = &link{eager: true}
	}
	return []Action{c.send(node, c.digest()), c.send(node, Message{Type: MsgHeartbeat, Heartbeat: c.heartbeat})}
}

// LinkDown removes a link; the tree mends itself: every remaining link becomes
// eager again until duplicates prune it.
func (c *Core) LinkDown(node string) {
	delete(c.links, node)
	for _, l := range c.links {
		l.eager = true
	}
}

// Publish installs a state that this node learned as a source.
func (c *Core) Publish(state *fleet.State) []Action {
	if state.Version <= c.state.Version {
		return nil
	}
	return c.install(state, "")
}

// Beat spreads this node's own heartbeat as the leader.
func (c *Core) Beat(now time.Time, term uint64) []Action {
	h := Heartbeat{Term: term, Seq: 1, Version: c.state.Version}
	if c.heartbeat.Term == term {
		h.Seq = c.heartbeat.Seq + 1
	}
	return c.takeHeartbeat(now, h, "")
}

func (c *Core) takeHeartbeat(now time.Time, h Heartbeat, from string) []Action {
	if !h.newer(c.heartbeat) {
		return nil
	}
	c.heartbeat = h
	c.beat = now
	actions := c.forwardAll(Message{Type: MsgHeartbeat, Heartbeat: h}, from)
	if from != "" && h.Version > c.state.Version {
		actions = append(actions, c.graft(now, from)...)
	}
	return actions
}

func (c *Core) send(to string, m Message) Action {
	return Action{Send: &Send{To: to, Message: m}}
}

func (c *Core) digest() Message {
	return Message{Type: MsgDigest, Version: c.state.Version, Hash: c.state.Hash()}
}

// forwardAll sends m on every link but the one it came by.
func (c *Core) forwardAll(m Message, except string) []Action {
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(c.links)) {
		if name != except {
			actions = append(actions, c.send(name, m))
		}
	}
	return actions
}

// forward sends m on every tree link but the one it came by.
func (c *Core) forward(m Message, except string) []Action {
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(c.links)) {
		if name != except && c.links[name].eager {
			actions = append(actions, c.send(name, m))
		}
	}
	return actions
}

func (c *Core) install(state *fleet.State, from string) []Action {
	previous := c.state
	c.state = state
	c.from = from
	c.history = append(c.history, state)
	if len(c.history) > c.cfg.History {
		c.history = slices.Clone(c.history[len(c.history)-c.cfg.History:])
	}
	actions := []Action{{Install: state}}
	raw, err := fleet.Diff(previous, state).Encode()
	if err != nil {
		return append(actions, Action{Rejected: err})
	}
	m := Message{Type: MsgDelta, Version: state.Version, Delta: raw}
	return append(actions, c.forward(m, from)...)
}

// Receive takes in a message of a linked node.
func (c *Core) Receive(now time.Time, from string, m Message) []Action {
	switch m.Type {
	case MsgDelta:
		return c.receiveDelta(now, from, m)
	case MsgDigest:
		if m.Version > c.state.Version {
			return c.graft(now, from)
		}
	case MsgGraft:
		return c.answerGraft(from, m)
	case MsgPrune:
		if l := c.links[from]; l != nil {
			l.eager = false
		}
	case MsgHeartbeat:
		return c.takeHeartbeat(now, m.Heartbeat, from)
	}
	return nil
}

func (c *Core) receiveDelta(now time.Time, from string, m Message) []Action {
	if m.Version <= c.state.Version {
		return c.prune(from)
	}
	delta, err := fleet.DecodeDelta(m.Delta)
	if err != nil {
		return []Action{{Rejected: err}}
	}
	next, err := c.state.Apply(delta)
	if err != nil {
		return append([]Action{{Rejected: err}}, c.graft(now, from)...)
	}
	if l := c.links[from]; l != nil {
		l.eager = true
	}
	return c.install(next, from)
}

// prune makes a link lazy over which a version came twice. Sources learn
// versions from their log, all at once: they keep their links, or every link
// among them would be pruned from both sides.
func (c *Core) prune(from string) []Action {
	l := c.links[from]
	if l == nil || c.from == "" {
		return nil
	}
	l.eager = false
	return []Action{c.send(from, Message{Type: MsgPrune})}
}

const graftAgain = 500 * time.Millisecond

func (c *Core) graft(now time.Time, to string) []Action {
	l := c.links[to]
	if l == nil || now.Sub(l.grafted) < graftAgain {
		return nil
	}
	l.grafted = now
	l.eager = true
	return []Action{c.send(to, Message{Type: MsgGraft, Version: c.state.Version})}
}

// answerGraft sends the smaller of a delta from the asker's version and a
// snapshot.
func (c *Core) answerGraft(from string, m Message) []Action {
	if l := c.links[from]; l != nil {
		l.eager = true
	}
	if m.Version >= c.state.Version {
		return nil
	}
	raw, err := c.state.Snapshot().Encode()
	if err != nil {
		return []Action{{Rejected: err}}
	}
	for _, old := range c.history {
		if old.Version != m.Version {
			continue
		}
		if delta, err := fleet.Diff(old, c.state).Encode(); err == nil && len(delta) < len(raw) {
			raw = delta
		}
	}
	return []Action{c.send(from, Message{Type: MsgDelta, Version: c.state.Version, Delta: raw})}
}

// Tick sends digests when they are due.
func (c *Core) Tick(now time.Time) []Action {
	if now.Before(c.next) {
		return nil
	}
	c.next = now.Add(c.cfg.DigestInterval)
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(c.links)) {
		actions = append(actions, c.send(name, c.digest()))
	}
	return actions
}
