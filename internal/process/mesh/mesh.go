// Package mesh runs the control plane of one daemon. A single goroutine owns the state machines
// of packages membership and spread, feeds them messages and ticks, and publishes the results
// as immutable values.
package mesh

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/dissemination"
	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
	"github.com/daisygate/daisygate/internal/version/directory"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// Item is one message. Exactly one field is set.
type Item struct {
	View     *view.Message
	Spread   *dissemination.Message
	Presence *presence.Message
}

// Envelope is a batch of messages that one daemon sends to another in one RPC.
type Envelope struct {
	// From is the name of the sender.
	From  string
	Items []Item
}

// RequireLink reports whether any item is sent only over links. The others are exchanged with daemons
// that mostly do not become linked.
func RequireLink(items []Item) bool {
	return slices.ContainsFunc(items, func(i Item) bool { return i.View == nil || !i.View.Type.WithoutLink() })
}

// Sender delivers items asynchronously, without a delivery guarantee.
type Sender interface {
	Put(addr string, items ...Item)
}

// Prober reports whether a peer address can be reached.
type Prober func(addr string) bool

// Config configures a Mesh. It must not change after New.
type Config struct {
	View     view.Config
	Spread   dissemination.Config
	Presence presence.Config
	// TickInterval is the time between ticks of view, spread and presence.
	TickInterval time.Duration
	// OnInstall is called with each version that comes into force. It may be nil.
	OnInstall func(version uint64)
	// OnLinkEnd is called with the peer address of each link that the other daemon ended. It may
	// be nil.
	OnLinkEnd func(addr string)
	// Probe is called in a separate goroutine.
	Probe Prober
	// Leadership returns the state of this node's leadership of the sources, nil while it is
	// not the leader. If asked is set, a newer Quorum is needed.
	Leadership func(now time.Time, asked bool) *dissemination.Leadership
}

// Status is the status of a daemon's control plane.
type Status struct {
	VersionStatus
	Links []view.Node `json:"links"`
	Nodes int         `json:"nodes"`
	// Conflict is the address of another live daemon with the name of this one, "unknown" if
	// its address is not known, or "" if there was none.
	Conflict string `json:"conflict,omitempty"`
}

// Mesh is the control plane of one daemon.
type Mesh struct {
	cfg    Config
	log    logr.Logger
	sender Sender

	members  *members
	spread   *dissemination.Core
	current  *snapshot.Snapshot
	versions versions
	changed  bool

	// ops are executed by the goroutine of Run, which owns the fields members to changed.
	ops chan func(now time.Time)
	// unspread is the newest state that waits to be spread, or nil.
	unspread  atomic.Pointer[fleet.State]
	directory atomic.Pointer[directory.Directory]
	status    atomic.Pointer[Status]
}

// New creates the control plane. Call Run to start it.
func New(cfg Config, sender Sender, log logr.Logger) (*Mesh, error) {
	empty, err := snapshot.Compile(fleet.Empty())
	if err != nil {
		return nil, err
	}
	m := &Mesh{
		cfg: cfg, log: log, sender: sender,
		members: newMembers(cfg, empty), spread: dissemination.New(cfg.Spread, fleet.Empty()),
		current: empty, ops: make(chan func(time.Time), 256),
	}
	m.publish(time.Now())
	return m, nil
}

// Directory returns the newest directory. It is never nil.
func (m *Mesh) Directory() *directory.Directory { return m.directory.Load() }

// Status returns the newest status.
func (m *Mesh) Status() Status { return *m.status.Load() }

// Run runs the control plane until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	ticker := time.NewTicker(m.cfg.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.tick(now)
			m.finishEvent(now)
		case now := <-m.members.publishTimer.C:
			m.finishEvent(now)
		case op := <-m.ops:
			now := time.Now()
			op(now)
			m.finishEvent(now)
		}
	}
}

// finishEvent sends and publishes the results of an event.
func (m *Mesh) finishEvent(now time.Time) {
	m.reportEndedLinks()
	m.flush(now)
	if m.members.publishDue(now) || m.changed {
		m.changed = false
		m.publish(now)
	}
}

// Deliver queues a received envelope, or drops it if the queue is full.
func (m *Mesh) Deliver(e Envelope) {
	select {
	case m.ops <- func(now time.Time) { m.receive(now, e) }:
	default:
	}
}

// SetCommittedVersion records the version that a source reported as committed. The source must
// have been asked after the start of this process; askedAt is when, on the clock of
// dissemination.Config.
func (m *Mesh) SetCommittedVersion(version uint64, askedAt time.Duration) {
	m.ops <- func(now time.Time) {
		m.runSpreadActions(m.spread.SetCommittedVersion(version, askedAt))
		m.publishStatus(now)
	}
}

// SetSeeds replaces the seed addresses, the peer addresses that a daemon joins the fleet by.
func (m *Mesh) SetSeeds(seeds []string) {
	m.ops <- func(time.Time) { m.members.core.SetSeeds(seeds) }
}

func (m *Mesh) tick(now time.Time) {
	m.runMemberActions(now, m.members.core.Tick(now))
	m.spread.SetFleetSize(m.members.core.Presence().Len())
	m.runSpreadActions(m.spread.Tick(now, m.cfg.Leadership(now, m.spread.HasOpenQuery())))
	m.publishStatus(now)
}

func (m *Mesh) receive(now time.Time, e Envelope) {
	for _, item := range e.Items {
		if item.View != nil {
			m.runMemberActions(now, m.members.core.ReceiveView(now, e.From, *item.View))
		}
		if item.Spread != nil {
			m.runMemberActions(now, m.members.core.RecordReceived(now, e.From))
			m.runSpreadActions(m.spread.Receive(now, e.From, *item.Spread))
		}
		if item.Presence != nil {
			m.runMemberActions(now, m.members.core.ReceivePresence(now, e.From, *item.Presence))
		}
	}
}

// enqueue adds an item to the batch for a linked daemon. The batch is sent at the end of the
// event.
func (m *Mesh) enqueue(node string, item Item) {
	if to, linked := m.members.core.Link(node); linked {
		m.members.outgoing[to] = append(m.members.outgoing[to], item)
	}
}

func (m *Mesh) publish(now time.Time) {
	m.directory.Store(m.members.publish(now, m.current))
	m.publishStatus(now)
}

func (m *Mesh) publishStatus(now time.Time) {
	s := Status{VersionStatus: m.versionStatus(now)}
	m.fillMemberStatus(&s)
	if before := m.status.Load(); before != nil {
		m.logTransitions(before, &s)
	}
	m.status.Store(&s)
}

// logTransitions logs when the version of this daemon was confirmed, when the daemon lost or
// regained the leader's heartbeat, and when its parent changed.
func (m *Mesh) logTransitions(before, now *Status) {
	if now.Confirmed && !before.Confirmed {
		m.log.Info("version confirmed as the newest accepted version", "version", now.Version, "by", now.ConfirmedBy)
	}
	if now.Stale != before.Stale {
		m.log.Info("leader heartbeat changed", "missed", now.Stale, "version", now.Version, "term", now.Heartbeat.Term, "parent", now.Parent)
	}
	if now.Parent != before.Parent {
		m.log.Info("parent changed", "from", before.Parent, "to", now.Parent, "depth", now.Depth)
	}
}
