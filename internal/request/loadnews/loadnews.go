// Package loadnews decides which load reports of backend servers the daemons of a
// failure domain pass on to each other with the calls that they exchange anyway, and which
// received reports are believed (Demers et al., "Epidemic Algorithms for Replicated
// Database Maintenance", 1987).
//
// Only the daemon on a server's instance issues reports of it. Other daemons keep the newest
// one and pass it on with its age until it is MaxAge old. A message holds at most
// MaxReports, and a daemon passes on reports of a bounded number of servers
// (balance.Table.NewsServers), so that size and work of a message do not depend on the fleet.
//
// The package does no I/O and reads no clock.
package loadnews

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/request/balance"
)

const (
	// MaxAge is the age from which a report is neither used nor passed on.
	MaxAge = balance.NewsLifetime
	// MaxReports is the maximum number of reports in a message.
	MaxReports = 8
	// maxPeers is the number of peers for which a book remembers what they were sent.
	maxPeers = 256
)

// ServerID identifies one start of a server at one address.
type ServerID uint64

// IDOf returns the ID of a server's current start.
func IDOf(s *presence.Server) ServerID {
	var buffer [128]byte
	text := append(append(buffer[:0], s.Addr...), 0)
	text = append(append(text, s.Boot...), 0)
	return ServerID(xxhash.Sum64(strconv.AppendInt(text, s.Started, 10)))
}

// PeerID identifies a daemon within its failure domain.
type PeerID uint32

// PeerIDOf returns the ID of the daemon with the given name.
func PeerIDOf(name string) PeerID { return PeerID(xxhash.Sum64String(name) & math.MaxUint32) }

// Report is the load of one server as measured by the daemon on its instance.
type Report struct {
	Server ServerID
	// Sequence grows with each measurement of the issuing daemon since its start and wraps around.
	Sequence uint32
	// Age is the time since the measurement, without the time that messages were in transit.
	Age time.Duration
	// Load has no rate limit and no bytes in transit.
	Load balance.Load
}

// Verdict is what becomes of a received report.
type Verdict uint8

const (
	// Used: the report is the newest one of its server.
	Used Verdict = iota
	// Older: a report of the same measurement or a later one is known.
	Older
	// Expired: the report is older than MaxAge.
	Expired
	// Unknown: the server is not among those of the book, or has started again.
	Unknown
)

// String returns the text for metrics.
func (v Verdict) String() string {
	switch v {
	case Used:
		return "used"
	case Older:
		return "older"
	case Expired:
		return "expired"
	}
	return "unknown"
}

// Book holds the newest report of each server of one service. It is not safe for concurrent
// use.
type Book struct {
	// entries has one entry for each server of the book.
	entries map[ServerID]*entry
	// learned counts the reports that were used.
	learned uint64
	peers   map[PeerID]*peerMemory
}

// entry is the newest report of a server. The zero value means that there is none.
type entry struct {
	report   Report
	measured time.Time
	// learned is the value of Book.learned when the report came, from a peer.
	learned uint64
	from    PeerID
}

// peerMemory is what a book remembers about one peer.
type peerMemory struct {
	// learned is the value of Book.learned at the last message to the peer, which was at sent.
	learned uint64
	sent    time.Time
}

// NewBook returns a book without servers.
func NewBook() *Book {
	return &Book{entries: map[ServerID]*entry{}, peers: map[PeerID]*peerMemory{}}
}

// SetServers sets the servers of which reports are kept.
func (b *Book) SetServers(servers []ServerID) {
	entries := make(map[ServerID]*entry, len(servers))
	for _, id := range servers {
		e := b.entries[id]
		if e == nil {
			e = &entry{}
		}
		entries[id] = e
	}
	b.entries = entries
}

// Add records a report received from a peer and returns whether it is the newest.
func (b *Book) Add(now time.Time, from PeerID, r Report) Verdict {
	e := b.entries[r.Server]
	switch {
	case e == nil:
		return Unknown
	case r.Age > MaxAge:
		return Expired
	case e.current(now) && int32(r.Sequence-e.report.Sequence) <= 0:
		// The order of the measurements counts rather than their ages, which do not include
		// transit. An issuer that has started again counts from 0: until the report from
		// before has expired, its new ones are ignored.
		return Older
	}
	b.learned++
	*e = entry{report: r, measured: now.Add(-r.Age), learned: b.learned, from: from}
	return Used
}

// current reports whether there is a report that has not expired.
func (e *entry) current(now time.Time) bool {
	return e.learned > 0 && now.Sub(e.measured) <= MaxAge
}

// Select returns the reports to send to a peer now: own, those that this daemon issues, then
// those of other servers that the peer has not been sent, the newest first. It appends them to own.
func (b *Book) Select(now time.Time, to PeerID, own []Report) []Report {
	memory := b.memoryOf(now, to)
	list := own[:min(len(own), MaxReports)]
	room := MaxReports - len(list)
	others := make([]*entry, 0, MaxReports+1)
	for _, e := range b.entries {
		if e.learned <= memory.learned || e.from == to || !e.current(now) {
			continue
		}
		if at, _ := slices.BinarySearchFunc(others, e, compareAges); at < room {
			others = slices.Insert(others, at, e)
			others = others[:min(len(others), room)]
		}
	}
	memory.learned, memory.sent = b.learned, now
	for _, e := range others {
		r := e.report
		r.Age = max(0, now.Sub(e.measured))
		list = append(list, r)
	}
	return list
}

// compareAges orders entries from the newest to the oldest.
func compareAges(x, y *entry) int {
	return cmp.Or(y.measured.Compare(x.measured), cmp.Compare(x.report.Server, y.report.Server))
}

// memoryOf returns what is remembered about a peer. Above maxPeers, the peers to which no
// message was sent for MaxAge are forgotten, or any one.
func (b *Book) memoryOf(now time.Time, peer PeerID) *peerMemory {
	if m := b.peers[peer]; m != nil {
		return m
	}
	if len(b.peers) >= maxPeers {
		for id, m := range b.peers {
			if now.Sub(m.sent) > MaxAge {
				delete(b.peers, id)
			}
		}
	}
	for id := range b.peers {
		if len(b.peers) < maxPeers {
			break
		}
		delete(b.peers, id)
	}
	m := &peerMemory{}
	b.peers[peer] = m
	return m
}
