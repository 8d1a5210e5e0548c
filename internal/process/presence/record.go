package presence

import (
	"unique"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygate/daisygate/internal/process/view"
)

// ServerState is the phase of a backend server's life.
type ServerState uint8

// The states of a backend server, in the order of its life.
const (
	Joining ServerState = iota
	Warming
	Serving
	Draining
)

// String returns the state in one word.
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

// TakesWork reports whether a server in this state gets new requests.
func (s ServerState) TakesWork() bool { return s == Warming || s == Serving }

// Server is one backend server beside the record's owner.
type Server struct {
	Mesh    string
	Service string
	// Addr is the address of the backend server, "ip:port".
	Addr        string
	Slots       int
	Connections int
	State       ServerState
	// Boot names one start of the server; "" if it does not tell.
	Boot string
	// Started is when the boot began, in Unix milliseconds; 0 if it does not tell. One
	// that starts again may keep its name.
	Started int64
	// Version names the server's software; "" if it does not tell. Cold is set while it
	// still works slowly after its start, where roll-outs are in use.
	Version string
	Cold    bool
	// Since is when the server began to take work, by the owner's clock, in Unix
	// milliseconds: its first announcement as warming or serving after it was
	// unknown or draining. 0 while it takes none.
	Since int64
}

// MaxServers bounds the backend servers that one record carries.
const MaxServers = 16

// Record is what a daemon says of itself. A record in a table is not changed
// any more: a newer one takes its place.
type Record struct {
	Node view.Node
	// Incarnation is the start time of the owner's process in Unix
	// milliseconds, raised above every earlier one that the owner learns of.
	Incarnation uint64
	// Seq counts the contents of this incarnation.
	Seq uint64
	// Life counts the refutations of this content.
	Life uint64
	// Leaving is set before a planned stop: no new work.
	Leaving bool
	// Servers are at most MaxServers.
	Servers []Server
	// Suspects are requests in progress at crashes beside the owner; at most
	// MaxSuspects.
	Suspects []Suspect
}

// ID names a daemon: a hash of its name.
type ID uint64

// IDOf returns the ID of the daemon named.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

// Stamp names one state of a record.
type Stamp struct {
	ID          ID
	Incarnation uint64
	Seq         uint64
	Life        uint64
}

func (r *Record) stamp() Stamp {
	return Stamp{ID: IDOf(r.Node.Name), Incarnation: r.Incarnation, Seq: r.Seq, Life: r.Life}
}

// newer reports whether s follows o.
func (s Stamp) newer(o Stamp) bool {
	if s.Incarnation != o.Incarnation {
		return s.Incarnation > o.Incarnation
	}
	if s.Seq != o.Seq {
		return s.Seq > o.Seq
	}
	return s.Life > o.Life
}

// sameContent reports whether both name the same content.
func (s Stamp) sameContent(o Stamp) bool {
	return s.Incarnation == o.Incarnation && s.Seq == o.Seq
}

// hash mixes all parts (the finalizer of SplitMix64 between them).
func (s Stamp) hash() uint64 {
	h := uint64(s.ID)
	for _, part := range []uint64{s.Incarnation, s.Seq, s.Life} {
		h = (h ^ part) * 0xbf58476d1ce4e5b9
		h = (h ^ h>>27) * 0x94d049bb133111eb
		h ^= h >> 31
	}
	return h
}

// compact bounds a record that came from outside and lets equal strings share
// their memory.
func (r *Record) compact() {
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
