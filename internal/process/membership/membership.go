// Package membership joins the decisions of packages view and presence into one
// core: links go up and down in the view, records travel over them, and the
// table of records names candidates for links.
//
// The package does no I/O: messages and time come in, actions go out.
package membership

import (
	"time"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
)

// Action is what the driver must do; exactly one field is set.
type Action struct {
	Send *Send
	// Up and Down tell of links.
	Up   *view.Node
	Down *view.Down
	// Change is one daemon whose record counts anew, differently or no more.
	Change *presence.Change
	// Probe asks whether a daemon can be reached; the answer is Core.Probed.
	Probe *view.Node
	// Conflict is another live daemon with a name that is taken.
	Conflict *view.Node
}

// Send delivers one message, of View or of Presence, to a node.
type Send struct {
	To       view.Node
	View     *view.Message
	Presence *presence.Message
}

// Config is fixed for the life of a Core.
type Config struct {
	View     view.Config
	Presence presence.Config
}

// supplyInterval is the time between looks for scopes that lack candidates.
const supplyInterval = time.Second

// Core holds both. It is not safe for concurrent use.
type Core struct {
	view     *view.Core
	presence *presence.Core
	// links are the live links by name.
	links      map[string]view.Node
	supplyNext time.Time
}

// New returns a Core that knows only itself.
func New(cfg Config) *Core {
	return &Core{view: view.New(cfg.View), presence: presence.New(cfg.Presence), links: map[string]view.Node{}}
}

// Presence is the table of records, to read.
func (c *Core) Presence() *presence.Core { return c.presence }

// Links returns the live links in order of name.
func (c *Core) Links() []view.Node { return c.view.Links() }

// Link returns the link to the node named, if there is one.
func (c *Core) Link(name string) (view.Node, bool) {
	n, ok := c.links[name]
	return n, ok
}

// SetSeeds changes the peer addresses that links begin with.
func (c *Core) SetSeeds(seeds []string) { c.view.SetSeeds(seeds) }

// Seek looks for a link to another daemon.
func (c *Core) Seek() { c.view.Seek() }

// Heard notes that something came over the link to a node. Messages of the view
// and of presence note it by themselves.
func (c *Core) Heard(now time.Time, name string) { c.view.Heard(now, name) }

// Sent notes that something was sent to a node; it spares a keep-alive.
func (c *Core) Sent(now time.Time, name string) { c.view.Sent(now, name) }

// ReceiveView takes in a message of the view. A daemon that takes this one for a
// link in vain is told so, if it is known where it is.
func (c *Core) ReceiveView(now time.Time, from string, m view.Message) []Action {
	if m.Type == view.MsgAlive && !c.view.Linked(from) {
		if n, known := c.presence.Node(from); known {
			return c.doView(now, c.view.Stray(n))
		}
		return nil
	}
	if m.Type == view.MsgAlive {
		c.view.Heard(now, from)
	}
	return c.doView(now, c.view.Receive(now, from, m))
}

// ReceivePresence takes in a message of the presence.
func (c *Core) ReceivePresence(now time.Time, from string, m presence.Message) []Action {
	c.view.Heard(now, from)
	return c.doPresence(c.presence.Receive(now, from, m))
}

// Unreachable notes that nothing could be delivered to an address.
func (c *Core) Unreachable(now time.Time, addr string) []Action {
	return c.doView(now, c.view.Unreachable(now, addr))
}

// Probed takes in the outcome of a probe.
func (c *Core) Probed(now time.Time, name string, reached bool) []Action {
	return c.doPresence(c.presence.Probed(now, name, reached))
}

// SetServers replaces the backend servers beside this daemon.
func (c *Core) SetServers(servers []presence.Server) []Action {
	return c.doPresence(c.presence.SetServers(servers))
}

// SetSuspects replaces the suspects in this daemon's record.
func (c *Core) SetSuspects(suspects []presence.Suspect) []Action {
	return c.doPresence(c.presence.SetSuspects(suspects))
}

// Leave marks this daemon as leaving.
func (c *Core) Leave() []Action { return c.doPresence(c.presence.Leave()) }

// Tick lets time pass.
func (c *Core) Tick(now time.Time) []Action {
	if !now.Before(c.supplyNext) {
		c.supplyNext = now.Add(supplyInterval)
		c.supply()
	}
	actions := c.doPresence(c.presence.Tick(now))
	return append(actions, c.doView(now, c.view.Tick(now))...)
}

// supply names candidates for the scopes that lack them.
func (c *Core) supply() {
	c.view.SetFleet(c.presence.Len())
	for s := view.SameDomain; s <= view.OtherRegion; s++ {
		if !c.view.Lacks(s) {
			continue
		}
		if n, ok := c.presence.Pick(s); ok {
			c.view.Learn(n)
		}
	}
}

func (c *Core) doView(now time.Time, in []view.Action) []Action {
	var out []Action
	for _, a := range in {
		switch {
		case a.Send != nil:
			out = append(out, Action{Send: &Send{To: a.Send.To, View: &a.Send.Message}})
		case a.Up != nil:
			c.links[a.Up.Name] = *a.Up
			out = append(out, Action{Up: a.Up})
			out = append(out, c.doPresence(c.presence.LinkUp(now, a.Up.Name))...)
		case a.Down != nil:
			delete(c.links, a.Down.Node.Name)
			out = append(out, Action{Down: a.Down})
			out = append(out, c.doPresence(c.presence.LinkDown(now, a.Down.Node.Name, a.Down.Failed))...)
		case a.Conflict != nil:
			out = append(out, Action{Conflict: a.Conflict})
		}
	}
	return out
}

func (c *Core) doPresence(in []presence.Action) []Action {
	var out []Action
	for _, a := range in {
		switch {
		case a.Send != nil:
			if to, linked := c.links[a.Send.To]; linked {
				out = append(out, Action{Send: &Send{To: to, Presence: &a.Send.Message}})
			}
		case a.Change != nil:
			out = append(out, Action{Change: a.Change})
		case a.Probe != nil:
			out = append(out, Action{Probe: a.Probe})
		case a.Conflict != nil:
			out = append(out, Action{Conflict: a.Conflict})
		}
	}
	return out
}
