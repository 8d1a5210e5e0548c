// Package membership combines packages view and presence into one core. Package view
// decides which links to other daemons are up, package presence replicates the records of
// the daemons over these links, and the table of records supplies candidates for new links.
//
// The package performs no I/O: its inputs are messages and the current time, its outputs
// are actions.
package membership

import (
	"time"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
)

// Action is one step that the caller of Core must carry out; exactly one field is set.
type Action struct {
	Send *Send
	// Up and Down report that a link came up or went down.
	Up   *view.Node
	Down *view.Down
	// Change reports that the record of one daemon was added, changed or removed.
	Change *presence.Change
	// Probe requests a check whether a daemon is reachable; the result is passed to
	// Core.Probed.
	Probe *view.Node
	// Conflict reports another live daemon with a name that is already in use.
	Conflict *view.Node
}

// Send delivers one message to a node; either View or Presence is set.
type Send struct {
	To       view.Node
	View     *view.Message
	Presence *presence.Message
}

// Config is the configuration of a Core. It must not change after New.
type Config struct {
	View     view.Config
	Presence presence.Config
}

// candidateInterval is the time between two checks for scopes that lack link candidates.
const candidateInterval = time.Second

// Core combines a view.Core and a presence.Core. It is not safe for concurrent use.
type Core struct {
	self     view.Node
	view     *view.Core
	presence *presence.Core
	// links holds the live links by node name.
	links              map[string]view.Node
	nextCandidateCheck time.Time
	// fleetChanged is set if daemons were added or removed since the border nodes were selected.
	// nextBorderSelection is the earliest time at which they are selected again.
	fleetChanged        bool
	nextBorderSelection time.Time
}

// New returns a Core that knows only itself.
func New(cfg Config) *Core {
	return &Core{self: cfg.View.Self, view: view.New(cfg.View), presence: presence.New(cfg.Presence), links: map[string]view.Node{}, fleetChanged: true}
}

// Presence returns the table of records. Callers must only read from it.
func (c *Core) Presence() *presence.Core { return c.presence }

// Links returns the live links, sorted by name.
func (c *Core) Links() []view.Node { return c.view.Links() }

// Link returns the link to the node with the given name, if there is one.
func (c *Core) Link(name string) (view.Node, bool) {
	n, ok := c.links[name]
	return n, ok
}

// SetSeeds replaces the peer addresses through which this daemon joins the fleet.
func (c *Core) SetSeeds(seeds []string) { c.view.SetSeeds(seeds) }

// Seek starts the search for a link to another daemon.
func (c *Core) Seek() { c.view.Seek() }

// RecordReceived records that a message arrived over the link to a node. ReceiveView and
// ReceivePresence do this themselves. A node that is not linked to this one, for example because
// this process was restarted, is informed that the link does not exist, provided that its address
// is known.
func (c *Core) RecordReceived(now time.Time, name string) []Action {
	if c.view.Linked(name) {
		c.view.RecordReceived(now, name)
		return nil
	}
	n, known := c.presence.Node(name)
	if !known {
		return nil
	}
	return c.convertView(now, c.view.RejectUnlinked(n))
}

// RecordSent records that a message was sent to a node, which makes a keep-alive unnecessary.
func (c *Core) RecordSent(now time.Time, name string) { c.view.RecordSent(now, name) }

// ReceiveView handles a message of package view.
func (c *Core) ReceiveView(now time.Time, from string, m view.Message) []Action {
	if m.Type == view.MsgAlive {
		return c.RecordReceived(now, from)
	}
	return c.convertView(now, c.view.Receive(now, from, m))
}

// ReceivePresence handles a message of package presence.
func (c *Core) ReceivePresence(now time.Time, from string, m presence.Message) []Action {
	actions := c.RecordReceived(now, from)
	return append(actions, c.convertPresence(c.presence.Receive(now, from, m))...)
}

// Unreachable records that a message could not be delivered to an address.
func (c *Core) Unreachable(now time.Time, addr string) []Action {
	return c.convertView(now, c.view.Unreachable(now, addr))
}

// Probed handles the result of a probe requested by Action.Probe.
func (c *Core) Probed(now time.Time, name string, reached bool) []Action {
	return c.convertPresence(c.presence.Probed(now, name, reached))
}

// SetServers replaces the backend servers in this daemon's record.
func (c *Core) SetServers(servers []presence.Server) []Action {
	return c.convertPresence(c.presence.SetServers(servers))
}

// SetSuspects replaces the suspects in this daemon's record.
func (c *Core) SetSuspects(suspects []presence.Suspect) []Action {
	return c.convertPresence(c.presence.SetSuspects(suspects))
}

// Leave marks this daemon as leaving.
func (c *Core) Leave() []Action { return c.convertPresence(c.presence.Leave()) }

// Tick performs the work that is due at now. It must be called regularly.
func (c *Core) Tick(now time.Time) []Action {
	if !now.Before(c.nextCandidateCheck) {
		c.nextCandidateCheck = now.Add(candidateInterval)
		c.addCandidates()
	}
	c.updateBorderNodes(now)
	actions := c.convertPresence(c.presence.Tick(now))
	return append(actions, c.convertView(now, c.view.Tick(now))...)
}

// addCandidates passes a known daemon to the view for each scope that lacks link
// candidates.
func (c *Core) addCandidates() {
	c.view.SetFleetSize(c.presence.Len())
	for s := view.SameDomain; s <= view.OtherRegion; s++ {
		if !c.view.NeedsCandidates(s) {
			continue
		}
		if n, ok := c.presence.Pick(s); ok {
			c.view.Learn(n)
		}
	}
}

// isNear reports whether a node is in the failure domain of this daemon.
func (c *Core) isNear(n view.Node) bool { return c.self.ScopeOf(n) == view.SameDomain }

// convertView converts the actions of package view and passes link changes on to package
// presence.
func (c *Core) convertView(now time.Time, in []view.Action) []Action {
	var out []Action
	for _, a := range in {
		switch {
		case a.Send != nil:
			out = append(out, Action{Send: &Send{To: a.Send.To, View: &a.Send.Message}})
		case a.Up != nil:
			c.links[a.Up.Name] = *a.Up
			out = append(out, Action{Up: a.Up})
			out = append(out, c.convertPresence(c.presence.LinkUp(now, a.Up.Name, c.isNear(*a.Up)))...)
		case a.Down != nil:
			delete(c.links, a.Down.Node.Name)
			out = append(out, Action{Down: a.Down})
			out = append(out, c.convertPresence(c.presence.LinkDown(now, a.Down.Node.Name, a.Down.Failed))...)
		case a.Conflict != nil:
			out = append(out, Action{Conflict: a.Conflict})
		}
	}
	return out
}

// convertPresence converts the actions of package presence. It drops messages to nodes that
// are not linked.
func (c *Core) convertPresence(in []presence.Action) []Action {
	var out []Action
	for _, a := range in {
		switch {
		case a.Send != nil:
			if to, linked := c.links[a.Send.To]; linked {
				out = append(out, Action{Send: &Send{To: to, Presence: &a.Send.Message}})
			}
		case a.Change != nil:
			c.fleetChanged = c.fleetChanged || a.Change.Old == nil || a.Change.New == nil
			out = append(out, Action{Change: a.Change})
		case a.Probe != nil:
			out = append(out, Action{Probe: a.Probe})
		case a.Conflict != nil:
			out = append(out, Action{Conflict: a.Conflict})
		}
	}
	return out
}
