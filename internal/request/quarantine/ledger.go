package quarantine

import (
	"cmp"
	"encoding/binary"
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// Max is the maximum number of reports of one daemon, and MaxRemembered that of reports of
	// other daemons that are remembered.
	Max, MaxRemembered int
	// SlowRestart states that the restart of a crashed server takes longer than the check
	// whether it listens. A server that still listens has then not crashed, no matter how
	// many connections it lost at a time.
	SlowRestart bool
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{Memory: 30 * time.Minute, FirstHold: time.Minute, MaxHold: time.Hour, Max: 32, MaxRemembered: 4096}
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
	// Crashes is the number of crashes known, as in Suspect.Crashes.
	Crashes uint8
	// Excused is set if the request runs although its last crash is recent, because other
	// servers crashed at the same time.
	Excused bool
}

// ledger combines the reports of all daemons.
type ledger struct {
	cfg Config
	// own holds the reports of this daemon, at most cfg.Max.
	own map[Fingerprint]Suspect
	// others holds the reports of all other daemons by source, also those of daemons that are
	// gone or have dropped them. No inner map is empty.
	others map[Fingerprint]map[string]Suspect
	// crashTimes holds the times of the crashes that other daemons observed, by source.
	crashTimes map[string][]time.Time
	// events are the events since the last call of Core.TakeEvents.
	events []Event
}

func (l *ledger) empty() bool { return len(l.own) == 0 && len(l.others) == 0 }

// combined returns the combination of all reports on f; ok is false if none is active.
// Reports that expire no later than cleared have been cleared.
func (l *ledger) combined(now time.Time, f Fingerprint) (s Suspect, cleared time.Time, ok bool) {
	reports := l.reportsOn(f)
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

// reportsOn returns all reports on f, in no particular order.
func (l *ledger) reportsOn(f Fingerprint) []Suspect {
	reports := slices.Collect(maps.Values(l.others[f]))
	if own, reported := l.own[f]; reported {
		reports = append(reports, own)
	}
	return reports
}

// learn adds the reports that other daemons publish now. A report is remembered until it expires
// or is cleared, even if its source is gone: the request still crashes servers. Own reports that
// another daemon cleared are dropped, so that they do not become active again when the clearance
// expires.
func (l *ledger) learn(now time.Time, published []Suspect) {
	l.expire(now)
	for _, r := range published {
		if r.Until.After(now) {
			l.remember(r)
		}
	}
	l.dropCleared()
	l.limitRemembered()
	l.collectCrashTimes()
}

func (l *ledger) collectCrashTimes() {
	l.crashTimes = map[string][]time.Time{}
	for _, reports := range l.others {
		for source, r := range reports {
			if r.Crashes > 0 && !r.ObservedElsewhere {
				l.crashTimes[source] = append(l.crashTimes[source], l.cfg.crashTime(&r))
			}
		}
	}
}

// remember stores a report of another daemon. A daemon that has dropped its report may publish a
// weaker one later, which does not replace it.
func (l *ledger) remember(r Suspect) {
	if r.Crashes > 0 && l.others[r.Fingerprint][r.Source].Crashes > r.Crashes {
		return
	}
	if l.others[r.Fingerprint] == nil {
		l.others[r.Fingerprint] = map[string]Suspect{}
	}
	l.others[r.Fingerprint][r.Source] = r
}

// dropCleared removes the reports about crashes that have been cleared.
func (l *ledger) dropCleared() {
	for f, reports := range l.others {
		cleared := clearedUntil(l.reportsOn(f))
		isCleared := func(s Suspect) bool { return s.Crashes > 0 && !s.Until.After(cleared) }
		maps.DeleteFunc(reports, func(_ string, s Suspect) bool { return isCleared(s) })
		if len(reports) == 0 {
			delete(l.others, f)
		}
		if own, reported := l.own[f]; reported && isCleared(own) {
			delete(l.own, f)
		}
	}
}

// limitRemembered removes the least important requests while there are more than
// Config.MaxRemembered reports.
func (l *ledger) limitRemembered() {
	total := 0
	for _, reports := range l.others {
		total += len(reports)
	}
	if total <= l.cfg.MaxRemembered {
		return
	}
	byImportance := slices.SortedFunc(maps.Keys(l.others), func(a, b Fingerprint) int {
		return compareImportance(mostImportant(l.others[a]), mostImportant(l.others[b]))
	})
	for _, f := range byImportance {
		if total <= l.cfg.MaxRemembered {
			return
		}
		total -= len(l.others[f])
		delete(l.others, f)
	}
}

func mostImportant(reports map[string]Suspect) Suspect {
	return slices.MaxFunc(slices.Collect(maps.Values(reports)), compareImportance)
}

// fingerprints yields the requests with a report, active or not, each once.
func (l *ledger) fingerprints() iter.Seq[Fingerprint] {
	return func(yield func(Fingerprint) bool) {
		for f := range l.own {
			if !yield(f) {
				return
			}
		}
		for f := range l.others {
			if _, own := l.own[f]; !own && !yield(f) {
				return
			}
		}
	}
}

func (l *ledger) isSuspect(now time.Time, f Fingerprint) bool {
	_, _, ok := l.combined(now, f)
	return ok
}

func (l *ledger) count(now time.Time) int {
	n := 0
	for f := range l.fingerprints() {
		if l.isSuspect(now, f) {
			n++
		}
	}
	return n
}

// hasLike reports whether there is a suspect that differs from f in its body at most.
func (l *ledger) hasLike(now time.Time, f Fingerprint) bool {
	for other := range l.fingerprints() {
		if other.differsInBodyOnly(f) && l.isSuspect(now, other) {
			return true
		}
	}
	return false
}

func (l *ledger) judge(now time.Time, f Fingerprint) Verdict {
	s, _, ok := l.combined(now, f)
	if !ok {
		return Verdict{}
	}
	v := Verdict{Mode: Alone, Crashes: s.Crashes}
	if end := s.Until.Add(-l.cfg.Memory); s.Crashes > 1 && now.Before(end) {
		v.Excused = l.excused(now, s)
		if !v.Excused {
			v.Mode, v.Until = Refused, end
		}
	}
	return v
}

// addCrash reports a request in progress at a crash, and returns its Suspect.Crashes.
func (l *ledger) addCrash(now time.Time, f Fingerprint, ranAlone, remote bool) uint8 {
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
	return crashes
}

// addRemoteCrash reports a crash that another daemon observed, unless it is known, and
// returns the request's Suspect.Crashes and whether the crash was new.
func (l *ledger) addRemoteCrash(now time.Time, f Fingerprint, ranAlone bool) (crashes uint8, added bool) {
	s, _, _ := l.combined(now, f)
	if s.Crashes > 1 || (s.Crashes == 1 && !ranAlone) {
		return s.Crashes, false
	}
	return l.addCrash(now, f, ranAlone, true), true
}

// clear reports that a suspect ended well, and returns whether f was a suspect.
func (l *ledger) clear(now time.Time, f Fingerprint) bool {
	s, _, ok := l.combined(now, f)
	if ok {
		l.store(now, Suspect{Fingerprint: f, Until: s.Until})
		delete(l.others, f)
	}
	return ok
}

func (l *ledger) store(now time.Time, s Suspect) {
	l.expire(now)
	l.own[s.Fingerprint] = s
	if len(l.own) > l.cfg.Max {
		evicted := l.leastImportant()
		delete(l.own, evicted.Fingerprint)
		l.events = append(l.events, Event{Kind: Evicted, Requests: []Blamed{{Fingerprint: evicted.Fingerprint, Crashes: evicted.Crashes}}})
	}
}

// leastImportant returns the own report to evict first.
func (l *ledger) leastImportant() Suspect {
	return slices.MinFunc(slices.Collect(maps.Values(l.own)), compareImportance)
}

// compareImportance orders reports by the number of crashes, then by when they expire. The order of
// the reports on one crash differs from that on the next, so that none of the requests is left
// out each time.
func compareImportance(a, b Suspect) int {
	return cmp.Or(cmp.Compare(a.Crashes, b.Crashes), a.Until.Compare(b.Until), cmp.Compare(a.shuffled(), b.shuffled()))
}

// shuffled returns a pseudorandom number that depends on the request and on the time of the crash.
func (s *Suspect) shuffled() uint64 {
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:8], uint64(s.Fingerprint))
	binary.LittleEndian.PutUint64(raw[8:], uint64(s.Until.UnixNano()))
	return xxhash.Sum64(raw[:])
}

func (l *ledger) expire(now time.Time) {
	isExpired := func(s Suspect) bool { return !s.Until.After(now) }
	maps.DeleteFunc(l.own, func(_ Fingerprint, s Suspect) bool { return isExpired(s) })
	maps.DeleteFunc(l.others, func(_ Fingerprint, reports map[string]Suspect) bool {
		maps.DeleteFunc(reports, func(_ string, s Suspect) bool { return isExpired(s) })
		return len(reports) == 0
	})
}

// reports returns the reports of this daemon in order of fingerprint.
func (l *ledger) reports() []Suspect {
	return slices.SortedFunc(maps.Values(l.own), func(a, b Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
}
