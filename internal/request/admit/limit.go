package admit

import (
	"math"
	"time"
)

// Parameters of the limiter.
const (
	// A measurement window ends after at least windowSamples samples and at least
	// windowTime.
	windowSamples = 20
	windowTime    = 250 * time.Millisecond
	// overloadFactor is the ratio to the baseline latency that counts as overload.
	overloadFactor = 2.0
	// decreaseFactor is what the limit is multiplied by in an overloaded window.
	decreaseFactor = 0.9
	// minLimitShare is the fraction of the slots that the limit never falls below.
	minLimitShare = 0.25
	// windowsPerCheck is how many consecutive overloaded windows lower the limit
	// before the effect is checked: the latency must have fallen to improvedFactor
	// of what it was.
	windowsPerCheck = 3
	improvedFactor  = 0.9
	// baselineDrift adapts the baseline to a lasting change of latency: the
	// baseline doubles within 1/baselineDrift windows.
	baselineDrift = 0.05
	// serviceTimeWeight is the least weight of one sample in the smoothed service time.
	serviceTimeWeight = 0.1
)

// Parameters of the age of smoothed measurements of a server.
const (
	// MeasurementDecay is the time constant with which a measurement loses its weight while there
	// are no samples. A sample that comes later replaces the measurement.
	MeasurementDecay = 5 * time.Second
	// MeasurementLifetime is the time without samples after which a measurement has no weight.
	// With the decay alone, the slower a server was, the longer it would be avoided.
	MeasurementLifetime = 2 * MeasurementDecay
)

// RemainingWeight returns the weight, in [0, 1], that a smoothed measurement has left after a time
// without samples.
func RemainingWeight(pause time.Duration) float64 {
	if pause >= MeasurementLifetime {
		return 0
	}
	return math.Exp(-pause.Seconds() / MeasurementDecay.Seconds())
}

// limiter lowers the number of concurrent requests while their latency is
// elevated, by additive increase and multiplicative decrease (Chiu and Jain,
// "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance",
// 1989).
type limiter struct {
	// limit is between minLimitShare of the slots and all of them.
	limit float64
	// baseline is the latency without overload; 0 until the first window ended.
	baseline time.Duration
	// serviceTime is the smoothed latency of single requests, measured last at measuredAt.
	serviceTime time.Duration
	measuredAt  time.Time

	// overloadedWindows counts the overloaded windows since the latency was
	// latencyBefore.
	overloadedWindows int
	latencyBefore     time.Duration

	windowStart time.Time
	windowSum   time.Duration
	windowCount int
	// limitReached is set if the limit was reached within the window.
	limitReached bool
}

func newLimiter(slots int) limiter { return limiter{limit: float64(slots)} }

func (l *limiter) value() int { return max(1, int(l.limit)) }

// record adds a latency sample, taken while the given number of requests ran.
func (l *limiter) record(now time.Time, took time.Duration, running, slots int) {
	pause := now.Sub(l.measuredAt)
	if l.serviceTime == 0 || pause >= MeasurementDecay {
		l.serviceTime = took
	}
	// After a pause the sample counts for more. Otherwise a server that gets few requests because
	// it was slow would count as slow until it had as many again.
	weight := 1 - (1-serviceTimeWeight)*RemainingWeight(pause)
	l.serviceTime += time.Duration(weight * float64(took-l.serviceTime))
	l.measuredAt = now
	if l.windowCount == 0 {
		l.windowStart = now
	}
	l.windowSum += took
	l.windowCount++
	l.limitReached = l.limitReached || running >= l.value()
	if l.windowCount >= windowSamples && now.Sub(l.windowStart) >= windowTime {
		l.closeWindow(l.windowSum/time.Duration(l.windowCount), slots)
		l.windowSum, l.windowCount, l.limitReached = 0, 0, false
	}
}

// closeWindow updates the baseline and the limit from a window's mean latency.
func (l *limiter) closeWindow(mean time.Duration, slots int) {
	switch {
	case l.baseline == 0 || mean < l.baseline:
		l.baseline = mean
	default:
		l.baseline += time.Duration(baselineDrift * float64(min(mean-l.baseline, l.baseline)))
	}
	switch {
	case l.limitReached && float64(mean) > overloadFactor*float64(l.baseline):
		l.handleOverload(mean, slots)
	case l.limitReached:
		l.overloadedWindows = 0
		l.limit++
	}
	l.limit = min(max(l.limit, minLimitShare*float64(slots), 1), float64(max(slots, 1)))
}

// handleOverload lowers the limit. If lowering it has not helped, the requests take
// longer for another reason than concurrency: the limit is restored and the new
// latency becomes the baseline.
func (l *limiter) handleOverload(mean time.Duration, slots int) {
	if l.overloadedWindows%windowsPerCheck == 0 {
		if l.overloadedWindows > 0 && float64(mean) > improvedFactor*float64(l.latencyBefore) {
			l.baseline, l.overloadedWindows, l.limit = mean, 0, float64(slots)
			return
		}
		l.latencyBefore = mean
	}
	l.overloadedWindows++
	l.limit *= decreaseFactor
}
