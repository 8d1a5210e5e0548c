package admit

import "time"

// The limiter's constants.
const (
	// windowSamples and windowTime end a window of measurement, whichever
	// comes last.
	windowSamples = 20
	windowTime    = 250 * time.Millisecond
	// climb is the factor over the usual latency that counts as overload.
	climb = 2.0
	// decrease is the factor on the limit in a window of overload.
	decrease = 0.9
	// leastShare is the share of the slots that the limit never falls below.
	leastShare = 0.25
	// patience is how many windows of overload in a row lower the limit before
	// it is asked whether that helped: the latency must have come down to
	// helped of what it was.
	patience = 3
	helped   = 0.9
	// drift takes a lasting change of the latency over as the usual one: the
	// usual latency doubles within 1/drift windows.
	drift = 0.05
	// smoothing is the weight of one sample in the mean service time.
	smoothing = 0.1
)

// limiter lowers the number of running requests while their latency climbs, by
// additive increase and multiplicative decrease (Chiu and Jain, "Analysis of
// the Increase and Decrease Algorithms for Congestion Avoidance", 1989).
type limiter struct {
	// limit is between leastShare of the slots and all of them.
	limit float64
	// usual is the latency without overload; 0 until the first window ended.
	usual time.Duration
	// service is the smoothed latency of single requests.
	service time.Duration

	// climbs counts the windows of overload since the latency was before.
	climbs int
	before time.Duration

	begun time.Time
	sum   time.Duration
	count int
	// full tells that the limit was reached within the window.
	full bool
}

func newLimiter(slots int) limiter { return limiter{limit: float64(slots)} }

func (l *limiter) value() int { return max(1, int(l.limit)) }

// sample takes in one latency, measured while running requests ran.
func (l *limiter) sample(now time.Time, took time.Duration, running, slots int) {
	if l.service == 0 {
		l.service = took
	}
	l.service += time.Duration(smoothing * float64(took-l.service))
	if l.count == 0 {
		l.begun = now
	}
	l.sum += took
	l.count++
	l.full = l.full || running >= l.value()
	if l.count >= windowSamples && now.Sub(l.begun) >= windowTime {
		l.adjust(l.sum/time.Duration(l.count), slots)
		l.sum, l.count, l.full = 0, 0, false
	}
}

// adjust ends a window with its mean latency.
func (l *limiter) adjust(mean time.Duration, slots int) {
	switch {
	case l.usual == 0 || mean < l.usual:
		l.usual = mean
	default:
		l.usual += time.Duration(drift * float64(min(mean-l.usual, l.usual)))
	}
	switch {
	case l.full && float64(mean) > climb*float64(l.usual):
		l.overload(mean, slots)
	case l.full:
		l.climbs = 0
		l.limit++
	}
	l.limit = min(max(l.limit, leastShare*float64(slots), 1), float64(max(slots, 1)))
}

// overload lowers the limit, unless that did not help: then requests take longer
// for another reason than their number, and the new latency is the usual one.
func (l *limiter) overload(mean time.Duration, slots int) {
	if l.climbs%patience == 0 {
		if l.climbs > 0 && float64(mean) > helped*float64(l.before) {
			l.usual, l.climbs, l.limit = mean, 0, float64(slots)
			return
		}
		l.before = mean
	}
	l.climbs++
	l.limit *= decrease
}
