package balance

import (
	"math"
	"time"

	"github.com/daisygate/daisygate/internal/request/speed"
	"github.com/daisygate/daisygate/internal/version/directory"
)

// Parameters of ejection and of load reports.
const (
	// failuresToEject is the number of consecutive failures that eject a server
	// that can still be reached.
	failuresToEject = 3
	// minEjection is the duration of the first ejection. Each further consecutive
	// one is twice as long, up to maxEjection.
	minEjection = 250 * time.Millisecond
	maxEjection = 30 * time.Second
	// fullDuration is how long a server that refused for lack of room counts as
	// full.
	fullDuration = 100 * time.Millisecond
	// loadDecay is the time in which a reported load loses two thirds of its weight.
	loadDecay = 500 * time.Millisecond
)

// server is what one daemon knows about one backend server.
type server struct {
	// outstanding counts this daemon's attempts in progress; it is never below 0.
	outstanding int
	fullUntil   time.Time
	// load is what the daemon on the server's instance measured last, at loadAt.
	// sentSinceLoad counts the attempts this daemon started there since, less those
	// that ended.
	load          Load
	loadAt        time.Time
	sentSinceLoad int
	sends         sendCounts
	// tokensSinceLoad counts the attempts this daemon started there since load.Tokens was
	// reported, at tokensAt. They use the server's rate limit even if they have ended.
	tokensSinceLoad int
	tokensAt        time.Time
	// inflow is the bytes of large bodies in transit to the server at inflowAt: those
	// reported and those sent since. It decreases at the rate of the link.
	inflow   float64
	inflowAt time.Time
	// outflow is the same for large answers in transit from the server.
	outflow   float64
	outflowAt time.Time
	// failures and ejections count consecutive ones.
	failures, ejections int
	ejectedUntil        time.Time
}

func (s *server) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// estimate returns the load of a server and the requests in progress there. The older the report
// of the server, the more the mean occupancy of all servers counts instead.
func (s *server) estimate(now time.Time, slots int, meanOccupancy float64) (Load, float64) {
	l := s.load
	l.Idle += max(0, now.Sub(s.loadAt))
	l.Slowness = speed.SlownessAfter(l.Slowness, now.Sub(s.loadAt))
	l.Contention = speed.ContentionAfter(l.Contention, now.Sub(s.loadAt))
	l.Tokens -= float64(s.tokensSinceLoad)
	l.Tokens = l.tokensAfter(now.Sub(s.tokensAt))
	if l.Limit == 0 {
		l.Limit = max(slots, 1)
	}
	own := float64(s.outstanding)
	if now.Before(s.fullUntil) {
		// A refusal for lack of room means that the queue is full too.
		own = max(own, 2*float64(l.Limit))
	}
	expected := max(own, meanOccupancy*float64(l.Limit))
	if s.loadAt.IsZero() {
		return l, expected
	}
	weight := math.Exp(-max(0, now.Sub(s.loadAt).Seconds()) / loadDecay.Seconds())
	reported := max(0, float64(l.Running+l.Queued+s.sentSinceLoad))
	return l, max(own, weight*reported+(1-weight)*expected)
}

// ReportLoad records the load that the daemon on a server's instance reported with an answer.
func (t *Table) ReportLoad(now time.Time, c *directory.Candidate, l Load) {
	if s := t.servers[c.Server.Addr]; s != nil {
		s.load, s.loadAt, s.sentSinceLoad, s.tokensSinceLoad, s.tokensAt = l, now, 0, 0, now
		s.inflow, s.inflowAt = float64(l.Inflow), now
		s.outflow, s.outflowAt = float64(l.Outflow), now
		t.updateMeans(l)
	}
}

// Outcome is the outcome of an attempt.
type Outcome uint8

const (
	// Answered: an answer arrived.
	Answered Outcome = iota
	// Full: the attempt was refused for lack of room.
	Full
	// Failed: no answer arrived in time, or it was lost.
	Failed
	// Unreachable: the attempt was not accepted, because nothing listens or the
	// server is draining.
	Unreachable
	// Neutral: the outcome says nothing about the server, for instance because the
	// caller disconnected.
	Neutral
)

// String returns the text for the log.
func (e Outcome) String() string {
	switch e {
	case Answered:
		return "answered"
	case Full:
		return "full"
	case Failed:
		return "failed several times in a row"
	case Unreachable:
		return "unreachable"
	}
	return "neutral"
}

// Sent records the start of an attempt at c, with the length of a large body and the
// expected length of a large answer, each 0 if small.
func (t *Table) Sent(now time.Time, c *directory.Candidate, bytes, answer int64) {
	if s := t.servers[c.Server.Addr]; s != nil {
		s.outstanding++
		s.sentSinceLoad++
		s.sends.add(now, 1)
		s.tokensSinceLoad++
		if bytes > 0 {
			s.inflow, s.inflowAt = remainingBytes(s.inflow, now.Sub(s.inflowAt), t.LinkBytes)+float64(bytes), now
		}
		if answer > 0 {
			s.outflow, s.outflowAt = remainingBytes(s.outflow, now.Sub(s.outflowAt), t.LinkBytes)+float64(answer), now
		}
	}
}

// remainingBytes returns how many of the bytes in transit are left after a time, at
// the rate of the link.
func remainingBytes(bytes float64, since time.Duration, rate float64) float64 {
	return max(0, bytes-since.Seconds()*rate)
}

// Ended records the end of an attempt at c.
func (t *Table) Ended(now time.Time, c *directory.Candidate, outcome Outcome) {
	s := t.servers[c.Server.Addr]
	if s == nil {
		return
	}
	s.outstanding = max(0, s.outstanding-1)
	s.sentSinceLoad--
	s.sends.add(now, -1)
	switch outcome {
	case Answered:
		s.failures, s.ejections = 0, 0
	case Full:
		s.fullUntil = now.Add(fullDuration)
	case Failed:
		s.failures++
		if s.failures >= failuresToEject && t.ejectedCount(now) < len(t.candidates)/2 {
			t.eject(now, c, outcome)
		}
	case Unreachable:
		t.eject(now, c, outcome)
	}
}

// eject excludes a server for a while and reports it to t.Ejected.
func (t *Table) eject(now time.Time, c *directory.Candidate, outcome Outcome) {
	s := t.servers[c.Server.Addr]
	if s.ejected(now) {
		return
	}
	d := s.eject(now)
	if t.Ejected != nil {
		t.Ejected(c, outcome, d)
	}
}

func (s *server) eject(now time.Time) time.Duration {
	d := min(minEjection<<min(s.ejections, 16), maxEjection)
	s.ejectedUntil = now.Add(d)
	s.ejections++
	s.failures = 0
	return d
}

func (t *Table) ejectedCount(now time.Time) int {
	n := 0
	for _, s := range t.servers {
		if s.ejected(now) {
			n++
		}
	}
	return n
}
