package announce

import (
	"maps"
	"slices"
	"time"

	"github.com/daisygate/daisygate/internal/process/leaves"
	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/result"
)

// disproofDuration is how long announcements of a boot are ignored after another boot responded
// at its address. maxDisproved limits the number of such boots.
const (
	disproofDuration = 30 * time.Second
	maxDisproved     = 256
)

// Registry holds the leases of the backend servers on the same instance as the daemon. It is
// not safe for concurrent use, and its callers pass the current time.
//
// Invariant: it holds at most presence.MaxServers endpoints.
type Registry struct {
	// endpoints is keyed by address.
	endpoints map[string]*endpoint
	departed  departedBoots
	// restoring is set until the leaves that an earlier process acknowledged are known. Until
	// then no server is published as accepting requests.
	restoring bool
	// disproved maps a boot ID, at whose address another boot responded, to the time until
	// which its announcements are ignored.
	disproved map[string]time.Time
	// advertiseCold publishes to the fleet which servers are slow after their start. This costs
	// one more presence record for each start.
	advertiseCold bool
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{endpoints: map[string]*endpoint{}, disproved: map[string]time.Time{}}
}

// Verdict is the effect of a valid announcement.
type Verdict uint8

const (
	// Renewed announcements only extended the lease.
	Renewed Verdict = iota + 1
	// Changed announcements changed the published state of the server.
	Changed
	// Outdated announcements were ignored: a newer one of the same boot was received.
	Outdated
	// Superseded announcements were ignored: their boot has ended, or another boot is active at
	// its address.
	Superseded
	// Disproved announcements were ignored: another boot responded at their address.
	Disproved
)

// String returns the verdict as one word, for logs and metrics.
func (v Verdict) String() string {
	switch v {
	case Renewed:
		return "renewed"
	case Changed:
		return "changed"
	case Outdated:
		return "late"
	case Superseded:
		return "over"
	case Disproved:
		return "disproved"
	}
	return "refused"
}

// Ignored reports whether the announcement was ignored.
func (v Verdict) Ignored() bool { return v == Outdated || v == Superseded || v == Disproved }

// Put registers or renews the server that sent the announcement.
func (r *Registry) Put(now time.Time, a Announcement) (Verdict, *result.Error) {
	server, leaseDuration, err := a.validate()
	if err != nil {
		return 0, err
	}
	switch {
	case r.departed.covers(now, &a):
		return Superseded, nil
	case now.Before(r.disproved[a.Boot]):
		return Disproved, nil
	}
	e := r.endpoints[a.Address]
	if e == nil {
		if len(r.endpoints) >= presence.MaxServers {
			return 0, result.Errorf(result.AnnounceFull, "%d backend servers are already announced here", len(r.endpoints))
		}
		e = &endpoint{}
		r.endpoints[a.Address] = e
	}
	return r.put(now, e, &a, server, now.Add(leaseDuration)), nil
}

// sendsRequestsTo reports whether the fleet sends requests to the address for servers with this
// boot ID.
func (r *Registry) sendsRequestsTo(address, boot string) bool {
	e := r.endpoints[address]
	return e != nil && e.active.announced.Boot == boot && e.active.acceptsRequests()
}

// put applies a valid announcement to the endpoint at its address.
func (r *Registry) put(now time.Time, e *endpoint, a *Announcement, server presence.Server, expires time.Time) Verdict {
	if a.Inferred && e.knows(a.Boot) {
		return Superseded
	}
	l := e.find(a)
	if l != nil && l.hasNewer(a) {
		return Outdated
	}
	if l == nil {
		l = &lease{}
		if e.yieldsTo(a, server.State) {
			e.activate(l)
		}
	}
	before := l.advertised()
	l.renew(now, a, server, expires)
	if l != e.active {
		l.renewedOnStandby = true
		e.addStandby(l)
		return Superseded
	}
	l.setCold(now, a, r.advertiseCold)
	l.updateAcceptingSince(now)
	for _, ended := range e.removeExpired(now) {
		r.departed.end(ended.announced.Boot, ended.announced.Started)
	}
	if l.advertised() != before {
		return Changed
	}
	return Renewed
}

// RecordDial records whether a server could be reached, and reports whether that changed its
// published state.
func (r *Registry) RecordDial(now time.Time, address string, reached bool) bool {
	e := r.endpoints[address]
	if e == nil {
		return false
	}
	l := e.active
	before := l.advertised()
	l.dialFailures++
	if reached {
		l.dialFailures = 0
	} else if l.announced.Boot == "" {
		// The server has stopped. Without a boot ID nothing else tells its next start apart.
		l.leaving = false
	}
	l.updateAcceptingSince(now)
	return l.advertised() != before
}

// RecordLeaving records that a boot has stated in a response that it is about to stop, and
// reports whether that changed the published state of the server at the address.
func (r *Registry) RecordLeaving(now time.Time, address, boot string, started int64) bool {
	e := r.endpoints[address]
	if e == nil || e.active.announced.Boot != boot || e.active.announced.Started != started {
		return false
	}
	l := e.active
	before := l.advertised()
	l.leaving = true
	l.updateAcceptingSince(now)
	return l.advertised() != before
}

// RecordMisdirected records that a boot other than the given one responded at the address, and
// reports whether that changed the published state of the server there.
func (r *Registry) RecordMisdirected(now time.Time, address, boot string) bool {
	e := r.endpoints[address]
	if e == nil || boot == "" || e.active.announced.Boot != boot {
		return false
	}
	if len(r.disproved) >= maxDisproved {
		clear(r.disproved)
	}
	r.disproved[boot] = now.Add(disproofDuration)
	e.standbys = slices.DeleteFunc(e.standbys, func(l *lease) bool { return l.announced.Boot == boot })
	if !e.promoteStandby(now, false) {
		delete(r.endpoints, address)
	}
	return true
}

// Delete removes the server at an address and reports whether it was registered. boot is its
// boot ID.
func (r *Registry) Delete(address string) (boot string, known bool) {
	e, known := r.endpoints[address]
	if !known {
		return "", false
	}
	boot = e.active.announced.Boot
	r.departed.end(boot, e.active.announced.Started)
	delete(r.endpoints, address)
	return boot, true
}

// End removes a boot at any address and reports whether that changed the published state of a
// server. started is its start time, or 0 for any. Later announcements of the boot are ignored.
// A lease that was renewed while on standby at the same address is removed too, but its boot
// may register again with its next announcement.
func (r *Registry) End(now time.Time, boot string, started int64) bool {
	if boot == "" {
		return false
	}
	ended := started
	if ended == 0 {
		ended = r.latestStart(now, boot)
	}
	r.departed.end(boot, ended)
	matches := func(l *lease) bool {
		return l.announced.Boot == boot && (started == 0 || l.announced.Started <= started)
	}
	for address, e := range r.endpoints {
		e.standbys = slices.DeleteFunc(e.standbys, matches)
		if !matches(e.active) {
			continue
		}
		r.departed.end(boot, e.active.announced.Started)
		for _, l := range e.standbys {
			if !l.renewedOnStandby {
				r.departed.end(l.announced.Boot, l.announced.Started)
			}
		}
		delete(r.endpoints, address)
		return true
	}
	return false
}

// latestStart returns the latest time at which a boot may have started, in Unix milliseconds: its
// start time if that is known, and 0 if the server sends none.
func (r *Registry) latestStart(now time.Time, boot string) int64 {
	latest, known := int64(0), false
	for _, e := range r.endpoints {
		for _, l := range append(e.standbys[:len(e.standbys):len(e.standbys)], e.active) {
			if l.announced.Boot == boot {
				latest, known = max(latest, l.latestStart()), true
			}
		}
	}
	if l, departed := r.departed.find(now, boot); departed {
		latest, known = max(latest, l.Started), true
	}
	if !known {
		return now.UnixMilli()
	}
	return latest
}

// Restore adds the leaves that earlier processes of the daemon acknowledged, and publishes
// servers from then on. It reports whether anything changed.
func (r *Registry) Restore(now time.Time, retained []leaves.Leave) bool {
	changed := r.restoring && len(r.endpoints) > 0
	r.restoring = false
	for _, l := range retained {
		var until time.Time
		if !l.Ended {
			until = now.Add(restoredDrainDuration)
		}
		r.departed.add(l, until)
		changed = r.removeDeparted(now, l) || changed
	}
	return changed
}

// removeDeparted removes the leases that a leave makes out of date, and reports whether there
// was an active one.
func (r *Registry) removeDeparted(now time.Time, l leaves.Leave) bool {
	isOutdated := func(o *lease) bool {
		return o.announced.Boot == l.Boot && o.announced.State.AcceptsRequests() &&
			(!o.inferredAt.IsZero() || l.Covers(o.announced.Started, o.sequence))
	}
	changed := false
	for address, e := range r.endpoints {
		e.standbys = slices.DeleteFunc(e.standbys, isOutdated)
		if !isOutdated(e.active) {
			continue
		}
		if !e.promoteStandby(now, false) {
			delete(r.endpoints, address)
		}
		changed = true
	}
	return changed
}

// leaveOf returns the leave that the announcement of a leaving server states. Repeated
// announcements of a leave return the same one.
func (r *Registry) leaveOf(now time.Time, a *Announcement) leaves.Leave {
	if l, departed := r.departed.find(now, a.Boot); departed && l.Ended && l.Covers(a.Started, a.Sequence) {
		return l
	}
	l := leaves.Leave{Boot: a.Boot, Started: a.Started, Sequence: a.Sequence}
	if e := r.endpoints[a.Address]; e != nil {
		if found := e.find(a); found != nil {
			l.Sequence = found.leftAt
		}
	}
	return l
}

// Expire removes expired leases and ends the slow start of servers that have warmed up. It
// reports whether anything changed.
func (r *Registry) Expire(now time.Time) bool {
	maps.DeleteFunc(r.disproved, func(_ string, until time.Time) bool { return !now.Before(until) })
	changed := false
	for address, e := range r.endpoints {
		switch l := e.active; {
		case now.After(l.expires):
			if !e.promoteStandby(now, true) {
				delete(r.endpoints, address)
			}
			changed = true
		case l.cold && !now.Before(l.coldUntil):
			l.cold = false
			changed = true
		}
	}
	return changed
}

// Servers returns the published state of the registered servers, ordered by address.
func (r *Registry) Servers() []presence.Server {
	var servers []presence.Server
	for _, address := range slices.Sorted(maps.Keys(r.endpoints)) {
		s := r.endpoints[address].active.advertised()
		if r.restoring && s.State.AcceptsRequests() {
			s.State, s.Since = presence.Joining, 0
		}
		servers = append(servers, s)
	}
	return servers
}
