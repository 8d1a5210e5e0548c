package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Suspect is one report of a daemon.
type Suspect struct {
	Fingerprint Fingerprint
	// Crashes is 1 for a request in progress at a crash, and one more for each
	// crash at which it ran alone. 0 clears what is known up to Until.
	Crashes uint8
	// Until is when the report expires.
	Until time.Time
	// Told is set in a report of a crash that another daemon saw.
	Told bool
	// Source names the daemon that reports; "" is this one.
	Source string
}

// Config is fixed for the life of a Core.
type Config struct {
	// Memory is how long a suspect is remembered after its refusal has ended.
	Memory time.Duration
	// FirstHold is how long a request is refused after its second crash; each
	// further crash doubles it, up to MaxHold.
	FirstHold, MaxHold time.Duration
	// Max bounds the reports of one daemon.
	Max int
	// SlowRestart says that a server that crashed takes longer to come back than
	// it is looked for: one that still listens has not crashed, however many
	// connections it lost at one time.
	SlowRestart bool
}

// DefaultConfig returns the documented settings.
func DefaultConfig() Config {
	return Config{Memory: 30 * time.Minute, FirstHold: time.Minute, MaxHold: time.Hour, Max: 32}
}

func (c *Config) hold(crashes uint8) time.Duration {
	hold := time.Duration(0)
	for i := uint8(2); i <= crashes && hold < c.MaxHold; i++ {
		hold = min(max(2*hold, c.FirstHold), c.MaxHold)
	}
	return hold
}

// Mode is how a request may run.
type Mode uint8

// The modes.
const (
	// Free requests run like any other.
	Free Mode = iota
	// Alone requests run with no other beside them.
	Alone
	// Refused requests do not run until Verdict.Until.
	Refused
)

// Verdict is the judgement of a request.
type Verdict struct {
	Mode Mode
	// Until is set when Refused.
	Until time.Time
}

// ledger joins the reports of all daemons.
type ledger struct {
	cfg Config
	// own are the reports of this daemon; at most cfg.Max.
	own map[Fingerprint]Suspect
	// others are the reports of all other daemons.
	others map[Fingerprint][]Suspect
	// seen is when others saw a crash, by their names.
	seen map[string][]time.Time
}

func (l *ledger) empty() bool { return len(l.own) == 0 && len(l.others) == 0 }

// known is what all reports together say; ok is false when they say nothing
// that still holds. cleared is up to when reports are cleared.
func (l *ledger) known(now time.Time, f Fingerprint) (s Suspect, cleared time.Time, ok bool) {
	reports := l.others[f]
	if own, reported := l.own[f]; reported {
		reports = append(slices.Clip(reports), own)
	}
	cleared = clearedUntil(reports)
	s.Fingerprint = f
	for _, r := range reports {
		if !r.holds(now, cleared) {
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

// holds reports whether r accuses, and was neither cleared nor has expired.
func (r *Suspect) holds(now, cleared time.Time) bool {
	return r.Crashes > 0 && r.Until.After(cleared) && r.Until.After(now)
}

// learn replaces the reports of others. Own reports that another cleared are
// dropped, so that they do not hold again when the clearing is gone.
func (l *ledger) learn(reports []Suspect) {
	l.others, l.seen = map[Fingerprint][]Suspect{}, map[string][]time.Time{}
	for _, r := range reports {
		l.others[r.Fingerprint] = append(l.others[r.Fingerprint], r)
		if r.Crashes > 0 && !r.Told {
			l.seen[r.Source] = append(l.seen[r.Source], l.cfg.crashed(&r))
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
		if _, _, ok := l.known(now, f); ok {
			n++
		}
	}
	return n
}

func (l *ledger) judge(now time.Time, f Fingerprint) Verdict {
	s, _, ok := l.known(now, f)
	if !ok {
		return Verdict{}
	}
	if end := s.Until.Add(-l.cfg.Memory); s.Crashes > 1 && now.Before(end) && !l.excused(now, s) {
		return Verdict{Mode: Refused, Until: end}
	}
	return Verdict{Mode: Alone}
}

// blame reports a request in progress at a crash.
func (l *ledger) blame(now time.Time, f Fingerprint, alone, told bool) {
	s, cleared, _ := l.known(now, f)
	crashes := max(s.Crashes, 1)
	if alone && crashes < math.MaxUint8 {
		crashes++
	}
	until := now.Add(l.cfg.hold(crashes) + l.cfg.Memory)
	if !until.After(cleared) {
		until = cleared.Add(time.Millisecond)
	}
	l.report(now, Suspect{Fingerprint: f, Crashes: crashes, Until: until, Told: told})
}

// told reports a crash that another daemon saw, unless it is known.
func (l *ledger) told(now time.Time, f Fingerprint, alone bool) bool {
	s, _, _ := l.known(now, f)
	if s.Crashes > 1 || (s.Crashes == 1 && !alone) {
		return false
	}
	l.blame(now, f, alone, true)
	return true
}

// clear reports that a suspect ended well. It reports whether there was one.
func (l *ledger) clear(now time.Time, f Fingerprint) bool {
	s, _, ok := l.known(now, f)
	if ok {
		l.report(now, Suspect{Fingerprint: f, Until: s.Until})
	}
	return ok
}

func (l *ledger) report(now time.Time, s Suspect) {
	l.expire(now)
	l.own[s.Fingerprint] = s
	if len(l.own) > l.cfg.Max {
		delete(l.own, l.least().Fingerprint)
	}
}

// least is the report that is missed least: the fewest crashes, then the
// soonest end.
func (l *ledger) least() Suspect {
	return slices.MinFunc(slices.Collect(maps.Values(l.own)), func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(a.Crashes, b.Crashes), a.Until.Compare(b.Until), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
}

func (l *ledger) expire(now time.Time) {
	maps.DeleteFunc(l.own, func(_ Fingerprint, s Suspect) bool { return !s.Until.After(now) })
}

// reports returns the reports of this daemon, in order.
func (l *ledger) reports() []Suspect {
	return slices.SortedFunc(maps.Values(l.own), func(a, b Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
}
