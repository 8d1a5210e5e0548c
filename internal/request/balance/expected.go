package balance

import (
	"cmp"
	"math"
	"time"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/request/admit"
	"github.com/daisygate/daisygate/internal/version/directory"
)

// The constants of the expected time.
const (
	// coldShare is the share of its work that a server begins with.
	coldShare = 0.1
	// near is the handicap of a server beside another daemon of the failure
	// domain, farther of one in another domain, and farthest of one in another
	// region, in multiples of its time to answer: the way costs time and bytes,
	// which have to be won back by a shorter queue.
	near     = 0.15
	farther  = 0.3
	farthest = 1.0
	// crossing is the least handicap of another failure domain, as a part of the
	// target: an answer that comes in time is not worth more for being sooner.
	crossing = 0.6
	// nearLeast and fartherLeast are the least handicaps of another daemon and of
	// another failure domain: what a second daemon and a round trip take at the
	// least. Without them a request of less than a millisecond is sent away for a
	// difference that its way costs more than once.
	nearLeast    = time.Millisecond
	fartherLeast = 2 * time.Millisecond
	// busier is the part by which a server that is nearly full is slower than an
	// idle one.
	busier = 0.2
	// failurePrice is what a failed request costs, in multiples of its target: it
	// loses its whole worth, and another attempt its time.
	failurePrice = 2.0
	// failingNoise is what the share of failed requests differs by among servers that
	// are alike.
	failingNoise = 0.1
	// usualTime stands for the time to answer while none was measured at any
	// server.
	usualTime = 50 * time.Millisecond
	// usualShare is the weight of one server's time in that of all.
	usualShare = 0.05
	// forget is how long it takes for the time of a server that nobody uses to
	// lose two thirds of its weight against that of all: one that was slow once
	// is tried again.
	forget = 5 * time.Second
)

// expected is the time until a server is expected to answer a request that is
// sent now, in seconds, with its handicap.
func (t *Table) expected(in *Input, c *directory.Candidate) float64 {
	now := in.Now
	s := t.servers[c.Server.Addr]
	l, inProgress := s.estimate(now, c.Server.Slots)
	if t.local != nil && t.distance(c) == beside {
		if exact, ok := t.local.LocalLoad(c.Server.Addr); ok {
			l, inProgress = exact, float64(exact.Running+exact.Queued)
			if t.usual == 0 {
				t.note(exact)
			}
		}
	}
	limit := max(float64(l.Limit)*t.warmth(now, c), 1)
	service := t.timeOf(l)
	queue := max(0, inProgress+1-limit) / limit
	crowd := busier * min(inProgress/limit, 1)
	answered := service.Seconds() * (1 + queue)
	soonest := answered + t.handicap(c, service, in.Target)
	if queue > 0 && answered > admit.UsefulShare*in.Target.Seconds() {
		// Its gate is expected to refuse, which costs more than any way.
		soonest += in.Target.Seconds()
	}
	return soonest + service.Seconds()*crowd + t.transfer(in, c) + t.failure(l, service, in.Target)
}

// failure is what a server costs that fails more of its requests than the others
// do, in seconds. What all fail alike, such as calls that lead to a full service,
// says nothing of one.
func (t *Table) failure(l Load, service, target time.Duration) float64 {
	more := l.weight()*l.Failing - t.failing
	if more <= failingNoise {
		return 0
	}
	return more * failurePrice * max(target, 2*service).Seconds()
}

// transfer is how long a large body takes to a server and a large answer from there,
// in seconds: behind those that are on their way, and no time to one beside this
// daemon.
func (t *Table) transfer(in *Input, c *directory.Candidate) float64 {
	if t.LinkBytes == 0 || t.distance(c) == beside {
		return 0
	}
	s, seconds := t.servers[c.Server.Addr], 0.0
	if in.Bytes > 0 {
		seconds += (left(s.inflow, in.Now.Sub(s.inflowAt), t.LinkBytes) + float64(in.Bytes)) / t.LinkBytes
	}
	if in.Answer > 0 {
		seconds += (left(s.outflow, in.Now.Sub(s.outflowAt), t.LinkBytes) + float64(in.Answer)) / t.LinkBytes
	}
	return seconds
}

// timeOf is the time to answer that is expected of a server without a queue. One
// that was never measured is taken for one of all.
func (t *Table) timeOf(l Load) time.Duration {
	usual := cmp.Or(t.usual, usualTime)
	if l.Service == 0 {
		return usual
	}
	return usual + time.Duration(l.weight()*float64(l.Service-usual))
}

// weight is what the figures of a server still count for.
func (l Load) weight() float64 { return math.Exp(-l.Idle.Seconds() / forget.Seconds()) }

// note takes a measured time into that of all.
func (t *Table) note(l Load) {
	t.failing += usualShare * (l.Failing - t.failing)
	switch {
	case l.Service == 0:
	case t.usual == 0:
		t.usual = l.Service
	default:
		t.usual += time.Duration(usualShare * float64(l.Service-t.usual))
	}
}

// handicap is in seconds.
func (t *Table) handicap(c *directory.Candidate, service, target time.Duration) float64 {
	switch t.distance(c) {
	case beside:
		return 0
	case sameDomain:
		return max(near*service.Seconds(), nearLeast.Seconds())
	case sameRegion:
		return max(farther*service.Seconds(), crossing*target.Seconds(), fartherLeast.Seconds())
	}
	return max(farthest*service.Seconds(), 2*crossing*target.Seconds(), 2*fartherLeast.Seconds())
}

// warmth grows from coldShare to 1 while a server starts slowly.
func (t *Table) warmth(now time.Time, c *directory.Candidate) float64 {
	if c.Server.State == presence.Warming {
		return coldShare
	}
	if t.slowStart <= 0 || c.Server.Since == 0 {
		return 1
	}
	age := now.Sub(time.UnixMilli(c.Server.Since))
	return min(1, max(coldShare, float64(age)/float64(t.slowStart)))
}
