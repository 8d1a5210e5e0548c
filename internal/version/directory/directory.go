// Package directory joins the version in force with the presence of backend
// servers: for each service, who serves it now. A Directory is immutable; a
// daemon swaps one pointer to it.
package directory

import (
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
}

// Build makes the directory.
func Build(snap *snapshot.Snapshot, records []presence.Record) *Directory {
	d := &Directory{Snapshot: snap, Records: records, candidates: map[snapshot.ServiceKey][]*Candidate{}}
	for _, r := range records {
		if r.Leaving {
			continue
		}
		for _, server := range r.Servers {
			d.add(r.Node, server)
		}
	}
	return d
}

func (d *Directory) add(node view.Node, server presence.Server) {
	if server.State != presence.Serving && server.State != presence.Warming {
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
