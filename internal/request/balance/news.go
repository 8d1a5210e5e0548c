package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygate/daisygate/internal/request/admit"
	"github.com/daisygate/daisygate/internal/version/directory"
)

const (
	// NewsLifetime is the age from which a load report that came by way of other daemons is
	// not used.
	NewsLifetime = 300 * time.Millisecond
	// maxNewsServers is the maximum number of servers of which reports are passed on and which
	// one pick compares.
	maxNewsServers = 32
	// meanNewsServers is the maximum mean number of servers in the parts of a failure domain.
	meanNewsServers = 20
	// minFreshShare is the fraction of these servers of which the load must be known for a
	// pick to depend on it.
	minFreshShare = 0.5
	// weightedDraws is how many servers with free slots a pick draws, of which the cheapest is used.
	weightedDraws = 1
	// sendBucket is the precision with which the attempts since a report are counted.
	sendBucket = 10 * time.Millisecond
	// sendBuckets cover NewsLifetime and the current bucket.
	sendBuckets = int64(NewsLifetime/sendBucket) + 2
)

// NewsServers returns the servers of which this daemon keeps and passes on reports: those of its
// failure domain or, if these are many, of the part of it to which this daemon belongs. The daemons
// of a part agree on its servers, so that a report that one of them has is of use to the others, and
// they send to others only while the part has no room. The slice is replaced, not modified, when the candidates change.
func (t *Table) NewsServers() []*directory.Candidate { return t.newsServers }

// selectNewsServers sets newsServers from the candidates of the failure domain. The domain is
// divided by the hash of the instances' names into as many parts as are needed, a power of two.
func (t *Table) selectNewsServers() {
	near := t.tiers[sameDomain]
	parts := uint64(1)
	for len(near) > maxNewsServers && uint64(len(near)) > parts*meanNewsServers {
		parts *= 2
	}
	own := xxhash.Sum64String(t.self.Node)
	t.newsServers = make([]*directory.Candidate, 0, min(len(near), maxNewsServers))
	for _, c := range near {
		switch {
		case (xxhash.Sum64String(c.Node.Name)^own)%parts != 0:
		case len(t.newsServers) < maxNewsServers:
			t.newsServers = append(t.newsServers, c)
		case c.Node.Name == t.self.Node:
			t.newsServers[maxNewsServers-1] = c
		}
	}
}

// ReportNews records a load that the daemon on a server's instance measured age ago and that
// came by way of other daemons, and reports whether it is used. It must be newer than what is known
// by sendBucket or more: a response also holds a report of the server that sent it, but only for the
// measurement in the answer is it known exactly which attempts it includes. Rate limits and bytes in
// transit are only learned from the daemon itself.
func (t *Table) ReportNews(now time.Time, c *directory.Candidate, l Load, age time.Duration) bool {
	s, measured := t.servers[c.Server.Addr], now.Add(-max(age, 0))
	if s == nil || age > NewsLifetime || measured.Sub(s.loadAt) < sendBucket {
		return false
	}
	l.Inflow, l.Outflow, l.RateLimit, l.Tokens = s.load.Inflow, s.load.Outflow, s.load.RateLimit, s.load.Tokens
	s.load, s.loadAt, s.sentSinceLoad = l, measured, s.sends.since(measured)
	s.fullUntil = time.Time{}
	t.updateMeans(l)
	return true
}

// sendCounts counts, per sendBucket, the attempts of this daemon that started less those that ended.
type sendCounts struct {
	// last is the number of the newest bucket since the epoch of time.Time.
	last   int64
	counts [sendBuckets]int32
}

func bucketOf(at time.Time) int64 { return at.UnixNano() / int64(sendBucket) }

func (s *sendCounts) add(now time.Time, n int32) {
	bucket := max(bucketOf(now), 0)
	if bucket > s.last+sendBuckets || bucket < s.last-sendBuckets {
		// The latter means that the wall clock was set back.
		s.last = max(bucket-sendBuckets, 0)
	}
	for s.last < bucket {
		s.last++
		s.counts[s.last%sendBuckets] = 0
	}
	s.counts[s.last%sendBuckets] += n
}

// since returns the sum of the buckets from the one that contains begin.
func (s *sendCounts) since(begin time.Time) int {
	sum := 0
	for bucket := max(bucketOf(begin), s.last-sendBuckets+1, 0); bucket <= s.last; bucket++ {
		sum += int(s.counts[bucket%sendBuckets])
	}
	return sum
}

// knowsLoad reports whether the load of enough servers of this failure domain is known for a
// pick to depend on it.
func (t *Table) knowsLoad(now time.Time) bool {
	if !t.SharesLoad || len(t.newsServers) == 0 {
		return false
	}
	known := 0
	for _, c := range t.newsServers {
		if t.distance(c) == sameNode || now.Sub(t.servers[c.Server.Addr].loadAt) <= NewsLifetime {
			known++
		}
	}
	return float64(known) >= minFreshShare*float64(len(t.newsServers))
}

// pickByNews returns a server of this failure domain that has room: the one on this instance if it
// has the best kind of room, or else a random one of those with the best kind. It returns nil if there
// is none, if too little is known, or if the bytes of a large body or answer matter more.
func (p *picker) pickByNews() *directory.Candidate {
	t := p.table
	if !t.SharesLoad {
		return nil
	}
	if !t.knowsLoad(p.in.Now) {
		t.picksWithout++
		return nil
	}
	t.picksWithNews++
	p.news = true
	if p.in.Bytes > 0 || p.in.Answer > 0 {
		return nil
	}
	var rooms [roomKinds][maxNewsServers]float64
	for i, c := range t.newsServers {
		if !p.usable(c) {
			continue
		}
		kind, weight := p.room(c)
		if kind == freeSlots && t.distance(c) == sameNode {
			return c
		}
		if kind < roomKinds {
			rooms[kind][i] = weight
		}
	}
	for i := range rooms {
		if c := p.cheapestDrawn(rooms[i][:]); c != nil {
			return c
		}
	}
	return nil
}

// roomKind is the kind of room that a server has, from the best to none.
type roomKind uint8

const (
	// freeSlots: the server has a free slot, and usually answers within the part of the target
	// that admission control regards as useful.
	freeSlots roomKind = iota
	// otherRoom: the server has a free slot and usually answers within the target, or has a place
	// in its queue from which a useful answer is expected.
	otherRoom
	roomKinds
)

// room returns the kind of room that a server is expected to have, and how much of it per second. A
// server that has reached its rate limit, fails more than others or answers too late has none.
func (p *picker) room(c *directory.Candidate) (roomKind, float64) {
	t := p.table
	l, inProgress := t.currentLoad(p.in.Now, c)
	service, other := t.expectedTimes(&p.in, l)
	target := p.in.Target
	if l.rateWait() > 0 || t.failurePenalty(l, service, target) > 0 || target > 0 && service > target {
		return roomKinds, 0
	}
	limit := max(float64(l.Limit)*t.slowStartFactor(p.in.Now, c), 1)
	// A request that waits behind others of the expected time starts that much later.
	spare := admit.UsefulShare*target.Seconds() - service.Seconds()
	slots, places := limit-inProgress, limit*(1+spare/other.Seconds())-inProgress
	switch {
	case slots >= 1 && (target == 0 || spare >= 0):
		return freeSlots, slots / service.Seconds()
	case slots >= 1:
		return otherRoom, slots / service.Seconds()
	case spare >= 0 && places >= 1:
		return otherRoom, places / service.Seconds()
	}
	return roomKinds, 0
}

// cheapestDrawn returns the cheapest of weightedDraws servers that are drawn with probabilities in
// proportion to the weights, or nil if all are 0. Daemons with the same reports then fill
// the room evenly instead of all sending to the server that looks best.
func (p *picker) cheapestDrawn(weights []float64) *directory.Candidate {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	if total == 0 {
		return nil
	}
	var best *directory.Candidate
	var least float64
	for range p.table.weightedDraws {
		c := p.drawWeighted(weights, total)
		if cost := p.table.expectedCost(&p.in, c); best == nil || cost < least {
			best, least = c, cost
		}
	}
	return best
}

// drawWeighted returns a random one of the servers of the news with probabilities in proportion
// to the weights, whose sum is total.
func (p *picker) drawWeighted(weights []float64, total float64) *directory.Candidate {
	left := p.randomFloat() * total
	last := 0
	for i, w := range weights {
		if w == 0 {
			continue
		}
		last = i
		if left -= w; left < 0 {
			break
		}
	}
	return p.table.newsServers[last]
}

// sampleByNews appends all usable servers of the news and up to two random ones of each tier.
func (p *picker) sampleByNews(list []*directory.Candidate) []*directory.Candidate {
	for _, c := range p.table.newsServers {
		if p.usable(c) {
			list = append(list, c)
		}
	}
	for _, tier := range p.table.tiers[sameDomain:] {
		list = p.appendTwo(list, tier)
	}
	return list
}

// NewsPicks returns how many picks so far depended on the load of the servers of the failure domain,
// and how many did not because too little was known. Picks of services that do not share
// load count in neither.
func (t *Table) NewsPicks() (with, without uint64) { return t.picksWithNews, t.picksWithout }
