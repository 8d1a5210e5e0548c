package speed

import (
	"math"
	"time"
)

const (
	// coldPeriod is the time after the start of a server whose measurements say nothing about
	// its usual slowness. They still count as contention.
	coldPeriod = 5 * time.Second
	// contentionWeight is the weight of one sample in the measured contention.
	contentionWeight = 0.4
	// errorWeight is the weight of one sample in the error of a source.
	errorWeight = 0.05
)

// Estimate is an estimated factor and the time since it was measured or stated.
type Estimate struct {
	// Factor is 0 if it is unknown.
	Factor float64
	Age    time.Duration
}

// Source is where an estimate of the contention comes from.
type Source uint8

const (
	// Stated is what the server states. Without a statement it says that there is no contention.
	Stated Source = iota
	// Measured is derived from the times of requests that ended.
	Measured
	// Usual assumes that there is no contention.
	Usual
	sourceCount
)

// Prediction is the contention that each source stated when a request began, as logarithms.
type Prediction [sourceCount]float64

// Server estimates the speed of one boot of a backend server. It is not safe for concurrent use.
type Server struct {
	started time.Time
	// told is the time of each kind that other daemons tell.
	told     times
	slowness usual
	// measured and stated are logarithms of the contention.
	measured, stated     float64
	measuredAt, statedAt time.Time
	// errors is the smoothed error of the predictions of each source.
	errors [sourceCount]float64
	// factor is slowness times contention at factorAt; the zero time if it has changed since.
	factor   float64
	factorAt time.Time
}

// NewServer returns the estimates of a server that has started now.
func NewServer(now time.Time) *Server { return &Server{started: now, told: times{}} }

// State records the contention that the server states; 0 if it states none. What is not a positive
// number is ignored.
func (s *Server) State(now time.Time, contention float64) {
	if isPositive(contention) {
		s.factorAt = time.Time{}
		s.stated, s.statedAt = math.Log(BoundContention(contention)), now
	}
}

// Tell records the usual time of a kind over all servers, as another daemon knows it.
func (s *Server) Tell(now time.Time, kind string, usual time.Duration) {
	if isTime(usual) && kind != "" {
		s.told.record(now, kind, usual.Seconds())
	}
}

// Predict returns the contention that each source states now.
func (s *Server) Predict(now time.Time) Prediction {
	return Prediction{
		Stated:   s.stated * remaining(now.Sub(s.statedAt), contentionDecay),
		Measured: s.measured * remaining(now.Sub(s.measuredAt), contentionDecay),
	}
}

// Record adds the time that a request took. predicted is from the start of the request.
func (s *Server) Record(now time.Time, predicted Prediction, kind string, took time.Duration) {
	seconds, known := s.told.get(kind)
	if !known || !isTime(took) {
		return
	}
	s.factorAt = time.Time{}
	ratio := math.Log(took.Seconds() / seconds)
	contention := min(max(ratio-s.slowness.value, math.Log(MinContention)), math.Log(MaxContention))
	for source, p := range predicted {
		s.errors[source] += errorWeight * (math.Abs(contention-p) - s.errors[source])
	}
	// After a pause the sample counts for more, because the earlier ones say nothing any more.
	weight := 1 - (1-contentionWeight)*remaining(now.Sub(s.measuredAt), contentionDecay)
	s.measured += weight * (contention - s.measured)
	s.measuredAt = now
	if now.Sub(s.started) >= coldPeriod {
		s.slowness.record(now, min(max(ratio, math.Log(MinSlowness)), math.Log(MaxSlowness)))
	}
}

// Source returns the source whose predictions had the least error.
func (s *Server) Source() Source {
	best := Stated
	for source := range s.errors {
		if s.errors[source] < s.errors[best] {
			best = Source(source)
		}
	}
	return best
}

// TrustsStatements reports whether Contention is what the server states: it has stated one, and
// the measured times do not contradict it.
func (s *Server) TrustsStatements() bool { return !s.statedAt.IsZero() && s.Source() == Stated }

// Slowness returns the usual time of requests here relative to that of their kinds.
func (s *Server) Slowness(now time.Time) Estimate {
	if !s.slowness.known() {
		return Estimate{}
	}
	age := now.Sub(s.slowness.at)
	return Estimate{Factor: SlownessAfter(BoundSlowness(math.Exp(s.slowness.value)), age), Age: age}
}

// Contention returns the time that requests take now relative to the usual one here.
func (s *Server) Contention(now time.Time) Estimate {
	source, at := s.Source(), s.measuredAt
	if source == Stated {
		at = s.statedAt
	}
	if at.IsZero() || source == Usual {
		return Estimate{}
	}
	return Estimate{Factor: BoundContention(math.Exp(s.Predict(now)[source])), Age: now.Sub(at)}
}

// Time returns the time that a kind of request takes here now, and whether it is known.
func (s *Server) Time(now time.Time, kind string) (time.Duration, bool) {
	seconds, known := s.told.get(kind)
	if !known {
		return 0, false
	}
	if s.factorAt.IsZero() || !now.Equal(s.factorAt) {
		s.factor, s.factorAt = BoundSlowness(s.Slowness(now).Factor)*BoundContention(s.Contention(now).Factor), now
	}
	return duration(seconds * s.factor), true
}
