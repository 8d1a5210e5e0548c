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

// Builder builds directories incrementally: the cost of a change depends on the
// number of servers of the affected services, not on the size of the fleet. It is
// not safe for concurrent use.
type Builder struct {
	snapshot   *snapshot.Snapshot
	candidates map[snapshot.ServiceKey][]*Candidate
	// unshared marks the slices of candidates that no Directory uses yet, which may be
	// modified in place.
	unshared map[snapshot.ServiceKey]bool
	// suspectRecords are the records with suspects, by name of their daemon.
	suspectRecords map[string]*presence.Record
	// suspects is the union of the suspects of suspectRecords; nil if it is out of date.
	suspects map[uint64]presence.Suspect
}

// NewBuilder returns a builder for a configuration version and the presence records
// of live daemons.
func NewBuilder(snap *snapshot.Snapshot, records []*presence.Record) *Builder {
	b := &Builder{suspectRecords: map[string]*presence.Record{}}
	b.Reset(snap, records)
	return b
}

// Reset rebuilds the candidates for another configuration version.
func (b *Builder) Reset(snap *snapshot.Snapshot, records []*presence.Record) {
	b.snapshot = snap
	b.candidates = map[snapshot.ServiceKey][]*Candidate{}
	b.unshared = map[snapshot.ServiceKey]bool{}
	for _, r := range records {
		b.Apply(&presence.Change{New: r})
	}
}

// Apply applies one change of a presence record.
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
		delete(b.suspectRecords, r.Node.Name)
		b.suspects = nil
	}
	b.eachEligible(r, func(key snapshot.ServiceKey, server *presence.Server) {
		list := b.writable(key)
		if i, found := slices.BinarySearchFunc(list, newCandidate(r, server), compareCandidates); found {
			b.setCandidates(key, slices.Delete(list, i, i+1))
		}
	})
}

func (b *Builder) insert(r *presence.Record) {
	if len(r.Suspects) > 0 {
		b.suspectRecords[r.Node.Name] = r
		b.suspects = nil
	}
	b.eachEligible(r, func(key snapshot.ServiceKey, server *presence.Server) {
		list := b.writable(key)
		c := newCandidate(r, server)
		if i, found := slices.BinarySearchFunc(list, c, compareCandidates); !found {
			b.setCandidates(key, slices.Insert(list, i, c))
		}
	})
}

// eachEligible calls f for each server of a record that may receive requests.
func (b *Builder) eachEligible(r *presence.Record, f func(snapshot.ServiceKey, *presence.Server)) {
	if r.Leaving {
		return
	}
	for i := range r.Servers {
		server := &r.Servers[i]
		key := snapshot.ServiceKey{Mesh: server.Mesh, Name: server.Service}
		if server.State.AcceptsRequests() && b.allows(key, server) {
			f(key, server)
		}
	}
}

func (b *Builder) allows(key snapshot.ServiceKey, server *presence.Server) bool {
	service := b.snapshot.Service(key)
	if service == nil || !b.snapshot.Selectable(key, server.Version) {
		return false
	}
	addr, err := netip.ParseAddrPort(server.Addr)
	return err == nil && service.Allows(addr.Addr())
}

// writable returns the candidates of a service in a slice that no Directory shares.
func (b *Builder) writable(key snapshot.ServiceKey) []*Candidate {
	if !b.unshared[key] {
		b.unshared[key] = true
		b.candidates[key] = slices.Clone(b.candidates[key])
	}
	return b.candidates[key]
}

func (b *Builder) setCandidates(key snapshot.ServiceKey, list []*Candidate) {
	if len(list) == 0 {
		delete(b.candidates, key)
		return
	}
	b.candidates[key] = list
}

func newCandidate(r *presence.Record, server *presence.Server) *Candidate {
	return &Candidate{Node: r.Node, Server: *server}
}

// compareCandidates orders candidates by daemon, then by address.
func compareCandidates(a, b *Candidate) int {
	return cmp.Or(cmp.Compare(a.Node.Name, b.Node.Name), cmp.Compare(a.Server.Addr, b.Server.Addr))
}

// Build returns the current Directory with the given records.
func (b *Builder) Build(records []*presence.Record) *Directory {
	clear(b.unshared)
	if b.suspects == nil {
		b.suspects = mergeSuspects(b.suspectRecords)
	}
	return &Directory{
		Snapshot: b.snapshot, Records: records,
		candidates: maps.Clone(b.candidates), suspects: b.suspects,
	}
}

// mergeSuspects merges the suspects of all records by fingerprint: it adds up the crashes
// and takes the latest Until.
func mergeSuspects(records map[string]*presence.Record) map[uint64]presence.Suspect {
	merged := map[uint64]presence.Suspect{}
	for _, r := range records {
		for _, s := range r.Suspects {
			old := merged[s.Fingerprint]
			crashes := min(int(old.Crashes)+int(s.Crashes), math.MaxUint8)
			merged[s.Fingerprint] = presence.Suspect{
				Fingerprint: s.Fingerprint, Crashes: uint8(crashes), Until: max(old.Until, s.Until),
			}
		}
	}
	return merged
}
