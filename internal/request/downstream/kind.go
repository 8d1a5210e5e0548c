package downstream

import (
	"math"
	"time"
)

const (
	// maxKinds and maxCallees bound the memory of a Server.
	maxKinds, maxCallees = 256, 256
	// tallyDecay is the time in which what was counted loses two thirds of its weight.
	tallyDecay = time.Second
	// minTally is the number of recent ends from which a rate is used, minFailures the number of
	// recent failed runs from which a kind may count as dependent.
	minTally, minFailures = 5, 2
	// failingCalls is the fraction of failed calls from which runs are compared with calls, and
	// soundCalls the one below which failed runs are a kind's own failures.
	failingCalls, soundCalls = 0.05, 0.02
	// dependenceWeight is the weight of one run in the smoothed dependence, and ownFailureWeight in
	// the rate of own failures.
	dependenceWeight, ownFailureWeight = 0.1, 0.02
	// minDependence is the dependence from which the levels apply to a kind.
	minDependence = 0.2
)

// tally is an exponentially decaying count of ends and of those that failed.
type tally struct {
	total, failed float64
	at            time.Time
}

func (t *tally) add(now time.Time, failed bool) {
	t.decay(now)
	t.total++
	if failed {
		t.failed++
	}
}

func (t *tally) decay(now time.Time) {
	if d := now.Sub(t.at); d > 0 {
		w := math.Exp(-d.Seconds() / tallyDecay.Seconds())
		t.total, t.failed, t.at = t.total*w, t.failed*w, now
	}
}

// ended returns the decayed number of ends.
func (t *tally) ended(now time.Time) float64 { t.decay(now); return t.total }

// rate returns the fraction that failed.
func (t *tally) rate() float64 {
	if t.total == 0 {
		return 0
	}
	return t.failed / t.total
}

// kind is what is known of one kind of runs.
type kind struct {
	runs tally
	// ownFailureRate is the smoothed failure rate while calls succeed.
	ownFailureRate float64
	// dependence estimates how many calls a run makes: the failure rate of the runs beyond their
	// own, relative to the failure rate of all calls. It is at most 1. measured is set once it was
	// measured.
	dependence float64
	measured   bool
}

func (s *Server) kind(name string) *kind {
	k := s.kinds[name]
	if k == nil {
		if len(s.kinds) >= maxKinds {
			clear(s.kinds)
		}
		k = &kind{}
		s.kinds[name] = k
	}
	return k
}

// Dependent reports whether the levels apply to a kind, because its runs depend on calls.
func (s *Server) Dependent(name string) bool {
	k := s.kinds[name]
	return k != nil && k.dependent()
}

func (k *kind) dependent() bool { return k.dependence >= minDependence }

// learn compares how runs of the kind end with how calls of all kinds end. While few calls fail, it
// learns how many runs fail by themselves instead.
func (k *kind) learn(now time.Time, calls *tally) {
	if k.runs.ended(now) < minTally || calls.ended(now) < minTally {
		return
	}
	switch callRate, rate := calls.rate(), k.runs.rate(); {
	case callRate < soundCalls:
		k.ownFailureRate += ownFailureWeight * (rate - k.ownFailureRate)
	case callRate >= failingCalls && k.measured:
		sample := min(1, max(0, rate-k.ownFailureRate)/callRate)
		k.dependence += dependenceWeight * (sample - k.dependence)
	case callRate >= failingCalls && k.runs.failed >= minFailures:
		k.dependence, k.measured = min(1, max(0, rate-k.ownFailureRate)/callRate), true
	}
}
