// Package directory joins the version in force with the presence of backend
// servers: for each service, who serves it now. A Directory is immutable; a
// daemon swaps one pointer to it.
package directory

import (
	"math"
	"net/netip"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// Candidate is a backend server that may get a request.
type Candidate struct {
	// Node is the daemon beside the server.
	Node   view.Node
	Server presence.Server
}

// Directory is who serves what, at one version and one state of presence.
type Directory struct {
	Snapshot *snapshot.Snapshot
	// Records are the records the directory was built from.
	Records    []presence.Record
	candidates map[snapshot.ServiceKey][]*Candidate
	suspects   map[uint64]presence.Suspect
}

// Build makes the directory.
func Build(snap *snapshot.Snapshot, records []presence.Record) *Directory {
	d := &Directory{
		Snapshot: snap, Records: records,
		candidates: map[snapshot.ServiceKey][]*Candidate{}, suspects: map[uint64]presence.Suspect{},
	}
	for _, r := range records {
		d.addSuspects(r.Suspects)
		if r.Leaving {
			continue
		}
		for _, server := range r.Servers {
			d.add(r.Node, server)
		}
	}
	return d
}

func (d *Directory) addSuspects(suspects []presence.Suspect) {
	for _, s := range suspects {
		known := d.suspects[s.Fingerprint]
		crashes := min(int(known.Crashes)+int(s.Crashes), math.MaxUint8)
		d.suspects[s.Fingerprint] = presence.Suspect{
			Fingerprint: s.Fingerprint, Crashes: uint8(crashes), Until: max(known.Until, s.Until),
		}
	}
}

// Suspect returns what the whole fleet knows of a request: the crashes that all
// daemons saw, added up, and the latest end. The caller compares Until with its
// clock.
func (d *Directory) Suspect(fingerprint uint64) (presence.Suspect, bool) {
	s, known := d.suspects[fingerprint]
	return s, known
}

func (d *Directory) add(node view.Node, server presence.Server) {
	if !server.State.TakesWork() {
		return
	}
	key := snapshot.ServiceKey{Mesh: server.Mesh, Name: server.Service}
	service := d.Snapshot.Service(key)
	if service == nil {
		return
	}
	addr, err := netip.ParseAddrPort(server.Addr)
	if err != nil || !service.Allows(addr.Addr()) {
		return
	}
	d.candidates[key] = append(d.candidates[key], &Candidate{Node: node, Server: server})
}

// Candidates returns the backend servers of a service; the slice is shared and
// must not be changed.
func (d *Directory) Candidates(k snapshot.ServiceKey) []*Candidate { return d.candidates[k] }
