package presence

import "slices"

// updateQueue holds non-urgent updates until the next tick. They are then sent in one
// message per link, without those that the neighbour has sent itself in the meantime.
type updateQueue struct {
	order   []ID
	pending map[ID]*update
}

// update is one queued update.
type update struct {
	// stampOnly is set if the neighbours probably have the content already.
	stampOnly bool
	// knownBy contains the names of the neighbours that have the update.
	knownBy map[string]bool
}

func newUpdateQueue() updateQueue { return updateQueue{pending: map[ID]*update{}} }

// add queues a record that was received from a neighbour, or only its stamp.
func (q *updateQueue) add(id ID, from string, stampOnly bool) {
	before := q.pending[id]
	if before == nil {
		q.order = append(q.order, id)
	}
	stampOnly = stampOnly && (before == nil || before.stampOnly)
	q.pending[id] = &update{stampOnly: stampOnly, knownBy: map[string]bool{from: true}}
}

// markKnown records that a neighbour has an update.
func (q *updateQueue) markKnown(id ID, from string) {
	if u := q.pending[id]; u != nil {
		u.knownBy[from] = true
	}
}

// urgent reports whether a change removes capacity or publishes suspects. Such changes
// are forwarded at once.
func urgent(change *Change) bool {
	if len(change.New.Suspects) > 0 {
		return true
	}
	return change.Old != nil && withdrawsServer(change.Old, change.New)
}

// withdrawsServer reports whether a server that took work no longer does.
func withdrawsServer(before, after *Record) bool {
	for _, old := range before.Servers {
		if !old.State.AcceptsRequests() || before.Leaving {
			continue
		}
		stillAcceptsRequests := func(s Server) bool { return s.Addr == old.Addr && s.State.AcceptsRequests() }
		if after.Leaving || !slices.ContainsFunc(after.Servers, stillAcceptsRequests) {
			return true
		}
	}
	return after.Leaving && !before.Leaving
}

// flushUpdates sends the updates queued since the last tick.
func (c *Core) flushUpdates() []Action {
	if len(c.updates.order) == 0 {
		return nil
	}
	var actions []Action
	for _, name := range c.linkNames {
		if c.carriesUpdates(name) {
			actions = append(actions, c.flushUpdatesTo(name)...)
		}
	}
	c.updates = newUpdateQueue()
	return actions
}

func (c *Core) flushUpdatesTo(name string) []Action {
	var records []Record
	var stamps []Stamp
	for _, id := range c.updates.order {
		e, u := c.table.entries[id], c.updates.pending[id]
		switch {
		case e == nil || e.state != alive || u.knownBy[name]:
		case u.stampOnly:
			stamps = append(stamps, e.stamp)
		default:
			records = append(records, e.currentRecord())
		}
	}
	actions := c.sendRecords(name, records, false)
	if len(stamps) > 0 {
		actions = append(actions, c.send(name, Message{Type: MsgRefute, Stamps: stamps}))
	}
	return actions
}
