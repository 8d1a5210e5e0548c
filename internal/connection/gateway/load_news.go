package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/daisygate/daisygate/internal/request/loadnews"
	"github.com/daisygate/daisygate/internal/version/directory"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// headerNews holds load reports of servers of the called service, as package loadnews encodes
// them. It is sent with calls to daemons of the same failure domain and with their responses, in
// meshes that share load.
const headerNews = headerPrefix + "News"

// logNewsInvalid is the message about load reports that cannot be read.
const logNewsInvalid = "load reports of another daemon ignored"

// loadNews passes load reports between daemons. One of a service is guarded by service.mu.
type loadNews struct {
	book *loadnews.Book
	// servers are the servers of the book, byID the same by ID.
	servers []*directory.Candidate
	byID    map[loadnews.ServerID]*directory.Candidate
}

// newsCounters counts load reports since the start of the daemon.
type newsCounters struct {
	// sequence numbers the measurements of servers of this instance.
	sequence      atomic.Uint32
	sent, invalid atomic.Uint64
	received      [loadnews.Unknown + 1]atomic.Uint64
}

// NewsCounts counts load reports and their use since the start of the daemon.
type NewsCounts struct {
	// Sent counts reports sent to other daemons, Received those received, by what became of them.
	Sent     uint64
	Received map[loadnews.Verdict]uint64
	// Invalid counts messages that could not be read.
	Invalid uint64
	// Picks counts picks of a server for which the load of the failure domain was known, and
	// BlindPicks those for which it was not, although the mesh shares load.
	Picks, BlindPicks uint64
}

// NewsCounts returns the counts of load reports.
func (g *Gateway) NewsCounts() NewsCounts {
	n := NewsCounts{Sent: g.news.sent.Load(), Invalid: g.news.invalid.Load(), Received: map[loadnews.Verdict]uint64{}}
	for v := range g.news.received {
		n.Received[loadnews.Verdict(v)] = g.news.received[v].Load()
	}
	g.servicesMu.RLock()
	defer g.servicesMu.RUnlock()
	for _, s := range g.services {
		s.mu.Lock()
		with, without := s.core.Table.NewsPicks()
		s.mu.Unlock()
		n.Picks, n.BlindPicks = n.Picks+with, n.BlindPicks+without
	}
	return n
}

// updateCandidates sets the candidates of a service, and whether its mesh shares load. The caller must
// hold s.mu.
func (s *service) updateCandidates(dir *directory.Directory, target *snapshot.Service) {
	t := s.core.Table
	t.Update(dir.Candidates(target.Key), target.SlowStart)
	t.SharesLoad = dir.Snapshot.SharesLoad(target.Key.Mesh)
	t.ShareLoad(t.SharesLoad)
	servers := t.NewsServers()
	if !t.SharesLoad || len(servers) == len(s.news.servers) && (len(servers) == 0 || &servers[0] == &s.news.servers[0]) {
		return
	}
	if s.news.book == nil {
		s.news.book = loadnews.NewBook()
	}
	s.news.servers, s.news.byID = servers, make(map[loadnews.ServerID]*directory.Candidate, len(servers))
	ids := make([]loadnews.ServerID, 0, len(servers))
	for _, c := range servers {
		id := loadnews.IDOf(&c.Server)
		s.news.byID[id] = c
		ids = append(ids, id)
	}
	s.news.book.SetServers(ids)
}

// addNews adds load reports to a call to another daemon.
func (x *exchange) addNews(to *directory.Candidate, h http.Header) {
	if to.Node.Domain != x.g.cfg.Domain || !x.dir.Snapshot.SharesLoad(x.route.Mesh) {
		return
	}
	h[headerNews] = []string{x.g.composeNews(x.call.service, loadnews.PeerIDOf(to.Node.Name))}
}

// readNews records the load reports in the response of another daemon.
func (x *exchange) readNews(h http.Header) {
	if !x.dir.Snapshot.SharesLoad(x.route.Mesh) {
		return
	}
	if m, ok := x.g.parseNews(h); ok {
		s := x.call.service
		s.mu.Lock()
		defer s.mu.Unlock()
		x.g.recordNews(s, m)
	}
}

// newsExchange answers the load reports that came with a forwarded call.
type newsExchange struct {
	g       *Gateway
	service *service
	sender  loadnews.PeerID
}

// receiveNews records the load reports of a forwarded call when it arrives. The returned exchange
// does nothing if there were none.
func (g *Gateway) receiveNews(h http.Header, req *backendRequest) newsExchange {
	dir, key := g.cfg.Directory(), snapshot.ServiceKey{Mesh: req.request.Mesh, Name: req.request.Service}
	target := dir.Snapshot.Service(key)
	if h.Get(headerNews) == "" || target == nil || !dir.Snapshot.SharesLoad(key.Mesh) {
		return newsExchange{}
	}
	m, ok := g.parseNews(h)
	if !ok {
		return newsExchange{}
	}
	s := g.service(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateCandidates(dir, target)
	g.recordNews(s, m)
	return newsExchange{g: g, service: s, sender: m.Sender}
}

// respond adds load reports to the response.
func (n newsExchange) respond(h http.Header) {
	if n.service != nil {
		h.Set(headerNews, n.g.composeNews(n.service, n.sender))
	}
}

// composeNews returns the message for a peer about the servers of a service.
func (g *Gateway) composeNews(s *service, to loadnews.PeerID) string {
	var buffer [loadnews.MaxReports]loadnews.Report
	reports := g.selectNews(s, to, buffer[:0])
	g.news.sent.Add(uint64(len(reports)))
	return loadnews.Message{Sender: loadnews.PeerIDOf(g.cfg.Self), Reports: reports}.Encode()
}

// selectNews appends the reports for a peer to list.
func (g *Gateway) selectNews(s *service, to loadnews.PeerID, list []loadnews.Report) []loadnews.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.news.book == nil {
		return list
	}
	for _, c := range s.news.servers {
		if c.Node.Name != g.cfg.Self {
			continue
		}
		if r, known := g.measure(c.Server.Addr); known {
			list = append(list, r)
		}
	}
	return s.news.book.Select(time.Now(), to, list)
}

// measure returns a report of a server of this instance, and whether it has one to make.
func (g *Gateway) measure(addr string) (loadnews.Report, bool) {
	g.mu.Lock()
	b := g.backends[addr]
	if b == nil || b.removed {
		g.mu.Unlock()
		return loadnews.Report{}, false
	}
	id := loadnews.IDOf(&b.server)
	g.mu.Unlock()
	sequence, l := g.news.sequence.Add(1), b.gate.Load()
	return loadnews.Report{Server: id, Sequence: sequence, Load: l}, l.Limit > 0
}

// parseNews returns the message in a header, and whether there is one that can be read.
func (g *Gateway) parseNews(h http.Header) (loadnews.Message, bool) {
	text := h.Get(headerNews)
	if text == "" {
		return loadnews.Message{}, false
	}
	m, err := loadnews.Parse(text)
	if err != nil {
		g.news.invalid.Add(1)
		g.log.Info(logNewsInvalid, "why", err.Error())
		return loadnews.Message{}, false
	}
	return m, true
}

// recordNews records the load reports of a message. The caller must hold s.mu.
func (g *Gateway) recordNews(s *service, m loadnews.Message) {
	if s.news.book == nil {
		return
	}
	now := time.Now()
	for _, r := range m.Reports {
		g.news.received[s.addReport(now, g.cfg.Self, m.Sender, r)].Add(1)
	}
}

// addReport records a report of a server of another instance: this daemon issues those of its own.
func (s *service) addReport(now time.Time, self string, from loadnews.PeerID, r loadnews.Report) loadnews.Verdict {
	c := s.news.byID[r.Server]
	if c != nil && c.Node.Name == self {
		return loadnews.Older
	}
	verdict := s.news.book.Add(now, from, r)
	if verdict == loadnews.Used {
		s.core.Table.ReportNews(now, c, r.Load, r.Age)
	}
	return verdict
}
