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

// publishInterval is the least time between two directories made for changes of
// presence alone.
const publishInterval = 20 * time.Millisecond

// members is the part of a Mesh that keeps links and presence.
type members struct {
	core    *membership.Core
	builder *directory.Builder
	// built is the version that builder has.
	built *snapshot.Snapshot
	// changed is set until the next publication; published is the time of the
	// last.
	changed   bool
	published time.Time
	// wake fires when a change that came too early for due is to be published.
	wake *time.Timer
	// out holds what the present event sends, by receiver.
	out map[view.Node][]Item
	// waiting holds what rides with the next batch to a receiver.
	waiting  map[view.Node][]Item
	links    []view.Node
	conflict string
}

func newMembers(cfg Config, empty *snapshot.Snapshot) *members {
	core := membership.New(membership.Config{View: cfg.View, Presence: cfg.Presence})
	return &members{
		core: core, builder: directory.NewBuilder(empty, core.Presence().All()),
		built: empty, wake: time.NewTimer(publishInterval), out: map[view.Node][]Item{}, waiting: map[view.Node][]Item{},
	}
}

// due reports whether a changed presence is to be published now.
func (s *members) due(now time.Time) bool {
	wait := publishInterval - now.Sub(s.published)
	if s.changed && wait > 0 {
		s.wake.Reset(wait)
	}
	return s.changed && wait <= 0
}

// apply takes in a change; one that warns of a request is due at once.
func (s *members) apply(change *presence.Change) {
	s.builder.Apply(change)
	s.changed = true
	if change.New != nil && len(change.New.Suspects) > 0 {
		s.published = time.Time{}
	}
}

func (s *members) publish(now time.Time, current *snapshot.Snapshot) *directory.Directory {
	s.changed, s.published = false, now
	records := s.core.Presence().All()
	if s.built != current {
		s.built = current
		s.builder.Reset(current, records)
	}
	return s.builder.Build(records)
}

// SetServers replaces the backend servers beside this daemon.
func (m *Mesh) SetServers(servers []presence.Server) {
	m.ops <- func(now time.Time) { m.doMembers(now, m.members.core.SetServers(servers)) }
}

// SetSuspects replaces the suspects in this daemon's record.
func (m *Mesh) SetSuspects(suspects []presence.Suspect) {
	m.ops <- func(now time.Time) { m.doMembers(now, m.members.core.SetSuspects(suspects)) }
}

// Leave tells the fleet that this daemon is about to stop.
func (m *Mesh) Leave() {
	m.ops <- func(now time.Time) { m.doMembers(now, m.members.core.Leave()) }
}

// Unreachable notes that nothing could be delivered to a peer address. It never
// blocks.
func (m *Mesh) Unreachable(addr string) {
	m.offer(func(now time.Time) { m.doMembers(now, m.members.core.Unreachable(now, addr)) })
}

// offer queues an operation that may be lost when the mesh is overrun.
func (m *Mesh) offer(op func(now time.Time)) {
	select {
	case m.ops <- op:
	default:
	}
}

func (m *Mesh) doMembers(now time.Time, actions []membership.Action) {
	for _, a := range actions {
		switch {
		case a.Send != nil:
			m.members.out[a.Send.To] = append(m.members.out[a.Send.To], Item{View: a.Send.View, Presence: a.Send.Presence})
		case a.Up != nil:
			m.log.V(1).Info("link up", "node", a.Up.Name)
			m.members.links = m.members.core.Links()
			m.doSpread(m.spread.LinkUp(a.Up.Name))
		case a.Down != nil:
			m.log.V(1).Info("link down", "node", a.Down.Node.Name, "failed", a.Down.Failed)
			m.members.links = m.members.core.Links()
			delete(m.members.waiting, a.Down.Node)
			m.doSpread(m.spread.LinkDown(a.Down.Node.Name))
		case a.Change != nil:
			m.members.apply(a.Change)
		case a.Probe != nil:
			go m.probe(*a.Probe)
		case a.Conflict != nil:
			m.reportConflict(*a.Conflict)
		}
	}
}

func (m *Mesh) probe(n view.Node) {
	reached := m.cfg.Probe(n.Addr)
	m.offer(func(now time.Time) { m.doMembers(now, m.members.core.Probed(now, n.Name, reached)) })
}

// reportConflict logs two live daemons with one name. One that has this
// daemon's own name also shows in the status.
func (m *Mesh) reportConflict(n view.Node) {
	m.log.Error(nil, "another live daemon has the same name: give each node a name of its own",
		"name", n.Name, "address", n.Addr)
	if n.Name != m.cfg.View.Self.Name {
		return
	}
	m.members.conflict = n.Addr
	if n.Addr == "" {
		m.members.conflict = "unknown"
	}
}

// flush hands over what an event sends, one batch for each receiver. What can
// wait rides with the next batch; a keep-alive comes within a second or so.
func (m *Mesh) flush(now time.Time) {
	for to, items := range m.members.out {
		if !slices.ContainsFunc(items, urgent) {
			m.members.waiting[to] = items[len(items)-1:]
			continue
		}
		if waiting := m.members.waiting[to]; waiting != nil {
			items = append(items, waiting...)
			delete(m.members.waiting, to)
		}
		m.sender.Put(to.Addr, items...)
		m.members.core.Sent(now, to.Name)
	}
	clear(m.members.out)
}

// urgent reports whether an item must leave at once; the routine comparison of
// whole tables need not.
func urgent(i Item) bool { return i.Presence == nil || !i.Presence.Routine() }

func (m *Mesh) memberStatus(s *Status) {
	s.Links = m.members.links
	s.Nodes = m.members.core.Presence().Len()
	s.Conflict = m.members.conflict
}
