package balance

import (
	"time"

	"github.com/daisygate/daisygate/internal/request/speed"
)

// earlyShare is the fraction of the target within which answers are equally good, so that fast servers
// stay free for the requests that need them.
const earlyShare = 0.3

// ShareLoad sets whether expected times depend on the kind of request, the slowness of the server and
// the contention on its instance.
func (t *Table) ShareLoad(on bool) {
	switch {
	case !on:
		t.means = nil
	case t.means == nil:
		t.means = &speed.Means{}
	}
}

// RecordTime records the time that a request took at a server of the given slowness, 0 if unknown,
// as measured by the daemon beside it.
func (t *Table) RecordTime(now time.Time, kind string, took time.Duration, slowness float64) {
	if t.means != nil {
		t.means.Record(now, kind, took, slowness)
	}
}

// UsualTime returns the usual time of a kind over all servers; 0 if it is unknown.
func (t *Table) UsualTime(kind string) time.Duration {
	if t.means == nil {
		return 0
	}
	return t.means.Time(kind)
}

// expectedTimes returns the expected times of the request and of each one that waits ahead of it.
func (t *Table) expectedTimes(in *Input, l Load) (own, other time.Duration) {
	if t.means != nil {
		if own, other, known := t.means.Expected(in.Kind, l.Slowness, l.Contention); known {
			return own, other
		}
	}
	own = t.expectedServiceTime(l)
	return own, own
}

// answerCost returns the cost, in seconds, of an answer after the given seconds.
func (t *Table) answerCost(in *Input, seconds float64) float64 {
	if t.means == nil {
		return seconds
	}
	return max(seconds, earlyShare*in.Target.Seconds())
}
