package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// connectionLossWindow is the time within which lost connections are attributed to one
	// event.
	connectionLossWindow = time.Second
	// AbandonedWindow is how long a server may go on with a request after this daemon has closed
	// its connection, or after it has answered with a timeout. A crash within that time may be due to
	// the request.
	AbandonedWindow = time.Second
	// exitDuration is the time within which a process that ends closes all its connections.
	exitDuration = 20 * time.Millisecond
)

// crashEvent is one crash of a server.
type crashEvent struct {
	// firstLost is when the first connection was lost; detected is when the crash was
	// detected.
	firstLost, detected time.Time
}

// Outcome is how a run ended.
type Outcome uint8

const (
	// Completed: the server sent a whole answer and reported no error.
	Completed Outcome = iota + 1
	// Aborted: the run never reached the server, or was answered with an error. It says nothing
	// about whether the request crashes servers.
	Aborted
	// ConnectionRefused: the server did not accept the connection.
	ConnectionRefused
	// Abandoned: this daemon closed the connection before the answer was complete.
	Abandoned
	// TimedOut: the server answered that it gave up at the time limit. Its work may go on, as after
	// Abandoned.
	TimedOut
	// ConnectionLost: the server closed the connection.
	ConnectionLost
)

// run is one request in progress on a server of this daemon's instance, or abandoned there less
// than AbandonedWindow ago.
type run struct {
	identity Identity
	// alone is set if nothing else runs on the server.
	alone     bool
	startedAt time.Time
	// lostAt is when the connection was lost; zero while it is open.
	lostAt time.Time
	// abandonedAt is when this daemon closed the connection or received a timeout; zero otherwise.
	abandonedAt time.Time
	// reported is set once a crash of the server was reported for this run.
	reported bool
}

// Core is the quarantine state of one daemon. It is not safe for concurrent use.
type Core struct {
	ledger ledger
	nextID uint64
	// servers holds the runs by server address; no inner map is empty.
	servers map[string]map[uint64]*run
	// lastCrashes holds the last crash of each server by address.
	lastCrashes map[string]crashEvent
}

// New returns a Core without suspects.
func New(cfg Config) *Core {
	return &Core{
		ledger:      ledger{cfg: cfg, own: map[Fingerprint]Suspect{}, others: map[Fingerprint]map[string]Suspect{}},
		servers:     map[string]map[uint64]*run{},
		lastCrashes: map[string]crashEvent{},
	}
}

// Learn adds the reports that the other daemons publish now. Earlier ones that they no longer
// publish are remembered until they expire or are cleared.
func (c *Core) Learn(now time.Time, reports []Suspect) { c.ledger.learn(now, reports) }

// Empty reports whether there are no reports at all.
func (c *Core) Empty() bool { return c.ledger.empty() }

// Known returns the number of suspects.
func (c *Core) Known(now time.Time) int { return c.ledger.count(now) }

// HasSuspectLike reports whether there is a suspect that differs from the request in its body at
// most.
func (c *Core) HasSuspectLike(now time.Time, f Fingerprint) bool { return c.ledger.hasLike(now, f) }

// Judge returns how a request may run. If Verdict.Renew is set, the caller must call Renew.
func (c *Core) Judge(now time.Time, id *Identity) Verdict {
	return c.ledger.judge(now, id)
}

// Renew extends the refusal of a request that is still sent. The reports have changed afterwards.
func (c *Core) Renew(now time.Time, id *Identity) { c.ledger.renew(now, id.Content()) }

// Release clears a suspect, and all others with the same content, on an operator's order. It returns
// whether there was one; the reports have then changed.
func (c *Core) Release(now time.Time, f Fingerprint) bool { return c.ledger.release(now, f) }

// Proven returns a report on each request that crashed a server while it ran alone, whichever
// daemon observed that.
func (c *Core) Proven(now time.Time) []Suspect { return c.ledger.proven(now) }

// ReportRemoteCrash records that the daemon named source observed a crash while the request was in
// progress, alone or not. It reports whether that was new.
func (c *Core) ReportRemoteCrash(now time.Time, id *Identity, source string, alone bool) bool {
	blamed := newBlamed(id)
	blamed.Alone = alone
	var added bool
	if blamed.Crashes, added = c.ledger.addRemoteCrash(now, blamed.Fingerprint, blamed.Content, source, alone); added {
		c.ledger.events = append(c.ledger.events, Event{Kind: CrashedElsewhere, Requests: []Blamed{blamed}})
	}
	return added
}

// Reports returns the reports of this daemon, which are sent to all others.
func (c *Core) Reports() []Suspect { return c.ledger.reports() }

// Begin records that a request is handed to the server at addr. It returns the run's
// id for RecordConnectionLoss and End.
func (c *Core) Begin(now time.Time, addr string, id Identity, alone bool) uint64 {
	c.nextID++
	if c.servers[addr] == nil {
		c.servers[addr] = map[uint64]*run{}
	}
	c.servers[addr][c.nextID] = &run{identity: id, alone: alone, startedAt: now}
	return c.nextID
}

// RecordBody records the whole body of a run that began with an unknown content length.
func (c *Core) RecordBody(addr string, id uint64, body []byte) {
	if r := c.servers[addr][id]; r != nil {
		r.identity.Body, r.identity.ContentLength = body, int64(len(body))
	}
}

// RecordConnectionLoss records that the server closed a run's connection. The caller must then
// find out whether the server crashed, and call End.
func (c *Core) RecordConnectionLoss(now time.Time, addr string, id uint64) {
	if r := c.servers[addr][id]; r != nil {
		r.lostAt = now
	}
}

// End records the end of a run. For a ConnectionLost run, listening tells whether the server
// still accepts connections. End reports whether the server crashed while the request was in
// progress, and whether the reports have changed.
func (c *Core) End(now time.Time, addr string, id uint64, outcome Outcome, listening bool) (crashed, changed bool) {
	r := c.servers[addr][id]
	if r == nil {
		return false, false
	}
	switch {
	case outcome == Completed && !c.ledger.empty():
		changed = c.clear(now, &r.identity)
	case outcome == ConnectionLost && r.reported:
		crashed = true
	case outcome == ConnectionLost && (!listening || !c.ledger.cfg.SlowRestart && c.hasRestarted(addr)):
		changed = true
		c.reportCrash(now, addr, func(*run) bool { return true })
		crashed = r.reported
	}
	if outcome == Abandoned || outcome == TimedOut {
		r.abandonedAt = now
	} else {
		delete(c.servers[addr], id)
	}
	c.dropAbandoned(now, addr)
	if outcome == ConnectionRefused {
		changed = c.RecordRefusal(now, addr) || changed
	}
	return crashed, changed
}

// RecordRefusal records that the server refuses connections, and reports whether the reports have
// changed: runs abandoned there shortly before may have crashed it.
func (c *Core) RecordRefusal(now time.Time, addr string) (changed bool) {
	c.dropAbandoned(now, addr)
	if !c.hasAbandoned(addr) {
		return false
	}
	c.reportCrash(now, addr, (*run).isAbandoned)
	return true
}

// clear reports that a request ended well, and returns whether it was a suspect.
func (c *Core) clear(now time.Time, id *Identity) bool {
	blamed := newBlamed(id)
	cleared := c.ledger.clear(now, blamed.Fingerprint, blamed.Content)
	if cleared {
		c.ledger.events = append(c.ledger.events, Event{Kind: Cleared, Requests: []Blamed{blamed}})
	}
	return cleared
}

// hasAbandoned reports whether a run was abandoned on the server less than AbandonedWindow ago, and
// not yet reported.
func (c *Core) hasAbandoned(addr string) bool {
	for _, r := range c.servers[addr] {
		if r.isAbandoned() && !r.reported {
			return true
		}
	}
	return false
}

func (r *run) isAbandoned() bool { return !r.abandonedAt.IsZero() }

// dropAbandoned removes the runs that were abandoned too long ago to crash the server.
func (c *Core) dropAbandoned(now time.Time, addr string) {
	maps.DeleteFunc(c.servers[addr], func(_ uint64, r *run) bool {
		return r.isAbandoned() && now.Sub(r.abandonedAt) > AbandonedWindow
	})
	if len(c.servers[addr]) == 0 {
		delete(c.servers, addr)
	}
}

// hasRestarted reports whether a server that accepts connections has crashed and
// restarted: several runs lost their connections at about the same time, and no run
// in progress at that time continues. One lost connection among others that stay open
// is not a crash.
func (c *Core) hasRestarted(addr string) bool {
	var first time.Time
	lost := 0
	for _, r := range c.servers[addr] {
		if r.lostAt.IsZero() {
			continue
		}
		lost++
		if first.IsZero() || r.lostAt.Before(first) {
			first = r.lostAt
		}
	}
	for _, r := range c.servers[addr] {
		if r.lostAt.IsZero() && !r.isAbandoned() && r.startedAt.Before(first) {
			return false
		}
	}
	return lost > 1
}

// lostInEarlierEvent reports whether the run lost its connection in an earlier event.
func (r *run) lostInEarlierEvent(now time.Time) bool {
	return !r.lostAt.IsZero() && now.Sub(r.lostAt) > connectionLossWindow
}

// startedDuring reports whether the run started while the server was already crashing. A run that
// kept its connection for longer than exitDuration did not: the first connection that was lost, before
// it started, was lost for another reason.
func (r *run) startedDuring(event crashEvent) bool {
	lost := r.lostAt
	if lost.IsZero() {
		lost = event.detected
	}
	return r.startedAt.After(event.firstLost) && !r.startedAt.After(event.detected) && lost.Sub(r.startedAt) <= exitDuration
}

// currentCrash returns the ongoing crash of a server, or records a new one detected now.
func (c *Core) currentCrash(now time.Time, addr string) crashEvent {
	if known := c.lastCrashes[addr]; now.Sub(known.firstLost) <= connectionLossWindow {
		return known
	}
	event := crashEvent{firstLost: now, detected: now}
	for _, r := range c.servers[addr] {
		if !r.lostAt.IsZero() && !r.lostInEarlierEvent(now) && r.lostAt.Before(event.firstLost) {
			event.firstLost = r.lostAt
		}
	}
	c.lastCrashes[addr] = event
	return event
}

// reportCrash reports every run that was in progress on a server when it crashed, or had been
// abandoned shortly before, and for which mayBeCause is true. Runs of the same request count once.
// Runs that started after the first connection was lost are not reported, because they did not cause
// the crash: a process that ends closes its connections one by one, and a request can still be written
// to a later one.
func (c *Core) reportCrash(now time.Time, addr string, mayBeCause func(*run) bool) {
	c.dropAbandoned(now, addr)
	runs := c.servers[addr]
	requests := map[Fingerprint]*Blamed{}
	crash := c.currentCrash(now, addr)
	event := Event{Kind: Crashed, Server: addr}
	for _, id := range slices.Sorted(maps.Keys(runs)) {
		r := runs[id]
		if r.reported || !mayBeCause(r) {
			continue
		}
		blamed := newBlamed(&r.identity)
		blamed.Age, blamed.Abandoned = now.Sub(r.startedAt), r.isAbandoned()
		if r.lostInEarlierEvent(now) || r.startedDuring(crash) {
			event.Spared = append(event.Spared, blamed)
			continue
		}
		r.reported = true
		if requests[blamed.Fingerprint] == nil {
			requests[blamed.Fingerprint] = &blamed
		}
		requests[blamed.Fingerprint].Alone = requests[blamed.Fingerprint].Alone || r.alone
	}
	ranAlone := 0
	for _, blamed := range requests {
		if blamed.Alone {
			ranAlone++
		}
	}
	for _, f := range slices.Sorted(maps.Keys(requests)) {
		blamed := requests[f]
		// A request that began in isolation after another was abandoned was not alone.
		blamed.Alone = blamed.Alone && ranAlone == 1
		blamed.Crashes = c.ledger.addCrash(now, f, blamed.Content, blamed.Alone, false)
		event.Requests = append(event.Requests, *blamed)
	}
	if len(event.Requests) > 0 {
		c.ledger.events = append(c.ledger.events, event)
	}
}
