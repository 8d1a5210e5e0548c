package announce

import (
	"slices"
	"time"

	"github.com/daisygate/daisygate/internal/process/presence"
)

// maxStandbys limits the standby leases at one address.
const maxStandbys = 4

// endpoint holds the leases of the boots that announce the same address. Only one of them can
// be listening there: the active one is assumed to. The others remain on standby until their
// leases expire, because an announcement may be sent by something other than the server: a boot
// that was displaced becomes active again when the active one turns out not to be listening.
//
// Invariant: active is not nil once the endpoint is in a Registry.
type endpoint struct {
	active *lease
	// standbys are ordered by their newest announcement, the oldest first.
	standbys []*lease
}

// find returns the lease of the boot that sent the announcement, or nil.
func (e *endpoint) find(a *Announcement) *lease {
	if e.active != nil && e.active.matches(a) {
		return e.active
	}
	if i := slices.IndexFunc(e.standbys, func(l *lease) bool { return l.matches(a) }); i >= 0 {
		return e.standbys[i]
	}
	return nil
}

// knows reports whether a boot with this ID has a lease.
func (e *endpoint) knows(boot string) bool {
	matches := func(l *lease) bool { return l.announced.Boot == boot }
	return e.active != nil && matches(e.active) || slices.ContainsFunc(e.standbys, matches)
}

// yieldsTo reports whether the announcement of another boot replaces the active lease. A boot
// that accepts no requests does not replace one that does: no request would ever detect that it
// is not listening.
func (e *endpoint) yieldsTo(a *Announcement, state presence.ServerState) bool {
	switch {
	case e.active == nil:
		return true
	case e.active.startedAfter(a):
		return false
	}
	return state.AcceptsRequests() || !e.active.acceptsRequests()
}

// activate makes l the active lease and keeps the previous one on standby.
func (e *endpoint) activate(l *lease) {
	if e.active != nil {
		e.addStandby(e.active)
	}
	e.active = l
}

// addStandby makes l the most recently announced standby lease and drops the oldest one above
// the limit.
func (e *endpoint) addStandby(l *lease) {
	e.standbys = slices.DeleteFunc(e.standbys, func(o *lease) bool { return o == l })
	e.standbys = append(e.standbys, l)
	if len(e.standbys) > maxStandbys {
		e.standbys = slices.Delete(e.standbys, 0, 1)
	}
}

// removeExpired removes and returns the expired standby leases.
func (e *endpoint) removeExpired(now time.Time) []*lease {
	var ended []*lease
	e.standbys = slices.DeleteFunc(e.standbys, func(l *lease) bool {
		if now.After(l.expires) {
			ended = append(ended, l)
			return true
		}
		return false
	})
	return ended
}

// promoteStandby replaces the active lease with the most recently announced standby lease that
// has not expired. With renewedOnly, only leases that were announced while on standby qualify.
// It reports whether there was one.
func (e *endpoint) promoteStandby(now time.Time, renewedOnly bool) bool {
	for i, l := range slices.Backward(e.standbys) {
		if now.After(l.expires) || renewedOnly && !l.renewedOnStandby {
			continue
		}
		e.standbys = slices.Delete(e.standbys, i, i+1)
		l.renewedOnStandby, l.dialFailures = false, 0
		l.updateAcceptingSince(now)
		e.active = l
		return true
	}
	return false
}
