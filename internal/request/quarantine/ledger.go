package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Suspect is one report of a daemon about a request.
type Suspect struct {
	Fingerprint Fingerprint
	// Crashes is 1 for a request in progress at a crash, plus 1 for each crash at which
	// it ran alone. 0 clears all reports that expire no later than Until.
	Crashes uint8
	// Until is when the report expires.
	Until time.Time
	// ObservedElsewhere is set if the crash was observed by another daemon.
	ObservedElsewhere bool
	// Source is the name of the reporting daemon; "" is this one.
	Source string
}

// Config is the configuration of a Core. It does not change.
type Config struct {
	// Memory is how long a suspect is remembered after its refusal has ended.
	Memory time.Duration
	// FirstHold is how long a request is refused after its second crash. Each further
	// crash doubles the time, up to MaxHold.
	FirstHold, MaxHold time.Duration
	// Max is the maximum number of reports of one daemon.
	Max int
	// SlowRestart states that the restart of a crashed server takes longer than the check
	// whether it listens. A server that still listens has then not crashed, no matter how
	// many connections it lost at a time.
	SlowRestart bool
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{Memory: 30 * time.Minute, FirstHold: time.Minute, MaxHold: time.Hour, Max: 32}
}

func (c *Config) holdTime(crashes uint8) time.Duration {
	hold := time.Duration(0)
	for i := uint8(2); i <= crashes && hold < c.MaxHold; i++ {
		hold = min(max(2*hold, c.FirstHold), c.MaxHold)
	}
	return hold
}

// Mode is how a request may run.
type Mode uint8

const (
	// Free: the request runs like any other.
	Free Mode = iota
	// Alone: the request runs while no other request runs on the server.
	Alone
	// Refused: the request does not run until Verdict.Until.
	Refused
)

// Verdict is the decision on a request.
type Verdict struct {
	Mode Mode
	// Until is set if Mode is Refused.
	Until time.Time
}

// ledger combines the reports of all daemons.
type ledger struct {
	cfg Config
	// own holds the reports of this daemon, at most cfg.Max.
	own map[Fingerprint]Suspect
	// others holds the reports of all other daemons.
	others map[Fingerprint][]Suspect
	// crashTimes holds the times of the crashes that other daemons observed, by source.
	crashTimes map[string][]time.Time
}

func (l *ledger) empty() bool { return len(l.own) == 0 && len(l.others) == 0 }

// combined returns the combination of all reports on f; ok is false if none is active.
// Reports that expire no later than cleared have been cleared.
func (l *ledger) combined(now time.Time, f Fingerprint) (s Suspect, cleared time.Time, ok bool) {
	reports := l.others[f]
	if own, reported := l.own[f]; reported {
		reports = append(slices.Clip(reports), own)
	}
	cleared = clearedUntil(reports)
	s.Fingerprint = f
	for _, r := range reports {
		if !r.isActive(now, cleared) {
			continue
		}
		s.Crashes = max(s.Crashes, r.Crashes)
		if r.Until.After(s.Until) {
			s.Until = r.Until
		}
	}
	return s, cleared, s.Crashes > 0
}

func clearedUntil(reports []Suspect) time.Time {
	var cleared time.Time
	for _, r := range reports {
		if r.Crashes == 0 && r.Until.After(cleared) {
			cleared = r.Until
		}
	}
	return cleared
}

// isActive reports whether r is about a crash and has neither been cleared nor expired.
func (r *Suspect) isActive(now, cleared time.Time) bool {
	return r.Crashes > 0 && r.Until.After(cleared) && r.Until.After(now)
}

// setRemoteReports replaces the reports of other daemons. Own reports that another daemon
// cleared are dropped, so that they do not become active again when the clearance expires.
func (l *ledger) setRemoteReports(reports []Suspect) {
	l.others, l.crashTimes = map[Fingerprint][]Suspect{}, map[string][]time.Time{}
	for _, r := range reports {
		l.others[r.Fingerprint] = append(l.others[r.Fingerprint], r)
		if r.Crashes > 0 && !r.ObservedElsewhere {
			l.crashTimes[r.Source] = append(l.crashTimes[r.Source], l.cfg.crashTime(&r))
		}
	}
	maps.DeleteFunc(l.own, func(f Fingerprint, s Suspect) bool {
		return s.Crashes > 0 && !s.Until.After(clearedUntil(l.others[f]))
	})
}

func (l *ledger) count(now time.Time) int {
	all := map[Fingerprint]bool{}
	for f := range l.own {
		all[f] = true
	}
	for f := range l.others {
		all[f] = true
	}
	n := 0
	for f := range all {
		if _, _, ok := l.combined(now, f); ok {
			n++
		}
	}
	return n
}

func (l *ledger) judge(now time.Time, f Fingerprint) Verdict {
	s, _, ok := l.combined(now, f)
	if !ok {
		return Verdict{}
	}
	if end := s.Until.Add(-l.cfg.Memory); s.Crashes > 1 && now.Before(end) && !l.excused(now, s) {
		return Verdict{Mode: Refused, Until: end}
	}
	return Verdict{Mode: Alone}
}

// addCrash reports a request in progress at a crash.
func (l *ledger) addCrash(now time.Time, f Fingerprint, ranAlone, remote bool) {
	s, cleared, _ := l.combined(now, f)
	crashes := max(s.Crashes, 1)
	if ranAlone && crashes < math.MaxUint8 {
		crashes++
	}
	until := now.Add(l.cfg.holdTime(crashes) + l.cfg.Memory)
	if !until.After(cleared) {
		until = cleared.Add(time.Millisecond)
	}
	l.store(now, Suspect{Fingerprint: f, Crashes: crashes, Until: until, ObservedElsewhere: remote})
}

// addRemoteCrash reports a crash that another daemon observed, unless it is known, and
// returns whether it was new.
func (l *ledger) addRemoteCrash(now time.Time, f Fingerprint, ranAlone bool) bool {
	s, _, _ := l.combined(now, f)
	if s.Crashes > 1 || (s.Crashes == 1 && !ranAlone) {
		return false
	}
	l.addCrash(now, f, ranAlone, true)
	return true
}

// clear reports that a suspect ended well, and returns whether f was a suspect.
func (l *ledger) clear(now time.Time, f Fingerprint) bool {
	s, _, ok := l.combined(now, f)
	if ok {
		l.store(now, Suspect{Fingerprint: f, Until: s.Until})
	}
	return ok
}

func (l *ledger) store(now time.Time, s Suspect) {
	l.expire(now)
	l.own[s.Fingerprint] = s
	if len(l.own) > l.cfg.Max {
		delete(l.own, l.leastImportant().Fingerprint)
	}
}

// leastImportant returns the report to evict first: the one with the fewest crashes, then
// the one that expires first.
func (l *ledger) leastImportant() Suspect {
	return slices.MinFunc(slices.Collect(maps.Values(l.own)), func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(a.Crashes, b.Crashes), a.Until.Compare(b.Until), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
}

func (l *ledger) expire(now time.Time) {
	maps.DeleteFunc(l.own, func(_ Fingerprint, s Suspect) bool { return !s.Until.After(now) })
}

// reports returns the reports of this daemon in order of fingerprint.
func (l *ledger) reports() []Suspect {
	return slices.SortedFunc(maps.Values(l.own), func(a, b Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
}
