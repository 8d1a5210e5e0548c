// Package returning estimates how long ago a caller began when it sends a request again after a
// refusal. Its latency target counts from its first attempt, which the request doesn't name.
//
// Callers of a route usually wait equally long, so that first attempts state the same time limit, and later
// ones what is left of it. A limit that many requests state is that of first attempts; one that few
// state is what is left of the next longer such limit. While hardly any request is refused, few come
// again, so that a limit which a small part of the callers states is recognized too.
//
// The package does no I/O and reads no clock.
package returning

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// commonShare is the share of the recent requests from which a limit counts as one of first attempts. It
	// is low enough for a few limits in use beside many repeated attempts.
	commonShare = 0.125
	// calmShare is the same while at most maxRefusedShare of the requests are refused. It is larger than that, so
	// that repeated attempts alone can't reach it.
	calmShare, maxRefusedShare = 1.0 / 32, 1.0 / 64
	// minCommon is the number of recent requests with a limit from which it counts as one of first attempts.
	minCommon = 3
	// minConfirmed is the same while hardly any request is refused, more than few requests with random limits
	// reach by chance.
	minConfirmed = 10
	// resolution is the precision with which limits are compared.
	resolution = time.Millisecond
	// decayTime is the time in which what was counted loses two thirds of its weight, and decayInterval how
	// often it is updated.
	decayTime, decayInterval = 10 * time.Second, time.Second
	// forgotten is the count below which a limit is dropped.
	forgotten = 0.5
	// maxLimits bounds the limits that are counted.
	maxLimits = 64
)

// Limits counts the time limits that requests on one route state. The zero value knows none. It is not
// safe for concurrent use.
type Limits struct {
	// counts is sorted by limit.
	counts []limitCount
	// total and refused are the decayed numbers of requests, and of those that were refused.
	total, refused float64
	decayedAt      time.Time
}

// limitCount is the decayed number of requests with a limit, in units of resolution.
type limitCount struct {
	limit int64
	n     float64
	// confirmed is set once first attempts were seen to state the limit while hardly any request was refused.
	confirmed bool
}

// Note records the time limit that a request states on arrival.
func (l *Limits) Note(now time.Time, limit time.Duration) {
	l.decay(now)
	l.total++
	key := int64(limit / resolution)
	i, found := l.search(key)
	if found {
		c := &l.counts[i]
		c.n++
		c.confirmed = c.confirmed || l.refused <= maxRefusedShare*l.total && c.n >= max(minConfirmed, calmShare*l.total)
		return
	}
	if len(l.counts) >= maxLimits {
		l.dropRarest()
		i, _ = l.search(key)
	}
	l.counts = slices.Insert(l.counts, i, limitCount{limit: key, n: 1})
}

// Refused records that a request on the route was refused, so that its caller may come again.
func (l *Limits) Refused(now time.Time) {
	l.decay(now)
	l.refused++
}

// Elapsed returns how long before this request its caller is estimated to have sent its first attempt,
// by the time limit that it states; 0 if it is a first attempt or if that is unknown.
func (l *Limits) Elapsed(limit time.Duration) time.Duration {
	i, _ := l.search(int64(limit / resolution))
	enough := max(minCommon, commonShare*l.total)
	for _, c := range l.counts[i:] {
		if c.confirmed || c.n >= enough {
			return max(0, time.Duration(c.limit)*resolution-limit)
		}
	}
	return 0
}

func (l *Limits) search(key int64) (index int, found bool) {
	return slices.BinarySearchFunc(l.counts, key, func(c limitCount, key int64) int { return cmp.Compare(c.limit, key) })
}

func (l *Limits) decay(now time.Time) {
	since := now.Sub(l.decayedAt)
	if since < decayInterval {
		return
	}
	l.decayedAt = now
	weight := math.Exp(-since.Seconds() / decayTime.Seconds())
	l.total *= weight
	l.refused *= weight
	for i := range l.counts {
		l.counts[i].n *= weight
	}
	l.counts = slices.DeleteFunc(l.counts, func(c limitCount) bool { return c.n < forgotten })
}

// dropRarest drops the limit with the lowest count, a confirmed one only if all are.
func (l *Limits) dropRarest() {
	rarest := 0
	for i, c := range l.counts {
		r := l.counts[rarest]
		if c.confirmed == r.confirmed && c.n < r.n || !c.confirmed && r.confirmed {
			rarest = i
		}
	}
	l.counts = slices.Delete(l.counts, rarest, rarest+1)
}
