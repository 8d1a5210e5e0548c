package balance

import (
	"cmp"
	"time"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/request/admit"
	"github.com/daisygate/daisygate/internal/request/ratelimit"
	"github.com/daisygate/daisygate/internal/version/directory"
)

// Parameters of the expected cost.
const (
	// slowStartShare is the fraction of its capacity that a server starts with.
	slowStartShare = 0.1
	// sameDomainFactor is the penalty of a server on another instance of this failure
	// domain, otherDomainFactor of one in another failure domain, and otherRegionFactor
	// of one in another region, in multiples of the server's service time. The hop
	// costs time and bytes, so it pays off only with a shorter queue there.
	sameDomainFactor  = 0.15
	otherDomainFactor = 0.3
	otherRegionFactor = 1.0
	// otherDomainTargetShare is the minimum penalty of another failure domain as a
	// fraction of the target: answers within the target gain nothing from being faster.
	otherDomainTargetShare = 0.6
	// minSameDomainPenalty and minOtherDomainPenalty are the minimum penalties of
	// another instance and of another failure domain: the least that a second daemon
	// and a round trip take. Without them, a request of less than a millisecond is
	// sent away to save less time than the hop costs.
	minSameDomainPenalty  = time.Millisecond
	minOtherDomainPenalty = 2 * time.Millisecond
	// occupancySlowdown is the fraction by which a nearly full server is slower than
	// an idle one.
	occupancySlowdown = 0.2
	// failureCostFactor is the cost of a failed request in multiples of its target:
	// its answer loses all value, and another attempt takes time.
	failureCostFactor = 2.0
	// failureRateNoise is the difference in failure rate to be expected between
	// equivalent servers.
	failureRateNoise = 0.1
	// defaultServiceTime is used until a service time was measured at any server.
	defaultServiceTime = 50 * time.Millisecond
	// meanWeight is the weight of one server's sample in the means over all servers.
	meanWeight = 0.05
)

// expectedCost returns the expected time, in seconds, until a server answers a
// request sent now, including penalties.
func (t *Table) expectedCost(in *Input, c *directory.Candidate) float64 {
	now := in.Now
	l, inProgress := t.currentLoad(now, c)
	limit := max(float64(l.Limit)*t.slowStartFactor(now, c), 1)
	service, other := t.expectedTimes(in, l)
	queueing := max(0, inProgress+1-limit) / limit
	slowdown := occupancySlowdown * min(inProgress/limit, 1)
	rateWait := l.rateWait()
	answerTime := service.Seconds() + max(other.Seconds()*queueing, rateWait)
	cost := t.answerCost(in, answerTime)
	if !in.Crossing.InForce || t.distance(c) < sameRegion {
		cost += t.distancePenalty(c, service, in.Target)
	}
	if (queueing > 0 || rateWait > 0) && (answerTime > admit.UsefulShare*in.Target.Seconds() || t.distance(c) >= sameRegion) {
		// The admission control there is expected to refuse, which costs more than any hop. In
		// another failure domain, the request would displace one from there.
		cost += in.Target.Seconds()
	}
	return cost + service.Seconds()*slowdown + t.transferTime(in, c) + t.failurePenalty(l, service, in.Target)
}

// currentLoad returns the load of a server and the requests in progress there: exactly for a server
// on this daemon's own instance, otherwise estimated.
func (t *Table) currentLoad(now time.Time, c *directory.Candidate) (Load, float64) {
	if t.local != nil && t.distance(c) == sameNode {
		if exact, ok := t.local.LocalLoad(c.Server.Addr); ok {
			if t.meanServiceTime == 0 {
				t.updateMeans(exact)
			}
			return exact, float64(exact.Running + exact.Queued)
		}
	}
	return t.servers[c.Server.Addr].estimate(now, c.Server.Slots, t.meanOccupancy)
}

// tokensAfter returns the tokens that are there after a time in which no request starts.
func (l Load) tokensAfter(elapsed time.Duration) float64 {
	burst := max(float64(ratelimit.Burst(l.RateLimit)), l.Tokens)
	return min(l.Tokens+max(0, elapsed.Seconds())*l.RateLimit, burst)
}

// rateWait returns the time, in seconds, until the server's rate limit allows one more request.
func (l Load) rateWait() float64 {
	if l.RateLimit == 0 {
		return 0
	}
	return max(0, 1-l.Tokens) / l.RateLimit
}

// failurePenalty returns the cost, in seconds, of a server whose failure rate exceeds
// the mean of all servers. A failure rate common to all, for instance because the
// service calls another one that is full, says nothing about a single server.
func (t *Table) failurePenalty(l Load, service, target time.Duration) float64 {
	excess := l.freshness()*l.FailureRate - t.meanFailureRate
	if excess <= failureRateNoise {
		return 0
	}
	return excess * failureCostFactor * max(target, 2*service).Seconds()
}

// transferTime returns the time, in seconds, that a large body takes to the server and
// a large answer takes from there, queued behind the bytes in transit. It is 0 for
// a server on this daemon's own instance.
func (t *Table) transferTime(in *Input, c *directory.Candidate) float64 {
	if t.LinkBytes == 0 || t.distance(c) == sameNode {
		return 0
	}
	s, seconds := t.servers[c.Server.Addr], 0.0
	if in.Bytes > 0 {
		seconds += (remainingBytes(s.inflow, in.Now.Sub(s.inflowAt), t.LinkBytes) + float64(in.Bytes)) / t.LinkBytes
	}
	if in.Answer > 0 {
		seconds += (remainingBytes(s.outflow, in.Now.Sub(s.outflowAt), t.LinkBytes) + float64(in.Answer)) / t.LinkBytes
	}
	return seconds
}

// expectedServiceTime returns the expected time to answer of a server without a
// queue. An unmeasured server is assumed to be average.
func (t *Table) expectedServiceTime(l Load) time.Duration {
	mean := cmp.Or(t.meanServiceTime, defaultServiceTime)
	if l.Service == 0 {
		return mean
	}
	return mean + time.Duration(l.freshness()*float64(l.Service-mean))
}

// freshness is the remaining weight of a load's measurements against the means of all servers, in
// [0, 1]. It falls while the server is not used, so that one that was once slow is tried again.
func (l Load) freshness() float64 { return admit.RemainingWeight(l.Idle) }

// updateMeans adds a measured load to the means over all servers.
func (t *Table) updateMeans(l Load) {
	t.meanFailureRate += meanWeight * (l.FailureRate - t.meanFailureRate)
	if l.Limit > 0 {
		t.meanOccupancy += meanWeight * (float64(l.Running+l.Queued)/float64(l.Limit) - t.meanOccupancy)
	}
	switch {
	case l.Service == 0:
	case t.meanServiceTime == 0:
		t.meanServiceTime = l.Service
	default:
		t.meanServiceTime += time.Duration(meanWeight * float64(l.Service-t.meanServiceTime))
	}
}

// distancePenalty returns the penalty for a server's distance, in seconds.
func (t *Table) distancePenalty(c *directory.Candidate, service, target time.Duration) float64 {
	switch t.distance(c) {
	case sameNode:
		return 0
	case sameDomain:
		return max(sameDomainFactor*service.Seconds(), minSameDomainPenalty.Seconds())
	case sameRegion:
		return max(otherDomainFactor*service.Seconds(), otherDomainTargetShare*target.Seconds(), minOtherDomainPenalty.Seconds())
	}
	return max(otherRegionFactor*service.Seconds(), 2*otherDomainTargetShare*target.Seconds(), 2*minOtherDomainPenalty.Seconds())
}

// slowStartFactor grows from slowStartShare to 1 during a server's slow start.
func (t *Table) slowStartFactor(now time.Time, c *directory.Candidate) float64 {
	if c.Server.State == presence.Warming {
		return slowStartShare
	}
	if t.slowStart <= 0 || c.Server.Since == 0 {
		return 1
	}
	age := now.Sub(time.UnixMilli(c.Server.Since))
	return min(1, max(slowStartShare, float64(age)/float64(t.slowStart)))
}
