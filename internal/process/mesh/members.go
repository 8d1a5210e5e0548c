package mesh

import (
	"slices"
	"time"

	"github.com/daisygate/daisygate/internal/process/membership"
	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
	"github.com/daisygate/daisygate/internal/version/directory"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// publishInterval is the minimum time between two directories that are built only because of
// presence changes.
const publishInterval = 20 * time.Millisecond

// members is the part of a Mesh that manages links and presence.
type members struct {
	core    *membership.Core
	builder *directory.Builder
	// builtFrom is the snapshot that builder uses.
	builtFrom *snapshot.Snapshot
	// changed is set if presence has changed since the last publication, published is the time
	// of that publication.
	changed   bool
	published time.Time
	// publishTimer fires when a change that was delayed by publishInterval is due.
	publishTimer *time.Timer
	// outgoing holds the items to send for the current event, by receiver.
	outgoing map[view.Node][]Item
	// ended holds the nodes whose links ended in the current event.
	ended []view.Node
	// deferred holds the items that are sent with the next batch to a receiver.
	deferred map[view.Node][]Item
	links    []view.Node
	conflict string
}

func newMembers(cfg Config, empty *snapshot.Snapshot) *members {
	core := membership.New(membership.Config{View: cfg.View, Presence: cfg.Presence})
	return &members{
		core: core, builder: directory.NewBuilder(empty, core.Presence().All()),
		builtFrom: empty, publishTimer: time.NewTimer(publishInterval), outgoing: map[view.Node][]Item{}, deferred: map[view.Node][]Item{},
	}
}

// publishDue reports whether a presence change is to be published now. If it is too early, it
// sets the timer.
func (s *members) publishDue(now time.Time) bool {
	wait := publishInterval - now.Sub(s.published)
	if s.changed && wait > 0 {
		s.publishTimer.Reset(wait)
	}
	return s.changed && wait <= 0
}

// apply adds a presence change to the builder. A change that contains suspect requests is
// published immediately.
func (s *members) apply(change *presence.Change) {
	s.builder.Apply(change)
	s.changed = true
	if change.New != nil && len(change.New.Suspects) > 0 {
		s.published = time.Time{}
	}
}

// publish returns the directory of the current snapshot and presence.
func (s *members) publish(now time.Time, current *snapshot.Snapshot) *directory.Directory {
	s.changed, s.published = false, now
	records := s.core.Presence().All()
	if s.builtFrom != current {
		s.builtFrom = current
		s.builder.Reset(current, records)
	}
	return s.builder.Build(records)
}

// SetServers replaces the backend servers in this daemon's record.
func (m *Mesh) SetServers(servers []presence.Server) {
	m.ops <- func(now time.Time) { m.runMemberActions(now, m.members.core.SetServers(servers)) }
}

// SetSuspects replaces the suspects in this daemon's record.
func (m *Mesh) SetSuspects(suspects []presence.Suspect) {
	m.ops <- func(now time.Time) { m.runMemberActions(now, m.members.core.SetSuspects(suspects)) }
}

// Leave announces to the fleet that this daemon is about to stop.
func (m *Mesh) Leave() {
	m.ops <- func(now time.Time) { m.runMemberActions(now, m.members.core.Leave()) }
}

// Unreachable records that a delivery to a peer address failed. It never blocks and may drop
// the report under overload.
func (m *Mesh) Unreachable(addr string) {
	m.tryEnqueue(func(now time.Time) { m.runMemberActions(now, m.members.core.Unreachable(now, addr)) })
}

// tryEnqueue queues an operation, or drops it if the queue is full.
func (m *Mesh) tryEnqueue(op func(now time.Time)) {
	select {
	case m.ops <- op:
	default:
	}
}

// runMemberActions executes the actions of the membership core.
func (m *Mesh) runMemberActions(now time.Time, actions []membership.Action) {
	for _, a := range actions {
		switch {
		case a.Send != nil:
			m.members.outgoing[a.Send.To] = append(m.members.outgoing[a.Send.To], Item{View: a.Send.View, Presence: a.Send.Presence})
		case a.Up != nil:
			m.members.links = m.members.core.Links()
			m.log.Info("link up", "peer", a.Up.Name, "links", len(m.members.links))
			m.runSpreadActions(m.spread.LinkUp(a.Up.Name))
		case a.Down != nil:
			m.members.links = m.members.core.Links()
			m.log.Info("link down", "peer", a.Down.Node.Name, "failed", a.Down.Failed, "links", len(m.members.links))
			delete(m.members.deferred, a.Down.Node)
			m.members.ended = append(m.members.ended, a.Down.Node)
			m.runSpreadActions(m.spread.LinkDown(a.Down.Node.Name))
		case a.Change != nil:
			m.members.apply(a.Change)
		case a.Probe != nil:
			go m.probe(*a.Probe)
		case a.Conflict != nil:
			m.reportConflict(*a.Conflict)
		}
	}
}

// probe checks whether a daemon can be reached and passes the result to the core.
func (m *Mesh) probe(n view.Node) {
	reachable := m.cfg.Probe(n.Addr)
	m.tryEnqueue(func(now time.Time) { m.runMemberActions(now, m.members.core.Probed(now, n.Name, reachable)) })
}

// reportConflict logs that two live daemons have the same name. If it is this daemon's own
// name, the status shows it too.
func (m *Mesh) reportConflict(n view.Node) {
	m.log.Error(nil, "another live daemon has the same name; node names must be unique",
		"name", n.Name, "address", n.Addr)
	if n.Name != m.cfg.View.Self.Name {
		return
	}
	m.members.conflict = n.Addr
	if n.Addr == "" {
		m.members.conflict = "unknown"
	}
}

// reportEndedLinks calls Config.OnLinkEnd for the links that ended in the current event. Links that
// this daemon ended are left out: a last message is still to be sent to them.
func (m *Mesh) reportEndedLinks() {
	for _, n := range m.members.ended {
		if m.cfg.OnLinkEnd != nil && len(m.members.outgoing[n]) == 0 {
			m.cfg.OnLinkEnd(n.Addr)
		}
	}
	m.members.ended = m.members.ended[:0]
}

// flush sends the items of an event, one batch per receiver. Non-urgent items wait for the
// next batch; a keep-alive is sent within about a second.
func (m *Mesh) flush(now time.Time) {
	for to, items := range m.members.outgoing {
		if !slices.ContainsFunc(items, urgent) {
			m.members.deferred[to] = items[len(items)-1:]
			continue
		}
		if deferred := m.members.deferred[to]; deferred != nil {
			items = append(items, deferred...)
			delete(m.members.deferred, to)
		}
		m.sender.Put(to.Addr, items...)
		m.members.core.RecordSent(now, to.Name)
	}
	clear(m.members.outgoing)
}

// urgent reports whether an item must be sent immediately. Routine comparisons of whole
// presence tables need not.
func urgent(i Item) bool { return i.Presence == nil || !i.Presence.Routine() }

// fillMemberStatus sets the fields of s about links and presence.
func (m *Mesh) fillMemberStatus(s *Status) {
	s.Links = m.members.links
	s.Nodes = m.members.core.Presence().Len()
	s.Conflict = m.members.conflict
}
