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
	// Content is that of the request; 0 if the reporting daemon did not state it.
	Content Content
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
	// MaxAloneCrashes is the number of crashes at which requests for the same content ran alone
	// from which they are refused until none was sent for Memory/2.
	MaxAloneCrashes int
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
	return Config{Memory: 30 * time.Minute, FirstHold: time.Minute, MaxHold: time.Hour, MaxAloneCrashes: 3, Max: 32, MaxRemembered: 4096}
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
	// Renew is set if the reports must be renewed because the refused request is still sent.
	Renew bool
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
	// events are the events since the last call of Core.TakeEvents.
	events []Event
	// byContent holds the reported requests by content. It is nil if it has to be built again.
	byContent map[Content][]Fingerprint
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
		s.Content = cmp.Or(s.Content, r.Content)
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
	l.byContent = nil
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

func (l *ledger) judge(now time.Time, id *Identity) Verdict {
	s, cleared, _ := l.combined(now, id.Fingerprint())
	g := l.group(now, id.Content())
	// sharesBlame: requests of two other callers crashed servers alone, or one that may be of the
	// same caller, and this one has never ended well.
	sharesBlame := cleared.IsZero() && (g.proven > 1 || g.proven == 1 && l.mayBeSameCaller(now, id))
	v := Verdict{Mode: Alone, Crashes: s.Crashes}
	switch {
	case g.aloneCrashes >= l.cfg.MaxAloneCrashes && (s.Crashes > 1 || sharesBlame):
		v.refuse(g.until)
		v.Renew = g.until.Sub(now) < l.cfg.Memory/2
	case s.Crashes > 1 && now.Before(l.holdEnd(s.Until)):
		if v.Excused = l.excused(now, s); !v.Excused {
			v.refuse(l.holdEnd(s.Until))
		}
	case s.Crashes <= 1 && sharesBlame && now.Before(l.holdEnd(g.until)):
		v.refuse(l.holdEnd(g.until))
	case s.Crashes == 0 && !g.until.After(cleared):
		v.Mode = Free
	}
	return v
}

// mayBeSameCaller reports whether the origin of a request is not known, or that of a proven one with the
// same content is not.
func (l *ledger) mayBeSameCaller(now time.Time, id *Identity) bool {
	unknown := *id
	unknown.Origin = ""
	s, _, _ := l.combined(now, unknown.Fingerprint())
	return id.Origin == "" || s.Crashes > 1
}

func (v *Verdict) refuse(until time.Time) { v.Mode, v.Until = Refused, until }

// holdEnd returns when the refusal ends that a report with the given expiry is about.
func (l *ledger) holdEnd(until time.Time) time.Time { return until.Add(-l.cfg.Memory) }

// addCrash reports a request in progress at a crash, and returns its Suspect.Crashes.
func (l *ledger) addCrash(now time.Time, f Fingerprint, content Content, ranAlone, remote bool) uint8 {
	s, cleared, suspected := l.combined(now, f)
	crashes := max(s.Crashes, 1)
	// A request that has ended well since it was to run alone is a suspect for the first time.
	wasCleared := !suspected && !cleared.IsZero()
	if ranAlone && !wasCleared && crashes < math.MaxUint8 {
		crashes++
	}
	until := now.Add(l.cfg.holdTime(crashes) + l.cfg.Memory)
	if !until.After(cleared) {
		until = cleared.Add(time.Millisecond)
	}
	l.store(now, Suspect{Fingerprint: f, Content: content, Crashes: crashes, Until: until, ObservedElsewhere: remote})
	return crashes
}

// addRemoteCrash reports a crash that the daemon named source observed, unless it is known, and
// returns the request's Suspect.Crashes and whether the crash was new.
func (l *ledger) addRemoteCrash(now time.Time, f Fingerprint, content Content, source string, ranAlone bool) (crashes uint8, added bool) {
	s, cleared, _ := l.combined(now, f)
	known := l.others[f][source]
	reported := known.isActive(now, cleared) && !known.ObservedElsewhere
	if s.Crashes > 1 || (s.Crashes == 1 && (!ranAlone || reported)) {
		return s.Crashes, false
	}
	return l.addCrash(now, f, content, ranAlone, true), true
}

// clear reports that a request ended well, and returns whether it was a suspect.
func (l *ledger) clear(now time.Time, f Fingerprint, content Content) bool {
	s, cleared, ok := l.combined(now, f)
	until := s.Until
	if g := l.group(now, content); g.until.After(until) {
		until = g.until
	}
	if !ok && !until.After(cleared) {
		return false
	}
	l.storeClearance(now, Suspect{Fingerprint: f, Content: content, Until: until})
	return true
}

// storeClearance reports that the request of s is cleared until s.Until.
func (l *ledger) storeClearance(now time.Time, s Suspect) {
	l.store(now, Suspect{Fingerprint: s.Fingerprint, Content: s.Content, Until: s.Until})
	delete(l.others, s.Fingerprint)
}

func (l *ledger) store(now time.Time, s Suspect) {
	l.expire(now)
	l.byContent = nil
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
	return slices.SortedFunc(maps.Values(l.own), compareFingerprints)
}

func compareFingerprints(a, b Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) }
