// Package speed estimates how long a kind of request takes at a backend server now: the usual time
// of the kind over all servers of its service, times the usual slowness of the server, times the
// contention on its instance at this moment.
//
// The daemon beside a server keeps its slowness and contention (Server). The daemons that send
// requests there keep the usual time of each kind (Means) and tell it with each request.
//
// All estimates are smoothed logarithms, because the factors multiply. The package does no I/O and
// reads no clock.
package speed

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Bounds of the factors.
const (
	MinSlowness   = 0.25
	MaxSlowness   = 4.0
	MinContention = 0.25
	MaxContention = 8.0
)

const (
	// maxKinds bounds the number of kinds tracked for one server or service.
	maxKinds = 256
	// maxTime is the longest time that is recorded.
	maxTime = time.Hour
	// contentionDecay is the time in which contention loses two thirds of its weight: it changes
	// many times a second.
	contentionDecay = 500 * time.Millisecond
	// slownessDecay is the same for slowness. A server that is not used because it was slow is
	// thus tried again.
	slownessDecay = time.Minute
	// usualWeight is the least weight of one sample in a usual value.
	usualWeight = 0.05
	// maxDeviation bounds the deviation of one sample from a usual value, as a logarithm, once
	// unboundedSamples were recorded: contention of a moment hardly changes what is usual.
	maxDeviation     = 0.3
	unboundedSamples = 5
)

// BoundSlowness returns a slowness within its bounds; 1 if it is unknown or not a positive number.
func BoundSlowness(v float64) float64 { return bound(v, MinSlowness, MaxSlowness) }

// BoundContention returns a contention within its bounds; 1 if it is unknown or not a positive
// number.
func BoundContention(v float64) float64 { return bound(v, MinContention, MaxContention) }

// ParseFactor parses a factor; 0 if the text is not a positive number.
func ParseFactor(text string) float64 {
	v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !isPositive(v) {
		return 0
	}
	return v
}

func bound(v, lowest, highest float64) float64 {
	if !isPositive(v) {
		return 1
	}
	return min(max(v, lowest), highest)
}

func isPositive(v float64) bool { return v > 0 && !math.IsInf(v, 1) }

// SlownessAfter returns a slowness after a time without news. It approaches 1; 0 stays unknown.
func SlownessAfter(v float64, age time.Duration) float64 { return decayed(v, age, slownessDecay) }

// ContentionAfter returns a contention after a time without news. It approaches 1; 0 stays unknown.
func ContentionAfter(v float64, age time.Duration) float64 { return decayed(v, age, contentionDecay) }

func decayed(v float64, age, decay time.Duration) float64 {
	switch {
	case !isPositive(v):
		return 0
	case v == 1:
		return 1
	}
	return math.Pow(v, remaining(age, decay))
}

// remaining returns the weight, in [0, 1], that is left after a time.
func remaining(age, decay time.Duration) float64 {
	return math.Exp(-max(0, age).Seconds() / decay.Seconds())
}

// usual is a smoothed logarithm. The zero value is unknown.
type usual struct {
	value   float64
	samples int
	at      time.Time
}

// record adds a sample whose deviation counts up to maxDeviation.
func (u *usual) record(now time.Time, sample float64) {
	u.recordUpTo(now, sample, maxDeviation)
}

func (u *usual) recordUpTo(now time.Time, sample, most float64) {
	u.samples++
	deviation := sample - u.value
	if u.samples > unboundedSamples {
		deviation = min(max(deviation, -most), most)
	}
	u.value += max(usualWeight, 1/float64(u.samples)) * deviation
	u.at = now
}

func (u *usual) known() bool { return u.samples > 0 }

// times holds a usual time, in seconds, for each kind of request.
type times map[string]*kindTime

// kindTime is the usual time of one kind.
type kindTime struct {
	usual
	// seconds is the exponential of value, which is read more often than it changes.
	seconds float64
}

func (t times) record(now time.Time, kind string, seconds float64) {
	u := t[kind]
	if u == nil {
		if len(t) >= maxKinds {
			t.evictOldest()
		}
		u = &kindTime{}
		t[kind] = u
	}
	u.record(now, math.Log(seconds))
	u.seconds = math.Exp(u.value)
}

func (t times) evictOldest() {
	oldest := ""
	for kind, u := range t {
		if oldest == "" || u.at.Before(t[oldest].at) {
			oldest = kind
		}
	}
	delete(t, oldest)
}

// get returns the usual time of a kind in seconds.
func (t times) get(kind string) (seconds float64, known bool) {
	u := t[kind]
	if u == nil {
		return 0, false
	}
	return u.seconds, true
}

func isTime(d time.Duration) bool { return d > 0 && d <= maxTime }

func duration(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxTime.Seconds()) * float64(time.Second))
}
