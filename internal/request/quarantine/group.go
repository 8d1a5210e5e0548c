package quarantine

import (
	"slices"
	"time"
)

// group is what is known about the suspects with the same content, which differ in who sends them.
type group struct {
	// proven is the number of those that crashed a server while they ran alone, and aloneCrashes
	// the number of these crashes.
	proven, aloneCrashes int
	// until is when the last report expires; zero if there are no suspects.
	until time.Time
}

func (l *ledger) group(now time.Time, content Content) group {
	var g group
	for _, f := range l.withContent(content) {
		s, _, ok := l.combined(now, f)
		if !ok {
			continue
		}
		if s.Crashes > 1 {
			g.proven++
			g.aloneCrashes += int(s.Crashes) - 1
		}
		if s.Until.After(g.until) {
			g.until = s.Until
		}
	}
	return g
}

// withContent returns the reported requests with the content.
func (l *ledger) withContent(content Content) []Fingerprint {
	if content == 0 {
		return nil
	}
	if l.byContent == nil {
		l.byContent = map[Content][]Fingerprint{}
		for f := range l.fingerprints() {
			for _, r := range l.reportsOn(f) {
				if !slices.Contains(l.byContent[r.Content], f) {
					l.byContent[r.Content] = append(l.byContent[r.Content], f)
				}
			}
		}
	}
	return l.byContent[content]
}

// renew extends the reports on the proven requests with the content.
func (l *ledger) renew(now time.Time, content Content) {
	for _, f := range slices.Clone(l.withContent(content)) {
		if s, _, _ := l.combined(now, f); s.Crashes > 1 {
			s.Until, s.ObservedElsewhere = now.Add(l.cfg.Memory), true
			l.store(now, s)
		}
	}
}

// release clears a suspect and all others with the same content, and returns whether f was one.
func (l *ledger) release(now time.Time, f Fingerprint) bool {
	s, _, ok := l.combined(now, f)
	if !ok {
		return false
	}
	for _, member := range append(slices.Clone(l.withContent(s.Content)), f) {
		if m, _, suspect := l.combined(now, member); suspect {
			l.storeClearance(now, m)
		}
	}
	return true
}

// proven returns the requests that crashed a server while they ran alone, in order of fingerprint.
func (l *ledger) proven(now time.Time) []Suspect {
	var proven []Suspect
	for f := range l.fingerprints() {
		if s, _, _ := l.combined(now, f); s.Crashes > 1 {
			s.ObservedElsewhere = true
			proven = append(proven, s)
		}
	}
	slices.SortFunc(proven, compareFingerprints)
	return proven
}
