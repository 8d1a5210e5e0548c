package balance

import (
	"math"
	"time"

	"github.com/daisygate/daisygate/internal/version/directory"
)

// The ejection's constants.
const (
	// failuresToEject is how many failures in a row eject a server that can
	// still be reached.
	failuresToEject = 3
	// ejectFirst is the first ejection; each further one in a row is twice as
	// long, up to ejectMax.
	ejectFirst = 250 * time.Millisecond
	ejectMax   = 30 * time.Second
	// avoidFull is how long a server that refused for want of room counts as
	// full, unless it tells otherwise.
	avoidFull = 100 * time.Millisecond
	// told is how long it takes for what a server's daemon told of its load to
	// lose two thirds of its weight.
	told = 500 * time.Millisecond
)

// server is what one daemon knows of one backend server.
type server struct {
	// outstanding is the attempts of this daemon in progress, never below 0.
	outstanding int
	fullUntil   time.Time
	// load is what the daemon beside the server told last, at heard; since is what
	// this daemon has sent there since, less what has ended.
	load  Load
	heard time.Time
	since int
	// inflow is the bytes of large bodies on their way there at inflowAt, as told
	// and with those sent since; the link takes them in at its rate.
	inflow   float64
	inflowAt time.Time
	// outflow is the same of large answers on their way from there.
	outflow   float64
	outflowAt time.Time
	// failures and ejections count those in a row.
	failures, ejections int
	ejectedUntil        time.Time
}

func (s *server) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// estimate is the load of a server and the requests in progress on it.
func (s *server) estimate(now time.Time, slots int) (Load, float64) {
	l := s.load
	l.Idle += max(0, now.Sub(s.heard))
	if l.Limit == 0 {
		l.Limit = max(slots, 1)
	}
	own := float64(s.outstanding)
	if now.Before(s.fullUntil) {
		// Its queue is full too.
		own = max(own, 2*float64(l.Limit))
	}
	if s.heard.IsZero() {
		return l, own
	}
	weight := math.Exp(-max(0, now.Sub(s.heard).Seconds()) / told.Seconds())
	all := max(0, float64(l.Running+l.Queued+s.since))
	return l, max(own, weight*all+(1-weight)*own)
}

// Told takes in the load that the daemon beside a server told with its answer.
func (t *Table) Told(now time.Time, c *directory.Candidate, l Load) {
	if s := t.servers[c.Server.Addr]; s != nil {
		s.load, s.heard, s.since = l, now, 0
		s.inflow, s.inflowAt = float64(l.Inflow), now
		s.outflow, s.outflowAt = float64(l.Outflow), now
		t.note(l)
	}
}

// End is how an attempt ended.
type End uint8

// The ends.
const (
	// Answered attempts brought an answer.
	Answered End = iota
	// Full attempts were refused for want of room.
	Full
	// Failed attempts brought no answer in time, or lost it.
	Failed
	// Unreachable attempts were not taken: nobody listens, or the server
	// leaves.
	Unreachable
	// Neutral attempts say nothing about the server: the caller left.
	Neutral
)

// String says what happened.
func (e End) String() string {
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

// Sent notes that an attempt goes to c, with a large body and the expected length of
// a large answer, or 0.
func (t *Table) Sent(now time.Time, c *directory.Candidate, bytes, answer int64) {
	if s := t.servers[c.Server.Addr]; s != nil {
		s.outstanding++
		s.since++
		if bytes > 0 {
			s.inflow, s.inflowAt = left(s.inflow, now.Sub(s.inflowAt), t.LinkBytes)+float64(bytes), now
		}
		if answer > 0 {
			s.outflow, s.outflowAt = left(s.outflow, now.Sub(s.outflowAt), t.LinkBytes)+float64(answer), now
		}
	}
}

// left is what is still on its way of some bytes after a while, at a link's rate.
func left(bytes float64, since time.Duration, rate float64) float64 {
	return max(0, bytes-since.Seconds()*rate)
}

// Ended notes that an attempt at c is over.
func (t *Table) Ended(now time.Time, c *directory.Candidate, end End) {
	s := t.servers[c.Server.Addr]
	if s == nil {
		return
	}
	s.outstanding = max(0, s.outstanding-1)
	s.since--
	switch end {
	case Answered:
		s.failures, s.ejections = 0, 0
	case Full:
		s.fullUntil = now.Add(avoidFull)
	case Failed:
		s.failures++
		if s.failures >= failuresToEject && t.ejectedNow(now) < len(t.candidates)/2 {
			t.eject(now, c, end)
		}
	case Unreachable:
		t.eject(now, c, end)
	}
}

// eject passes a server over for a while.
func (t *Table) eject(now time.Time, c *directory.Candidate, end End) {
	s := t.servers[c.Server.Addr]
	if s.ejected(now) {
		return
	}
	d := s.eject(now)
	if t.Ejected != nil {
		t.Ejected(c, end, d)
	}
}

func (s *server) eject(now time.Time) time.Duration {
	d := min(ejectFirst<<min(s.ejections, 16), ejectMax)
	s.ejectedUntil = now.Add(d)
	s.ejections++
	s.failures = 0
	return d
}

func (t *Table) ejectedNow(now time.Time) int {
	n := 0
	for _, s := range t.servers {
		if s.ejected(now) {
			n++
		}
	}
	return n
}
