package quarantine

import (
	"maps"
	"slices"
	"time"
)

// lossWindow is the time within which several lost connections count as one
// event.
const lossWindow = time.Second

// death is one crash of a server.
type death struct {
	// lost is when the first connection was lost, and found when the server was
	// seen to have crashed.
	lost, found time.Time
}

// Fate is how a run ended.
type Fate uint8

// The fates.
const (
	// Well ended runs gave a whole answer.
	Well Fate = iota + 1
	// GivenUp runs were ended by this side, or never reached the server.
	GivenUp
	// Lost runs lost their connection by the server's doing.
	Lost
)

// run is one request that a server beside this daemon runs.
type run struct {
	identity Identity
	// alone is set while nothing else runs on the server.
	alone bool
	began time.Time
	// lost is when its connection was lost; zero while it holds.
	lost time.Time
	// blamed is set once a crash of the server was reported for it.
	blamed bool
}

// Core is what one daemon knows. It is not safe for concurrent use.
type Core struct {
	ledger ledger
	nextID uint64
	// servers are the runs in progress by the server's address; no map in it is
	// empty.
	servers map[string]map[uint64]*run
	// deaths are the last crashes by the server's address.
	deaths map[string]death
}

// New returns a Core that suspects nothing.
func New(cfg Config) *Core {
	return &Core{
		ledger:  ledger{cfg: cfg, own: map[Fingerprint]Suspect{}, others: map[Fingerprint][]Suspect{}},
		servers: map[string]map[uint64]*run{},
		deaths:  map[string]death{},
	}
}

// Learn replaces what the other daemons report.
func (c *Core) Learn(reports []Suspect) { c.ledger.learn(reports) }

// Quiet reports whether no request of any kind is suspected.
func (c *Core) Quiet() bool { return c.ledger.empty() }

// Known counts the requests that are suspected.
func (c *Core) Known(now time.Time) int { return c.ledger.count(now) }

// Judge says how a request may run.
func (c *Core) Judge(now time.Time, f Fingerprint) Verdict { return c.ledger.judge(now, f) }

// Told takes in that another daemon saw a crash with the request in progress,
// alone or not. It reports whether that was not known yet.
func (c *Core) Told(now time.Time, f Fingerprint, alone bool) bool {
	return c.ledger.told(now, f, alone)
}

// Reports returns what this daemon reports to the fleet.
func (c *Core) Reports() []Suspect { return c.ledger.reports() }

// Begin notes that a request is handed to the server at addr. It returns a
// number for End.
func (c *Core) Begin(now time.Time, addr string, id Identity, alone bool) uint64 {
	c.nextID++
	if c.servers[addr] == nil {
		c.servers[addr] = map[uint64]*run{}
	}
	c.servers[addr][c.nextID] = &run{identity: id, alone: alone, began: now}
	return c.nextID
}

// Drop notes that a run's connection was lost by the server's doing. Whether
// the server crashed is then to be found out, and told with End.
func (c *Core) Drop(now time.Time, addr string, id uint64) {
	if r := c.servers[addr][id]; r != nil {
		r.lost = now
	}
}

// End notes that nothing of a run is in progress any more. listening tells, of
// a Lost run, whether the server still takes connections. It reports whether
// the server crashed, and whether the reports have changed.
func (c *Core) End(now time.Time, addr string, id uint64, fate Fate, listening bool) (crashed, changed bool) {
	r := c.servers[addr][id]
	if r == nil {
		return false, false
	}
	switch {
	case fate == Well && (r.alone || r.blamed):
		changed = c.ledger.clear(now, r.identity.Fingerprint())
	case fate == Lost && r.blamed:
		crashed = true
	case fate == Lost && (!listening || !c.ledger.cfg.SlowRestart && c.restarted(addr)):
		crashed, changed = true, true
		c.crash(now, addr)
	}
	delete(c.servers[addr], id)
	if len(c.servers[addr]) == 0 {
		delete(c.servers, addr)
	}
	return crashed, changed
}

// restarted reports whether a server that takes connections crashed and came
// back: several runs lost their connections at one time, and none that was in
// progress then goes on. One lost connection beside others that hold is no
// crash.
func (c *Core) restarted(addr string) bool {
	var first time.Time
	lost := 0
	for _, r := range c.servers[addr] {
		if r.lost.IsZero() {
			continue
		}
		lost++
		if first.IsZero() || r.lost.Before(first) {
			first = r.lost
		}
	}
	for _, r := range c.servers[addr] {
		if r.lost.IsZero() && r.began.Before(first) {
			return false
		}
	}
	return lost > 1
}

// lostBefore reports whether a run lost its connection in an earlier event.
func (r *run) lostBefore(now time.Time) bool {
	return !r.lost.IsZero() && now.Sub(r.lost) > lossWindow
}

// beganIn reports whether a run began on what was left of a server that died.
func (r *run) beganIn(d death) bool {
	return r.began.After(d.lost) && !r.began.After(d.found)
}

// died returns the present crash of a server, found now unless it was known.
func (c *Core) died(now time.Time, addr string) death {
	if known := c.deaths[addr]; now.Sub(known.lost) <= lossWindow {
		return known
	}
	d := death{lost: now, found: now}
	for _, r := range c.servers[addr] {
		if !r.lost.IsZero() && !r.lostBefore(now) && r.lost.Before(d.lost) {
			d.lost = r.lost
		}
	}
	c.deaths[addr] = d
	return d
}

// crash reports every run in progress on a server when it crashed. Runs of one
// request count once. A run that began after the first connection was lost did
// not crash the server: a process that ends closes its connections one by one,
// and a request can still be written to a later one.
func (c *Core) crash(now time.Time, addr string) {
	runs := c.servers[addr]
	alone := map[Fingerprint]bool{}
	died := c.died(now, addr)
	for _, id := range slices.Sorted(maps.Keys(runs)) {
		r := runs[id]
		if r.blamed || r.lostBefore(now) || r.beganIn(died) {
			continue
		}
		r.blamed = true
		f := r.identity.Fingerprint()
		alone[f] = alone[f] || r.alone
	}
	for _, f := range slices.Sorted(maps.Keys(alone)) {
		c.ledger.blame(now, f, alone[f], false)
	}
}
