// Package mesh runs the control side of one daemon: one goroutine owns the
// decisions of packages view, spread and presence, feeds them with messages and
// time, and publishes what they arrive at as immutable values.
package mesh

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/spread"
	"github.com/daisygate/daisygate/internal/process/view"
	"github.com/daisygate/daisygate/internal/version/directory"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// Item is one message; exactly one field is set.
type Item struct {
	View     *view.Message
	Spread   *spread.Message
	Presence *presence.Message
}

// Envelope is what one daemon sends to another in one call.
type Envelope struct {
	From  view.Node
	Items []Item
}

// Sender delivers items in the background; it may lose them.
type Sender interface {
	Put(addr string, items ...Item)
}

// Config is fixed for the life of a Mesh.
type Config struct {
	View     view.Config
	Spread   spread.Config
	Presence presence.Config
	// TickInterval is the time between ticks of all three.
	TickInterval time.Duration
	// Beat returns the term and whether this node leads the sources; the
	// heartbeat is sent each BeatInterval while it does.
	Beat         func() (term uint64, leads bool)
	BeatInterval time.Duration
}

// Status is what a daemon tells of its control side.
type Status struct {
	Version   uint64           `json:"version"`
	Hash      uint64           `json:"hash"`
	Heartbeat spread.Heartbeat `json:"heartbeat"`
	Stale     bool             `json:"stale"`
	Confirmed bool             `json:"confirmed"`
	Links     []view.Node      `json:"links"`
	Nodes     int              `json:"nodes"`
}

// Mesh is the running control side.
type Mesh struct {
	cfg    Config
	log    logr.Logger
	sender Sender

	view     *view.Core
	spread   *spread.Core
	presence *presence.Core
	current  *snapshot.Snapshot
	addrs    map[string]string
	lastBeat time.Time
	changed  bool

	ops       chan func(now time.Time)
	directory atomic.Pointer[directory.Directory]
	status    atomic.Pointer[Status]
}

// New builds the control side; Run starts it.
func New(cfg Config, sender Sender, log logr.Logger) (*Mesh, error) {
	empty, err := snapshot.Compile(fleet.Empty())
	if err != nil {
		return nil, err
	}
	m := &Mesh{
		cfg: cfg, log: log, sender: sender,
		view: view.New(cfg.View), spread: spread.New(cfg.Spread, fleet.Empty()),
		presence: presence.New(cfg.Presence), current: empty,
		addrs: map[string]string{}, ops: make(chan func(time.Time), 256),
	}
	m.publish(time.Now())
	return m, nil
}

// Directory returns the newest directory; it is never nil.
func (m *Mesh) Directory() *directory.Directory { return m.directory.Load() }

// Status returns the newest status.
func (m *Mesh) Status() Status { return *m.status.Load() }

// Run drives the control side until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	ticker := time.NewTicker(m.cfg.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.tick(now)
		case op := <-m.ops:
			op(time.Now())
		}
		if m.changed {
			m.changed = false
			m.publish(time.Now())
		}
	}
}

// Deliver takes in an envelope; it drops it when overrun.
func (m *Mesh) Deliver(e Envelope) {
	select {
	case m.ops <- func(now time.Time) { m.receive(now, e) }:
	default:
	}
}

// Publish spreads a state that this node learned as a source.
func (m *Mesh) Publish(state *fleet.State) {
	m.ops <- func(time.Time) { m.doSpread(m.spread.Publish(state)) }
}

// SetServers replaces the backend servers beside this daemon.
func (m *Mesh) SetServers(servers []presence.Server) {
	m.ops <- func(time.Time) { m.doPresence(m.presence.SetServers(servers)) }
}

// SetSuspects replaces the suspects in this daemon's record.
func (m *Mesh) SetSuspects(suspects []presence.Suspect) {
	m.ops <- func(time.Time) { m.doPresence(m.presence.SetSuspects(suspects)) }
}

// Leave tells the fleet that this daemon is about to stop.
func (m *Mesh) Leave() {
	m.ops <- func(time.Time) { m.doPresence(m.presence.Leave()) }
}

func (m *Mesh) tick(now time.Time) {
	m.doView(now, m.view.Tick(now))
	m.doSpread(m.spread.Tick(now))
	m.doPresence(m.presence.Tick(now))
	if term, leads := m.cfg.Beat(); leads && now.Sub(m.lastBeat) >= m.cfg.BeatInterval {
		m.lastBeat = now
		m.doSpread(m.spread.Beat(now, term))
	}
	m.publishStatus(now)
}

func (m *Mesh) receive(now time.Time, e Envelope) {
	m.view.Heard(now, e.From)
	for _, item := range e.Items {
		if item.View != nil {
			m.doView(now, m.view.Receive(now, e.From, *item.View))
		}
		if item.Spread != nil {
			m.doSpread(m.spread.Receive(now, e.From.Name, *item.Spread))
		}
		if item.Presence != nil {
			m.doPresence(m.presence.Receive(now, e.From.Name, *item.Presence))
		}
	}
	m.publishStatus(now)
}

func (m *Mesh) doView(now time.Time, actions []view.Action) {
	for _, a := range actions {
		switch {
		case a.Send != nil:
			m.sender.Put(a.Send.To.Addr, Item{View: &a.Send.Message})
		case a.Up != nil:
			m.log.V(1).Info("link up", "node", a.Up.Name)
			m.addrs[a.Up.Name] = a.Up.Addr
			m.doSpread(m.spread.LinkUp(a.Up.Name))
			m.doPresence(m.presence.LinkUp(a.Up.Name))
		case a.Down != nil:
			m.log.V(1).Info("link down", "node", a.Down.Node.Name, "failed", a.Down.Failed)
			m.spread.LinkDown(a.Down.Node.Name)
			m.doPresence(m.presence.LinkDown(now, a.Down.Node.Name, a.Down.Failed))
			delete(m.addrs, a.Down.Node.Name)
		}
	}
}

func (m *Mesh) doSpread(actions []spread.Action) {
	for _, a := range actions {
		switch {
		case a.Send != nil:
			m.put(a.Send.To, Item{Spread: &a.Send.Message})
		case a.Install != nil:
			m.install(a.Install)
		case a.Rejected != nil:
			m.log.Error(a.Rejected, "version not applied")
		}
	}
}

// install compiles off to the side; a state that does not compile leaves the
// version in force as it is.
func (m *Mesh) install(state *fleet.State) {
	next, err := snapshot.Compile(state)
	if err != nil {
		m.log.Error(err, "version does not compile", "version", state.Version)
		return
	}
	m.current = next
	m.changed = true
	m.log.Info("version in force", "version", state.Version)
}

func (m *Mesh) doPresence(actions []presence.Action) {
	for _, a := range actions {
		if a.Send != nil {
			m.put(a.Send.To, Item{Presence: &a.Send.Message})
		}
		if a.Changed {
			m.changed = true
		}
	}
}

func (m *Mesh) put(node string, item Item) {
	if addr, ok := m.addrs[node]; ok {
		m.sender.Put(addr, item)
	}
}

func (m *Mesh) publish(now time.Time) {
	records := m.presence.Records()
	for _, r := range records {
		m.view.Learn(r.Node)
	}
	m.directory.Store(directory.Build(m.current, records))
	m.publishStatus(now)
}

func (m *Mesh) publishStatus(now time.Time) {
	beat, _ := m.spread.Heartbeat()
	m.status.Store(&Status{
		Version: m.current.Version, Hash: m.current.Hash, Heartbeat: beat,
		Stale: m.spread.Stale(now), Confirmed: m.spread.Confirmed(),
		Links: slices.Clone(m.view.Links()), Nodes: len(m.directoryRecords()),
	})
}

func (m *Mesh) directoryRecords() []presence.Record {
	if d := m.directory.Load(); d != nil {
		return d.Records
	}
	return nil
}
