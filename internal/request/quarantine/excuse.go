package quarantine

import "time"

const (
	// crashWindow is the time around a crash within which other crashes may have the same
	// cause, for instance the failure of a rack.
	crashWindow = 2 * time.Second
	// minOtherCrashes is the number of other daemons that must have observed crashes of
	// their servers within crashWindow for a request to be excused. One is not enough,
	// because the crash at which the request became a suspect may count as one.
	minOtherCrashes = 2
	// maxExcusedCrashes is the value of Suspect.Crashes up to which a request may be
	// excused: it includes a single crash at which the request ran alone.
	maxExcusedCrashes = 2
)

// crashTime returns the time of the crash that a report is about.
func (c *Config) crashTime(r *Suspect) time.Time {
	return r.Until.Add(-c.holdTime(r.Crashes) - c.Memory)
}

// excused reports whether the crash at which s ran alone may have the same cause as
// others around that time. An excused request runs alone once more; a further crash at
// which it runs alone is never excused. The request is refused until the reports of the
// other crashes have arrived.
func (l *ledger) excused(now time.Time, s Suspect) bool {
	if s.Crashes != maxExcusedCrashes {
		return false
	}
	at, by := l.lastAloneCrash(now, s)
	others := map[string]bool{}
	for f := range l.fingerprints() {
		for _, r := range l.reportsOn(f) {
			if !by[r.Source] && l.mayExcuse(&r, &s) && l.cfg.crashTime(&r).Sub(at).Abs() < crashWindow {
				others[r.Source] = true
			}
		}
	}
	return len(others) >= minOtherCrashes
}

// mayExcuse reports whether r is about a crash that a daemon observed itself, and not only under the same
// content as s from another sender.
func (l *ledger) mayExcuse(r, s *Suspect) bool {
	related := r.Content != 0 && r.Content == s.Content && r.Fingerprint != s.Fingerprint
	return r.Crashes > 0 && !r.ObservedElsewhere && !related
}

// lastAloneCrash returns when s last crashed a server while it ran alone, and the sources
// of the daemons that observed that.
func (l *ledger) lastAloneCrash(now time.Time, s Suspect) (at time.Time, by map[string]bool) {
	reports := l.reportsOn(s.Fingerprint)
	cleared := clearedUntil(reports)
	by = map[string]bool{}
	for _, r := range reports {
		if !r.isActive(now, cleared) || r.Crashes != s.Crashes {
			continue
		}
		if when := l.cfg.crashTime(&r); when.After(at) {
			at = when
		}
		if !r.ObservedElsewhere {
			by[r.Source] = true
		}
	}
	return at, by
}
