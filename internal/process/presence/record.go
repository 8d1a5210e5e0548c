package presence

import (
	"unique"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygate/daisygate/internal/process/view"
)

// ServerState is the lifecycle state of a backend server.
type ServerState uint8

// The states of a backend server, in lifecycle order.
const (
	Joining ServerState = iota
	Warming
	Serving
	Draining
)

// String returns the lower-case name of the state.
func (s ServerState) String() string {
	switch s {
	case Joining:
		return "joining"
	case Warming:
		return "warming"
	case Serving:
		return "serving"
	case Draining:
		return "draining"
	}
	return "unknown"
}

// AcceptsRequests reports whether a server in this state receives new requests.
func (s ServerState) AcceptsRequests() bool { return s == Warming || s == Serving }

// Server is a backend server on the instance of the owner of the record.
type Server struct {
	Mesh    string
	Service string
	// Addr is the address of the backend server, "ip:port".
	Addr        string
	Slots       int
	Connections int
	State       ServerState
	// Boot identifies one start of the server; "" if the server does not report it.
	Boot string
	// Started is when the boot began, in Unix milliseconds; 0 if the server does not
	// report it. A server that is restarted may keep its Boot.
	Started int64
	// Version is the version of the server's software; "" if the server does not
	// report it. Cold is set while the server is still slow after its start, if
	// roll-outs are in use.
	Version string
	Cold    bool
	// Since is when the server began to take work, on the clock of the owner, in Unix
	// milliseconds: its first announcement as warming or serving after it was unknown
	// or draining. It is 0 while the server takes no work.
	Since int64
}

// MaxServers is the maximum number of backend servers in a record.
const MaxServers = 16

// Record is the state that a daemon publishes about itself. A record in a table is
// never modified, only replaced by a newer one.
type Record struct {
	Node view.Node
	// Incarnation is the start time of the owner's process in Unix milliseconds,
	// raised above every earlier incarnation that the owner learns of.
	Incarnation uint64
	// Seq is the version of the content within this incarnation.
	Seq uint64
	// Life is the number of refutations of this content.
	Life uint64
	// Leaving is set before a planned stop: the daemon takes no new work.
	Leaving bool
	// Servers are the backend servers; at most MaxServers.
	Servers []Server
	// Suspects are requests that were in progress when a backend server of the owner
	// crashed; at most MaxSuspects.
	Suspects []Suspect
}

// ID identifies a daemon: a hash of its name.
type ID uint64

// IDOf returns the ID of the named daemon.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

// Stamp is the version of a record.
type Stamp struct {
	ID          ID
	Incarnation uint64
	Seq         uint64
	Life        uint64
}

func (r *Record) stamp() Stamp {
	return Stamp{ID: IDOf(r.Node.Name), Incarnation: r.Incarnation, Seq: r.Seq, Life: r.Life}
}

// newer reports whether s is newer than o.
func (s Stamp) newer(o Stamp) bool {
	if s.Incarnation != o.Incarnation {
		return s.Incarnation > o.Incarnation
	}
	if s.Seq != o.Seq {
		return s.Seq > o.Seq
	}
	return s.Life > o.Life
}

// sameContent reports whether both stamps refer to the same content.
func (s Stamp) sameContent(o Stamp) bool {
	return s.Incarnation == o.Incarnation && s.Seq == o.Seq
}

// hash hashes all fields, with the finalizer of SplitMix64 between them.
func (s Stamp) hash() uint64 {
	h := uint64(s.ID)
	for _, part := range []uint64{s.Incarnation, s.Seq, s.Life} {
		h = (h ^ part) * 0xbf58476d1ce4e5b9
		h = (h ^ h>>27) * 0x94d049bb133111eb
		h ^= h >> 31
	}
	return h
}

// normalize limits the size of a received record and makes equal strings share memory.
func (r *Record) normalize() {
	r.Node.Region = intern(r.Node.Region)
	r.Node.Domain = intern(r.Node.Domain)
	r.Servers = r.Servers[:min(len(r.Servers), MaxServers)]
	for i := range r.Servers {
		r.Servers[i].Mesh = intern(r.Servers[i].Mesh)
		r.Servers[i].Service = intern(r.Servers[i].Service)
		r.Servers[i].Version = intern(r.Servers[i].Version)
	}
	r.Suspects = r.Suspects[:min(len(r.Suspects), MaxSuspects)]
}

func intern(s string) string { return unique.Make(s).Value() }
