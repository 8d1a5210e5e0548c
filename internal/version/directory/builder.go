package directory

import (
	"cmp"
	"maps"
	"math"
	"net/netip"
	"slices"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// Builder keeps what a Directory is made of and takes in one change at a time:
// the cost of a change grows with the servers of the services that it touches,
// not with the fleet. It is not safe for concurrent use.
type Builder struct {
	snapshot   *snapshot.Snapshot
	candidates map[snapshot.ServiceKey][]*Candidate
	// own marks the slices of candidates that no Directory shares yet.
	own map[snapshot.ServiceKey]bool
	// suspecting are the records with suspects, by name of the owner.
	suspecting map[string]*presence.Record
	// suspects is their union; nil when it must be made anew.
	suspects map[uint64]presence.Suspect
}

// NewBuilder returns a builder for a version and the records that count.
func NewBuilder(snap *snapshot.Snapshot, records []*presence.Record) *Builder {
	b := &Builder{suspecting: map[string]*presence.Record{}}
	b.Reset(snap, records)
	return b
}

// Reset begins anew, with another version.
func (b *Builder) Reset(snap *snapshot.Snapshot, records []*presence.Record) {
	b.snapshot = snap
	b.candidates = map[snapshot.ServiceKey][]*Candidate{}
	b.own = map[snapshot.ServiceKey]bool{}
	for _, r := range records {
		b.Apply(&presence.Change{New: r})
	}
}

// Apply takes in one change.
func (b *Builder) Apply(change *presence.Change) {
	if change.Old != nil {
		b.remove(change.Old)
	}
	if change.New != nil {
		b.insert(change.New)
	}
}

func (b *Builder) remove(r *presence.Record) {
	if len(r.Suspects) > 0 {
		delete(b.suspecting, r.Node.Name)
		b.suspects = nil
	}
	b.each(r, func(key snapshot.ServiceKey, server *presence.Server) {
		list := b.writable(key)
		if i, found := slices.BinarySearchFunc(list, candidate(r, server), order); found {
			b.store(key, slices.Delete(list, i, i+1))
		}
	})
}

func (b *Builder) insert(r *presence.Record) {
	if len(r.Suspects) > 0 {
		b.suspecting[r.Node.Name] = r
		b.suspects = nil
	}
	b.each(r, func(key snapshot.ServiceKey, server *presence.Server) {
		list := b.writable(key)
		c := candidate(r, server)
		if i, found := slices.BinarySearchFunc(list, c, order); !found {
			b.store(key, slices.Insert(list, i, c))
		}
	})
}

// each calls f for every server of a record that may get requests.
func (b *Builder) each(r *presence.Record, f func(snapshot.ServiceKey, *presence.Server)) {
	if r.Leaving {
		return
	}
	for i := range r.Servers {
		server := &r.Servers[i]
		key := snapshot.ServiceKey{Mesh: server.Mesh, Name: server.Service}
		if server.State.TakesWork() && b.allows(key, server) {
			f(key, server)
		}
	}
}

func (b *Builder) allows(key snapshot.ServiceKey, server *presence.Server) bool {
	service := b.snapshot.Service(key)
	if service == nil || !b.snapshot.Admits(key, server.Version) {
		return false
	}
	addr, err := netip.ParseAddrPort(server.Addr)
	return err == nil && service.Allows(addr.Addr())
}

// writable returns a slice that no Directory shares.
func (b *Builder) writable(key snapshot.ServiceKey) []*Candidate {
	if !b.own[key] {
		b.own[key] = true
		b.candidates[key] = slices.Clone(b.candidates[key])
	}
	return b.candidates[key]
}

func (b *Builder) store(key snapshot.ServiceKey, list []*Candidate) {
	if len(list) == 0 {
		delete(b.candidates, key)
		return
	}
	b.candidates[key] = list
}

func candidate(r *presence.Record, server *presence.Server) *Candidate {
	return &Candidate{Node: r.Node, Server: *server}
}

// order sorts candidates by daemon, then by address.
func order(a, b *Candidate) int {
	return cmp.Or(cmp.Compare(a.Node.Name, b.Node.Name), cmp.Compare(a.Server.Addr, b.Server.Addr))
}

// Build returns the Directory as of now, with the records given.
func (b *Builder) Build(records []*presence.Record) *Directory {
	clear(b.own)
	if b.suspects == nil {
		b.suspects = union(b.suspecting)
	}
	return &Directory{
		Snapshot: b.snapshot, Records: records,
		candidates: maps.Clone(b.candidates), suspects: b.suspects,
	}
}

func union(suspecting map[string]*presence.Record) map[uint64]presence.Suspect {
	all := map[uint64]presence.Suspect{}
	for _, r := range suspecting {
		for _, s := range r.Suspects {
			known := all[s.Fingerprint]
			crashes := min(int(known.Crashes)+int(s.Crashes), math.MaxUint8)
			all[s.Fingerprint] = presence.Suspect{
				Fingerprint: s.Fingerprint, Crashes: uint8(crashes), Until: max(known.Until, s.Until),
			}
		}
	}
	return all
}
