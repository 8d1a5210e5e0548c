package quarantine

import "time"

const (
	// crashWindow is the time around a crash within which other crashes may have
	// the same cause, for instance the loss of a rack.
	crashWindow = 2 * time.Second
	// excusingCrashes is beside how many daemons a server must have crashed
	// meanwhile, besides the one at which the request ran alone. One is where it
	// became a suspect.
	excusingCrashes = 2
	// excusedCrashes is the Crashes up to which a request may be excused: one
	// crash alone.
	excusedCrashes = 2
)

// crashed is when the crash of a report was.
func (c *Config) crashed(r *Suspect) time.Time {
	return r.Until.Add(-c.hold(r.Crashes) - c.Memory)
}

// excused reports whether the crash at which s ran alone may have the cause of
// others around it. Such a request runs alone once more; a further crash alone
// is never excused. Until the reports of the other crashes have come it is
// refused.
func (l *ledger) excused(now time.Time, s Suspect) bool {
	if s.Crashes != excusedCrashes {
		return false
	}
	at, by := l.ranAlone(now, s)
	others := 0
	for source, times := range l.seen {
		if !by[source] && near(at, times) {
			others++
		}
	}
	if !by[""] && near(at, l.ownCrashes()) {
		others++
	}
	return others >= excusingCrashes
}

// ranAlone returns when s crashed a server alone, and which daemons saw that.
func (l *ledger) ranAlone(now time.Time, s Suspect) (at time.Time, by map[string]bool) {
	reports := append([]Suspect{}, l.others[s.Fingerprint]...)
	if own, reported := l.own[s.Fingerprint]; reported {
		reports = append(reports, own)
	}
	cleared := clearedUntil(reports)
	by = map[string]bool{}
	for _, r := range reports {
		if !r.holds(now, cleared) || r.Crashes != s.Crashes {
			continue
		}
		if when := l.cfg.crashed(&r); when.After(at) {
			at = when
		}
		if !r.Told {
			by[r.Source] = true
		}
	}
	return at, by
}

func (l *ledger) ownCrashes() []time.Time {
	var times []time.Time
	for _, r := range l.own {
		if r.Crashes > 0 && !r.Told {
			times = append(times, l.cfg.crashed(&r))
		}
	}
	return times
}

func near(at time.Time, times []time.Time) bool {
	for _, t := range times {
		if t.Sub(at).Abs() < crashWindow {
			return true
		}
	}
	return false
}
