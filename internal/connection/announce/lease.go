package announce

import (
	"time"

	"github.com/daisygate/daisygate/internal/process/presence"
)

// maxDialFailures is the number of consecutive failed dials after which a server gets no more
// requests, whatever it announces.
const maxDialFailures = 2

// lease is the registration of one boot (one start of a backend server). It ends unless further
// announcements renew it.
type lease struct {
	// announced is the state that the server announced.
	announced presence.Server
	// sequence is the sequence number of the newest announcement; 0 if unknown.
	sequence uint64
	// leftAt is the sequence number of the announcement with which the server began to drain;
	// meaningless while it does not.
	leftAt  uint64
	expires time.Time
	// coldUntil is the time when the server has warmed up.
	coldUntil time.Time
	// dialFailures is the number of consecutive failed dials.
	dialFailures int
	// acceptingSince is the time when the server began to accept requests; zero while it
	// accepts none.
	acceptingSince time.Time
	// inferredAt is when a health check was answered, while the lease rests on that check alone;
	// zero once the server has announced itself.
	inferredAt time.Time
	// cold is set while the server is slow after its start.
	cold bool
	// renewedOnStandby is set on a standby lease that was announced while another boot was
	// active at the address.
	renewedOnStandby bool
	// leaving is set once the server has stated in a response that it is about to stop. Later
	// announcements of the boot do not change that.
	leaving bool
}

// acceptsRequests reports whether the server announced that it accepts requests, has not stated
// otherwise since, and can be reached.
func (l *lease) acceptsRequests() bool {
	return l.announced.State.AcceptsRequests() && !l.leaving && l.dialFailures < maxDialFailures
}

// matches reports whether the announcement is about the same boot. A health check does not
// reveal the start time: an announcement after it is of the boot that answered unless it states
// a later start.
func (l *lease) matches(a *Announcement) bool {
	if l.announced.Boot != a.Boot {
		return false
	}
	inferred := !l.inferredAt.IsZero() && a.Started <= l.inferredAt.UnixMilli()
	return inferred || l.announced.Started == a.Started
}

// latestStart returns the start time of the boot in Unix milliseconds, 0 if the server sends none.
// If it was found by a health check, it is the time of that check.
func (l *lease) latestStart() int64 {
	if !l.inferredAt.IsZero() {
		return l.inferredAt.UnixMilli()
	}
	return l.announced.Started
}

// startedAfter reports whether the boot is known to have started after the one that sent the
// announcement.
func (l *lease) startedAfter(a *Announcement) bool {
	return a.Started != 0 && l.announced.Started > a.Started
}

// hasNewer reports whether a newer announcement of the same boot was received.
func (l *lease) hasNewer(a *Announcement) bool {
	return a.Sequence != 0 && a.Sequence <= l.sequence
}

// renew stores an announcement and extends the lease.
func (l *lease) renew(now time.Time, a *Announcement, server presence.Server, expires time.Time) {
	if l.announced.State != presence.Draining {
		l.leftAt = a.Sequence
	}
	l.announced, l.expires, l.sequence = server, expires, a.Sequence
	l.inferredAt = time.Time{}
	if a.Inferred {
		l.inferredAt = now
	}
}

// setCold stores how much longer the server is slow after its start. With advertise, the fleet
// is informed of it.
func (l *lease) setCold(now time.Time, a *Announcement, advertise bool) {
	l.coldUntil = now.Add(time.Duration(a.ColdMillis) * time.Millisecond)
	l.cold = advertise && a.ColdMillis > 0
}

// updateAcceptingSince sets or clears acceptingSince after a change to the lease.
func (l *lease) updateAcceptingSince(now time.Time) {
	switch {
	case !l.acceptsRequests():
		l.acceptingSince = time.Time{}
	case l.acceptingSince.IsZero():
		l.acceptingSince = now
	}
}

// advertised returns the state of the server that is published to the fleet.
func (l *lease) advertised() presence.Server {
	s := l.announced
	s.Cold = l.cold
	if l.leaving {
		s.State = presence.Draining
	}
	if s.State.AcceptsRequests() && !l.acceptsRequests() {
		s.State = presence.Joining
	}
	if !l.acceptingSince.IsZero() {
		s.Since = l.acceptingSince.UnixMilli()
	}
	return s
}
