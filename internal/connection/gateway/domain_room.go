package gateway

import (
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/request/domainroom"
	"github.com/daisygate/daisygate/internal/version/directory"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// headerRooms is sent between daemons of one failure domain, in meshes that share load: the name of
// the sending daemon, and reports on the room of domains (package domainroom) that the receiver is
// not known to have.
const headerRooms = headerPrefix + "Rooms"

// maxUnplannedServers is the number of backend servers of a mesh, each with a daemon beside it that sends requests,
// up to which a daemon hears of each server often enough to choose by the load of single servers.
const maxUnplannedServers = 32

// maxReportedServices bounds the services in one report.
const maxReportedServices = 64

// domainRooms is package domainroom with a lock. It may be locked while a service is locked, not
// the other way round.
type domainRooms struct {
	mu    sync.Mutex
	news  *domainroom.News
	plans map[snapshot.ServiceKey]*domainPlan
	bytes crossingBytes
}

// domainPlan is the plan of one service and the number of attempts that it decided on: those sent
// to another domain, and those kept in this one while it was short.
type domainPlan struct {
	planner         *domainroom.Planner
	allowed, denied uint64
}

func newDomainRooms() *domainRooms {
	return &domainRooms{news: domainroom.NewNews(), plans: map[snapshot.ServiceKey]*domainPlan{}}
}

// updated returns the plan of a service, updated with the reports and with what this daemon knows of
// the own domain. The caller holds r.mu and the lock of the service.
func (r *domainRooms) updated(now time.Time, self string, key snapshot.ServiceKey, table *balance.Table) *domainPlan {
	p := r.plans[key]
	if p == nil {
		p = &domainPlan{planner: domainroom.NewPlanner(self)}
		r.plans[key] = p
	}
	if !p.planner.Due(now) {
		return p
	}
	own, known, others := r.news.Of(now, self, domainroom.IDOf(key.Mesh, key.Name))
	if known {
		if room, covered := table.Room(now); covered >= domainroom.MinCovered {
			own = domainroom.Measured(now, own, room)
		}
	}
	p.planner.Update(now, own, known, others)
	return p
}

// crossing returns the function that draws the failure domain of an attempt, or nil if the mesh does
// not share load. No plan is in force in a small mesh for a service of so few servers that a pick compares all of
// them. small is set if the body and the expected answer are. The function is called with the
// lock of the service held.
func (g *Gateway) crossing(dir *directory.Directory, key snapshot.ServiceKey, small bool) func(random float64, refused bool) balance.Crossing {
	if !dir.Snapshot.SharesLoad(key.Mesh) {
		return nil
	}
	s := g.service(key)
	isSmall := dir.CountServers(key.Mesh) <= maxUnplannedServers
	return func(random float64, refused bool) balance.Crossing {
		if isSmall && s.core.Table.ComparesAll() {
			return balance.Crossing{}
		}
		r := g.rooms
		r.mu.Lock()
		defer r.mu.Unlock()
		p := r.updated(time.Now(), g.cfg.Domain, key, s.core.Table)
		if _, inForce := p.planner.Shares(); !inForce {
			return balance.Crossing{}
		}
		return balance.Crossing{InForce: true, To: p.planner.Draw(random, small, refused)}
	}
}

// crossed returns the function that counts the attempts that crossing drew, and gives back the room of
// those that were not made.
func (g *Gateway) crossed(key snapshot.ServiceKey) func(drawn balance.Crossing, made bool) {
	return func(drawn balance.Crossing, made bool) {
		g.rooms.mu.Lock()
		defer g.rooms.mu.Unlock()
		p := g.rooms.plans[key]
		if p == nil || !drawn.InForce {
			return
		}
		switch {
		case drawn.To != "" && made:
			p.allowed++
		case drawn.To != "":
			p.planner.Return()
		case made && p.planner.Short():
			p.denied++
		}
	}
}

// writeRooms adds the reports that the daemon peer of the same failure domain may lack to a header.
func (g *Gateway) writeRooms(h http.Header, peer string) {
	g.rooms.mu.Lock()
	reports := g.rooms.news.PassOn(time.Now(), peer)
	g.rooms.mu.Unlock()
	text := url.QueryEscape(g.cfg.Self)
	if len(reports) > 0 {
		text += " " + domainroom.Format(reports...)
	}
	h[headerRooms] = []string{text}
}

// readRooms records the reports of a header and returns the daemon that sent them, "" if there is no
// valid header.
func (g *Gateway) readRooms(h http.Header) (from string) {
	name, text, _ := strings.Cut(h.Get(headerRooms), " ")
	from, err := url.QueryUnescape(name)
	if err != nil || from == "" {
		return ""
	}
	if text != "" {
		g.ReceiveRooms(text, from)
	}
	return from
}

// prepareCrossing adds reports to a request that is forwarded within the failure domain, and counts
// one that leaves it.
func (x *exchange) prepareCrossing(h http.Header, to *directory.Candidate, bodyBytes int64) {
	switch {
	case to.Node.Domain != x.g.cfg.Domain:
		x.g.countCrossing(x.attempts, bodyBytes)
	case x.dir.Snapshot.SharesLoad(x.route.Mesh):
		x.g.writeRooms(h, to.Node.Name)
	}
}

// answerRooms reads the reports of a forwarded request and adds those that its sender may lack to the
// response.
func (g *Gateway) answerRooms(response, request http.Header) {
	if from := g.readRooms(request); from != "" {
		g.writeRooms(response, from)
	}
}

// ReceiveRooms records reports on the room of failure domains. from is the daemon of this domain that
// passed them on, "" if they come from another domain or from this daemon. Malformed text is ignored.
func (g *Gateway) ReceiveRooms(text, from string) {
	reports, err := domainroom.Parse(text)
	if err != nil {
		g.log.V(1).Info("reports on the room of failure domains ignored", "from", from, "error", err.Error())
		return
	}
	g.rooms.mu.Lock()
	defer g.rooms.mu.Unlock()
	for _, r := range reports {
		g.rooms.news.Receive(time.Now(), r, from)
	}
}

// TickRooms records that this daemon runs, and forgets the plans of services that a version removed.
// It must be called a few times a second.
func (g *Gateway) TickRooms() {
	snap := g.cfg.Directory().Snapshot
	g.rooms.mu.Lock()
	defer g.rooms.mu.Unlock()
	g.rooms.news.Tick(time.Now())
	maps.DeleteFunc(g.rooms.plans, func(key snapshot.ServiceKey, _ *domainPlan) bool { return snap.Service(key) == nil })
}

// SharesLoad reports whether any mesh of a version shares load.
func SharesLoad(snap *snapshot.Snapshot) bool {
	return slices.ContainsFunc(snap.Services(), func(s *snapshot.Service) bool { return snap.SharesLoad(s.Key.Mesh) })
}

// DomainRooms returns the room of the services of meshes that share load, as far as this daemon knows
// it, in its failure domain.
func (g *Gateway) DomainRooms() map[domainroom.ServiceID]domainroom.Room {
	dir, now := g.cfg.Directory(), time.Now()
	rooms := map[domainroom.ServiceID]domainroom.Room{}
	for _, target := range dir.Snapshot.Services() {
		if len(rooms) == maxReportedServices || !dir.Snapshot.SharesLoad(target.Key.Mesh) {
			continue
		}
		s := g.service(target.Key)
		s.mu.Lock()
		s.updateCandidates(dir, target)
		room, _ := s.core.Table.Room(now)
		s.mu.Unlock()
		if room.Slots == 0 {
			continue
		}
		room.To = g.crossingTo(now, target.Key)
		rooms[domainroom.IDOf(target.Key.Mesh, target.Key.Name)] = room
	}
	return rooms
}

// crossingTo returns the domains to which a share of a service's requests is sent.
func (g *Gateway) crossingTo(now time.Time, key snapshot.ServiceKey) []string {
	g.rooms.mu.Lock()
	defer g.rooms.mu.Unlock()
	p := g.rooms.plans[key]
	if p == nil {
		return nil
	}
	p.planner.EndIfUnused(now)
	return p.planner.Sends()
}

// DomainPlan is the plan in force of one service at this daemon.
type DomainPlan struct {
	Key     snapshot.ServiceKey
	InForce bool
	Shares  []domainroom.Share
	// Allowed counts the attempts sent to other failure domains, Denied those kept in this one
	// while it was short.
	Allowed, Denied uint64
}

// DomainPlans returns the plans of all services, in no particular order.
func (g *Gateway) DomainPlans() []DomainPlan {
	g.rooms.mu.Lock()
	defer g.rooms.mu.Unlock()
	now := time.Now()
	list := make([]DomainPlan, 0, len(g.rooms.plans))
	for key, p := range g.rooms.plans {
		p.planner.EndIfUnused(now)
		shares, inForce := p.planner.Shares()
		list = append(list, DomainPlan{Key: key, InForce: inForce, Shares: slices.Clone(shares), Allowed: p.allowed, Denied: p.denied})
	}
	return list
}

// crossingBytes counts the bytes of calls to other failure domains by occasion.
type crossingBytes struct{ first, further atomic.Uint64 }

// countCrossing counts a request with a body of the given length, or -1 if unknown, that is sent to
// another failure domain as the attempt with the given number, from 1.
func (g *Gateway) countCrossing(number int, body int64) {
	n := uint64(max(body, 0) + messageOverheadBytes)
	if number <= 1 {
		g.rooms.bytes.first.Add(n)
		return
	}
	g.rooms.bytes.further.Add(n)
}

// CrossingBytes returns the bytes of requests sent to other failure domains as first and as further
// attempts, as far as they were known before they were sent, and the rest of the bytes of calls,
// which are mostly answers.
func (g *Gateway) CrossingBytes() (first, further, answers uint64) {
	first, further = g.rooms.bytes.first.Load(), g.rooms.bytes.further.Load()
	_, total := g.PeerBytes()
	return first, further, total - min(total, first+further)
}
