package presence

import (
	"cmp"
	"slices"
)

// MaxSuspects is the maximum number of suspects in a record.
const MaxSuspects = 32

// Suspect is a request that was in progress when a backend server crashed.
type Suspect struct {
	// Fingerprint identifies the content of the request.
	Fingerprint uint64
	// Content identifies the content alone, whoever sent the request; 0 if it is not known.
	Content uint64
	// Crashes is the number of crashes that the owner saw while the request was in
	// progress.
	Crashes uint8
	// Until is when the suspicion expires, in Unix milliseconds.
	Until int64
	// Told is set if the owner did not see the crash itself.
	Told bool
}

// mergeSuspects returns suspects and those of more whose requests are not in suspects.
func mergeSuspects(suspects, more []Suspect) []Suspect {
	all := slices.Clone(suspects)
	for _, s := range more {
		if !slices.ContainsFunc(all, func(o Suspect) bool { return o.Fingerprint == s.Fingerprint }) {
			all = append(all, s)
		}
	}
	return all
}

// limitSuspects returns a copy with the MaxSuspects suspects of the most crashes, of equal ones
// those that expire last, sorted by fingerprint.
func limitSuspects(suspects []Suspect) []Suspect {
	kept := slices.Clone(suspects)
	slices.SortFunc(kept, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(b.Until, a.Until), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	kept = kept[:min(len(kept), MaxSuspects)]
	slices.SortFunc(kept, func(a, b Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return kept
}
