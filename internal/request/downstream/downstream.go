// Package downstream decides which new runs may begin at a backend server whose runs call other
// services, while these calls fail.
//
// A run holds a slot of its server before it makes its calls. If a call is refused, late or fails,
// the run ends with an error and has held the slot in vain. Server is the state at the daemon beside
// the server: it compares how runs of each kind end with how calls end, to tell the kinds that
// depend on the calls from the others, and sets an admission level for each priority, the fraction
// of the dependent requests that may begin. A level is lowered while dependent runs fail and requests of
// other kinds wait for slots, by multiplication, and raised by addition. No request is refused unless one of
// another kind would get the slot later because of it: without one, the slot would stay unused, or be
// used by a run that fails as often.
//
// News is the state at the daemons where requests enter: the levels of the servers they heard of.
//
// The package does no I/O, reads no clock and draws no random numbers.
package downstream

import (
	"time"

	"github.com/daisygate/daisygate/internal/version/manifest"
)

const (
	// Priorities is the number of priorities; 0 is the most urgent.
	Priorities = manifest.LowestPriority + 1
	// Floor is the lowest level, so that a recovery is noticed and no kind starves.
	Floor = 0.05

	// lossTolerance is the fraction of dependent runs that may fail without a lower level.
	lossTolerance = 0.1
	// waitingFraction is the fraction of requests that must find others waiting before a level is
	// lowered.
	waitingFraction = 0.25
	// alwaysWaiting is the fraction from which other daemons may refuse requests by the levels.
	alwaysWaiting = 0.9
	// decreaseFactor is the reduction of a level if all dependent runs fail.
	decreaseFactor = 0.5
	// increaseStep is what a round adds to a level.
	increaseStep = 0.05

	minRound, maxRound = 50 * time.Millisecond, 500 * time.Millisecond
	// maxRoundsPerSample bounds how many rounds are joined to collect minRoundRuns.
	maxRoundsPerSample = 4
	// minRoundRuns is the number of dependent runs that a decision to lower a level needs.
	minRoundRuns = 4
	// useDuration is how long after its last dependent request a priority counts as in use.
	useDuration = 2 * time.Second
)

// Levels holds the admission level of each priority, in [Floor, 1], never rising with the priority
// value.
type Levels [Priorities]float64

// All returns the levels that admit everything.
func All() Levels {
	var l Levels
	for p := range l {
		l[p] = 1
	}
	return l
}

// Of returns the level of a priority; values out of range count as the nearest one.
func (l *Levels) Of(priority int) float64 { return l[min(max(priority, 0), Priorities-1)] }

// Arrival is a request that could begin a run.
type Arrival struct {
	// Kind groups requests that make similar calls, such as those of one route.
	Kind     string
	Priority int
	// Draw is the request's random number in [0, 1), the same at every daemon.
	Draw float64
	// Waiting is set if a request waits for a slot of the server that is no more urgent and does not
	// depend on calls: it would use the slot better.
	Waiting bool
}

// Server is the state of one boot of one backend server. It is not safe for concurrent use.
type Server struct {
	levels Levels
	// seen is when the last dependent request of each priority arrived.
	seen    [Priorities]time.Time
	calls   tally
	callees map[string]*tally
	kinds   map[string]*kind
	// runTime is the smoothed duration of runs; 0 if unknown.
	runTime time.Duration
	round   round
	// waitingShare is the fraction of requests that found others waiting in the last round.
	waitingShare float64
}

// round counts what happened since the last decision on the levels.
type round struct {
	begun time.Time
	// waiting counts the arrivals that found others waiting.
	arrivals, waiting int
	dependent, lost   float64
}

// NewServer returns the state of a server that has just started: it admits everything.
func NewServer() *Server {
	return &Server{levels: All(), callees: map[string]*tally{}, kinds: map[string]*kind{}}
}

// Admit reports whether a request may begin a run. If not, retryAfter is when the level may have
// changed.
func (s *Server) Admit(now time.Time, a Arrival) (retryAfter time.Duration, admitted bool) {
	s.endRound(now)
	s.round.arrivals++
	if a.Waiting {
		s.round.waiting++
	}
	if !s.Dependent(a.Kind) {
		return 0, true
	}
	s.seen[min(max(a.Priority, 0), Priorities-1)] = now
	level := s.levels.Of(a.Priority)
	if a.Draw < level || !a.Waiting {
		return 0, true
	}
	return RetryAfter(level, a.Draw), false
}

// RetryAfter returns when to retry a request that a level refused: after the time in which the level
// would rise to the request's draw, which differs between requests.
func RetryAfter(level, draw float64) time.Duration {
	rounds := 1 + max(0, draw-level)/increaseStep
	return time.Duration(rounds * float64(typicalRound))
}

// typicalRound is the length of a round that RetryAfter assumes.
const typicalRound = 200 * time.Millisecond

// CallEnded records how a call of a run to a service ended.
func (s *Server) CallEnded(now time.Time, service string, failed bool) {
	s.calls.add(now, failed)
	t := s.callees[service]
	if t == nil {
		if len(s.callees) >= maxCallees {
			clear(s.callees)
		}
		t = &tally{}
		s.callees[service] = t
	}
	t.add(now, failed)
}

// RunEnded records how a run ended and how long it took.
func (s *Server) RunEnded(now time.Time, kindName string, took time.Duration, failed bool) {
	s.endRound(now)
	if took > 0 {
		if s.runTime == 0 {
			s.runTime = took
		}
		s.runTime += time.Duration(runTimeWeight * float64(took-s.runTime))
	}
	k := s.kind(kindName)
	k.runs.add(now, failed)
	k.learn(now, &s.calls)
	if !k.dependent() {
		return
	}
	s.round.dependent++
	if failed {
		s.round.lost += 1 - k.ownFailureRate
	}
}

// runTimeWeight is the weight of one run in the smoothed duration.
const runTimeWeight = 0.1

// roundTime returns the length of a round: the usual duration of a run, after which a change of the
// levels shows.
func (s *Server) roundTime() time.Duration { return min(max(s.runTime, minRound), maxRound) }

// endRound changes the levels if a round has ended.
func (s *Server) endRound(now time.Time) {
	r, length := &s.round, s.roundTime()
	if r.begun.IsZero() || now.Before(r.begun) {
		s.round = round{begun: now}
		return
	}
	rounds := int(now.Sub(r.begun) / length)
	if rounds == 0 || (r.dependent < minRoundRuns && r.lost > 0 && rounds < maxRoundsPerSample) {
		return
	}
	s.waitingShare = float64(r.waiting) / float64(max(r.arrivals, 1))
	switch loss := r.lost / max(r.dependent, 1); {
	case rounds > maxRoundsPerSample || r.dependent < minRoundRuns || loss <= lossTolerance:
		s.raise(now, rounds)
	case s.waitingShare < waitingFraction:
		s.raise(now, rounds)
	default:
		s.lower(now, 1-decreaseFactor*loss)
	}
	s.round = round{begun: now}
}

// lower multiplies the level of the least urgent priority in use that is above the floor.
func (s *Server) lower(now time.Time, factor float64) {
	for p := Priorities - 1; p >= 0; p-- {
		if s.inUse(now, p) && s.levels[p] > Floor {
			s.levels[p] = max(Floor, s.levels[p]*factor)
			break
		}
	}
	s.levelUnused(now)
}

// raise adds to the levels, those of the most urgent priorities first.
func (s *Server) raise(now time.Time, rounds int) {
	left := increaseStep * float64(rounds)
	for p := range Priorities {
		if !s.inUse(now, p) {
			continue
		}
		step := min(left, 1-s.levels[p])
		s.levels[p] += step
		left -= step
	}
	s.levelUnused(now)
}

// levelUnused gives each priority without dependent requests the level of the next more urgent one,
// and keeps the levels from rising with the priority value.
func (s *Server) levelUnused(now time.Time) {
	last := 1.0
	for p := range s.levels {
		if !s.inUse(now, p) || s.levels[p] > last {
			s.levels[p] = last
		}
		last = s.levels[p]
	}
}

func (s *Server) inUse(now time.Time, p int) bool {
	return !s.seen[p].IsZero() && now.Sub(s.seen[p]) < useDuration
}

// Levels returns the levels for a kind of runs and the age of the last change: All for a kind that
// does not depend on calls, and unless nearly all requests find others waiting.
func (s *Server) Levels(now time.Time, kindName string) (l Levels, age time.Duration) {
	s.endRound(now)
	if !s.Dependent(kindName) || s.waitingShare < alwaysWaiting {
		return All(), 0
	}
	return s.levels, max(0, now.Sub(s.round.begun))
}

// MakesCalls reports whether runs of the server have made calls.
func (s *Server) MakesCalls() bool { return len(s.callees) > 0 }

// Level returns the level of a priority, as Admit uses it for kinds that depend on calls.
func (s *Server) Level(priority int) float64 { return s.levels.Of(priority) }

// Lowest returns the lowest level.
func (s *Server) Lowest() float64 { return s.levels[Priorities-1] }

// CallFailureRates returns the smoothed fraction of calls that fail, by called service.
func (s *Server) CallFailureRates(now time.Time) map[string]float64 {
	rates := make(map[string]float64, len(s.callees))
	for name, t := range s.callees {
		if t.ended(now) >= minTally {
			rates[name] = t.rate()
		}
	}
	return rates
}
